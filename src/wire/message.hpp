/// Typed messages between entries and sides, and between gateways. PROTOCOL.md describes them.
#pragma once

#include "base/identifier.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace bilberryseam::wire {

/// Version of the protocol between daemons. The handshake refuses a peer with another version.
constexpr uint32_t protocolVersion = 6;

/// Why a side refused a call before it started. The call did not run.
enum class refusal : uint8_t {
    Draining,
    QueueFull,
    DeadlinePassed,
    UnknownTarget,
    Quarantined,
    KeyExpired,
    ClaimsNotReady,
    LogUnavailable,
    TargetDown,
    Cancelled,
    RunsElsewhere,
    KeyReused,
};

/// How a call that a side accepted ended.
enum class call_end : uint8_t {
    Answered,
    Rejected,
    TargetCrashed,
    TimedOut,
    Cancelled,
    Unknown,
};

/// @return The stable name of a refusal, used in logs, counters and responses.
[[nodiscard]] std::string_view nameOf(refusal reason) noexcept;

/// @return The stable name of a call's end, used in logs and counters.
[[nodiscard]] std::string_view nameOf(call_end end) noexcept;

/// An element of a list of prompt segments.
struct segment_item {
    uint64_t segment = 0;

    template <typename Visitor>
    void visitFields(Visitor& visit) { visit(segment); }
};

/// Entry to side: run this call.
struct start_call {
    identifier request;
    identifier attempt;
    std::string target;
    std::string pipeline;
    std::string stage;
    std::string account;
    uint32_t remainingMs = 0;
    uint8_t priority = 0;
    bool isStreamed = false;
    bool isRetryable = true;
    /// The call is suspected of crashing targets and must run alone at its target.
    bool isIsolated = false;
    std::string idempotencyKey;
    int64_t keyIssuedMs = 0;
    uint64_t fingerprint = 0;
    std::string body;
    /// Prompt segments that other requests may share.
    std::vector<segment_item> segments;
    /// The call runs although one of its segments is refused, to see whether it still crashes targets.
    bool isTrial = false;

    template <typename Visitor>
    void visitFields(Visitor& visit)
    {
        visit(request, attempt, target, pipeline, stage, account, remainingMs, priority, isStreamed, isRetryable, isIsolated, idempotencyKey, keyIssuedMs, fingerprint, body, segments, isTrial);
    }
};

/// Entry to side: cancel the call.
struct cancel_call {
    identifier attempt;

    template <typename Visitor>
    void visitFields(Visitor& visit) { visit(attempt); }
};

/// Side to entry: the call did not start and will not.
struct call_refused {
    identifier request;
    identifier attempt;
    refusal reason = refusal::Draining;
    uint32_t retryAfterMs = 0;

    template <typename Visitor>
    void visitFields(Visitor& visit) { visit(request, attempt, reason, retryAfterMs); }
};

/// Side to entry: the side is starting the call at its target.
struct call_started {
    identifier attempt;

    template <typename Visitor>
    void visitFields(Visitor& visit) { visit(attempt); }
};

/// Side to entry: a chunk of a streamed response. Indices count up from zero without gaps.
struct call_output {
    identifier request;
    identifier attempt;
    uint32_t index = 0;
    std::string text;

    template <typename Visitor>
    void visitFields(Visitor& visit) { visit(request, attempt, index, text); }
};

/// Side to entry: an accepted call ended.
struct call_finished {
    identifier request;
    identifier attempt;
    call_end end = call_end::Unknown;
    /// Number of output chunks sent before, so that the receiver can detect missing ones.
    uint32_t outputCount = 0;
    uint32_t queuedMs = 0;
    uint32_t runMs = 0;
    std::string body;
    std::string detail;

    template <typename Visitor>
    void visitFields(Visitor& visit) { visit(request, attempt, end, outputCount, queuedMs, runMs, body, detail); }
};

/// Side to entry: the load of one target. Sent along with replies.
struct target_load {
    std::string target;
    uint32_t queued = 0;
    uint32_t running = 0;
    uint32_t capacity = 0;
    uint32_t expectedWaitMs = 0;
    bool isDraining = false;
    /// The target currently accepts no connections.
    bool isDown = false;
    /// Number of entries that share the target.
    uint32_t entries = 1;

