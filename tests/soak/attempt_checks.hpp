/// Decides from what targets, gateways and configurations went through whether the end of an attempt is allowed.
#pragma once

#include "http1/status.hpp"
#include "soak/soak_callers.hpp"

#include <map>
#include <optional>

namespace bilberryseam::tests {

/// What happened in a soak run, apart from the attempts.
class soak_history {
public:
    void addRun(const std::string& id, size_t engine) { m_runs[id].push_back({ engine, monotonicNow() }); }
    void addRejection(const std::string& id) { ++m_rejections[id]; }
    void addCrash(size_t engine) { m_crashes[engine].push_back(monotonicNow()); }
    void addKill(size_t gateway) { m_kills[gateway].push_back(monotonicNow()); }
    void addPause(size_t gateway, milliseconds duration) { m_pauses[gateway].emplace_back(monotonicNow(), monotonicNow() + duration); }
    void addTimeout(milliseconds timeout) { m_timeouts.emplace_back(monotonicNow(), timeout); }
    void addKeyRemoval() { m_isKeyEverRemoved = true; }
    /// @param prefix  Path of a route that the configuration lacks from now on, or has from now on.
    void addRouteChange(const std::string& prefix, bool isPresent) { m_routeChanges[prefix].emplace_back(monotonicNow(), isPresent); }
    void addConfiguration() { m_configurations.push_back(monotonicNow()); }

    /// @return How many times targets received the request.
    [[nodiscard]] size_t arrivalsOf(const std::string& id) const { return m_runs.contains(id) ? m_runs.at(id).size() : 0; }
    /// @return How many times targets received the request and did not reject it.
    [[nodiscard]] size_t runsOf(const std::string& id) const { return arrivalsOf(id) - (m_rejections.contains(id) ? m_rejections.at(id) : 0); }

    /// @return Whether a target that received the attempt broke off before its end, or one that had not read it yet just before.
    [[nodiscard]] bool hasTargetBrokenOff(const attempt& item) const
    {
        const auto runs = m_runs.find(item.id);
        if (runs == m_runs.end()) {
            const time_point from = std::max(item.sentAt, item.endedAt - breakOffTime);
            return std::any_of(m_crashes.begin(), m_crashes.end(), [&](const auto& entry) { return isAnyIn(m_crashes, entry.first, from, item.endedAt); });
        }
        return std::any_of(runs->second.begin(), runs->second.end(), [&](const run& entry) { return isAnyIn(m_crashes, entry.engine, entry.at, item.endedAt); });
    }

    [[nodiscard]] bool wasGatewayKilled(const attempt& item) const { return isAnyIn(m_kills, item.gateway, item.sentAt, item.endedAt); }

    /// @return Whether the deadline passed, or the timeout of a configuration that may have been in force when the gateway read the request.
    [[nodiscard]] bool hasTimedOut(const attempt& item) const
    {
        milliseconds limit = callerDeadline;
        const time_point readBy = std::max(latestReading(item), item.turnAt + readingTime);
        // The newest configuration before the window may still have been in force.
        for (size_t i = 0; i < m_timeouts.size(); ++i) {
            const bool isReplacedBefore = i + 1 < m_timeouts.size() && m_timeouts[i + 1].first < item.sentAt - configurationWindow;
            if (!isReplacedBefore && m_timeouts[i].first <= readBy)
                limit = std::min(limit, m_timeouts[i].second);
        }
        return item.endedAt - item.begunAt >= limit;
    }

    /// @return Whether the gateway has read the whole request: a target has it, or the gateway had time to read it.
    [[nodiscard]] bool wasRead(const attempt& item) const
    {
        if (arrivalsOf(item.id) > 0)
            return true;
        return item.outcome != http1::call_outcome::NotSent && item.endedAt - item.sentAt > readingTime && latestReading(item) <= item.endedAt;
    }

    /// @return Whether a configuration came into force while the attempt ran, or may have.
    [[nodiscard]] bool isBesideConfiguration(const attempt& item) const
    {
        return std::any_of(m_configurations.begin(), m_configurations.end(), [&](time_point at) { return at <= item.endedAt && item.sentAt <= at + calmConfigurationWindow; });
    }

