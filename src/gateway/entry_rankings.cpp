#include "gateway/entry_rankings.hpp"

#include "base/hash.hpp"

#include <algorithm>

namespace bilberryseam::gateway {

namespace {
    /// Keys that are kept. There is one ranking for each pool, and one rank for each limited target.
    constexpr size_t maxRankings = 64;
    constexpr size_t maxOwnRanks = 8192;
}

policy::owner_place entry_rankings::placeOf(const member& entry, uint64_t key)
{
    ++m_placeCount;
    return policy::placeOf({ entry.hash, entry.weight }, key, m_largestWeight);
}

void entry_rankings::setEntries(std::span<const ranked_entry> entries)
{
    double largest = 0;
    for (const auto& entry : entries)
        largest = std::max(largest, entry.weight);
    const auto own = std::find_if(entries.begin(), entries.end(), [this](const auto& entry) { return entry.name == m_ownName; });
    const auto knownOwn = m_members.find(m_ownName);
    const bool isOwnSame = own != entries.end() && knownOwn != m_members.end() && own->weight == knownOwn->second.weight;
    if (largest != m_largestWeight || !isOwnSame) {
        m_rankings.clear();
        m_ownRanks.clear();
        m_members.clear();
        m_largestWeight = largest;
        for (const auto& entry : entries)
            m_members.emplace(std::string(entry.name), member { hashOf(entry.name), entry.weight });
        return;
    }
    auto known = m_members.begin();
    for (const auto& entry : entries) {
        while (known != m_members.end() && known->first < entry.name) {
            remove(known->first, known->second);
            known = m_members.erase(known);
        }
        const bool isKnown = known != m_members.end() && known->first == entry.name;
        if (isKnown && known->second.weight == entry.weight) {
            ++known;
            continue;
        }
        if (isKnown) {
            remove(known->first, known->second);
            known = m_members.erase(known);
        }
        const auto added = m_members.emplace_hint(known, std::string(entry.name), member { hashOf(entry.name), entry.weight });
        add(added->first, added->second);
    }
    while (known != m_members.end()) {
        remove(known->first, known->second);
        known = m_members.erase(known);
    }
}

void entry_rankings::add(const std::string& name, const member& entry)
{
    for (auto& [key, ranking] : m_rankings) {
        const policy::owner_place place = placeOf(entry, ranking.key);
        const auto position = std::upper_bound(ranking.places.begin(), ranking.places.end(), place, policy::ranksBefore) - ranking.places.begin();
        ranking.places.insert(ranking.places.begin() + position, place);
        ranking.names.insert(ranking.names.begin() + position, name);
    }
    for (auto& [key, known] : m_ownRanks)
        known.rank += policy::ranksBefore(placeOf(entry, known.key), known.own) ? 1 : 0;
}

void entry_rankings::remove(const std::string& name, const member& entry)
{
    for (auto& [key, ranking] : m_rankings) {
        const auto position = std::find(ranking.names.begin(), ranking.names.end(), name) - ranking.names.begin();
        ranking.places.erase(ranking.places.begin() + position);
        ranking.names.erase(ranking.names.begin() + position);
    }
    for (auto& [key, known] : m_ownRanks)
        known.rank -= policy::ranksBefore(placeOf(entry, known.key), known.own) ? 1 : 0;
}

const std::vector<std::string>& entry_rankings::namesFor(std::string_view key)
{
    if (const auto position = m_rankings.find(key); position != m_rankings.end())
        return position->second.names;
    if (m_rankings.size() >= maxRankings)
        m_rankings.clear();
    ranking& added = m_rankings[std::string(key)];
    added.key = hashOf(key);
    std::vector<std::pair<policy::owner_place, const std::string*>> order;
    order.reserve(m_members.size());
    for (const auto& [name, entry] : m_members)
        order.emplace_back(placeOf(entry, added.key), &name);
    std::sort(order.begin(), order.end(), [](const auto& left, const auto& right) { return policy::ranksBefore(left.first, right.first); });
    for (const auto& [place, name] : order) {
        added.places.push_back(place);
        added.names.push_back(*name);
    }
    return added.names;
}

size_t entry_rankings::ownRankFor(std::string_view key)
{
    if (const auto position = m_ownRanks.find(key); position != m_ownRanks.end())
        return position->second.rank;
    if (m_ownRanks.size() >= maxOwnRanks)
        m_ownRanks.clear();
    own_rank added { hashOf(key), {}, 0 };
    added.own = placeOf(m_members.at(m_ownName), added.key);
    for (const auto& [name, entry] : m_members)
        added.rank += policy::ranksBefore(placeOf(entry, added.key), added.own) ? 1 : 0;
    m_ownRanks.emplace(key, added);
    return added.rank;
}
}
