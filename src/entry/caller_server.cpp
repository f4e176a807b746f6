#include "entry/caller_server.hpp"
#include "base/json_text.hpp"

#include "entry/request_reader.hpp"
#include "loop/disconnect_watch.hpp"
#include "telemetry/log.hpp"

#include <algorithm>
#include <cerrno>
#include <sys/socket.h>

namespace bilberryseam::entry {

using nlohmann::json;

namespace {
    constexpr std::string_view logComponent = "caller";
    constexpr std::string_view pipelinePath = "/v1/pipelines/";

    /// Another entry can take the request at once.
    constexpr milliseconds retryAfterStop { 1000 };

    constexpr const char* exchangeKey = "bilberryseam-exchange";

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

    void setRetryAfter(SoupServerMessage* message, milliseconds retryAfter)
    {
        if (retryAfter.count() <= 0)
            return;
        const auto wholeSeconds = std::chrono::ceil<seconds>(retryAfter).count();
        soup_message_headers_replace(soup_server_message_get_response_headers(message), "Retry-After", std::to_string(wholeSeconds).c_str());
    }
}

/// One HTTP request and its run.
class caller_server::exchange {
public:
    exchange(caller_server& server, SoupServerMessage* message)
        : m_server(server)
        , m_message(gobject_ptr<SoupServerMessage>::share(message))
    {
        ++m_server.m_receiving;
        g_object_set_data(G_OBJECT(message), exchangeKey, this);
        m_finishedHandler = g_signal_connect(message, "finished", G_CALLBACK(+[](SoupServerMessage*, gpointer self) { static_cast<exchange*>(self)->onMessageFinished(); }), this);
        m_bodyWrittenHandler = g_signal_connect(message, "wrote-body-data", G_CALLBACK(+[](SoupServerMessage*, guint count, gpointer self) { static_cast<exchange*>(self)->onBodyWritten(count); }), this);
    }

    ~exchange()
    {
        g_signal_handler_disconnect(m_message.get(), m_finishedHandler);
        g_signal_handler_disconnect(m_message.get(), m_bodyWrittenHandler);
    }

    /// The request has been read, or never will be.
    void stopReceiving()
    {
        if (std::exchange(m_isReceiving, false))
            --m_server.m_receiving;
    }

    void run(request request)
    {
        m_isStreamed = request.isStreamed;
        m_id = request.id;
        m_arrivedAt = request.arrivedAt;
        m_pipeline = request.pipeline->name;
        m_account = request.account->name;
        soup_server_message_pause(m_message.get());
        m_disconnectWatch.emplace(m_message.get(), [this] { onCallerDisconnected(); });
        m_request = std::move(request);
        m_server.m_admission.submit(*m_request, [this](const admission_decision& decision) { handleAdmission(decision); });
    }

    void refuse(identifier id, const outcome& result)
    {
        m_id = id;
        m_arrivedAt = monotonicNow();
        recordOutcome(result);
        respond(result);
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
        if (m_request && !m_isFinished)
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
        auto* headers = soup_server_message_get_response_headers(m_message.get());
        soup_server_message_set_status(m_message.get(), 200, nullptr);
        // The outcome event and the end of the connection delimit the stream: chunked encoding would take three writes per token.
        soup_message_headers_set_encoding(headers, SOUP_ENCODING_EOF);
        soup_message_headers_replace(headers, "Content-Type", "text/event-stream");
        soup_message_headers_replace(headers, "Bilberryseam-Request", m_id.toString().c_str());
        soup_message_body_set_accumulate(soup_server_message_get_response_body(m_message.get()), FALSE);
    }

    void writeOutput(std::string_view text)
    {
        if (!m_hasStreamStarted)
            startStream();
        append(eventText("output", { { "text", text } }));
        if (m_unreadBytes > m_server.m_settings.limits.maxUnreadBytes)
            cancel(outcome_reason::SlowReader);
    }

    void append(const std::string& bytes)
    {
        m_unreadBytes += bytes.size();
        soup_message_body_append(soup_server_message_get_response_body(m_message.get()), SOUP_MEMORY_COPY, bytes.data(), bytes.size());
        soup_server_message_unpause(m_message.get());
    }

    void onBodyWritten(size_t count)
    {
        m_unreadBytes -= std::min(m_unreadBytes, count);
    }

    void finish(const outcome& result)
    {
        if (std::exchange(m_isFinished, true))
            return;
        recordOutcome(result);
        m_disconnectWatch.reset();
        if (m_isCallerDisconnected)
            return;
        if (!m_hasStreamStarted && !(m_isStreamed && result.kind == outcome_kind::Answered)) {
            respond(result);
        } else {
            finishStream(result);
        }
        soup_server_message_unpause(m_message.get());
    }

    void finishStream(const outcome& result)
    {
        if (!m_hasStreamStarted)
            startStream();
        outcome finalOutcome = result;
        // The text has already been sent in output events.
        if (m_hasStreamStarted && finalOutcome.output.is_object())
            finalOutcome.output.erase("text");
        append(eventText("outcome", outcomeToJson(finalOutcome, m_id)));
        soup_message_body_complete(soup_server_message_get_response_body(m_message.get()));
    }

