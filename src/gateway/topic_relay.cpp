#include "gateway/topic_relay.hpp"

#include "telemetry/log.hpp"

namespace bilberryseam::gateway {

namespace {
    constexpr std::string_view logComponent = "relay";
}

topic_relay::topic_relay(metrics& metrics, std::string ownName, callbacks callbacks)
    : m_metrics(metrics)
    , m_ownName(std::move(ownName))
    , m_callbacks(std::move(callbacks))
{
}

void topic_relay::add(platform::topic_follower& follower)
{
    m_followers[follower.topic()] = &follower;
    follower.setPeer({ [this, topic = follower.topic()](uint64_t number, uint64_t era, uint64_t offset) { return ask({ topic, number, era, offset }); },
        [this, topic = follower.topic()](std::string_view reason) { onFailure(topic, reason); } });
}

bool topic_relay::ask(const wire::topic_query& query)
{
    const time_point now = monotonicNow();
    for (const auto& name : m_callbacks.readers()) {
        if (name == m_ownName)
            return false;
        if (const auto silent = m_silentUntil.find(name); silent != m_silentUntil.end() && now < silent->second)
            continue;
        if (!m_callbacks.send(name, query))
            continue;
        m_askedEntries[query.topic] = name;
        m_metrics.count("relayed_reads_total", { { "topic", query.topic } });
        return true;
    }
    return false;
}

void topic_relay::onFailure(const std::string& topic, std::string_view reason)
{
    const std::string& name = m_askedEntries[topic];
    m_silentUntil[name] = monotonicNow() + silentReaderPause;
    m_metrics.count("relay_failures_total", { { "topic", topic } });
    logLine(log_level::Info, logComponent, "The entry that reads the store for this one did not help; the store is read directly.", { { "entry", name }, { "topic", topic }, { "reason", std::string(reason) } });
}

wire::topic_records topic_relay::answer(const wire::topic_query& query, time_point now)
{
    wire::topic_records response { query.topic, query.number, query.era, query.offset, 0, true, false, {} };
    const auto follower = m_followers.find(query.topic);
    if (follower == m_followers.end())
        return response;
    auto extract = follower->second->extractFrom(query.era, query.offset, now);
    response.era = extract.era;
    response.nextOffset = extract.nextOffset;
    response.ageMs = static_cast<uint32_t>(std::max<int64_t>(0, extract.age.count()));
    response.isUnavailable = extract.isUnavailable;
    response.hasMore = extract.hasMore;
    for (auto& record : extract.records)
        response.records.push_back({ record.offset, std::move(record.bytes) });
    return response;
}

bool topic_relay::handle(const wire::message& message, const std::function<void(wire::message)>& reply, time_point now)
{
    if (const auto* query = std::get_if<wire::topic_query>(&message)) {
        reply(answer(*query, now));
        return true;
    }
    const auto* response = std::get_if<wire::topic_records>(&message);
    if (!response)
        return false;
    const auto follower = m_followers.find(response->topic);
    if (follower == m_followers.end())
        return true;
    platform::topic_extract extract { response->era, response->nextOffset, milliseconds(response->ageMs), response->isUnavailable, response->hasMore, {} };
    for (const auto& record : response->records)
        extract.records.push_back({ record.offset, record.bytes });
    follower->second->handlePeer(extract, response->number);
    return true;
}
}
