/// The connections to other entries, and messages to all of them.
#include "base/hash.hpp"
#include "gateway/configuration_exchange.hpp"
#include "gateway/crash_watch.hpp"
#include "gateway/detail/pool_router_peer.hpp"
#include "gateway/stream_directory.hpp"
#include "policy/ownership.hpp"
#include "policy/spread.hpp"

#include <algorithm>

namespace bilberryseam::gateway {

namespace {
    constexpr std::string_view logComponent = "pools";

    /// Entries that each entry stays connected to for a pool: its owner, and the next one in the ranking.
    constexpr size_t connectedOwnersPerPool = 2;

    /// Key of the ranking of entries that read the store for their failure domain.
    constexpr std::string_view storeReading = "store-readers";
    /// A reader reads more often than it would for itself, which fewer entries do not make up for.
    constexpr size_t minEntriesOfReader = 3;
    /// Entries of the own failure domain that may be asked: the reader, and the one after it.
    constexpr size_t connectedReaders = 2;

    /// Key of the ranking of entries that keep the origins of streams.
    constexpr std::string_view originKeeping = "stream-origins";

    /// Entries that collect what is known about crashes: the first of those that keep the origins of streams.
    constexpr size_t maxCrashCollectors = 4;

    /// A peer that has not acknowledged this much gets no messages about crashes, so that results of jobs are not delayed.
    constexpr size_t maxQueuedBytes = 256 * 1024;

    /// Key of the ranking of entries of a region that collect the load of targets.
    constexpr std::string_view loadCollection = "load-collectors:";
    /// The second collects if the first is not connected.
    constexpr size_t loadCollectorsPerRegion = 2;

    /// Heartbeat period of a connection to an owner that runs jobs of this entry.
    constexpr milliseconds ownerHeartbeat { 200 };
    /// An owner that sends nothing for this long while it runs jobs of this entry counts as unreachable.
    constexpr milliseconds ownerInactivityTimeout { 600 };

    /// A connection that is not established by then is tried again. Entries that start together lose the first packet to one
    /// that has no power yet, which the kernel repeats only after a second; meanwhile a pool would have several owners.
    constexpr milliseconds ownerConnectTimeout { 300 };