    template <typename Visitor>
    void visitFields(Visitor& visit) { visit(target, queued, running, capacity, expectedWaitMs, isDraining, isDown, entries); }
};

/// Both directions: the configuration offset in force at the sender. Between entries of a platform: its version.
struct configuration_offset {
    uint64_t offset = 0;
    /// The sender requests the records from its offset on.
    bool requestsRecords = false;

    template <typename Visitor>
    void visitFields(Visitor& visit) { visit(offset, requestsRecords); }
};

/// One record of the configuration stream.
struct configuration_record {
    uint64_t offset = 0;
    /// When the record was appended to the log, in milliseconds since 1970.
    int64_t appendedMs = 0;
    std::string text;

    template <typename Visitor>
    void visitFields(Visitor& visit) { visit(offset, appendedMs, text); }
};

/// Both directions: what a peer that is behind lacks: a snapshot, records after it, or both. Between entries of a platform:
/// the text of a newer configuration, or nothing if the sender has none.
struct configuration_records {
    /// A snapshot of the fold; empty if the records alone suffice.
    std::string snapshot;
    std::vector<configuration_record> records;

    template <typename Visitor>
    void visitFields(Visitor& visit) { visit(snapshot, records); }
};

/// Both directions: target crashes counted against calls of one fingerprint.
struct crash_suspicion {
    uint64_t fingerprint = 0;
    uint32_t crashCount = 0;
    bool isQuarantined = false;
    uint32_t remainingMs = 0;

    template <typename Visitor>
    void visitFields(Visitor& visit) { visit(fingerprint, crashCount, isQuarantined, remainingMs); }
};

/// An element of a list of texts.
struct text_item {
    std::string text;

    template <typename Visitor>
    void visitFields(Visitor& visit) { visit(text); }
};

/// Entry to the owner of a pool: run all tasks of one stage of a request.
struct start_tasks {
    /// Identifies the job in all later messages about it.
    uint64_t jobNumber = 0;
    std::string request;
    std::string service;
    uint32_t stage = 0;
    uint32_t taskCount = 0;
    std::string taskKey;
    std::vector<text_item> inputs;
    uint64_t resultBytes = 0;
    /// Time from now until the latest useful start; negative if it has passed.
    int64_t latestStartMs = 0;
    uint32_t remainingMs = 0;
    /// Priority rank of the request; 0 is the most urgent.
    uint32_t rank = 0;
    /// Failure domains in which the results must, or should, be produced; may be empty.
    std::string requiredDomain;
    std::string preferredDomain;
    /// Prompt tokens plus tokens to generate; the latter are weighted by their price.
    uint64_t tokens = 0;
    /// The tasks may run only at targets in `regions`, which may be empty.
    bool isRestricted = false;
    std::vector<text_item> regions;
    /// Names of the request's route and account, by which the owner applies the regions of its own configuration.
    std::string route;
    std::string account;
    /// Latency objective of the request; zero if not given.
    uint32_t objectiveMs = 0;

    template <typename Visitor>
    void visitFields(Visitor& visit) { visit(jobNumber, request, service, stage, taskCount, taskKey, inputs, resultBytes, latestStartMs, remainingMs, rank, requiredDomain, preferredDomain, tokens, isRestricted, regions, route, account, objectiveMs); }
};

/// Owner to entry: one task has its result, or has finally failed.
struct task_finished {
    uint64_t jobNumber = 0;
    uint32_t task = 0;
    std::string handle;
    uint32_t failure = 0;
    /// Predicted time until the pool has room for the job, if it refused it as overloaded.
    uint32_t waitMs = 0;

    template <typename Visitor>
    void visitFields(Visitor& visit) { visit(jobNumber, task, handle, failure, waitMs); }
};

/// Owner to entry: it does not serve the pool now; no task was started.
struct tasks_refused {
    uint64_t jobNumber = 0;

    template <typename Visitor>
    void visitFields(Visitor& visit) { visit(jobNumber); }
};

