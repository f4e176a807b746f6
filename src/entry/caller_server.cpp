#include "entry/caller_server.hpp"
#include "base/json_text.hpp"

#include "entry/request_reader.hpp"
#include "loop/disconnect_watch.hpp"
#include "telemetry/log.hpp"

namespace bilberryseam::entry {

using nlohmann::json;

namespace {
    constexpr std::string_view part = "caller";
    constexpr std::string_view pipelinePath = "/v1/pipelines/";

    json outcomeToJson(const outcome& told, identifier id)
    {
        json body { { "outcome", nameOf(told.kind) }, { "request", id.toString() } };
        if (told.kind == outcome_kind::Answered) {
            body["output"] = told.output;
            return body;
        }
        body["reason"] = nameOf(told.reason);
        body["remedy"] = remedyOf(told);
        if (!told.stage.empty())
            body["stage"] = told.stage;
        if (!told.detail.empty())
            body["detail"] = told.detail;
        if (told.retryAfter.count() > 0)
            body["retryAfterMs"] = told.retryAfter.count();
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
        const auto whole = std::chrono::ceil<seconds>(retryAfter).count();
        soup_message_headers_replace(soup_server_message_get_response_headers(message), "Retry-After", std::to_string(whole).c_str());
    }
}

/// One HTTP request and its run.
class caller_server::exchange {
public:
    exchange(caller_server& server, SoupServerMessage* message)
        : m_server(server)
        , m_message(gobject_ptr<SoupServerMessage>::share(message))
    {
        m_finished = g_signal_connect(message, "finished", G_CALLBACK(+[](SoupServerMessage*, gpointer self) { static_cast<exchange*>(self)->messageFinished(); }), this);
        m_wrote = g_signal_connect(message, "wrote-body-data", G_CALLBACK(+[](SoupServerMessage*, guint count, gpointer self) { static_cast<exchange*>(self)->wroteBody(count); }), this);
    }

    ~exchange()
    {
        g_signal_handler_disconnect(m_message.get(), m_finished);
        g_signal_handler_disconnect(m_message.get(), m_wrote);
    }

    void run(request asked)
    {
        m_isStreamed = asked.isStreamed;
        m_id = asked.id;
        m_arrivedAt = asked.arrivedAt;
        m_pipeline = asked.pipeline->name;
        m_account = asked.account->name;
        soup_server_message_pause(m_message.get());
        m_watch.emplace(m_message.get(), [this] { callerGone(); });
        m_asked = std::move(asked);
        m_server.m_admission.submit(*m_asked, [this](const admission_decision& reply) { takeAdmission(reply); });
    }

    void refuse(identifier id, const outcome& told)
    {
        m_id = id;
        m_arrivedAt = monotonicNow();
        count(told);
        reply(told);
    }

    void capacityChanged()
    {
        if (m_run)
            m_run->onCapacityChanged();
    }

private:
    void takeAdmission(const admission_decision& reply)
    {
        if (!reply.isAdmitted) {
            const outcome_reason reason = reply.isAccountLimit ? outcome_reason::AccountLimit : outcome_reason::Overloaded;
            finish({ outcome_kind::NotRun, reason, "", reply.retryAfter, "", {} });
            return;
        }
        m_asked->admittedService = reply.service;
        m_admittedSince = monotonicNow();
        pipeline_run::callbacks calls;
        calls.onOutput = [this](std::string_view text) { writeOutput(text); };
        calls.onOutcome = [this](outcome told) {
            giveBack(told);
            finish(told);
        };
        m_run = std::make_shared<pipeline_run>(*m_asked, m_server.m_context, std::move(calls));
        m_run->start();
    }

    /// Frees the place that the request held.
    void giveBack(const outcome& told)
    {
        const bool isAnswered = told.kind == outcome_kind::Answered;
        m_server.m_admission.finish(*m_asked, isAnswered ? std::optional(asSeconds(monotonicNow() - m_admittedSince)) : std::nullopt);
    }

