/// Streams whose callers take them up at other gateways, while targets return under their identifiers with the same or
/// another software version and their records follow late. The environment variables of soak_test.cpp select seeds, duration
/// and the folder for logs; BILBERRYSEAM_SOAK_VERSIONS=0 leaves out the check that a stream has events of one version only.
#include "soak/gateway_faults.hpp"
#include "soak/record_heartbeats.hpp"
#include "soak/seeds.hpp"
#include "soak/soak_callers.hpp"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <numeric>
#include <random>

using namespace bilberryseam;
using namespace bilberryseam::tests;

namespace {
constexpr size_t gatewayCount = 4;
constexpr size_t engineCount = 9;
constexpr int eventsPerAnswer = 12;
constexpr unsigned maxReturns = 3;

/// After this time, all records are written and read, and were renewed once.
constexpr milliseconds settlingTime { 5000 };
/// Streams that begin in this time are counted for the share that goes on.
constexpr milliseconds calmTime { 5000 };
/// Fewer streams that are taken up show no share.
constexpr size_t fewestReturns = 12;
/// Time between the targets of a release.
constexpr milliseconds releasePeriod { 900 };

/// How many requests were sent, and how many got an event, or the end of a stream of which nothing was missing.
struct share {
    size_t sent = 0;
    size_t served = 0;

    void add(bool isServed)
    {
        ++sent;
        served += isServed ? 1 : 0;
    }
    [[nodiscard]] std::string text() const { return std::to_string(served) + " of " + std::to_string(sent); }
};

class stream_order_soak {
public:
    stream_order_soak(unsigned seed, milliseconds duration, int slot)
        : m_seed(seed)
        , m_random(seed)
        , m_duration(duration)
        , m_deployment(slot)
        , m_callers(m_deployment, [this](attempt& item) { onFinished(item); })
    {
        for (size_t i = 0; i < engineCount; ++i)
            addEngine("m-" + std::to_string(i), i % 3 == 2 ? "v2" : "v1");
        m_deployment.configure(3, { deployment_fixture::route("/resume/", "streaming", "model", { { "resumable", true }, { "sticky", true }, { "gap_aim_ms", 250 }, { "timeout_ms", 8000 }, { "max_attempts", 2 } }) });
        for (size_t i = 0; i < gatewayCount; ++i)
            m_deployment.waitUntilReady(m_deployment.startGateway({ { "stopSeconds", 12 } }));
    }

    void run()
    {
        m_isLoading = true;
        timer load, gatewayFaults, engineFaults, release;
        load.startEvery(milliseconds(60), [this] { send(newAttempt()); });
        gatewayFaults.startEvery(milliseconds(700), [this] { disturbGateways(); });
        engineFaults.startEvery(milliseconds(450), [this] { disturbEngine(); });
        release.startEvery(m_duration / 3, [this] { releaseInPlace(); });
        m_deployment.runLoopFor(m_duration);
        gatewayFaults.stop();
        engineFaults.stop();
        release.stop();
        restore();
        m_deployment.runLoopFor(settlingTime);
        m_calmSince = monotonicNow();
        m_deployment.runLoopFor(calmTime);
        load.stop();
        m_isLoading = false;
        m_deployment.waitUntil([this] { return m_callers.areAllFinished() && m_returnsDue == 0; }, "all requests to finish");
        report();
    }

private:
    void addEngine(const std::string& id, const std::string& version)
    {
        auto& target = m_deployment.addTarget(id, "model", "north-1", version);
        const size_t index = m_engines.size();
        const fakes::engine_behaviour behaviour { .firstEventDelay = milliseconds(60), .headDelay = milliseconds(30), .eventPeriod = milliseconds(50), .eventCount = eventsPerAnswer, .silences = { .percent = 1, .shortest = milliseconds(300), .longest = milliseconds(1500), .seed = m_seed }, .version = version, .isResuming = true };
        auto& engine = m_engines.emplace_back(target, behaviour, [this, index](bool isListening) { onListening(index, isListening); });
        engine.setOnRequest([this, &engine](const fakes::received_request& request) { m_runs[request.id] += " " + engine.target().id() + "/" + engine.behaviour().version; });
        m_versions.insert(version);
        // Gateways that start do not trust records of targets that have just started.
        constexpr seconds runningTime { 60 };
        m_deployment.listTarget(target, "model", "ready", "north-1", version, unixMilliseconds() - milliseconds(runningTime).count());
        m_heartbeats.start(id, recordHeartbeat * (index + 1) / engineCount);
    }