    wire::link_timing ownerLinkTiming()
    {
        wire::link_timing timing;
        timing.connectTimeout = ownerConnectTimeout;
        timing.busyHeartbeatPeriod = ownerHeartbeat;
        timing.busyInactivityTimeout = ownerInactivityTimeout;
        return timing;
    }
}

std::span<const std::string> pool_router::originKeepers()
{
    const auto& ranked = ownersOf(originKeeping);
    return std::span(ranked).first(std::min(ranked.size(), policy::originKeeperCount(ranked.size())));
}

std::vector<std::string> pool_router::storeReaders()
{
    if (!m_storeReaders.empty())
        return m_storeReaders;
    std::vector<std::string> names { m_directory.own().name };
    std::vector<policy::owner_candidate> candidates { { hashOf(m_directory.own().name), m_directory.own().weight } };
    for (const auto& [name, record] : m_directory.others()) {
        if (record.failureDomain.empty() || record.failureDomain != m_directory.own().failureDomain)
            continue;
        names.push_back(name);
        candidates.push_back({ hashOf(name), record.weight });
    }
    if (names.size() < minEntriesOfReader)
        return {};
    for (const size_t index : policy::rankOwners(candidates, hashOf(storeReading)))
        m_storeReaders.push_back(names[index]);
    if (m_storeReaders.size() > connectedReaders)
        m_storeReaders.resize(connectedReaders);
    return m_storeReaders;
}

const std::vector<std::string>& pool_router::loadCollectors(const std::string& region)
{
    if (const auto position = m_loadCollectors.find(region); position != m_loadCollectors.end())
        return position->second;
    const auto& regions = m_context.settings.regions;
    std::vector<std::string> names;
    std::vector<policy::owner_candidate> candidates;
    const auto add = [&](const std::string& name, const entry_record& record) {
        const auto position = regions.find(record.failureDomain);
        if (position == regions.end() || position->second != region)
            return;
        names.push_back(name);
        candidates.push_back({ hashOf(name), record.weight });
    };
    add(m_directory.own().name, m_directory.own());
    for (const auto& [name, record] : m_directory.others())
        add(name, record);
    std::vector<std::string>& collectors = m_loadCollectors[region];
    for (const size_t index : policy::rankOwners(candidates, hashOf(std::string(loadCollection) + region))) {
        if (collectors.size() < loadCollectorsPerRegion)
            collectors.push_back(names[index]);
    }
    return collectors;
}

std::vector<std::string> pool_router::otherLoadCollectors()
{
    const std::string& ownName = m_directory.own().name;
    const auto& ownRegion = loadCollectors(m_context.settings.region);
    if (std::find(ownRegion.begin(), ownRegion.end(), ownName) == ownRegion.end())
        return {};
    std::set<std::string> regions { m_context.settings.region };
    for (const auto& [domain, region] : m_context.settings.regions)
        regions.insert(region);
    std::vector<std::string> others;
    for (const auto& region : regions) {
        const auto& collectors = loadCollectors(region);
        std::copy_if(collectors.begin(), collectors.end(), std::back_inserter(others), [&](const auto& name) { return name != ownName; });
    }
    return others;
}

std::span<const std::string> pool_router::crashCollectors()
{
    return originKeepers().first(std::min(originKeepers().size(), maxCrashCollectors));
}

void pool_router::sendToCrashCollectors(const wire::message& message)
{
    size_t sent = 0;
    for (const auto& name : crashCollectors())
        sent += send(name, message) ? 1 : 0;
    // An entry that has just started may be connected before the directory lists it.
    if (m_directory.others().size() < maxCrashCollectors) {
        m_server.postToAll(message);
        sent += m_server.sessionCount();
    }
    countMessages("collectors", message, sent);
}

execution::collection_role pool_router::crashCollectionRole()
{
    const auto collectors = crashCollectors();
    const bool isCollector = std::find(collectors.begin(), collectors.end(), m_directory.own().name) != collectors.end();
    // An entry that reaches no collector judges by what it sees itself.
    const bool isReachable = std::any_of(collectors.begin(), collectors.end(), [this](const auto& name) {
        const auto position = m_peers.find(name);
        return position != m_peers.end() && position->second->session->isUp();
    });
    return { isCollector || !isReachable, m_directory.others().size() >= maxCrashCollectors };
}

std::vector<std::string> pool_router::spreadNames() const
{
    std::vector<std::string_view> all;
    all.reserve(m_directory.others().size() + 1);
    for (const auto& [name, record] : m_directory.others())
        all.push_back(name);
    const std::string& ownName = m_directory.own().name;
    const auto own = std::lower_bound(all.begin(), all.end(), ownName) - all.begin();
    all.insert(all.begin() + own, ownName);
    std::vector<std::string> names;
    for (const size_t position : policy::spreadPeers(static_cast<size_t>(own), all.size()))
        names.emplace_back(all[position]);
    return names;
}

std::set<std::string, std::less<>> pool_router::requiredPeers()
{
    if (!m_context.configuration)
        return {};
    std::vector<std::string> pools;
    for (const auto& [name, service] : m_context.configuration->services) {
        if (service.pool)
            pools.push_back(name);
    }
    std::set<std::string, std::less<>> required;
    for (const auto& name : pools) {
        const auto& owners = ownersOf(name);
        required.insert(owners.begin(), owners.begin() + static_cast<std::ptrdiff_t>(std::min(owners.size(), connectedOwnersPerPool)));
    }
    const auto keepers = originKeepers();
    required.insert(keepers.begin(), keepers.end());
    required.insert(m_spreadNames.begin(), m_spreadNames.end());
    const auto readers = storeReaders();
    required.insert(readers.begin(), readers.end());
    if (m_context.settings.loadSharing) {
        const auto& collectors = loadCollectors(m_context.settings.region);
        required.insert(collectors.begin(), collectors.end());
        const auto others = otherLoadCollectors();
        required.insert(others.begin(), others.end());
    }
    required.erase(m_directory.own().name);
    return required;
}

void pool_router::onMembersChanged()
{
    if (!std::exchange(m_hasMembers, true))
        m_membersSince = monotonicNow();
    updateRankings();
    m_loadCollectors.clear();
    if (m_context.configuration)
        m_scheduler.applyProfiles(*m_context.configuration);
    m_context.entryCount = static_cast<unsigned>(std::max<size_t>(4, m_directory.others().size() + 1));
    m_spreadNames = spreadNames();
    m_storeReaders.clear();
    const auto required = requiredPeers();
    for (auto& [name, other] : m_peers) {
        const auto record = m_directory.others().find(name);
        // A restart at the same address needs no new connection: the session detects it.
        other->isObsolete = !required.contains(name) || record == m_directory.others().end() || record->second.peerListen != other->record.peerListen;
    }
    for (const auto& name : required) {
        const auto record = m_directory.others().find(name);
        if (record == m_directory.others().end() || (m_peers.contains(name) && !m_peers[name]->isObsolete))
            continue;
        // The former connection may be up still, but must not get the jobs that it loses.
        if (const auto former = m_peers.extract(name); !former.empty())
            onOwnerRestarted(name);
        auto newPeer = std::make_unique<peer>();
        newPeer->record = record->second;
        wire::session::callbacks callbacks;
        callbacks.onMessage = [this, name](wire::message& message) { handleOwnerMessage(name, message); };
        callbacks.onAttached = [this, name](bool isResumed) {
            logLine(log_level::Info, logComponent, "The connection to a pool owner is established.", { { "entry", name } });
            m_peers.at(name)->lostAt.reset();
            // A peer that has kept the session has its state, too.
            if (isResumed)
                return;
            m_peers.at(name)->session->post(m_context.configurations->query());
            m_context.streams->sendKept(name, monotonicNow());
            m_context.crashes->sendAll([this, name](wire::message message) { m_peers.at(name)->session->post(std::move(message)); }, monotonicNow());
        };
        callbacks.onLost = [this, name] { onOwnerRestarted(name); };
        callbacks.onDetached = [this, name](std::string_view reason, bool isRefused) { onOwnerDetached(name, reason, isRefused); };
        newPeer->session = std::make_unique<wire::session>(newPeer->record.peerListen, m_directory.own().name, m_identifiers.next(), ownerLinkTiming(), std::move(callbacks));
        m_peers[name] = std::move(newPeer);
    }
}

void pool_router::broadcast(const wire::message& message)
{
    const bool isRepeatable = !std::holds_alternative<wire::crash_suspicion>(message);
    size_t sent = 0;
    for (const auto& name : m_spreadNames) {
        const auto position = m_peers.find(name);
        if (position == m_peers.end())
            continue;
        peer& other = *position->second;
        const bool canRead = other.session->isUp() && other.session->channel().unacknowledgedBytes() < maxQueuedBytes;
        if (!canRead && isRepeatable) {
            other.hasMissedMessages = true;
            continue;
        }
        other.session->post(message);
        ++sent;
    }
    // It is not repeated, and an entry that has just started may be connected before the directory lists it.
    if (!isRepeatable) {
        m_server.postToAll(message);
        sent += m_server.sessionCount();
    }
    countMessages("broadcast", message, sent);
}

void pool_router::repeatMissedMessages()
{
    for (auto& [name, other] : m_peers) {
        const bool canRead = other->session->isUp() && other->session->channel().unacknowledgedBytes() == 0;
        if (!canRead || !std::exchange(other->hasMissedMessages, false))
            continue;
        m_context.counters.count("crash_messages_repeated_total");
        m_context.crashes->sendAll([&session = *other->session](wire::message message) { session.post(std::move(message)); }, monotonicNow());
    }
}

uint64_t pool_router::byteCount() const
{
    uint64_t bytes = m_server.byteCount();
    for (const auto& [name, other] : m_peers)
        bytes += other->session->channel().bytesSent() + other->session->channel().bytesReceived();
    return bytes;
}
}