/// Entry to owner: the tasks of the job are no longer needed.
struct cancel_tasks {
    uint64_t jobNumber = 0;

    template <typename Visitor>
    void visitFields(Visitor& visit) { visit(jobNumber); }
};

/// Entry to owner: release these results.
struct release_results {
    std::vector<text_item> handles;

    template <typename Visitor>
    void visitFields(Visitor& visit) { visit(handles); }
};

/// A prompt segment in a crash report, with one bit for each request that contained it.
struct reported_segment {
    uint64_t segment = 0;
    uint32_t requests = 0;

    template <typename Visitor>
    void visitFields(Visitor& visit) { visit(segment, requests); }
};

/// Both directions: requests that had not begun to respond when a target crashed.
struct crash_report {
    /// Unique, since a report may arrive on several paths.
    uint64_t id = 0;
    uint64_t target = 0;
    uint32_t ageMs = 0;
    std::vector<reported_segment> segments;

    template <typename Visitor>
    void visitFields(Visitor& visit) { visit(id, target, ageMs, segments); }
};

/// Both directions: requests with this prompt segment, and with all its companions, are refused.
struct segment_verdict {
    uint64_t segment = 0;
    std::vector<segment_item> companions;
    uint32_t crashCount = 0;
    uint32_t lastCrashAgeMs = 0;
    uint32_t trials = 0;
    uint32_t nextTrialMs = 0;

    template <typename Visitor>
    void visitFields(Visitor& visit) { visit(segment, companions, crashCount, lastCrashAgeMs, trials, nextTrialMs); }
};

/// Both directions: a response that began this long ago did not crash its target, so earlier crashes do not count against the segment.
struct segment_survival {
    uint64_t segment = 0;
    uint32_t ageMs = 0;

    template <typename Visitor>
    void visitFields(Visitor& visit) { visit(segment, ageMs); }
};

/// Between entries: a target has begun a stream. An empty version states that it is unknown which one did.
struct stream_begun {
    /// Hash of the caller's request that brought the first event.
    uint64_t stream = 0;
    std::string softwareVersion;
    /// Hash of the target's identifier.
    uint64_t target = 0;
    uint32_t ageMs = 0;
    /// Hash of the target's identifier and start; zero if the start is not stated.
    uint64_t run = 0;
    /// Value of `policy::origin_evidence`.
    uint32_t evidence = 0;

    template <typename Visitor>
    void visitFields(Visitor& visit) { visit(stream, softwareVersion, target, ageMs, run, evidence); }
};

/// Between entries: which version began this stream?
struct stream_query {
    uint64_t stream = 0;

    template <typename Visitor>
    void visitFields(Visitor& visit) { visit(stream); }
};

/// Response to a query by an entry that does not know the stream; one that does sends `stream_begun`.
struct stream_unknown {
    uint64_t stream = 0;

    template <typename Visitor>
    void visitFields(Visitor& visit) { visit(stream); }
};

/// Between entries: have responses with this prompt segment begun that did not crash their targets? The receiver passes the
/// query on, and sends `segment_survival` to the collectors of crash reports if it has seen one.
struct survival_query {
    uint64_t segment = 0;

    template <typename Visitor>
    void visitFields(Visitor& visit) { visit(segment); }
};

/// Entry to the collectors of crash reports: a target crashed that ran a request with this fingerprint.
struct crash_strike {
    uint64_t fingerprint = 0;
    /// Unique, since a strike may arrive on several paths.
    uint64_t id = 0;

    template <typename Visitor>
    void visitFields(Visitor& visit) { visit(fingerprint, id); }
};

/// Between entries: what has a topic of the platform's store from this offset on?
struct topic_query {
    std::string topic;
    /// Returned in the response, which may be late.
    uint64_t number = 0;
    /// Era of the store in which the offset was read.
    uint64_t era = 0;
    uint64_t offset = 0;

    template <typename Visitor>
    void visitFields(Visitor& visit) { visit(topic, number, era, offset); }
};

/// A record of a topic.
struct topic_record {
    uint64_t offset = 0;
    std::string bytes;

    template <typename Visitor>
    void visitFields(Visitor& visit) { visit(offset, bytes); }
};

