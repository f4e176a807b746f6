#include "fakes/fake_target.hpp"
#include "base/json_text.hpp"

#include "base/hash.hpp"
#include "fakes/soup_faults.hpp"
#include "loop/disconnect_watch.hpp"

namespace bilberryseam::fakes {

using nlohmann::json;

namespace {
    constexpr uint32_t standardTokens = 16;

    /// The same prompt gives the same words, so that a resumed stream can be compared with a whole one.
    std::string wordAt(const std::string& prompt, uint32_t index)
    {
        return "w" + std::to_string(hashOf(prompt, index) % 1000) + " ";
    }

    std::string eventOf(const json& data)
    {
        return "data: " + dumpText(data) + "\n\n";
    }
}

/// A streamed answer in progress.
struct fake_target::stream {
    gobject_ptr<SoupServerMessage> message;
    std::string prompt;
    uint32_t next = 0;
    uint32_t count = 0;
    uint32_t sent = 0;
    bool isComplete = false;
    gulong finished = 0;
    timer tick;
    std::optional<disconnect_watch> watch;
};

fake_target::fake_target(std::string name, target_kind kind, ip_endpoint listen, target_behaviour behaviour)
    : m_name(std::move(name))
    , m_kind(kind)
    , m_listen(std::move(listen))
    , m_behaviour(std::move(behaviour))
{
    open();
}

fake_target::~fake_target() = default;

void fake_target::open()
{
    m_server = gobject_ptr<SoupServer>::adopt(soup_server_new(nullptr, nullptr));
    soup_server_add_handler(m_server.get(), "/", &fake_target::handle, this, nullptr);
    listenOn(m_server.get(), m_listen);
}

void fake_target::die()
{
    ++m_deaths;
    m_running = 0;
    // The server may be in the call that kills it, so it goes when the loop is back.
    m_restart.startOnce(milliseconds(0), [this] {
        soup_server_disconnect(m_server.get());
        for (auto& [raw, open] : m_streams)
            g_signal_handler_disconnect(open->message.get(), open->finished);
        m_streams.clear();
        m_restart.startOnce(m_behaviour.restartTime, [this] { open(); });
    });
}

void fake_target::handle(SoupServer*, SoupServerMessage* message, const char* path, GHashTable*, gpointer self)
{
    if (std::string_view(path) == "/health")
        setJsonResponse(message, 200, { { "healthy", true } });
    else if (std::string_view(path) == "/v1/models")
        static_cast<fake_target*>(self)->reportModels(message);
    else if (std::string_view(path) == "/v1/orders")
        static_cast<fake_target*>(self)->takeOrder(message);
    else
        static_cast<fake_target*>(self)->take(message);
}

void fake_target::reportModels(SoupServerMessage* message)
{
    json models = json::array();
    for (const auto& [name, version] : m_models)
        models.push_back({ { "name", name }, { "version", version } });
    setJsonResponse(message, 200, { { "models", models } });
}

void fake_target::takeOrder(SoupServerMessage* message)
{
    const json order = json::parse(bodyOf(message));
    const uint64_t fence = order.at("fence");
    const bool isOld = fence < m_fence;
    m_orders.push_back({ { "action", order.at("action") }, { "name", order.at("name") }, { "version", order.at("version") }, { "fence", fence }, { "old", isOld } });
    if (m_behaviour.checksFencing && isOld) {
        setJsonResponse(message, 409, { { "fence", m_fence } });
        return;
    }
    m_fence = std::max(m_fence, fence);
    if (m_behaviour.forgottenOrders > 0) {
        --m_behaviour.forgottenOrders;
        setJsonResponse(message, 200, json::object());
        return;
    }
    if (order.at("action") == "load")
        m_models[order.at("name")] = order.at("version");
    else
        m_models.erase(order.at("name").get<std::string>());
    if (m_behaviour.lostOrderAnswers > 0) {
        --m_behaviour.lostOrderAnswers;
        dropConnection(message);
        return;
    }
    setJsonResponse(message, 200, json::object());
}

void fake_target::countRun(SoupServerMessage* message)
{
    ++m_runs;
    const std::string key(headerOf(message, "Idempotency-Key"));
    if (!key.empty())
        ++m_runsByKey[key];
    ++m_runsByRequest[std::string(headerOf(message, "X-Request-Id"))];
}

void fake_target::take(SoupServerMessage* message)
{
    const std::string_view body = bodyOf(message);
    countRun(message);
    if (!m_behaviour.poison.empty() && body.find(m_behaviour.poison) != std::string_view::npos) {
        soup_server_message_pause(message);
        die();
        return;
    }
    if (m_behaviour.isFrozen) {
        soup_server_message_pause(message);
        return;
    }
    if (m_behaviour.lostAnswers > 0) {
        --m_behaviour.lostAnswers;
        dropConnection(message);
        return;
    }
    const json request = json::parse(body, nullptr, false);
    if (m_behaviour.failStatus > 0 || !request.is_object()) {
        setJsonResponse(message, m_behaviour.failStatus > 0 ? m_behaviour.failStatus : 400, { { "error", "told to fail" } });
        return;
    }
    if (m_kind == target_kind::Engine)
        startStream(message, request);
    else
        answer(message, request);
}

void fake_target::answer(SoupServerMessage* message, const json& request)
{
    const json output = outputFor(request);
    if (m_behaviour.latency.count() == 0) {
        setJsonResponse(message, 200, output);
        return;
    }
    m_mostRunning = std::max(m_mostRunning, ++m_running);
    answerLater(message, m_behaviour.latency, [this, output] {
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
    auto made = std::make_unique<stream>();
    stream* open = made.get();
    open->message = gobject_ptr<SoupServerMessage>::share(message);
    open->prompt = request.value("prompt", "");
    open->count = request.value("max_tokens", standardTokens);
    const std::string resumed = request.value("resume_text", "");
    open->next = static_cast<uint32_t>(std::count(resumed.begin(), resumed.end(), ' '));
    open->finished = g_signal_connect(message, "finished", G_CALLBACK(+[](SoupServerMessage* ended, gpointer self) {
        auto* owner = static_cast<fake_target*>(self);
        for (auto& [raw, kept] : owner->m_streams) {
            if (kept->message.get() == ended) {
                owner->streamFinished(raw);
                return;
            }
        } }),
        this);
    m_streams[open] = std::move(made);
    m_mostRunning = std::max(m_mostRunning, ++m_running);
    auto* headers = soup_server_message_get_response_headers(message);
    soup_server_message_set_status(message, 200, nullptr);
    soup_message_headers_set_encoding(headers, SOUP_ENCODING_CHUNKED);
    soup_message_headers_replace(headers, "Content-Type", "text/event-stream");
    soup_message_body_set_accumulate(soup_server_message_get_response_body(message), FALSE);
    soup_server_message_pause(message);
    open->watch.emplace(message, [this, open] {
        ++m_cancelled;
        open->isComplete = true;
        open->tick.stop();
        // Writing the rest fails, which finishes the message.
        soup_message_body_complete(soup_server_message_get_response_body(open->message.get()));
        soup_server_message_unpause(open->message.get());
    });
    open->tick.startOnce(m_behaviour.latency, [this, open] {
        if (m_behaviour.tokenTime.count() == 0) {
            sendTokens(*open, open->count);
            return;
        }
        open->tick.startEvery(m_behaviour.tokenTime, [this, open] { sendTokens(*open, 1); });
        sendTokens(*open, 1);
    });
}

void fake_target::sendTokens(stream& open, uint32_t count)
{
    SoupServerMessage* message = open.message.get();
    SoupMessageBody* body = soup_server_message_get_response_body(message);
    std::string bytes;
    for (; count > 0 && open.next < open.count; --count, ++open.next, ++open.sent) {
        if (m_behaviour.cutAfterTokens > 0 && open.sent >= m_behaviour.cutAfterTokens) {
            open.isComplete = true;
            open.tick.stop();
            dropConnection(message);
            soup_server_message_unpause(message);
            return;
        }
        bytes += eventOf({ { "choices", json::array({ { { "text", wordAt(open.prompt, open.next) } } }) } });
    }
    if (open.next >= open.count) {
        bytes += eventOf({ { "choices", json::array() }, { "usage", { { "completion_tokens", open.count } } } }) + "data: [DONE]\n\n";
        open.isComplete = true;
        open.tick.stop();
        open.watch.reset();
    }
    soup_message_body_append(body, SOUP_MEMORY_COPY, bytes.data(), bytes.size());
    if (open.isComplete)
        soup_message_body_complete(body);
    soup_server_message_unpause(message);
}

void fake_target::streamFinished(stream* ended)
{
    if (!ended->isComplete)
        ++m_cancelled;
    m_running -= std::min(m_running, 1u);
    g_signal_handler_disconnect(ended->message.get(), ended->finished);
    m_streams.erase(ended);
}

void fake_target::control(const json& switches)
{
    target_behaviour& to = m_behaviour;
    to.latency = milliseconds(switches.value("latencyMs", to.latency.count()));
    to.tokenTime = milliseconds(switches.value("tokenMs", to.tokenTime.count()));
    to.isFrozen = switches.value("frozen", to.isFrozen);
    to.lostAnswers = switches.value("lostAnswers", to.lostAnswers);
    to.failStatus = switches.value("failStatus", to.failStatus);
    to.cutAfterTokens = switches.value("cutAfterTokens", to.cutAfterTokens);
    to.checksFencing = switches.value("checksFencing", to.checksFencing);
    to.lostOrderAnswers = switches.value("lostOrderAnswers", to.lostOrderAnswers);
    to.forgottenOrders = switches.value("forgottenOrders", to.forgottenOrders);
    to.poison = switches.value("poison", to.poison);
    to.restartTime = milliseconds(switches.value("restartMs", to.restartTime.count()));
    if (switches.value("die", false))
        die();
}

json fake_target::counts() const
{
    return { { "name", m_name }, { "runs", m_runs }, { "cancelled", m_cancelled }, { "deaths", m_deaths }, { "running", m_running }, { "mostRunning", m_mostRunning },
        { "models", m_models }, { "orders", m_orders }, { "runsByKey", m_runsByKey }, { "runsByRequest", m_runsByRequest } };
}
}
