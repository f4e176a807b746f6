#include "side/model_reconciler.hpp"

#include "base/hash.hpp"
#include "base/json_text.hpp"
#include "telemetry/log.hpp"

namespace bilberryseam::side {

using nlohmann::json;

namespace {
    constexpr std::string_view part = "orders";
    constexpr milliseconds tickPeriod { 250 };

    /// A gap between two ticks that shows that the process was paused.
    constexpr milliseconds pauseGap { 1500 };

    constexpr milliseconds engineTimeout { 2000 };

    std::optional<std::vector<policy::reported_model>> readReport(const http_reply& reply)
    {
        if (!reply.isOk())
            return std::nullopt;
        try {
            std::vector<policy::reported_model> models;
            const json report = json::parse(reply.body);
            for (const json& item : report.at("models"))
                models.push_back({ item.at("name"), item.at("version"), item.value("adapters", std::vector<std::string>()), item.value("loading", false) });
            return models;
        } catch (const json::exception&) {
            return std::nullopt;
        }
    }

    /// @return The place of a target among all that want the model, in an order that is the same everywhere.
    size_t rankOf(const configuration::state& state, const configuration::target& target, uint64_t revision)
    {
        const uint64_t own = hashOf(target.name, revision);
        size_t rank = 0;
        for (const auto& [name, entry] : state.of<configuration::target>()) {
            if (entry.value->service == target.service && hashOf(name, revision) < own)
                ++rank;
        }
        return rank;
    }

    json orderToJson(const policy::engine_order& order)
    {
        return { { "action", order.kind == policy::order_kind::Load ? "load" : "unload" }, { "name", order.name }, { "version", order.version },
            { "adapters", order.adapters }, { "fence", order.fencingToken } };
    }
}

/// One engine and what is wanted there.
struct model_reconciler::engine {
    configuration::target target;
    std::vector<policy::desired_model> wanted;
    std::vector<policy::reported_model> reported;
    std::shared_ptr<void> exchange;
    bool isBusy = false;
    bool isAgreed = false;
};

model_reconciler::model_reconciler(const settings::side_settings& settings, metrics& metrics, configuration_refresh refresh)
    : m_settings(settings)
    , m_metrics(metrics)
    , m_refresh(std::move(refresh))
    , m_lastTick(monotonicNow())
{
    m_tickTimer.startEvery(tickPeriod, [this] { tick(); });
}

model_reconciler::~model_reconciler() = default;

void model_reconciler::applyConfiguration(const configuration::state& state)
{
    m_configurationOffset = state.nextOffset;
    std::map<std::string, std::unique_ptr<engine>> kept;
    for (const auto& [name, entry] : state.of<configuration::target>()) {
        const auto service = state.find<configuration::service>(entry.value->service);
        if (entry.value->side != m_settings.advertise || !service || service->kind != configuration::service_kind::Engine)
            continue;
        auto made = std::make_unique<engine>();
        made->target = *entry.value;
        if (const auto known = m_engines.find(name); known != m_engines.end())
            made->reported = known->second->reported;
        for (const auto& [modelName, model] : state.of<configuration::model>()) {
            if (model.value->service != entry.value->service)
                continue;
            const wall_time since { milliseconds(model.appendedMs) };
            const size_t rank = rankOf(state, *entry.value, model.revision);
            // Offsets begin at zero, fencing numbers at one.
            made->wanted.push_back({ modelName, model.value->version, model.value->adapters, model.revision + 1, policy::loadStartTime(since, rank, model.value->weightBytes, m_settings.platform.weightBytesPerSecond) });
        }
        kept[name] = std::move(made);
    }
    // Answers that are on their way belong to the old wishes and are dropped with them.
    m_engines = std::move(kept);
}

void model_reconciler::tick()
{
    detectPause();
    for (auto& [name, engine] : m_engines) {
        const bool isManaged = !engine->wanted.empty() || !engine->reported.empty();
        if (isManaged && !engine->isBusy && !m_isStale)
            requestReport(*engine);
    }
}

void model_reconciler::detectPause()
{
    const time_point now = monotonicNow();
    const bool wasPaused = now - std::exchange(m_lastTick, now) > pauseGap;
    if (!wasPaused || m_isStale)
        return;
    logLine(log_level::Warning, part, "This process was paused. It reads the configuration before it gives orders.");
    m_metrics.count("pauses_total");
    m_isStale = true;
    for (auto& [name, engine] : m_engines) {
        engine->exchange.reset();
        engine->isBusy = false;
    }
    m_refresh([this] { m_isStale = false; });
}

void model_reconciler::requestReport(engine& asked)
{
    asked.isBusy = true;
    asked.exchange = m_http.send({ "GET", urlOf(asked.target.address, "/v1/models"), "", {}, false, engineTimeout }, [this, &asked](http_reply reply) { handleReport(asked, reply); });
}

void model_reconciler::handleReport(engine& asked, const http_reply& reply)
{
    asked.isBusy = false;
    detectPause();
    const auto report = readReport(reply);
    if (!report || m_isStale)
        return;
    asked.reported = *report;
    const auto order = policy::nextOrder(asked.wanted, asked.reported, m_configurationOffset, wallNow());
    asked.isAgreed = !order;
    if (order)
        sendOrder(asked, *order);
}

void model_reconciler::sendOrder(engine& told, const policy::engine_order& order)
{
    told.isBusy = true;
    m_metrics.count("orders_total", { { "action", order.kind == policy::order_kind::Load ? "load" : "unload" } });
    logLine(log_level::Info, part, "An engine gets an order.", { { "target", told.target.name }, { "model", order.name }, { "version", order.version }, { "fence", std::to_string(order.fencingToken) } });
    http_request request { "POST", urlOf(told.target.address, "/v1/orders"), dumpText(orderToJson(order)), {}, true, engineTimeout };
    // Whatever becomes of the order, the next report shows what to do.
    told.exchange = m_http.send(request, [this, &told](http_reply reply) {
        told.isBusy = false;
        m_metrics.count("order_answers_total", { { "status", std::to_string(reply.status) } });
    });
}

json model_reconciler::status() const
{
    json engines = json::array();
    for (const auto& [name, engine] : m_engines)
        engines.push_back({ { "target", name }, { "agreed", engine->isAgreed || engine->wanted.empty() } });
    return engines;
}
}
