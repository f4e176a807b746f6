#include "fakes/fake_log.hpp"

#include "loop/deferred_reply.hpp"

namespace bilberryseam::fakes {

using nlohmann::json;

namespace {
    constexpr std::string_view prefix = "/v1/streams/";
    constexpr std::string_view suffix = "/records";
    constexpr size_t maxRecordBytes = 1024 * 1024;

    uint64_t numberIn(GHashTable* query, const char* name, uint64_t standard)
    {
        const auto* text = query ? static_cast<const char*>(g_hash_table_lookup(query, name)) : nullptr;
        return text ? std::strtoull(text, nullptr, 10) : standard;
    }
}

void dropConnection(SoupServerMessage* message)
{
    if (GSocket* socket = soup_server_message_get_socket(message))
        g_socket_shutdown(socket, TRUE, TRUE, nullptr);
}

void answerLater(SoupServerMessage* message, milliseconds delay, std::function<std::pair<unsigned, json>()> function)
{
    struct pending {
        deferred_reply later;
        std::function<std::pair<unsigned, json>()> function;
    };
    auto* kept = new pending { deferred_reply(message), std::move(function) };
    const auto call = [](gpointer data) -> gboolean {
        const std::unique_ptr<pending> due(static_cast<pending*>(data));
        const auto [status, body] = due->function();
        due->later.reply(status, body);
        return G_SOURCE_REMOVE;
    };
    g_timeout_add(static_cast<guint>(delay.count()), call, kept);
}

fake_log::fake_log(const ip_endpoint& listen)
    : m_server(gobject_ptr<SoupServer>::adopt(soup_server_new(nullptr, nullptr)))
{
    soup_server_add_handler(m_server.get(), "/", &fake_log::handle, this, nullptr);
    listenOn(m_server.get(), listen);
}

void fake_log::handle(SoupServer*, SoupServerMessage* message, const char* path, GHashTable* query, gpointer self)
{
    std::string_view name(path);
    if (!name.starts_with(prefix) || !name.ends_with(suffix)) {
        replyJson(message, 404, { { "error", "no such page" } });
        return;
    }
    name.remove_prefix(prefix.size());
    name.remove_suffix(suffix.size());
    static_cast<fake_log*>(self)->take(message, std::string(name), query);
}

void fake_log::take(SoupServerMessage* message, const std::string& streamName, GHashTable* query)
{
    if (m_faults.isDown) {
        dropConnection(message);
        return;
    }
    stream& target = m_streams[streamName];
    if (std::string_view(soup_server_message_get_method(message)) == "POST")
        append(message, target);
    else
        read(message, target, query);
}

void fake_log::append(SoupServerMessage* message, stream& target)
{
    ++m_appends;
    if (m_faults.refusedAppends > 0) {
        --m_faults.refusedAppends;
        answer(message, 503, { { "error", "not now" } });
        return;
    }
    const json body = json::parse(bodyOf(message), nullptr, false);
    if (!body.is_object() || !body.contains("records") || !body["records"].is_array()) {
        answer(message, 400, { { "error", "records are missing" } });
        return;
    }
    const uint64_t first = target.start + target.records.size();
    for (const json& item : body["records"]) {
        if (!item.is_string() || item.get_ref<const std::string&>().size() > maxRecordBytes) {
            answer(message, 413, { { "error", "a record is not text of at most 1 MiB" } });
            return;
        }
    }
    for (const json& item : body["records"])
        target.records.push_back({ wallNow().time_since_epoch().count(), item });
    if (m_faults.lostAppendAnswers > 0) {
        --m_faults.lostAppendAnswers;
        dropConnection(message);
        return;
    }
    answer(message, 200, { { "firstOffset", first } });
}

void fake_log::read(SoupServerMessage* message, const stream& target, GHashTable* query)
{
    ++m_reads;
    const uint64_t end = target.start + target.records.size();
    const uint64_t from = std::max(numberIn(query, "from", 0), target.start);
    const uint64_t last = std::min(end, from + numberIn(query, "limit", 100));
    json records = json::array();
    for (uint64_t offset = from; offset < last; ++offset) {
        const record& kept = target.records[offset - target.start];
        records.push_back({ { "offset", offset }, { "appendedMs", kept.appendedMs }, { "text", kept.text } });
    }
    answer(message, 200, { { "start", target.start }, { "end", end }, { "records", records } });
}

void fake_log::answer(SoupServerMessage* message, unsigned status, const json& body)
{
    if (m_faults.delay.count() == 0) {
        replyJson(message, status, body);
        return;
    }
    answerLater(message, m_faults.delay, [status, body] { return std::pair(status, body); });
}

void fake_log::control(const json& switches)
{
    m_faults.isDown = switches.value("down", m_faults.isDown);
    m_faults.delay = milliseconds(switches.value("delayMs", m_faults.delay.count()));
    m_faults.lostAppendAnswers = switches.value("lostAppendAnswers", m_faults.lostAppendAnswers);
    m_faults.refusedAppends = switches.value("refusedAppends", m_faults.refusedAppends);
    if (!switches.contains("trim"))
        return;
    stream& trimmed = m_streams[switches["trim"].at("stream")];
    const uint64_t to = switches["trim"].at("offset");
    while (trimmed.start < to && !trimmed.records.empty()) {
        trimmed.records.pop_front();
        ++trimmed.start;
    }
}

json fake_log::counts() const
{
    json streams = json::object();
    for (const auto& [name, kept] : m_streams)
        streams[name] = { { "start", kept.start }, { "end", kept.start + kept.records.size() } };
    return { { "appends", m_appends }, { "reads", m_reads }, { "streams", streams } };
}
}
