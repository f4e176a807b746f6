#include "policy/client_memory.hpp"

#include <algorithm>
#include <numeric>

namespace bilberryseam::policy {

namespace {
    constexpr size_t minReceiveBufferBytes = 4 * 1024;

    /// Each connection may hold this part of what is free, so that the sum exceeds the limit only by the smallest limits of one.
    constexpr size_t freePart = 4;

    size_t shareOf(size_t bytes, double share)
    {
        return static_cast<size_t>(static_cast<double>(bytes) * share);
    }

    size_t limitOfOne(size_t limitOfAll, size_t held, size_t smallest, size_t largest)
    {
        const size_t free = limitOfAll - std::min(limitOfAll, held);
        return std::clamp(free / freePart, smallest, largest);
    }

    /// What a connection costs the others: the bytes that it holds times the time without progress.
    double costOf(const memory_holder& holder, time_point now)
    {
        constexpr double shortestTime = 0.001;
        return static_cast<double>(holder.total()) * std::max(shortestTime, asSeconds(now - holder.progressAt));
    }
}

std::string_view nameOf(memory_use use) noexcept
{
    constexpr std::array<std::string_view, memoryUseCount> names { "receiving", "held", "read_ahead", "unsent", "unread" };
    return names[static_cast<size_t>(use)];
}

size_t memory_holder::total() const noexcept
{
    return std::accumulate(bytes.begin(), bytes.end(), size_t(0));
}

size_t client_memory::total() const noexcept
{
    return std::accumulate(bytes.begin(), bytes.end(), size_t(0));
}

void setHeld(client_memory& memory, holder_id id, memory_use use, size_t bytes)
{
    const auto index = static_cast<size_t>(use);
    size_t& held = memory.holders[id].bytes[index];
    memory.bytes[index] += bytes - held;
    held = bytes;
}

void removeHolder(client_memory& memory, holder_id id) noexcept
{
    const auto position = memory.holders.find(id);
    if (position == memory.holders.end())
        return;
    for (size_t i = 0; i < memoryUseCount; ++i)
        memory.bytes[i] -= position->second.bytes[i];
    memory.holders.erase(position);
}

growth_decision decideGrowth(const client_memory& memory, holder_id id, memory_use use, size_t bytes, time_point now)
{
    const auto own = memory.holders.find(id);
    const memory_holder holder = own == memory.holders.end() ? memory_holder { {}, now, true } : own->second;
    const size_t replaced = holder.bytes[static_cast<size_t>(use)];
    if (bytes <= replaced)
        return { true, {} };
    const size_t grown = holder.total() - replaced + bytes;
    const size_t limitOfLarge = std::max(memory.limits.total - shareOf(memory.limits.total, smallRequestShare), memory.limits.largestRequest);
    const size_t limit = grown <= smallRequestBytes ? std::max(memory.limits.total, limitOfLarge) : limitOfLarge;
    const size_t needed = memory.total() - replaced + bytes;
    if (needed <= limit)
        return { true, {} };

    memory_holder grownHolder = holder;
    grownHolder.bytes[static_cast<size_t>(use)] = bytes;
    const double ownCost = costOf(grownHolder, now);
    std::vector<std::pair<double, holder_id>> candidates;
    for (const auto& [otherId, other] : memory.holders) {
        if (const double cost = costOf(other, now); otherId != id && other.canYield && cost > ownCost)
            candidates.emplace_back(cost, otherId);
    }
    // Mostly one connection frees enough, so the others need no order.
    std::make_heap(candidates.begin(), candidates.end());
    growth_decision decision;
    size_t excess = needed - limit;
    for (auto end = candidates.end(); end != candidates.begin(); --end) {
        const holder_id costliest = candidates.front().second;
        std::pop_heap(candidates.begin(), end);
        const size_t freed = memory.holders.at(costliest).total();
        decision.yielding.push_back(costliest);
        if (freed >= excess) {
            decision.isGranted = true;
            return decision;
        }
        excess -= freed;
    }
    return {};
}

size_t unsentLimit(const client_memory& memory, size_t largest) noexcept
{
    return limitOfOne(shareOf(memory.limits.total, unsentShare), memory.bytesOf(memory_use::Unsent), std::min(minUnsentBytes, largest), largest);
}

size_t readAheadLimit(const client_memory& memory) noexcept
{
    const size_t held = memory.bytesOf(memory_use::ReadAhead) + memory.bytesOf(memory_use::Unread);
    return limitOfOne(shareOf(memory.limits.total, readAheadShare), held, minReadAheadBytes, maxReadAheadBytes);
}

size_t receiveBufferLimit(const client_memory& memory, size_t connections) noexcept
{
    return std::clamp(shareOf(memory.limits.total, receiveBufferShare) / (connections + 1), minReceiveBufferBytes, maxReceiveBufferBytes);
}

size_t maxSessions(const client_memory& memory) noexcept
{
    return shareOf(memory.limits.total, sessionShare) / sessionBytes;
}

std::vector<size_t> yieldingBacklogs(const client_memory& memory, std::span<const size_t> backlogs)
{
    const size_t limit = shareOf(memory.limits.total, unsentShare);
    size_t unsent = memory.bytesOf(memory_use::Unsent);
    if (unsent <= limit)
        return {};
    std::vector<size_t> indices(backlogs.size());
    std::iota(indices.begin(), indices.end(), size_t(0));
    std::sort(indices.begin(), indices.end(), [&](size_t left, size_t right) { return backlogs[left] > backlogs[right]; });
    size_t count = 0;
    for (; count < indices.size() && unsent > limit; ++count)
        unsent -= std::min(unsent, backlogs[indices[count]]);
    indices.resize(count);
    return indices;
}

std::vector<size_t> yieldingConnections(std::span<const open_connection> connections, size_t count, time_point now)
{
    std::vector<size_t> indices;
    for (size_t i = 0; i < connections.size(); ++i) {
        if (connections[i].state != open_connection::activity::Busy && now - connections[i].since >= minConnectionAge)
            indices.push_back(i);
    }
    std::sort(indices.begin(), indices.end(), [&](size_t left, size_t right) {
        const auto key = [&](size_t index) { return std::pair(connections[index].state == open_connection::activity::Kept, connections[index].since); };
        return key(left) < key(right);
    });
    indices.resize(std::min(indices.size(), count));
    return indices;
}
}
