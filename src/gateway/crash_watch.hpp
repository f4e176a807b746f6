/// Recognises crashes of targets by broken responses, and shares them with the other entries by connections and by the store.
#pragma once

#include "execution/crash_exchange.hpp"
#include "execution/crash_probe.hpp"
#include "gateway/crash_records.hpp"
#include "gateway/target_registry.hpp"
#include "platform/topic_follower.hpp"

#include <list>
#include <memory>

namespace bilberryseam::gateway {

class crash_watch {
public:
    struct callbacks {
        /// Sends a message to all connected entries.
        std::function<void(const wire::message&)> sendToAll;
        /// Sends a message to the entries that collect reports about crashes, without this one.
        std::function<void(const wire::message&)> sendToCollectors;
        /// @return Whether this entry collects reports.
        std::function<execution::collection_role()> role;
        /// Called after a segment was refused for the first time, with the first of the crashes behind it.
        std::function<void(time_point firstCrashAt)> onVerdict;
        /// @return This entry's rank among those that may start a trial of a segment.
        std::function<size_t(uint64_t segment)> trialRankOf;
    };

    /// @param store    Must outlive the watch.
    /// @param ownName  Name of this entry.
    crash_watch(metrics& metrics, platform::store_client& store, std::string ownName, callbacks callbacks);

    /// Records that a target ended a request that had not begun to respond. Crashes are reported once it is known that
    /// nothing listens at the target's address; a cut connection alone is no crash.
    void onBrokenRequest(const target_state& target, execution::broken_request request, time_point now);

    /// Records that a response with these segments began at a time and did not crash its target.
    void recordSurvival(std::span<const uint64_t> segments, time_point beganAt, time_point now) { m_exchange.recordSurvival(segments, beganAt, now); }

    [[nodiscard]] std::optional<uint64_t> refusedSegment(std::span<const uint64_t> segments, time_point now) const noexcept { return m_exchange.refusedSegment(segments, now); }
    /// @return True if responses with a refused segment did not crash their targets before.
    [[nodiscard]] bool hasSurvived(uint64_t segment) const noexcept { return m_exchange.hasSurvived(segment); }
    /// @return True if the request may run although one of its segments is refused, as the one trial that is due.
    [[nodiscard]] bool tryStartTrial(std::span<const uint64_t> segments, time_point now);
    /// @return When a caller may come back with a refused segment.
    [[nodiscard]] milliseconds retryAfter(uint64_t segment, time_point now) const;

    /// Handles a message of another entry.
    /// @return False if it is about something else.
    [[nodiscard]] bool handle(const wire::message& message, std::string_view from, time_point now) { return m_exchange.handle(message, from, now); }
    /// Sends all that is known to an entry that has just connected.
    void sendAll(const std::function<void(wire::message)>& send, time_point now) const { m_exchange.sendAll(send, now); }

    /// @return True once the store's records were read.
    [[nodiscard]] bool isReady() const noexcept { return m_hasRecords; }
    [[nodiscard]] platform::topic_follower& follower() noexcept { return m_follower; }
    void tick(time_point now);

private:
    void storeChange(const wire::message& message);
    void put(const std::string& key, const std::string& value);
    platform::follow_callbacks followCallbacks();
    void applyRecord(const std::string& key, const std::string& text);

    platform::store_client& m_store;
    std::string m_ownName;
    callbacks m_callbacks;
    execution::crash_probe m_probe;
    execution::crash_exchange m_exchange;
    std::list<platform::store_call> m_puts;
    size_t m_nextReport = 0;
    time_point m_lastReportStoredAt {};
    bool m_hasRecords = false;
    platform::topic_follower m_follower;
};
}
