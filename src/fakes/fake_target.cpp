#include "fakes/fake_target.hpp"
#include "base/json_text.hpp"

#include "base/hash.hpp"
#include "fakes/soup_faults.hpp"
#include "loop/disconnect_watch.hpp"

namespace bilberryseam::fakes {

using nlohmann::json;

namespace {
    constexpr uint32_t defaultTokens = 16;

    /// Tokens of a stream without pauses that are sent in one go, so that long streams do not block the process.
    constexpr uint32_t tokensPerBlock = 500;

    /// Words depend only on the prompt and their index, so that tests can compare a resumed stream with a complete one.
    std::string wordAt(const std::string& prompt, uint32_t index)
    {
        return "w" + std::to_string(hashOf(prompt, index) % 1000) + " ";
    }

    std::string eventText(const json& data)
    {
        return "data: " + dumpText(data) + "\n\n";
    }

    std::string tokenEvent(const std::string& prompt, uint32_t index)
    {
        return eventText({ { "choices", json::array({ { { "text", wordAt(prompt, index) } } }) } });
    }
}

/// A streamed response in progress.
struct fake_target::stream {
    gobject_ptr<SoupServerMessage> message;
    std::string prompt;
    uint32_t nextToken = 0;
    uint32_t count = 0;
    uint32_t sentTokens = 0;
    /// Zero once the pause has begun.
    milliseconds silence { 0 };
    uint32_t silentToken = 0;
    /// Rest of the event within which the stream paused.
    std::string heldBytes;
    bool isComplete = false;
    timer tokenTimer;
    std::optional<disconnect_watch> disconnectWatch;
};

fake_target::fake_target(std::string name, target_kind kind, ip_endpoint listen, target_behaviour behaviour)
    : m_name(std::move(name))
    , m_kind(kind)
    , m_listen(std::move(listen))
    , m_behaviour(std::move(behaviour))
{
    startServer();
}

fake_target::~fake_target() = default;

void fake_target::startServer()
{
    m_server = gobject_ptr<SoupServer>::adopt(soup_server_new(nullptr, nullptr));
    soup_server_add_handler(m_server.get(), "/", &fake_target::handle, this, nullptr);
    listenOn(m_server.get(), m_listen);
}

void fake_target::crash()
{
    ++m_crashes;
    m_running = 0;
    // The server may be handling the request that causes the crash, so it is disconnected in the next loop iteration.
    m_restartTimer.startOnce(milliseconds(0), [this] {
        soup_server_disconnect(m_server.get());
        for (auto& [raw, open] : m_streams)
            g_signal_handlers_disconnect_by_data(open->message.get(), this);
        m_streams.clear();
        m_restartTimer.startOnce(m_behaviour.restartTime, [this] { startServer(); });
    });
}

void fake_target::handle(SoupServer*, SoupServerMessage* message, const char* path, GHashTable*, gpointer self)
{
    if (std::string_view(path) == "/health")
        setJsonResponse(message, 200, { { "healthy", true } });
    else if (std::string_view(path) == "/v1/models")
        static_cast<fake_target*>(self)->reportModels(message);
    else if (std::string_view(path) == "/v1/orders")
        static_cast<fake_target*>(self)->handleOrder(message);
    else
        static_cast<fake_target*>(self)->handleCall(message);
}

void fake_target::reportModels(SoupServerMessage* message)
{
    json models = json::array();
    for (const auto& [name, version] : m_models)
        models.push_back({ { "name", name }, { "version", version } });
    setJsonResponse(message, 200, { { "models", models } });
}

void fake_target::handleOrder(SoupServerMessage* message)
{
    const json order = json::parse(bodyOf(message));
    const uint64_t fencingToken = order.at("fence");
    const bool isOutdated = fencingToken < m_fencingToken;
    m_orders.push_back({ { "action", order.at("action") }, { "name", order.at("name") }, { "version", order.at("version") }, { "fence", fencingToken }, { "old", isOutdated } });
    if (m_behaviour.checksFencingToken && isOutdated) {
        setJsonResponse(message, 409, { { "fence", m_fencingToken } });
        return;
    }
    m_fencingToken = std::max(m_fencingToken, fencingToken);
    if (m_behaviour.ignoredOrders > 0) {
        --m_behaviour.ignoredOrders;
        setJsonResponse(message, 200, json::object());
        return;
    }
    if (order.at("action") == "load")
        m_models[order.at("name")] = order.at("version");
    else
        m_models.erase(order.at("name").get<std::string>());
    if (m_behaviour.lostOrderResponses > 0) {
        --m_behaviour.lostOrderResponses;
        dropConnection(message);
        return;
    }
    setJsonResponse(message, 200, json::object());
}

void fake_target::recordRun(SoupServerMessage* message)
{
    ++m_runs;
    const std::string key(headerOf(message, "Idempotency-Key"));
    if (!key.empty())
        ++m_runsByKey[key];
    ++m_runsByRequest[std::string(headerOf(message, "X-Request-Id"))];
}

void fake_target::handleCall(SoupServerMessage* message)
{
    const std::string_view body = bodyOf(message);
    recordRun(message);
    if (!m_behaviour.poison.empty() && body.find(m_behaviour.poison) != std::string_view::npos) {
        soup_server_message_pause(message);
        crash();
        return;
    }
    if (m_behaviour.isFrozen) {
        soup_server_message_pause(message);
        return;
    }
    if (m_behaviour.lostResponses > 0) {
        --m_behaviour.lostResponses;
        dropConnection(message);
        return;
    }
    const json request = json::parse(body, nullptr, false);
    if (m_behaviour.failureStatus > 0 || !request.is_object()) {
        if (!m_behaviour.retryAfter.empty())
            soup_message_headers_replace(soup_server_message_get_response_headers(message), "Retry-After", m_behaviour.retryAfter.c_str());
        setJsonResponse(message, m_behaviour.failureStatus > 0 ? m_behaviour.failureStatus : 400, { { "error", "told to fail" } });
        return;
    }
    if (m_kind == target_kind::Engine)
        startStream(message, request);
    else
        respond(message, request);
}

void fake_target::respond(SoupServerMessage* message, const json& request)
{
    const json output = outputFor(request);
    const milliseconds latency = m_behaviour.latency + drawSilence();
    if (latency.count() == 0) {
        setJsonResponse(message, 200, output);
        return;
    }
    m_maxRunning = std::max(m_maxRunning, ++m_running);
    respondLater(message, latency, [this, output] {
        m_running -= std::min(m_running, 1u);
        return std::pair(200u, output);
    });
}

json fake_target::outputFor(const json& request) const
{
    const json input = request.value("input", json());
    const json previous = request.value("previous", json());
    const std::string prompt = input.dump();
    switch (m_kind) {
    case target_kind::Encoder:
        return { { "embedding", { hashOf(prompt) % 100, hashOf(prompt, 1) % 100, hashOf(prompt, 2) % 100 } } };
    case target_kind::Retriever: {
        json documents = json::array();
        for (int i = 0; i < 3; ++i)
            documents.push_back("document " + std::to_string(hashOf(previous.dump(), i) % 1000));
        return { { "documents", documents } };
    }
    case target_kind::Reranker: {
        const json documents = previous.is_object() ? previous.value("documents", json::array()) : json::array();
        return { { "context", documents.empty() ? json("") : documents.front() } };
    }
    case target_kind::Plain:
    case target_kind::Engine:
        break;
    }
    return { { "confirmed", true }, { "target", m_name }, { "echo", input } };
}

void fake_target::startStream(SoupServerMessage* message, const json& request)
{
    auto newStream = std::make_unique<stream>();
    stream* open = newStream.get();
    open->message = gobject_ptr<SoupServerMessage>::share(message);
    open->prompt = request.value("prompt", "");
    open->count = request.value("max_tokens", defaultTokens);
    const std::string resumeText = request.value("resume_text", "");
    open->nextToken = static_cast<uint32_t>(std::count(resumeText.begin(), resumeText.end(), ' '));
    open->silence = drawSilence();
    if (open->silence.count() > 0)
        open->silentToken = open->nextToken + m_behaviour.silence.afterTokens.value_or(static_cast<uint32_t>(m_random() % std::max(1u, open->count - std::min(open->count, open->nextToken))));
    g_signal_connect(message, "finished", G_CALLBACK(+[](SoupServerMessage* ended, gpointer self) {
        auto* owner = static_cast<fake_target*>(self);
        if (stream* const found = owner->findStream(ended))
            owner->onStreamFinished(found); }),
        this);
    g_signal_connect(message, "wrote-chunk", G_CALLBACK(+[](SoupServerMessage* written, gpointer self) {
        auto* owner = static_cast<fake_target*>(self);
        if (stream* const found = owner->findStream(written))
            owner->onBlockWritten(*found); }),
        this);
    m_streams[open] = std::move(newStream);
    m_maxRunning = std::max(m_maxRunning, ++m_running);
    auto* headers = soup_server_message_get_response_headers(message);
    soup_server_message_set_status(message, 200, nullptr);
    soup_message_headers_set_encoding(headers, SOUP_ENCODING_CHUNKED);
    soup_message_headers_replace(headers, "Content-Type", "text/event-stream");
    soup_message_body_set_accumulate(soup_server_message_get_response_body(message), FALSE);
    soup_server_message_pause(message);
    open->disconnectWatch.emplace(message, [this, open] {
        ++m_cancelled;
        open->isComplete = true;
        open->tokenTimer.stop();
        // Writing the remaining data fails, which finishes the message.
        soup_message_body_complete(soup_server_message_get_response_body(open->message.get()));
        soup_server_message_unpause(open->message.get());
    });
    open->tokenTimer.startOnce(m_behaviour.latency, [this, open] { startTokens(*open); });
}

void fake_target::startTokens(stream& open)
{
    if (m_behaviour.tokenTime.count() == 0) {
        sendTokens(open, tokensPerBlock);
        return;
    }
    open.tokenTimer.startEvery(m_behaviour.tokenTime, [this, &open] { sendTokens(open, 1); });
    sendTokens(open, 1);
}

fake_target::stream* fake_target::findStream(const SoupServerMessage* message)
{
    const auto found = std::find_if(m_streams.begin(), m_streams.end(), [&](const auto& item) { return item.second->message.get() == message; });
    return found == m_streams.end() ? nullptr : found->first;
}

void fake_target::onBlockWritten(stream& open)
{
    // A running timer continues the stream itself.
    if (!open.isComplete && !open.tokenTimer.isRunning())
        open.tokenTimer.startOnce(milliseconds(0), [this, &open] { sendTokens(open, tokensPerBlock); });
}

std::string fake_target::startSilence(stream& open, std::string bytes)
{
    const milliseconds silence = std::exchange(open.silence, milliseconds(0));
    if (m_behaviour.silence.isInsideEvent) {
        const std::string event = tokenEvent(open.prompt, open.nextToken++);
        ++open.sentTokens;
        bytes += event.substr(0, event.size() / 2);
        open.heldBytes = event.substr(event.size() / 2);
    }
    open.tokenTimer.startOnce(silence, [this, &open] { startTokens(open); });
    return bytes;
}

milliseconds fake_target::drawSilence()
{
    const silence_behaviour& silence = m_behaviour.silence;
    if (silence.longest.count() == 0)
        return milliseconds(0);
    return milliseconds(std::uniform_int_distribution<int64_t>(silence.shortest.count(), silence.longest.count())(m_random));
}

void fake_target::sendTokens(stream& open, uint32_t count)
{
    SoupServerMessage* message = open.message.get();
    SoupMessageBody* body = soup_server_message_get_response_body(message);
    std::string bytes = std::exchange(open.heldBytes, "");
    for (; count > 0 && open.nextToken < open.count; --count, ++open.nextToken, ++open.sentTokens) {
        if (m_behaviour.cutAfterTokens > 0 && open.sentTokens >= m_behaviour.cutAfterTokens) {
            open.isComplete = true;
            open.tokenTimer.stop();
            dropConnection(message);
            soup_server_message_unpause(message);
            return;
        }
        if (open.silence.count() > 0 && open.nextToken >= open.silentToken) {
            bytes = startSilence(open, std::move(bytes));
            break;
        }
        bytes += tokenEvent(open.prompt, open.nextToken);
    }
    if (bytes.empty() && open.nextToken < open.count)
        return;
    if (open.nextToken >= open.count && open.heldBytes.empty()) {
        bytes += eventText({ { "choices", json::array() }, { "usage", { { "completion_tokens", open.count } } } }) + "data: [DONE]\n\n";
        open.isComplete = true;
        open.tokenTimer.stop();
        open.disconnectWatch.reset();
    }
    soup_message_body_append(body, SOUP_MEMORY_COPY, bytes.data(), bytes.size());
    if (open.isComplete)
        soup_message_body_complete(body);
    soup_server_message_unpause(message);
}

void fake_target::onStreamFinished(stream* ended)
{
    if (!ended->isComplete)
        ++m_cancelled;
    m_running -= std::min(m_running, 1u);
    g_signal_handlers_disconnect_by_data(ended->message.get(), this);
    m_streams.erase(ended);
}

void fake_target::applySwitches(const json& changes)
{
    target_behaviour& behaviour = m_behaviour;
    behaviour.latency = milliseconds(changes.value("latencyMs", behaviour.latency.count()));
    behaviour.tokenTime = milliseconds(changes.value("tokenMs", behaviour.tokenTime.count()));
    behaviour.isFrozen = changes.value("frozen", behaviour.isFrozen);
    behaviour.lostResponses = changes.value("lostAnswers", behaviour.lostResponses);
    behaviour.failureStatus = changes.value("failStatus", behaviour.failureStatus);
    behaviour.retryAfter = changes.value("retryAfter", behaviour.retryAfter);
    behaviour.cutAfterTokens = changes.value("cutAfterTokens", behaviour.cutAfterTokens);
    behaviour.checksFencingToken = changes.value("checksFencing", behaviour.checksFencingToken);
    behaviour.lostOrderResponses = changes.value("lostOrderAnswers", behaviour.lostOrderResponses);
    behaviour.ignoredOrders = changes.value("forgottenOrders", behaviour.ignoredOrders);
    behaviour.poison = changes.value("poison", behaviour.poison);
    behaviour.restartTime = milliseconds(changes.value("restartMs", behaviour.restartTime.count()));
    if (const auto silence = changes.find("silence"); silence != changes.end())
        setSilence(*silence);
    if (changes.value("die", false))
        crash();
}

void fake_target::setSilence(const json& silence)
{
    m_behaviour.silence = {};
    if (!silence.is_object())
        return;
    m_random.seed(silence.value("seed", uint64_t { 1 }));
    m_behaviour.silence.shortest = milliseconds(silence.value("minMs", 500));
    m_behaviour.silence.longest = milliseconds(silence.value("maxMs", 3000));
    m_behaviour.silence.isInsideEvent = silence.value("insideEvent", false);
    if (silence.contains("afterTokens"))
        m_behaviour.silence.afterTokens = silence["afterTokens"].get<uint32_t>();
}

json fake_target::counts() const
{
    return { { "name", m_name }, { "runs", m_runs }, { "cancelled", m_cancelled }, { "deaths", m_crashes }, { "running", m_running }, { "mostRunning", m_maxRunning },
        { "models", m_models }, { "orders", m_orders }, { "runsByKey", m_runsByKey }, { "runsByRequest", m_runsByRequest } };
}
}
