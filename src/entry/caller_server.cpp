#include "entry/caller_server.hpp"

#include "base/json_shape.hpp"
#include "base/json_text.hpp"
#include "entry/request_reader.hpp"
#include "telemetry/log.hpp"

#include <algorithm>
#include <glib.h>

namespace bilberryseam::entry {

using nlohmann::json;

namespace {
    constexpr std::string_view logComponent = "caller";
    constexpr std::string_view pipelinePath = "/v1/pipelines/";

    /// Another entry can take the request at once.
    constexpr milliseconds retryAfterStop { 1000 };

    /// Delay after which callers may retry if the entry holds too many connections or bytes.
    constexpr milliseconds retryWhenFull { 1000 };

    json outcomeToJson(const outcome& result, identifier id)
    {
        json body { { "outcome", nameOf(result.kind) }, { "request", id.toString() } };
        if (result.kind == outcome_kind::Answered) {
            body["output"] = result.output;
            return body;
        }
        body["reason"] = nameOf(result.reason);
        body["remedy"] = remedyOf(result);
        if (!result.stage.empty())
            body["stage"] = result.stage;
        if (!result.detail.empty())
            body["detail"] = result.detail;
        if (result.retryAfter.count() > 0)
            body["retryAfterMs"] = result.retryAfter.count();
        return body;
    }

    std::string eventText(std::string_view name, const json& data)
    {
        return "event: " + std::string(name) + "\ndata: " + dumpText(data) + "\n\n";
    }

    std::string jsonBody(const json& body)
    {
        return dumpText(body) + "\n";
    }

    http1::header_list headersOf(const outcome& result, identifier id)
    {
        http1::header_list headers { { "Content-Type", "application/json" }, { "Bilberryseam-Request", id.toString() }, { "Bilberryseam-Outcome", std::string(nameOf(result.kind)) } };
        if (result.retryAfter.count() > 0)
            headers.emplace_back("Retry-After", std::to_string(std::chrono::ceil<seconds>(result.retryAfter).count()));
        return headers;
    }

    std::string_view headerOf(const http1::exchange& exchange, std::string_view name)
    {
        return http1::findHeader(exchange.head().headers, name).value_or(std::string_view());
    }

    /// @return The path of a request target with its percent-encoded characters decoded; empty if they are malformed.
    std::string decodedPathOf(std::string_view target)
    {
        const std::string path(http1::pathOf(target));
        char* decoded = g_uri_unescape_string(path.c_str(), nullptr);
        std::string result = decoded ? decoded : "";
        g_free(decoded);
        return result;
    }

    /// @return The outcome of a request that was refused before it was received whole.
    outcome unreadOutcome(unsigned status, bool isEnding)
    {
        switch (status) {
        case http1::statusBodyTooLarge:
            return { outcome_kind::NotRun, outcome_reason::BodyTooLarge, "", milliseconds(0), "The body is larger than this entry allows.", {} };
        case http1::statusUnavailable:
            if (isEnding)
                return { outcome_kind::NotRun, outcome_reason::Stopping, "", retryAfterStop, "The request was not received before the end of the process.", {} };
            return { outcome_kind::NotRun, outcome_reason::Overloaded, "", retryWhenFull, "This entry has no room for the request.", {} };
        default:
            return { outcome_kind::NotRun, outcome_reason::BadRequest, "", milliseconds(0), "The request is malformed, too large, or was not received in time.", {} };
        }
    }
}

/// One HTTP request and its run.
class caller_server::exchange {
public:
    exchange(caller_server& server, std::shared_ptr<http1::exchange> connection)
        : m_server(server)
        , m_connection(std::move(connection))
    {
    }

    [[nodiscard]] http1::exchange& connection() noexcept { return *m_connection; }

    void run(request request)
    {
        m_isStreamed = request.isStreamed;
        m_id = request.id;
        m_arrivedAt = request.arrivedAt;
        m_pipeline = request.pipeline->name;
        m_account = request.account->name;
        m_connection->setOnDisconnect([this] { onCallerDisconnected(); });
        m_request = std::move(request);
        m_server.m_admission.submit(*m_request, [this](const admission_decision& decision) { handleAdmission(decision); });
    }

    void refuse(identifier id, const outcome& result)
    {
        m_id = id;
        m_arrivedAt = monotonicNow();
        m_isFinished = true;
        recordOutcome(result);
        respond(result);
        m_server.removeExchange(this);
    }

    void onCapacityChanged()
    {
        if (m_run)
            m_run->onCapacityChanged();
    }

    [[nodiscard]] bool isAdmitted() const noexcept { return static_cast<bool>(m_run); }

    /// Ends the request because the entry stops.
    void end()
    {
        if (!m_request || m_isFinished)
            return;
        m_connection->endConnection();
        cancel(outcome_reason::Stopping, retryAfterStop);
    }

private:
    void handleAdmission(const admission_decision& decision)
    {
        if (!decision.isAdmitted) {
            const outcome_reason reason = decision.isAccountLimit ? outcome_reason::AccountLimit : outcome_reason::Overloaded;
            finish({ outcome_kind::NotRun, reason, "", decision.retryAfter, "", {} });
            return;
        }
        m_request->admittedService = decision.service;
        m_admittedSince = monotonicNow();
        pipeline_run::callbacks callbacks;
        callbacks.onOutput = [this](std::string_view text) { writeOutput(text); };
        callbacks.onOutcome = [this](outcome result) {
            releaseSlot(result);
            finish(result);
        };
        m_run = std::make_shared<pipeline_run>(*m_request, m_server.m_context, std::move(callbacks));
        m_run->start();
    }