    /// The caller does not wait any more.
    void abandon(outcome_reason reason)
    {
        if (m_run) {
            m_run->cancel(reason);
            return;
        }
        m_server.m_admission.cancel(*m_asked);
        finish({ outcome_kind::NotRun, reason, "", milliseconds(0), "", {} });
    }

    void startStream()
    {
        m_hasStreamStarted = true;
        auto* headers = soup_server_message_get_response_headers(m_message.get());
        soup_server_message_set_status(m_message.get(), 200, nullptr);
        // Delimited by its outcome event and the connection's end: a chunk would cost three writes for each token.
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
            abandon(outcome_reason::SlowReader);
    }

    void append(const std::string& bytes)
    {
        m_unreadBytes += bytes.size();
        soup_message_body_append(soup_server_message_get_response_body(m_message.get()), SOUP_MEMORY_COPY, bytes.data(), bytes.size());
        soup_server_message_unpause(m_message.get());
    }

    void wroteBody(size_t count)
    {
        m_unreadBytes -= std::min(m_unreadBytes, count);
    }

    void finish(const outcome& told)
    {
        if (std::exchange(m_isOver, true))
            return;
        count(told);
        m_watch.reset();
        if (m_isCallerGone)
            return;
        if (!m_hasStreamStarted && !(m_isStreamed && told.kind == outcome_kind::Answered)) {
            reply(told);
        } else {
            finishStream(told);
        }
        soup_server_message_unpause(m_message.get());
    }

    void finishStream(const outcome& told)
    {
        if (!m_hasStreamStarted)
            startStream();
        outcome shown = told;
        // The text went out piece by piece already.
        if (m_hasStreamStarted && shown.output.is_object())
            shown.output.erase("text");
        append(eventText("outcome", outcomeToJson(shown, m_id)));
        soup_message_body_complete(soup_server_message_get_response_body(m_message.get()));
    }

    void reply(const outcome& told)
    {
        setRetryAfter(m_message.get(), told.retryAfter);
        soup_message_headers_replace(soup_server_message_get_response_headers(m_message.get()), "Bilberryseam-Request", m_id.toString().c_str());
        soup_message_headers_replace(soup_server_message_get_response_headers(m_message.get()), "Bilberryseam-Outcome", std::string(nameOf(told.kind)).c_str());
        replyJson(m_message.get(), httpStatusOf(told), outcomeToJson(told, m_id));
    }

    void count(const outcome& told)
    {
        metrics& counters = m_server.m_context.counters;
        const std::string kind(nameOf(told.kind));
        counters.count("requests_total", { { "outcome", kind }, { "reason", std::string(nameOf(told.reason)) } });
        counters.observeSeconds("request_seconds", { { "pipeline", m_pipeline }, { "outcome", kind } }, asSeconds(monotonicNow() - m_arrivedAt));
        if (!m_account.empty())
            counters.count("account_requests_total", { { "account", m_account }, { "outcome", kind } });
        logLine(log_level::Info, part, "A request ended.", { { "request", m_id.toString() }, { "outcome", kind }, { "reason", std::string(nameOf(told.reason)) }, { "stage", told.stage } });
    }

    void callerGone()
    {
        if (std::exchange(m_isCallerGone, true))
            return;
        abandon(outcome_reason::CallerDisconnected);
        // Writing the rest fails, which finishes the message.
        if (m_hasStreamStarted)
            soup_message_body_complete(soup_server_message_get_response_body(m_message.get()));
        soup_server_message_unpause(m_message.get());
    }

    void messageFinished()
    {
        if (m_asked && !m_isOver && !std::exchange(m_isCallerGone, true))
            abandon(outcome_reason::CallerDisconnected);
        m_server.drop(this);
    }