    unsigned randomBelow(unsigned below) { return static_cast<unsigned>(m_random() % below); }
    [[nodiscard]] static int64_t unixMilliseconds() { return wallNow().time_since_epoch().count(); }
    fakes::platform_engine& engineAt(size_t index) { return *std::next(m_engines.begin(), static_cast<ptrdiff_t>(index)); }

    /// The record of an engine that has started again is late, and is never written if the engine crashes before.
    void onListening(size_t index, bool isListening)
    {
        auto& engine = engineAt(index);
        if (!isListening) {
            m_heartbeats.stop(engine.target().id());
            return;
        }
        m_actions.schedule(milliseconds(randomBelow(1900)), [this, &engine, startedAtMs = unixMilliseconds(), run = engine.crashCount()] {
            if (run != engine.crashCount())
                return;
            m_deployment.listTarget(engine.target(), "model", "ready", "north-1", engine.behaviour().version, startedAtMs);
            m_heartbeats.start(engine.target().id());
        });
    }

    attempt newAttempt()
    {
        return {
            .id = "o-" + std::to_string(m_seed) + "-" + std::to_string(m_sent++),
            .kind = attempt_kind::ResumableStream,
            .gateway = m_faults.running(randomBelow(gatewayCount), gatewayCount),
            .stream = std::make_shared<stream_record>(),
        };
    }

    /// Sends an attempt; some callers lose their connections.
    void send(attempt spec)
    {
        m_callers.send(std::move(spec));
        if (randomBelow(5) < 2)
            m_actions.schedule(milliseconds(randomBelow(700)), [this, &item = m_callers.attempts().back()] { m_callers.leave(item); });
    }

    void onFinished(attempt& item)
    {
        stream_record& stream = *item.stream;
        const bool wasMixed = stream.versions.size() > 1;
        const bool isResumed = http1::findHeader(item.headers, "Resumes").has_value();
        const bool isGood = item.head.status == http1::statusOk;
        const bool isServed = isGood && item.isComplete();
        const auto events = eventsOf(isGood ? item.body : "");
        m_history[&stream] += "; " + describe(item, events);
        for (const auto& event : events) {
            if (stream.firstId.empty())
                stream.firstId = item.id;
            if (event.number != stream.lastEvent + 1)
                complain("event " + std::to_string(event.number) + " follows event " + std::to_string(stream.lastEvent), item);
            stream.lastEvent = event.number;
            stream.versions.insert(event.version);
        }
        if (isGood)
            checkBytes(item, events);
        if (!wasMixed && stream.versions.size() > 1) {
            ++m_mixedStreamCount;
            if (areVersionsChecked())
                complain("events of two software versions", item);
        }
        if (item.outcome != http1::call_outcome::NotSent)
            count(item, isResumed, !events.empty() || isServed);
        if (!isServed && !stream.firstId.empty() && stream.returns < maxReturns && m_isLoading)
            returnLater(item);
    }

    /// Bytes after the last whole event are the beginning of the next one; a complete response has none.
    void checkBytes(const attempt& item, const std::vector<stream_event>& events)
    {
        const int lastEvent = item.stream->lastEvent;
        const size_t end = events.empty() ? 0 : item.body.rfind("\n\n") + 2;
        const std::string rest = item.body.substr(end);
        if (std::none_of(m_versions.begin(), m_versions.end(), [&](const auto& version) { return fakes::platform_engine::eventText(lastEvent + 1, version).starts_with(rest); }))
            complain("bytes of no event: " + rest, item);
        if (http1::findHeader(item.head.headers, "X-Attempt-Id") != item.id)
            complain("a response to another request", item);
        if (item.isComplete() && (!rest.empty() || lastEvent != eventsPerAnswer))
            complain("a complete response is not whole", item);
    }