    /// @return What is wrong with the end of an attempt; not set if nothing is.
    [[nodiscard]] std::optional<std::string> complaint(const attempt& item, int eventCount) const
    {
        const std::string text = describe(item);
        if (runsOf(item.id) > 1 && !mayRunTwice(item.kind))
            return "ran more than once: " + text;
        if (item.hasLeft)
            return std::nullopt;
        if (item.isComplete() && item.head.status == http1::statusOk)
            return isWhole(item, eventCount) ? std::nullopt : std::optional("a complete response is not whole: " + text);
        const unsigned refusals[] { http1::statusTimeout, http1::statusMisdirected, http1::statusTooManyRequests, http1::statusUnavailable };
        if (item.isComplete() && std::find(std::begin(refusals), std::end(refusals), item.head.status) != std::end(refusals))
            return runsOf(item.id) == 0 || mayRunTwice(item.kind) ? std::nullopt : std::optional("was refused but ran: " + text);
        if (item.isComplete() && item.head.status == http1::statusUnauthorized && item.hasRevocableKey && m_isKeyEverRemoved)
            return std::nullopt;
        if (item.isComplete() && item.head.status == http1::statusNotFound && mayRouteBeMissing(item))
            return std::nullopt;
        if (item.isCrashing || !wasRead(item) || wasGatewayKilled(item) || hasTargetBrokenOff(item) || hasTimedOut(item))
            return std::nullopt;
        return (item.isComplete() ? "failed at the gateway: " : "got neither a complete answer nor a refusal: ") + text;
    }

    [[nodiscard]] std::string describe(const attempt& item) const
    {
        return item.id + " at gateway " + std::to_string(item.gateway) + (item.isKept ? " on a kept connection" : "") + ", " + std::string(http1::nameOf(item.outcome)) + ", connection " + std::string(item.connectionEnd ? http1::nameOf(*item.connectionEnd) : "open") + ", status " + std::to_string(item.head.status) + ", "
            + std::to_string(asMilliseconds(item.endedAt - item.sentAt)) + " ms, " + std::to_string(runsOf(item.id)) + " runs, " + std::to_string(item.body.size()) + " bytes";
    }

private:
    struct run {
        size_t engine = 0;
        time_point at {};
    };

    using times = std::map<size_t, std::vector<time_point>>;

    static bool isAnyIn(const times& all, size_t index, time_point from, time_point to)
    {
        const auto position = all.find(index);
        return position != all.end() && std::any_of(position->second.begin(), position->second.end(), [&](time_point at) { return from <= at && at <= to; });
    }

    /// @return When the gateway has read the attempt at the latest.
    [[nodiscard]] time_point latestReading(const attempt& item) const
    {
        time_point readBy = item.sentAt + readingTime;
        if (const auto pauses = m_pauses.find(item.gateway); pauses != m_pauses.end()) {
            for (const auto& [from, to] : pauses->second) {
                if (from <= readBy && to >= item.sentAt)
                    readBy = to + readingTime;
            }
        }
        return readBy;
    }

    /// @return Whether a configuration without the attempt's route may have been in force when the gateway read it.
    [[nodiscard]] bool mayRouteBeMissing(const attempt& item) const
    {
        const auto changes = m_routeChanges.find(item.prefix);
        if (changes == m_routeChanges.end())
            return false;
        for (size_t i = 0; i < changes->second.size(); ++i) {
            const auto& [at, isPresent] = changes->second[i];
            const bool isReplacedBefore = i + 1 < changes->second.size() && changes->second[i + 1].first + calmConfigurationWindow < item.sentAt;
            if (!isPresent && !isReplacedBefore && at <= item.endedAt)
                return true;
        }
        return false;
    }

    /// @return Whether a body is the whole response of one engine, with each event once and in order.
    static bool isWhole(const attempt& item, int eventCount)
    {
        const bool isOwn = http1::findHeader(item.head.headers, "X-Attempt-Id") == item.id;
        if (item.plainBytes)
            return isOwn && item.body.size() == *item.plainBytes;
        const auto events = eventsOf(item.body);
        const int first = item.stream && item.stream->returns > 0 && !events.empty() ? events.front().number : 1;
        for (size_t i = 0; i < events.size(); ++i) {
            if (events[i].number != first + static_cast<int>(i))
                return false;
        }
        const int last = isStream(item.kind) ? eventCount : 1;
        const bool isResumedAtEnd = events.empty() && item.body.empty() && item.stream && item.stream->lastEvent == eventCount;
        return isOwn && item.body.ends_with("\n\n") != isResumedAtEnd && (isResumedAtEnd || events.back().number == last);
    }

    /// A gateway that runs has read a request after this time.
    static constexpr milliseconds readingTime { 200 };
    /// A request that a target has not read ends within this time after the target broke off.
    static constexpr milliseconds breakOffTime { 100 };
    /// Longest time until a configuration is in force, with store faults.
    static constexpr seconds configurationWindow { 8 };
    /// Longest time until a configuration is in force and requests that it disturbs have ended, without store faults.
    static constexpr milliseconds calmConfigurationWindow { 3500 };

    std::map<std::string, std::vector<run>> m_runs;
    std::map<std::string, size_t> m_rejections;
    times m_crashes;
    times m_kills;
    std::map<size_t, std::vector<std::pair<time_point, time_point>>> m_pauses;
    std::vector<std::pair<time_point, milliseconds>> m_timeouts;
    std::map<std::string, std::vector<std::pair<time_point, bool>>> m_routeChanges;
    std::vector<time_point> m_configurations;
    bool m_isKeyEverRemoved = false;
};
}