    caller_server& m_server;
    gobject_ptr<SoupServerMessage> m_message;
    gulong m_finished = 0;
    gulong m_wrote = 0;
    identifier m_id;
    time_point m_arrivedAt {};
    std::string m_pipeline;
    std::string m_account;
    std::optional<request> m_asked;
    time_point m_admittedSince {};
    std::shared_ptr<pipeline_run> m_run;
    std::optional<disconnect_watch> m_watch;
    size_t m_unreadBytes = 0;
    bool m_isStreamed = false;
    bool m_hasStreamStarted = false;
    bool m_isCallerGone = false;
    bool m_isOver = false;
};

caller_server::caller_server(const settings::entry_settings& settings, run_context& context, callbacks calls)
    : m_settings(settings)
    , m_context(context)
    , m_calls(std::move(calls))
    , m_admission(context)
    , m_server(gobject_ptr<SoupServer>::adopt(soup_server_new(nullptr, nullptr)))
{
    soup_server_add_handler(m_server.get(), "/", &caller_server::handle, this, nullptr);
    listenOn(m_server.get(), settings.listen);
}

caller_server::~caller_server()
{
    soup_server_disconnect(m_server.get());
}

void caller_server::handle(SoupServer*, SoupServerMessage* message, const char* path, GHashTable*, gpointer self)
{
    auto* server = static_cast<caller_server*>(self);
    exchange& opened = *server->m_exchanges.emplace_back(std::make_unique<exchange>(*server, message));
    try {
        server->takeRequest(opened, message, path);
    } catch (const std::exception& problem) {
        // One strange request must not end the process, nor leave its caller waiting.
        server->m_context.counters.count("internal_errors_total");
        logLine(log_level::Error, part, "A request broke the entry.", { { "detail", problem.what() } });
        opened.refuse({}, { outcome_kind::NotRun, outcome_reason::BadRequest, "", milliseconds(0), "The request cannot be handled.", {} });
    }
}

void caller_server::takeRequest(exchange& opened, SoupServerMessage* message, std::string_view path)
{
    const identifier id = m_context.identifiers.next();
    if (!path.starts_with(pipelinePath) || std::string_view(soup_server_message_get_method(message)) != "POST") {
        opened.refuse(id, { outcome_kind::NotRun, outcome_reason::UnknownPipeline, "", milliseconds(0), "Use POST /v1/pipelines/NAME.", {} });
        return;
    }
    const configuration::state* state = m_calls.configuration();
    if (!state) {
        opened.refuse(id, { outcome_kind::NotRun, outcome_reason::NotReady, "", milliseconds(1000), "No configuration is in force here yet.", {} });
        return;
    }
    if (m_exchanges.size() > m_settings.limits.maxRequests) {
        opened.refuse(id, { outcome_kind::NotRun, outcome_reason::Overloaded, "", milliseconds(1000), "This entry has too many open requests.", {} });
        return;
    }
    const raw_request raw { path.substr(pipelinePath.size()), headerOf(message, "Bilberryseam-Account"), headerOf(message, "Bilberryseam-Deadline-Ms"),
        headerOf(message, "Idempotency-Key"), headerOf(message, "Bilberryseam-Priority"), bodyOf(message) };
    auto read = readRequest(raw, *state, m_settings.limits, id, monotonicNow(), wallNow());
    if (const auto* refused = std::get_if<outcome>(&read))
        opened.refuse(id, *refused);
    else
        opened.run(std::get<request>(std::move(read)));
}

void caller_server::drop(exchange* ended)
{
    // The exchange may be the one that is reporting; it is freed when the loop is back.
    const auto found = std::find_if(m_exchanges.begin(), m_exchanges.end(), [ended](const auto& item) { return item.get() == ended; });
    if (found == m_exchanges.end())
        return;
    m_ended.splice(m_ended.end(), m_exchanges, found);
    m_cleanup.startWhenIdle([this] { m_ended.clear(); });
}

void caller_server::onCapacityChanged()
{
    if (m_capacity.isRunning())
        return;
    m_capacity.startWhenIdle([this] {
        m_admission.onCapacityChanged();
        for (const auto& open : m_exchanges)
            open->capacityChanged();
    });
}
}
