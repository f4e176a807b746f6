#include "execution/configuration_endpoints.hpp"

namespace bilberryseam::execution {

using nlohmann::json;

namespace {
    std::string_view nameOf(platform::append_outcome outcome)
    {
        switch (outcome) {
        case platform::append_outcome::Appended:
            return "appended";
        case platform::append_outcome::Refused:
            return "refused";
        case platform::append_outcome::Unknown:
            return "unknown";
        }
        return "unknown";
    }

    json verdictToJson(const configuration::state& state, const std::string& note)
    {
        const auto position = state.verdicts.find(note);
        if (position == state.verdicts.end())
            return { { "note", note }, { "verdict", "none" }, { "offset", state.nextOffset } };
        const configuration::note_verdict& verdict = position->second;
        return { { "note", note }, { "verdict", verdict.isAccepted ? "accepted" : "rejected" }, { "offset", verdict.offset }, { "reason", verdict.reason }, { "winner", verdict.winner } };
    }
}

void note_publisher::publish(std::string text, platform::log_client::on_append done)
{
    const uint64_t id = m_nextId++;
    const std::vector<std::string> records { std::move(text) };
    m_pending[id] = m_log.append(m_stream, records, [this, id, done = std::move(done)](platform::append_result result) {
        done(result);
        m_pending.erase(id);
    });
}

void addConfigurationEndpoints(operator_server& server, const configuration_follower& follower, note_publisher& publisher)
{
    server.onGet("/configuration", [&follower](std::string_view, const operator_server::responder& respond) {
        respond(200, json::parse(configuration::writeSnapshot(follower.current())));
    });
    server.onGet("/verdict", [&follower](std::string_view query, const operator_server::responder& respond) {
        constexpr std::string_view key = "note=";
        respond(200, verdictToJson(follower.current(), std::string(query.starts_with(key) ? query.substr(key.size()) : query)));
    });
    server.onPost("/publish", [&publisher](std::string_view body, const operator_server::responder& respond) {
        if (const auto note = configuration::parseNote(body); !note) {
            respond(400, { { "append", "refused" }, { "detail", note.error().what() } });
            return;
        }
        publisher.publish(std::string(body), [respond](const platform::append_result& result) {
            respond(200, { { "append", nameOf(result.outcome) }, { "offset", result.firstOffset }, { "detail", result.detail } });
        });
    });
}
}