    /// Frees the admission slot of the request.
    void releaseSlot(const outcome& result)
    {
        const bool isAnswered = result.kind == outcome_kind::Answered;
        m_server.m_admission.finish(*m_request, isAnswered ? std::optional(asSeconds(monotonicNow() - m_admittedSince)) : std::nullopt);
    }

    void cancel(outcome_reason reason, milliseconds retryAfter = milliseconds(0))
    {
        if (m_run) {
            m_run->cancel(reason, retryAfter);
            return;
        }
        m_server.m_admission.cancel(*m_request);
        finish({ outcome_kind::NotRun, reason, "", retryAfter, "", {} });
    }

    void startStream()
    {
        m_hasStreamStarted = true;
        m_connection->endConnection();
        m_connection->startChunked(http1::statusOk, { { "Content-Type", "text/event-stream" }, { "Bilberryseam-Request", m_id.toString() } });
    }

    void writeOutput(std::string_view text)
    {
        if (!m_hasStreamStarted)
            startStream();
        m_connection->writeChunk(eventText("output", { { "text", text } }));
        if (m_connection->pendingBytes() > m_connection->pendingLimit(m_server.m_settings.limits.maxUnreadBytes))
            cancel(outcome_reason::SlowReader);
    }

    void finish(const outcome& result)
    {
        if (std::exchange(m_isFinished, true))
            return;
        recordOutcome(result);
        m_server.removeExchange(this);
        if (m_isCallerDisconnected)
            return;
        if (!m_hasStreamStarted && !(m_isStreamed && result.kind == outcome_kind::Answered))
            respond(result);
        else
            finishStream(result);
    }

    void finishStream(const outcome& result)
    {
        if (!m_hasStreamStarted)
            startStream();
        outcome finalOutcome = result;
        // The text has already been sent in output events.
        if (m_hasStreamStarted && finalOutcome.output.is_object())
            finalOutcome.output.erase("text");
        m_connection->writeChunk(eventText("outcome", outcomeToJson(finalOutcome, m_id)));
        m_connection->finishChunked();
    }

    void respond(const outcome& result)
    {
        m_connection->respond(httpStatusOf(result), headersOf(result, m_id), jsonBody(outcomeToJson(result, m_id)));
    }

    void recordOutcome(const outcome& result)
    {
        metrics& counters = m_server.m_context.counters;
        const std::string kind(nameOf(result.kind));
        counters.count("requests_total", { { "outcome", kind }, { "reason", std::string(nameOf(result.reason)) } });
        counters.observeSeconds("request_seconds", { { "pipeline", m_pipeline }, { "outcome", kind } }, asSeconds(monotonicNow() - m_arrivedAt));
        if (!m_account.empty())
            counters.count("account_requests_total", { { "account", m_account }, { "outcome", kind } });
        logLine(log_level::Info, logComponent, "Request finished.", { { "request", m_id.toString() }, { "outcome", kind }, { "reason", std::string(nameOf(result.reason)) }, { "stage", result.stage } });
    }

    void onCallerDisconnected()
    {
        if (std::exchange(m_isCallerDisconnected, true) || m_isFinished)
            return;
        cancel(outcome_reason::CallerDisconnected);
    }

