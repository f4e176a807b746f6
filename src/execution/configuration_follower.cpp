#include "execution/configuration_follower.hpp"

#include "telemetry/log.hpp"

namespace bilberryseam::execution {

namespace {
    constexpr std::string_view logComponent = "configuration";

    /// Longest random delay before a due snapshot is written, so that usually one entry writes it and the others find it.
    constexpr milliseconds maxSnapshotDelay { 2000 };

    constexpr milliseconds tickPeriod { 250 };

    /// Log reads per second allowed for all daemons together; the poll period grows with their number.
    constexpr double fleetReadsPerSecond = 50;
}

configuration_follower::configuration_follower(const settings::platform_settings& platform, metrics& metrics, bool isSnapshotWriter, callbacks callbacks)
    : m_platform(platform)
    , m_metrics(metrics)
    , m_callbacks(std::move(callbacks))
    , m_log(platform.log)
    , m_snapshots(platform)
    , m_isSnapshotWriter(isSnapshotWriter)
    , m_jitterGenerator(std::random_device {}())
{
    m_tickTimer.startEvery(tickPeriod, [this] {
        perform(configuration::onTick(m_peerSync, monotonicNow()));
        writeSnapshotIfDue();
    });
    poll();
}

void configuration_follower::poll()
{
    m_readHandle = m_log.read(m_platform.configurationStream, m_state.nextOffset, [this](platform::stream_read_result result) { handleReadResult(result); });
}

void configuration_follower::scheduleNextPoll()
{
    const double daemonCount = 1 + static_cast<double>(m_state.of<configuration::target>().size());
    const milliseconds fleetPeriod(static_cast<int64_t>(1000 * daemonCount / fleetReadsPerSecond));
    const milliseconds period = std::max(m_platform.configurationPollPeriod, fleetPeriod);
    const milliseconds jitter(m_jitterGenerator() % (period.count() + 1));
    m_pollTimer.startOnce(period / 2 + jitter, [this] { poll(); });
}

void configuration_follower::handleReadResult(const platform::stream_read_result& result)
{
    m_metrics.count("configuration_reads_total", { { "result", result.isOk ? "ok" : "failed" } });
    if (!result.isOk) {
        scheduleNextPoll();
        return;
    }
    if (result.oldestOffset > m_state.nextOffset) {
        readSnapshot(result.oldestOffset);
        return;
    }
    bool hasAdvanced = false;
    for (const auto& record : result.records)
        hasAdvanced |= apply({ record.offset, record.appendedMs, record.text });
    if (hasAdvanced)
        publishAdvance();
    markUpToDate();
    if (hasAdvanced && m_state.nextOffset < result.nextOffset)
        poll();
    else
        scheduleNextPoll();
}

void configuration_follower::readSnapshot(uint64_t logStart)
{
    logLine(log_level::Warning, logComponent, "The log no longer keeps the next record; reading the newest snapshot.", { { "offset", std::to_string(m_state.nextOffset) }, { "log_start", std::to_string(logStart) } });
    m_snapshots.load([this, logStart](const std::optional<configuration::assembled_snapshot>& snapshot) {
        if (snapshot) {
            m_snapshotOffset = std::max(m_snapshotOffset, snapshot->nextOffset);
            applySnapshot(snapshot->text);
        }
        if (m_state.nextOffset < logStart)
            raiseAlarm("The log has dropped records that no snapshot holds. Remedy: wait for a peer, or publish the whole configuration anew.");
        scheduleNextPoll();
    });
}

const std::string& configuration_follower::snapshotText()
{
    if (m_snapshotText.empty() || m_snapshotTextOffset != m_state.nextOffset) {
        m_snapshotText = configuration::writeSnapshot(m_state);
        m_snapshotTextOffset = m_state.nextOffset;
    }
    return m_snapshotText;
}

void configuration_follower::writeSnapshotIfDue()
{
    const bool isDue = m_isSnapshotWriter && m_state.nextOffset >= m_snapshotOffset + m_platform.snapshotEveryNotes;
    if (!isDue || m_snapshotTimer.isRunning())
        return;
    m_snapshotTimer.startOnce(milliseconds(m_jitterGenerator() % maxSnapshotDelay.count()), [this] {
        m_snapshots.write(snapshotText(), m_state.nextOffset, [this](uint64_t offset) {
            m_metrics.count("configuration_snapshots_written_total", { { "result", offset > 0 ? "ok" : "failed" } });
            m_snapshotOffset = std::max(m_snapshotOffset, offset);
            m_metrics.set("configuration_snapshot_offset", {}, static_cast<double>(m_snapshotOffset));
        });
    });
}

void configuration_follower::applySnapshot(std::string_view text)
{
    result<configuration::state> state = configuration::readSnapshot(text);
    if (!state) {
        m_metrics.count("configuration_snapshots_refused_total", { { "reason", std::string(nameOf(state.error().kind())) } });
        return;
    }
    if (state.value().nextOffset <= m_state.nextOffset)
        return;
    m_state = std::move(state.value());
    configuration::clearRecords(m_window);
    m_isReady = true;
    publishAdvance();
}

bool configuration_follower::apply(configuration::log_record record)
{
    switch (configuration::applyRecord(m_state, record)) {
    case configuration::fold_step::Applied:
        configuration::appendRecord(m_window, std::move(record));
        return true;
    case configuration::fold_step::Halted:
        raiseAlarm(m_state.haltReason);
        return false;
    case configuration::fold_step::OutOfOrder:
        return false;
    }
    return false;
}

void configuration_follower::publishAdvance()
{
    m_alarm.clear();
    m_metrics.set("configuration_offset", {}, static_cast<double>(m_state.nextOffset));
    logLine(log_level::Info, logComponent, "A new configuration is in force.", { { "offset", std::to_string(m_state.nextOffset) } });
    perform(configuration::onOffsetAdvanced(m_peerSync, m_state.nextOffset, monotonicNow()));
    m_callbacks.onAdvanced(m_state);
    writeSnapshotIfDue();
}

void configuration_follower::markUpToDate()
{
    m_isReady = true;
    if (const auto done = std::exchange(m_onRefreshed, nullptr))
        done();
}

void configuration_follower::refresh(std::function<void()> done)
{
    m_onRefreshed = std::move(done);
    m_pollTimer.stop();
    poll();
}

void configuration_follower::onPeerAttached(identifier peer)
{
    perform(configuration::onPeerAttached(m_peerSync, peer));
}

void configuration_follower::onPeerDisconnected(identifier peer)
{
    configuration::onPeerDisconnected(m_peerSync, peer);
}

bool configuration_follower::handle(identifier peer, wire::message& message)
{
    if (const auto* offsetReport = std::get_if<wire::configuration_offset>(&message)) {
        perform(configuration::onPeerOffset(m_peerSync, peer, offsetReport->offset, offsetReport->requestsRecords, monotonicNow()));
        return true;
    }
    if (auto* records = std::get_if<wire::configuration_records>(&message)) {
        handlePeerRecords(*records);
        return true;
    }
    return false;
}

void configuration_follower::handlePeerRecords(wire::configuration_records& records)
{
    if (!records.snapshot.empty())
        applySnapshot(records.snapshot);
    bool hasAdvanced = false;
    for (wire::configuration_record& record : records.records)
        hasAdvanced |= apply({ record.offset, record.appendedMs, std::move(record.text) });
    if (!hasAdvanced)
        return;
    markUpToDate();
    m_metrics.count("configuration_records_from_peers_total");
    publishAdvance();
}

void configuration_follower::perform(const std::vector<configuration::peer_sync_action>& actions)
{
    for (const auto& action : actions) {
        if (action.kind == configuration::peer_sync_action_kind::SendRecords)
            sendRecords(action.peer, action.fromOffset);
        else
            m_callbacks.send(action.peer, wire::configuration_offset { m_state.nextOffset, action.kind == configuration::peer_sync_action_kind::Pull });
    }
}

void configuration_follower::sendRecords(identifier peer, uint64_t from)
{
    configuration::catch_up catchUp = configuration::recordsSince(m_window, m_state.nextOffset, from);
    wire::configuration_records message;
    if (catchUp.needsSnapshot)
        message.snapshot = snapshotText();
    for (auto& record : catchUp.records)
        message.records.push_back({ record.offset, record.appendedMs, std::move(record.text) });
    m_callbacks.send(peer, std::move(message));
}

void configuration_follower::raiseAlarm(std::string_view message)
{
    if (m_alarm == message)
        return;
    m_alarm = message;
    m_metrics.count("configuration_alarms_total");
    logLine(log_level::Error, logComponent, message);
}
}
