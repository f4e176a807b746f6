#include "side/model_reconciler.hpp"

#include "base/hash.hpp"
#include "base/json_text.hpp"
#include "telemetry/log.hpp"

namespace bilberryseam::side {

using nlohmann::json;

namespace {
    constexpr std::string_view logComponent = "orders";
    constexpr milliseconds tickPeriod { 250 };

    /// If two ticks are further apart than this, the process was paused.
    constexpr milliseconds pauseThreshold { 1500 };

    constexpr milliseconds engineTimeout { 2000 };

    std::optional<std::vector<policy::reported_model>> readReport(const http_response& reply)
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

    /// @return The position of a target among all targets that load the model, in an order that all sides compute alike.
    size_t rankOf(const configuration::state& state, const configuration::target& target, uint64_t revision)
    {
        const uint64_t ownHash = hashOf(target.name, revision);
        size_t rank = 0;
        for (const auto& [name, record] : state.of<configuration::target>()) {
            if (record.value->service == target.service && hashOf(name, revision) < ownHash)
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

/// One engine with its desired and reported models.
struct model_reconciler::engine {
    configuration::target target;
    std::vector<policy::desired_model> desired;
    std::vector<policy::reported_model> reported;
    std::shared_ptr<void> exchange;
    bool isBusy = false;
    bool isReconciled = false;
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
    std::map<std::string, std::unique_ptr<engine>> engines;
    for (const auto& [name, record] : state.of<configuration::target>()) {
        const auto service = state.find<configuration::service>(record.value->service);
        if (record.value->side != m_settings.advertise || !service || service->kind != configuration::service_kind::Engine)
            continue;
        auto newEngine = std::make_unique<engine>();
        newEngine->target = *record.value;
        if (const auto previous = m_engines.find(name); previous != m_engines.end())
            newEngine->reported = previous->second->reported;
        for (const auto& [modelName, model] : state.of<configuration::model>()) {
            if (model.value->service != record.value->service)
                continue;
            const wall_time since { milliseconds(model.appendedMs) };
            const size_t rank = rankOf(state, *record.value, model.revision);
            // Offsets start at zero, fencing tokens at one.
            newEngine->desired.push_back({ modelName, model.value->version, model.value->adapters, model.revision + 1, policy::loadStartTime(since, rank, model.value->weightBytes, m_settings.platform.weightBytesPerSecond) });
        }
        engines[name] = std::move(newEngine);
    }
    // Exchanges in progress belong to the previous desired models and are cancelled with them.
    m_engines = std::move(engines);
}

void model_reconciler::tick()
{
    detectPause();
    for (auto& [name, engine] : m_engines) {
        const bool isManaged = !engine->desired.empty() || !engine->reported.empty();
        if (isManaged && !engine->isBusy && !m_isStale)
            requestReport(*engine);
    }
}

void model_reconciler::detectPause()
{
    const time_point now = monotonicNow();
    const bool wasPaused = now - std::exchange(m_lastTick, now) > pauseThreshold;
    if (!wasPaused || m_isStale)
        return;
    logLine(log_level::Warning, logComponent, "This process was paused; it reads the configuration before it sends further orders.");
    m_metrics.count("pauses_total");
    m_isStale = true;
    for (auto& [name, engine] : m_engines) {
        engine->exchange.reset();
        engine->isBusy = false;
    }
    m_refresh([this] { m_isStale = false; });
}

void model_reconciler::requestReport(engine& engine)
{
    engine.isBusy = true;
    engine.exchange = m_http.send({ "GET", urlOf(engine.target.address, "/v1/models"), "", {}, false, engineTimeout }, [this, &engine](http_response reply) { handleReport(engine, reply); });
}

void model_reconciler::handleReport(engine& engine, const http_response& reply)
{
    engine.isBusy = false;
    detectPause();
    const auto report = readReport(reply);
    if (!report || m_isStale)
        return;
    engine.reported = *report;
    const auto order = policy::nextOrder(engine.desired, engine.reported, m_configurationOffset, wallNow());
    engine.isReconciled = !order;
    if (order)
        sendOrder(engine, *order);
}

void model_reconciler::sendOrder(engine& engine, const policy::engine_order& order)
{
    engine.isBusy = true;
    m_metrics.count("orders_total", { { "action", order.kind == policy::order_kind::Load ? "load" : "unload" } });
    logLine(log_level::Info, logComponent, "Sending an order to an engine.", { { "target", engine.target.name }, { "model", order.name }, { "version", order.version }, { "fence", std::to_string(order.fencingToken) } });
    http_request request { "POST", urlOf(engine.target.address, "/v1/orders"), dumpText(orderToJson(order)), {}, true, engineTimeout };
    // The response is only counted: the next report shows whether another order is needed.
    engine.exchange = m_http.send(request, [this, &engine](http_response reply) {
        engine.isBusy = false;
        m_metrics.count("order_answers_total", { { "status", std::to_string(reply.status) } });
    });
}

json model_reconciler::status() const
{
    json engines = json::array();
    for (const auto& [name, engine] : m_engines)
        engines.push_back({ { "target", name }, { "agreed", engine->isReconciled || engine->desired.empty() } });
    return engines;
}
}