    void respond(const outcome& result)
    {
        if (m_server.m_isStopping)
            soup_message_headers_replace(soup_server_message_get_response_headers(m_message.get()), "Connection", "close");
        setRetryAfter(m_message.get(), result.retryAfter);
        soup_message_headers_replace(soup_server_message_get_response_headers(m_message.get()), "Bilberryseam-Request", m_id.toString().c_str());
        soup_message_headers_replace(soup_server_message_get_response_headers(m_message.get()), "Bilberryseam-Outcome", std::string(nameOf(result.kind)).c_str());
        setJsonResponse(m_message.get(), httpStatusOf(result), outcomeToJson(result, m_id));
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
        if (std::exchange(m_isCallerDisconnected, true))
            return;
        cancel(outcome_reason::CallerDisconnected);
        // Writing the remaining data fails, which makes libsoup finish the message.
        if (m_hasStreamStarted)
            soup_message_body_complete(soup_server_message_get_response_body(m_message.get()));
        soup_server_message_unpause(m_message.get());
    }

    void onMessageFinished()
    {
        if (m_request && !m_isFinished && !std::exchange(m_isCallerDisconnected, true))
            cancel(outcome_reason::CallerDisconnected);
        stopReceiving();
        m_server.removeExchange(this);
    }

    caller_server& m_server;
    gobject_ptr<SoupServerMessage> m_message;
    gulong m_finishedHandler = 0;
    gulong m_bodyWrittenHandler = 0;
    identifier m_id;
    time_point m_arrivedAt {};
    std::string m_pipeline;
    std::string m_account;
    std::optional<request> m_request;
    time_point m_admittedSince {};
    std::shared_ptr<pipeline_run> m_run;
    std::optional<disconnect_watch> m_disconnectWatch;
    size_t m_unreadBytes = 0;
    bool m_isReceiving = true;
    bool m_isStreamed = false;
    bool m_hasStreamStarted = false;
    bool m_isCallerDisconnected = false;
    bool m_isFinished = false;
};

caller_server::caller_server(const settings::entry_settings& settings, run_context& context, callbacks callbacks)
    : m_settings(settings)
    , m_context(context)
    , m_callbacks(std::move(callbacks))
    , m_admission(context)
    , m_server(gobject_ptr<SoupServer>::adopt(soup_server_new(nullptr, nullptr)))
{
    soup_server_add_early_handler(m_server.get(), "/", &caller_server::startReceiving, this, nullptr);
    soup_server_add_handler(m_server.get(), "/", &caller_server::handle, this, nullptr);
    listenOn(m_server.get(), settings.listen);
}

caller_server::~caller_server()
{
    soup_server_disconnect(m_server.get());
}

void caller_server::startReceiving(SoupServer*, SoupServerMessage* message, const char*, GHashTable*, gpointer self)
{
    auto* server = static_cast<caller_server*>(self);
    server->m_exchanges.push_back(std::make_unique<exchange>(*server, message));
}

void caller_server::handle(SoupServer*, SoupServerMessage* message, const char* path, GHashTable*, gpointer self)
{
    auto* server = static_cast<caller_server*>(self);
    exchange& newExchange = *static_cast<exchange*>(g_object_get_data(G_OBJECT(message), exchangeKey));
    newExchange.stopReceiving();
    try {
        server->handleRequest(newExchange, message, path);
    } catch (const std::exception& exception) {
        // One request must neither end the process nor leave its caller without a response.
        server->m_context.counters.count("internal_errors_total");
        logLine(log_level::Error, logComponent, "Handling a request threw an exception.", { { "detail", exception.what() } });
        newExchange.refuse({}, { outcome_kind::NotRun, outcome_reason::BadRequest, "", milliseconds(0), "The request cannot be handled.", {} });
    }
}

void caller_server::handleRequest(exchange& newExchange, SoupServerMessage* message, std::string_view path)
{
    const identifier id = m_context.identifiers.next();
    if (!path.starts_with(pipelinePath) || std::string_view(soup_server_message_get_method(message)) != "POST") {
        newExchange.refuse(id, { outcome_kind::NotRun, outcome_reason::UnknownPipeline, "", milliseconds(0), "Use POST /v1/pipelines/NAME.", {} });
        return;
    }
    const configuration::state* state = m_callbacks.configuration();
    if (!state) {
        newExchange.refuse(id, { outcome_kind::NotRun, outcome_reason::NotReady, "", milliseconds(1000), "No configuration is in force here yet.", {} });
        return;
    }
    if (m_exchanges.size() - m_receiving > m_settings.limits.maxRequests) {
        newExchange.refuse(id, { outcome_kind::NotRun, outcome_reason::Overloaded, "", milliseconds(1000), "This entry has too many open requests.", {} });
        return;
    }
    const raw_request raw { path.substr(pipelinePath.size()), headerOf(message, "Bilberryseam-Account"), headerOf(message, "Bilberryseam-Deadline-Ms"),
        headerOf(message, "Idempotency-Key"), headerOf(message, "Bilberryseam-Priority"), bodyOf(message) };
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

bool caller_server::stopListening()
{
    if (!m_isListening)
        return true;
    const std::unique_ptr<GSList, decltype(&g_slist_free)> listeners(soup_server_get_listeners(m_server.get()), &g_slist_free);
    for (const GSList* item = listeners.get(); item; item = item->next) {
        if (g_socket_condition_check(static_cast<GSocket*>(item->data), G_IO_IN) != 0)
            return false;
    }
    for (const GSList* item = listeners.get(); item; item = item->next) {
        // soup_server_disconnect would also close the connections, and g_socket_shutdown refuses a listening socket.
        if (::shutdown(g_socket_get_fd(static_cast<GSocket*>(item->data)), SHUT_RD) != 0)
            logLine(log_level::Error, logComponent, "A listening socket cannot be closed.", { { "detail", g_strerror(errno) } });
    }
    m_isListening = false;
    return true;
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