    void count(const attempt& item, bool isResumed, bool isServed)
    {
        // A caller that left before the first event shows nothing.
        if (item.hasLeft && !isServed)
            return;
        (isResumed ? m_resumed : m_begun).add(isServed);
        if (!m_calmSince || item.begunAt < *m_calmSince)
            return;
        if (!isResumed) {
            m_calmBegun.add(isServed);
            m_calmStreams.insert(item.stream.get());
            return;
        }
        // Streams that began in trouble may have no known origin.
        const auto isOfVersion = [&](const auto& engine) { return item.stream->versions.contains(engine.behaviour().version); };
        if (m_calmStreams.contains(item.stream.get()) && std::count_if(m_engines.begin(), m_engines.end(), isOfVersion) >= 2)
            m_calmResumed.add(isServed);
    }

    void returnLater(const attempt& item)
    {
        attempt next { .kind = item.kind, .stream = item.stream };
        next.headers = { { "Resumes", item.stream->firstId }, { "Last-Event-Id", std::to_string(item.stream->lastEvent) } };
        next.id = item.stream->firstId + "-" + std::to_string(++next.stream->returns);
        const milliseconds delays[] { milliseconds(5), milliseconds(300), milliseconds(500), milliseconds(2000) };
        ++m_returnsDue;
        m_actions.schedule(delays[randomBelow(4)], [this, next, gateway = item.gateway]() mutable {
            --m_returnsDue;
            next.gateway = m_faults.running((gateway + 1 + randomBelow(gatewayCount - 1)) % gatewayCount, gatewayCount);
            send(next);
        });
    }

    void disturbGateways()
    {
        const milliseconds duration(200 + randomBelow(1500));
        const size_t gateway = randomBelow(gatewayCount);
        switch (randomBelow(6)) {
        case 0:
        case 1:
            m_faults.stop(gateway, SIGKILL, duration);
            break;
        case 2:
            if (!m_faults.isPaused(gateway))
                m_faults.stop(gateway, SIGTERM, duration);
            break;
        case 3:
            m_faults.pause(gateway, duration);
            break;
        case 4:
            for (size_t i = 0; i < gatewayCount; ++i)
                m_faults.stop(i, SIGKILL, duration);
            break;
        default:
            m_deployment.store().setFaults({ .isDown = randomBelow(2) == 0, .status = 503 });
            m_undo.schedule(duration, [this] { m_deployment.store().setFaults({}); });
        }
    }

    void disturbEngine()
    {
        auto& engine = engineAt(randomBelow(engineCount));
        const unsigned kind = randomBelow(6);
        if (kind == 0)
            engine.fallSilentInsideEvents(milliseconds(300 + randomBelow(1200)));
        else
            restart(engine, kind < 4 ? engine.behaviour().version : *std::next(m_versions.begin(), randomBelow(static_cast<unsigned>(m_versions.size()))));
    }

    void restart(fakes::platform_engine& engine, const std::string& version)
    {
        if (!engine.isUp())
            return;
        engine.behaviour().restartDelay = milliseconds(100 + randomBelow(800));
        engine.restartAs(version);
    }

    /// Three targets in series return with a new version, which later restarts may choose too.
    void releaseInPlace()
    {
        const std::string version = "v" + std::to_string(++m_newestVersion);
        m_versions.insert(version);
        const size_t first = randomBelow(engineCount);
        for (int i = 0; i < 3; ++i)
            m_undo.schedule(releasePeriod * i, [this, version, index = (first + static_cast<size_t>(i)) % engineCount] { restart(engineAt(index), version); });
    }