    caller_server& m_server;
    std::shared_ptr<http1::exchange> m_connection;
    identifier m_id;
    time_point m_arrivedAt {};
    std::string m_pipeline;
    std::string m_account;
    std::optional<request> m_request;
    time_point m_admittedSince {};
    std::shared_ptr<pipeline_run> m_run;
    bool m_isStreamed = false;
    bool m_hasStreamStarted = false;
    bool m_isCallerDisconnected = false;
    bool m_isFinished = false;
};

caller_server::caller_server(const settings::entry_settings& settings, run_context& context, std::shared_ptr<client_memory_budget> memory, execution::pressure_report& pressure, callbacks callbacks)
    : m_settings(settings)
    , m_context(context)
    , m_callbacks(std::move(callbacks))
    , m_admission(context)
    , m_server(
          settings.listen, [this] { return serverLimits(); }, [this](std::shared_ptr<http1::exchange> connection) { handle(std::move(connection)); }, std::move(memory))
{
    m_server.setOnRefused([&pressure](unsigned status, std::string_view reason) { pressure.recordUnread(status, reason); });
    m_server.setRefusalBody([this](unsigned status, http1::header_list& headers) {
        const outcome result = unreadOutcome(status, m_isEnding);
        const identifier id = m_context.identifiers.next();
        m_context.counters.count("requests_total", { { "outcome", std::string(nameOf(result.kind)) }, { "reason", std::string(nameOf(result.reason)) } });
        for (auto& header : headersOf(result, id))
            headers.push_back(std::move(header));
        return jsonBody(outcomeToJson(result, id));
    });
}

caller_server::~caller_server() = default;

http1::server_limits caller_server::serverLimits() const
{
    http1::server_limits limits;
    limits.maxBodyBytes = m_settings.limits.maxBodyBytes;
    limits.maxConnections = m_settings.limits.maxConnections;
    limits.headerTimeout = m_settings.limits.receiveTimeout;
    limits.idleTimeout = m_settings.limits.idleTimeout;
    limits.bodyCopies = bodyCopies;
    return limits;
}

void caller_server::stopKeepingConnections() noexcept
{
    m_server.setCloseAfterResponse(true);
}

void caller_server::handle(std::shared_ptr<http1::exchange> connection)
{
    m_exchanges.push_back(std::make_unique<exchange>(*this, std::move(connection)));
    exchange& newExchange = *m_exchanges.back();
    try {
        handleRequest(newExchange);
    } catch (const std::exception& exception) {
        // One request must neither end the process nor leave its caller without a response.
        m_context.counters.count("internal_errors_total");
        logLine(log_level::Error, logComponent, "Handling a request threw an exception.", { { "detail", exception.what() } });
        newExchange.refuse({}, { outcome_kind::NotRun, outcome_reason::BadRequest, "", milliseconds(0), "The request cannot be handled.", {} });
    }
}

void caller_server::handleRequest(exchange& newExchange)
{
    const identifier id = m_context.identifiers.next();
    http1::exchange& connection = newExchange.connection();
    const std::string path = decodedPathOf(connection.head().target);
    if (!std::string_view(path).starts_with(pipelinePath) || connection.head().method != "POST") {
        newExchange.refuse(id, { outcome_kind::NotRun, outcome_reason::UnknownPipeline, "", milliseconds(0), "Use POST /v1/pipelines/NAME.", {} });
        return;
    }
    const configuration::state* state = m_callbacks.configuration();
    if (!state) {
        newExchange.refuse(id, { outcome_kind::NotRun, outcome_reason::NotReady, "", milliseconds(1000), "No configuration is in force here yet.", {} });
        return;
    }
    if (m_exchanges.size() > m_settings.limits.maxRequests) {
        newExchange.refuse(id, { outcome_kind::NotRun, outcome_reason::Overloaded, "", milliseconds(1000), "This entry has too many open requests.", {} });
        return;
    }
    const raw_request raw { std::string_view(path).substr(pipelinePath.size()), headerOf(connection, "Bilberryseam-Account"), headerOf(connection, "Bilberryseam-Deadline-Ms"),
        headerOf(connection, "Idempotency-Key"), headerOf(connection, "Bilberryseam-Priority"), connection.body() };
    const json_shape shape = shapeOf(raw.body);
    if (shape.isTooDeep) {
        newExchange.refuse(id, { outcome_kind::NotRun, outcome_reason::BadRequest, "", milliseconds(0), "The body is nested too deeply.", {} });
        return;
    }
    if (!connection.holdBody(bodyCopies * raw.body.size() + bytesPerJsonValue * shape.values)) {
        newExchange.refuse(id, { outcome_kind::NotRun, outcome_reason::Overloaded, "", retryWhenFull, "This entry has no room for the request.", {} });
        return;
    }
    auto requestOrRefusal = readRequest(raw, *state, m_settings.limits, id, monotonicNow(), wallNow());
    if (const auto* refusal = std::get_if<outcome>(&requestOrRefusal))
        newExchange.refuse(id, *refusal);
    else
        newExchange.run(std::get<request>(std::move(requestOrRefusal)));
}

void caller_server::removeExchange(exchange* finishedExchange)
{
    // The exchange may be on the call stack, so it is destroyed when the main loop is idle.
    const auto it = std::find_if(m_exchanges.begin(), m_exchanges.end(), [finishedExchange](const auto& item) { return item.get() == finishedExchange; });
    if (it == m_exchanges.end())
        return;
    m_finishedExchanges.splice(m_finishedExchanges.end(), m_exchanges, it);
    m_cleanupTimer.startWhenIdle([this] { m_finishedExchanges.clear(); });
}

size_t caller_server::openRequests() const noexcept
{
    return std::max(m_exchanges.size(), m_server.unfinishedConnections());
}

void caller_server::endRequests()
{
    // Ended exchanges are destroyed when the main loop is idle.
    std::vector<exchange*> exchanges;
    for (const auto& item : m_exchanges)
        exchanges.push_back(item.get());
    // A request that waits for admission must not start in place of one that has ended.
    std::stable_partition(exchanges.begin(), exchanges.end(), [](const exchange* item) { return !item->isAdmitted(); });
    for (exchange* item : exchanges)
        item->end();
    m_isEnding = true;
    m_server.refuseUnfinishedRequests({});
}

void caller_server::onCapacityChanged()
{
    if (m_capacityTimer.isRunning())
        return;
    m_capacityTimer.startWhenIdle([this] {
        m_admission.onCapacityChanged();
        for (const auto& exchange : m_exchanges)
            exchange->onCapacityChanged();
    });
}
}
