/// Keeps a daemon's configuration up to date: reads the log, synchronizes with peers, and reports changes.
#pragma once

#include "configuration/configuration.hpp"
#include "execution/snapshot_store.hpp"
#include "loop/timer.hpp"
#include "platform/log_client.hpp"
#include "settings/entry_settings.hpp"
#include "telemetry/metrics.hpp"
#include "wire/message.hpp"

#include <functional>
#include <random>

namespace bilberryseam::execution {

/// Follows the configuration stream. The offset of the configuration in force never decreases.
class configuration_follower {
public:
    struct callbacks {
        /// The configuration in force changed.
        std::function<void(const configuration::state&)> onAdvanced;
        /// Sends a message to a peer.
        std::function<void(identifier peer, wire::message)> send;
    };

    /// @param isSnapshotWriter  Whether this daemon writes snapshots to the log; entries do.
    configuration_follower(const settings::platform_settings& platform, metrics& metrics, bool isSnapshotWriter, callbacks callbacks);

    /// Reads the log immediately, for a process that was paused and may be behind.
    /// @param done  Called after the next successful read from the log or update from a peer.
    void refresh(std::function<void()> done);

    void onPeerAttached(identifier peer);
    void onPeerDisconnected(identifier peer);

    /// Handles a message about the configuration.
    /// @return False if the message is about something else.
    [[nodiscard]] bool handle(identifier peer, wire::message& message);

    [[nodiscard]] const configuration::state& current() const noexcept { return m_state; }

    /// @return Whether a configuration is in force, i.e. the log was read or a peer sent its records or snapshot.
    [[nodiscard]] bool isReady() const noexcept { return m_isReady; }

    /// @return Offset of the newest snapshot in the log as observed by this daemon.
    [[nodiscard]] uint64_t snapshotOffset() const noexcept { return m_snapshotOffset; }

    /// @return A message for operators if the configuration cannot advance, else empty.
    [[nodiscard]] const std::string& alarm() const noexcept { return m_alarm; }

private:
    void poll();
    void scheduleNextPoll();
    void handleReadResult(const platform::stream_read_result& result);
    void readSnapshot(uint64_t logStart);
    void writeSnapshotIfDue();
    const std::string& snapshotText();
    void applySnapshot(std::string_view text);
    void handlePeerRecords(wire::configuration_records& records);
    bool apply(configuration::log_record record);
    void publishAdvance();
    void perform(const std::vector<configuration::peer_sync_action>& actions);
    void sendRecords(identifier peer, uint64_t from);
    void markUpToDate();
    void raiseAlarm(std::string_view message);

    settings::platform_settings m_platform;
    metrics& m_metrics;
    callbacks m_callbacks;
    platform::log_client m_log;
    snapshot_store m_snapshots;
    bool m_isSnapshotWriter;
    uint64_t m_snapshotOffset = 0;
    /// The last serialized snapshot, cached because many peers may ask for it when they restart together.
    std::string m_snapshotText;
    uint64_t m_snapshotTextOffset = 0;
    timer m_snapshotTimer;
    std::function<void()> m_onRefreshed;
    configuration::state m_state;
    configuration::record_window m_window;
    configuration::peer_sync_state m_peerSync;
    std::shared_ptr<void> m_readHandle;
    timer m_pollTimer;
    timer m_tickTimer;
    std::minstd_rand m_jitterGenerator;
    bool m_isReady = false;
    std::string m_alarm;
};
}