/// Response to a query for a topic.
struct topic_records {
    std::string topic;
    /// Number of the query.
    uint64_t number = 0;
    uint64_t era = 0;
    /// Offset up to which all records are included, but those that change nothing.
    uint64_t nextOffset = 0;
    /// Time since which the sender's last complete read of the store is known to be complete.
    uint32_t ageMs = 0;
    /// The sender cannot answer: it does not have these records, or does not reach the store.
    bool isUnavailable = false;
    /// There are further records.
    bool hasMore = false;
    std::vector<topic_record> records;

    template <typename Visitor>
    void visitFields(Visitor& visit) { visit(topic, number, era, nextOffset, ageMs, isUnavailable, hasMore, records); }
};

/// Load at one target: that of one gateway, or the sum of several.
struct load_item {
    /// Hash of the target's identifier and start.
    uint64_t target = 0;
    uint32_t requests = 0;
    uint64_t prefillTokens = 0;
    uint64_t contextTokens = 0;
    /// Mean time between two events of a stream, in microseconds.
    uint32_t paceUs = 0;
    uint32_t paceSamples = 0;
    /// Streams that have begun and not ended.
    uint32_t runningStreams = 0;

    template <typename Visitor>
    void visitFields(Visitor& visit) { visit(target, requests, prefillTokens, contextTokens, paceUs, paceSamples, runningStreams); }
};

/// Entry to a collector of its region: the load that the entry has at each target. It replaces the previous report.
struct load_report {
    /// Hash of the entry's name.
    uint64_t sender = 0;
    /// Grows with each report, also across restarts.
    uint64_t sequence = 0;
    std::vector<load_item> items;

    template <typename Visitor>
    void visitFields(Visitor& visit) { visit(sender, sequence, items); }
};

/// Collector to entry: the load of all entries. Between collectors: the sum of the reports that the sender has received.
struct load_summary {
    /// Hash of the collector's name.
    uint64_t collector = 0;
    /// The sum contains only reports that the sender has received itself.
    bool isPartial = false;
    /// Sequence of the receiver's last report that the sum contains; zero between collectors.
    uint64_t sequence = 0;
    uint32_t ageMs = 0;
    /// Entries whose reports the sum contains.
    uint32_t gateways = 0;
    std::vector<load_item> items;

    template <typename Visitor>
    void visitFields(Visitor& visit) { visit(collector, isPartial, sequence, ageMs, gateways, items); }
};

/// Any message inside a frame. The index in this list is the type number on the wire.
using message = std::variant<start_call, cancel_call, call_refused, call_started, call_output, call_finished, target_load,
    configuration_offset, configuration_records, crash_suspicion, start_tasks, task_finished, tasks_refused, cancel_tasks, release_results, crash_report,
    segment_verdict, segment_survival, stream_begun, stream_query, stream_unknown, survival_query, crash_strike,
    topic_query, topic_records, load_report, load_summary>;

/// @return The name of a message's type, used in metrics.
[[nodiscard]] std::string_view nameOf(const message& item) noexcept;

/// A numbered batch of messages. Sequence zero marks a heartbeat, which carries no messages.
struct frame {
    uint64_t sequence = 0;
    uint64_t acknowledgedSequence = 0;
    /// The sender requests an immediate acknowledgement.
    bool requestsReply = false;
    std::vector<message> messages;
};

/// First message on a connection, from the entry.
struct hello {
    uint32_t version = protocolVersion;
    identifier session;
    std::string name;
    /// Incarnation of the side that the session started with; zero on the first connection.
    identifier sideIncarnation;
    uint64_t receivedSequence = 0;

    template <typename Visitor>
    void visitFields(Visitor& visit) { visit(version, session, name, sideIncarnation, receivedSequence); }
};

/// Response of the side to a hello.
struct welcome {
    uint32_t version = protocolVersion;
    identifier incarnation;
    std::string name;
    bool isResumed = false;
    uint64_t receivedSequence = 0;

    template <typename Visitor>
    void visitFields(Visitor& visit) { visit(version, incarnation, name, isResumed, receivedSequence); }
};
}