    void restore()
    {
        m_undo.clear();
        m_deployment.store().setFaults({});
        for (auto& engine : m_engines)
            engine.behaviour().silences.percent = 0;
        m_faults.restoreAll();
        for (size_t i = 0; i < gatewayCount; ++i)
            m_deployment.waitUntilReady(i);
    }

    [[nodiscard]] std::string describe(const attempt& item, const std::vector<stream_event>& events)
    {
        std::string text = item.id + " at gateway " + std::to_string(item.gateway) + ", " + std::string(http1::nameOf(item.outcome)) + (item.hasLeft ? " (left)" : "") + ", status " + std::to_string(item.head.status) + ", " + std::to_string(asMilliseconds(item.endedAt - item.begunAt)) + " ms, events";
        for (const auto& event : events)
            text += " " + std::to_string(event.number) + "/" + event.version;
        return text + ", sent to" + (m_runs.contains(item.id) ? m_runs.at(item.id) : " none");
    }

    void complain(const std::string& problem, const attempt& item)
    {
        m_complaints.push_back(problem + " in " + item.id + m_history[item.stream.get()]);
    }

    void report()
    {
        if (m_calmResumed.sent >= fewestReturns && 2 * m_calmResumed.served * m_calmBegun.sent < m_calmBegun.served * m_calmResumed.sent)
            m_complaints.emplace_back("too few streams go on after the trouble");
        std::fprintf(stderr, "stream order soak: seed %u, new streams begin %s, resumed go on %s; after the trouble %s and %s; %zu streams of two versions, %zu complaints\n", m_seed, m_begun.text().c_str(), m_resumed.text().c_str(), m_calmBegun.text().c_str(), m_calmResumed.text().c_str(), m_mixedStreamCount, m_complaints.size());
        const std::string description = std::accumulate(m_complaints.begin(), m_complaints.end(), std::string(), [](const auto& left, const auto& right) { return left + right + "\n"; });
        if (!description.empty())
            keepLogs("stream-order-soak", m_seed, description, m_faults.logs(gatewayCount));
        cr_assert(description.empty(), "seed %u: %zu complaints:\n%s", m_seed, m_complaints.size(), description.c_str());
    }

    unsigned m_seed;
    std::mt19937 m_random;
    milliseconds m_duration;
    deployment_fixture m_deployment;
    std::list<fakes::platform_engine> m_engines;
    record_heartbeats m_heartbeats { m_deployment };
    soak_callers m_callers;
    /// Actions that also run after the last fault.
    undo_actions m_actions;
    undo_actions m_undo;
    gateway_faults m_faults { m_deployment, m_undo };
    std::set<std::string> m_versions;
    size_t m_newestVersion = 2;
    /// Targets that received an attempt, with their versions.
    std::map<std::string, std::string> m_runs;
    /// What the attempts of a stream brought.
    std::map<const stream_record*, std::string> m_history;
    std::vector<std::string> m_complaints;
    std::optional<time_point> m_calmSince;
    std::set<const stream_record*> m_calmStreams;
    share m_begun;
    share m_resumed;
    share m_calmBegun;
    share m_calmResumed;
    size_t m_mixedStreamCount = 0;
    size_t m_returnsDue = 0;
    size_t m_sent = 0;
    bool m_isLoading = false;
};
}

// Each seed runs in its own process with its own ports.
ParameterizedTestParameters(stream_order_soak, streams_go_on_at_one_version_while_targets_return_with_others)
{
    static std::vector<unsigned> seeds = selectedSeeds();
    return cr_make_param_array(unsigned, seeds.data(), seeds.size());
}

ParameterizedTest(unsigned* seed, stream_order_soak, streams_go_on_at_one_version_while_targets_return_with_others)
{
    // Process tests have the same slots, but run before the soaks.
    constexpr int firstSlot = 540;
    constexpr int slotCount = 12;
    stream_order_soak run(*seed, selectedDuration(12), firstSlot + static_cast<int>(*seed % slotCount));
    run.run();
}
