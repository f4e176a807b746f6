/// Targets that fall silent, restart and change their software versions, behind gateways that are killed, stopped, paused
/// and reconfigured while requests are open. The environment variables of soak_test.cpp select seeds, duration and the
/// folder for logs; BILBERRYSEAM_SOAK_VERSIONS=0 leaves out the check that a stream has events of one software version only.
#include "soak/attempt_checks.hpp"
#include "soak/gateway_faults.hpp"
#include "soak/record_heartbeats.hpp"
#include "soak/seeds.hpp"
#include "soak/soak_configuration.hpp"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <random>

using namespace bilberryseam;
using namespace bilberryseam::tests;
using nlohmann::json;

namespace {
constexpr size_t gatewayCount = 3;
constexpr size_t modelCount = 6;
constexpr size_t pageCount = 4;
constexpr size_t encoderCount = 2;
constexpr size_t keptCallersPerGateway = 3;
constexpr int eventsPerAnswer = 8;

/// Time in which service must be restored after the last fault.
constexpr milliseconds recoveryBound { 12000 };
constexpr unsigned maxReturns = 3;

class silence_soak {
public:
    silence_soak(unsigned seed, milliseconds duration, int slot)
        : m_seed(seed)
        , m_random(seed)
        , m_duration(duration)
        , m_deployment(slot)
        , m_callers(m_deployment, [this](attempt& item) { onFinished(item); })
    {
        for (size_t i = 0; i < modelCount; ++i)
            addEngine("m-" + std::to_string(i), "model", { .firstEventDelay = milliseconds(60), .headDelay = milliseconds(30), .eventPeriod = milliseconds(30), .eventCount = eventsPerAnswer, .silences = { .percent = 2, .seed = seed }, .version = i % 3 == 2 ? "v1.1" : "v1", .isResuming = true });
        for (size_t i = 0; i < pageCount; ++i)
            addEngine("p-" + std::to_string(i), i % 2 == 0 ? "pages" : "other-pages", { .firstEventDelay = milliseconds(25), .eventCount = 1, .silences = { .percent = 3, .seed = seed }, .version = "v1" });
        for (size_t i = 0; i < encoderCount; ++i)
            m_encoders.push_back(&m_deployment.addTarget("e-" + std::to_string(i), "encode"));
        configure();
        // Longer than the timeouts of all routes, so that a planned stop waits for all requests.
        for (size_t i = 0; i < gatewayCount; ++i)
            m_deployment.startGateway({ { "stopSeconds", 12 } });
        for (size_t i = 0; i < gatewayCount; ++i)
            m_deployment.waitUntilReady(i);
    }

    void run()
    {
        const time_point end = monotonicNow() + m_duration;
        m_isLoading = true;
        timer load;
        load.startEvery(milliseconds(25), [this] { sendOnNewConnection(); });
        for (size_t i = 0; i < gatewayCount * keptCallersPerGateway; ++i)
            sendOnKeptConnection(i % gatewayCount);
        timer faults;
        faults.startEvery(milliseconds(350), [this] { injectFault(); });
        timer release;
        release.startEvery(m_duration / static_cast<int>(releaseSteps().size() + 2), [this] { releaseStep(); });
        timer crashingSegment;
        crashingSegment.startOnce(m_duration / 3, [this] { startCrashingSegment(); });
        m_deployment.waitUntil([&] { return monotonicNow() >= end; }, "the end of the fault phase");
        faults.stop();
        release.stop();
        m_undo.clear();
        restoreAll();
        const time_point restoredAt = monotonicNow();
        bool isRestored = false;
        m_deployment.waitUntil([&] {
            isRestored = isSoakServed(m_deployment, gatewayCount);
            return isRestored || monotonicNow() - restoredAt > recoveryBound; }, "the recovery bound");
        if (!isRestored || monotonicNow() - restoredAt > recoveryBound)
            m_complaints.emplace_back("service was not restored in time");
        load.stop();
        m_isLoading = false;
        m_deployment.waitUntil([this] { return m_callers.areAllFinished(); }, "all requests to finish");
        // A refused request must not run later either.
        for (const auto& item : m_callers.attempts())
            addComplaint(item);
        report();
    }

private:
    void addEngine(const std::string& id, const std::string& service, const fakes::engine_behaviour& behaviour)
    {
        auto& target = m_deployment.addTarget(id, service, "north-1", behaviour.version);
        const size_t index = m_engines.size();
        auto& engine = m_engines.emplace_back(target, behaviour, [this, index](bool isListening) { onListening(index, isListening); });
        engine.behaviour().restartDelay = milliseconds(300 + randomBelow(900));
        engine.setOnRequest([this, index](const fakes::received_request& request) { m_history.addRun(request.id, index); });
        m_services.push_back(service);
        // Gateways that start do not trust records of targets that have just started.
        constexpr seconds runningTime { 60 };
        list(index, "ready", unixMilliseconds() - milliseconds(runningTime).count());
        m_heartbeats.start(id, recordHeartbeat * (index + 1) / (modelCount + pageCount));
    }

    unsigned randomBelow(unsigned below) { return static_cast<unsigned>(m_random() % below); }
    [[nodiscard]] static int64_t unixMilliseconds() { return wallNow().time_since_epoch().count(); }
    fakes::platform_engine& engineAt(size_t index) { return *std::next(m_engines.begin(), static_cast<ptrdiff_t>(index)); }

    void list(size_t engine, const std::string& state, int64_t startedAtMs)
    {
        m_startedAtMs[engine] = startedAtMs;
        m_deployment.listTarget(engineAt(engine).target(), m_services[engine], state, "north-1", engineAt(engine).behaviour().version, startedAtMs);
    }

    /// The record of an engine that has started again is late.
    void onListening(size_t engine, bool isListening)
    {
        if (!isListening) {
            m_history.addCrash(engine);
            m_heartbeats.stop(engineAt(engine).target().id());
            return;
        }
        m_actions.schedule(milliseconds(randomBelow(1000)), [this, engine, startedAtMs = unixMilliseconds(), run = engineAt(engine).crashCount()] {
            if (engineAt(engine).isUp() && startedAtMs > m_startedAtMs[engine]) {
                list(engine, "ready", startedAtMs);
                if (run == engineAt(engine).crashCount())
                    m_heartbeats.start(engineAt(engine).target().id());
            }
        });
    }

    void configure(const soak_configuration& configuration = {})
    {
        m_version += 1 + randomBelow(3);
        m_history.addTimeout(configuration.timeout);
        if (configuration.isKeyRemoved)
            m_history.addKeyRemoval();
        configureSoak(m_deployment, m_version, configuration);
    }

    void configureRandomly()
    {
        const bool isServiceMoved = randomBelow(2) == 0;
        const bool isSplit = randomBelow(3) == 0;
        const milliseconds timeout = randomBelow(2) == 0 ? longTimeout : shortTimeout;
        const bool isKeyRemoved = randomBelow(3) == 0;
        configure({ isServiceMoved, isSplit, timeout, isKeyRemoved, milliseconds(randomBelow(2) == 0 ? 3000 : 600) });
    }

    // Load.

    attempt newAttempt(size_t gateway)
    {
        attempt item;
        item.id = "r-" + std::to_string(m_seed) + "-" + std::to_string(m_sent++);
        item.kind = static_cast<attempt_kind>(randomBelow(attemptKindCount));
        item.gateway = gateway;
        item.hasRevocableKey = randomBelow(10) == 0;
        item.headers = { { "X-Api-Key", item.hasRevocableKey ? "revocable" : "lasting" } };
        if (isStream(item.kind)) {
            item.isCrashing = m_hasCrashingSegment && randomBelow(25) == 0;
            const auto prompt = promptHeaders(item.isCrashing ? "bad" : "subject" + std::to_string(randomBelow(4)), randomBelow(40), item.id);
            item.headers.insert(item.headers.end(), prompt.begin(), prompt.end());
            if (randomBelow(2) == 0)
                item.headers.insert(item.headers.end(), { { "X-Pieces", "1" }, { "X-Piece-Key", "k" } });
        }
        if (item.kind == attempt_kind::ResumableStream)
            item.stream = std::make_shared<stream_record>();
        return item;
    }

    void sendOnNewConnection()
    {
        for (unsigned i = 0; i < m_loadFactor; ++i) {
            m_callers.send(newAttempt(m_faults.running(randomBelow(gatewayCount), gatewayCount)));
            if (randomBelow(15) == 0)
                m_actions.schedule(milliseconds(randomBelow(400)), [this, &item = m_callers.attempts().back()] { m_callers.leave(item); });
        }
    }

    void sendOnKeptConnection(size_t gateway)
    {
        attempt item = newAttempt(gateway);
        item.isKept = true;
        m_callers.send(std::move(item));
    }

    void onFinished(attempt& item)
    {
        addComplaint(item);
        if (item.stream)
            recordStream(item);
        if (!item.isKept || !m_isLoading)
            return;
        if (item.isComplete() && item.head.status == http1::statusOk)
            sendOnKeptConnection(item.gateway);
        else
            m_actions.schedule(milliseconds(100), [this, gateway = item.gateway] {
                if (m_isLoading)
                    sendOnKeptConnection(gateway);
            });
    }

    /// Checks the events of an attempt against those of the attempts before, and perhaps takes the stream up at another gateway.
    void recordStream(const attempt& item)
    {
        stream_record& stream = *item.stream;
        const bool wasMixed = stream.versions.size() > 1;
        const bool hasEvents = item.head.status == http1::statusOk;
        for (const auto& event : eventsOf(hasEvents ? item.body : "")) {
            if (stream.firstId.empty())
                stream.firstId = item.id;
            if (event.number != stream.lastEvent + 1)
                m_complaints.push_back("event " + std::to_string(event.number) + " follows event " + std::to_string(stream.lastEvent) + ": " + m_history.describe(item));
            stream.lastEvent = event.number;
            stream.versions.insert(event.version);
        }
        if (!wasMixed && stream.versions.size() > 1) {
            ++m_mixedStreamCount;
            if (areVersionsChecked())
                m_complaints.push_back("events of two software versions, begun by " + stream.firstId + ": " + m_history.describe(item));
        }
        const bool isServed = item.isComplete() && item.head.status == http1::statusOk;
        if (http1::findHeader(item.headers, "Resumes") && item.outcome != http1::call_outcome::NotSent) {
            ++m_returnCount;
            m_resumedCount += isServed ? 1 : 0;
        }
        if (!isServed && stream.returns < maxReturns && m_isLoading)
            returnLater(item);
    }

    void returnLater(const attempt& item)
    {
        attempt next;
        next.kind = item.kind;
        next.gateway = item.gateway;
        next.hasRevocableKey = item.hasRevocableKey;
        next.isCrashing = item.isCrashing;
        next.headers = item.headers;
        next.stream = item.stream;
        std::erase_if(next.headers, [](const auto& header) { return header.first == "Resumes" || header.first == "Last-Event-Id"; });
        next.id = item.stream->firstId.empty() ? item.id : item.stream->firstId;
        next.id += "-" + std::to_string(++next.stream->returns);
        if (!item.stream->firstId.empty())
            next.headers.insert(next.headers.end(), { { "Resumes", item.stream->firstId }, { "Last-Event-Id", std::to_string(item.stream->lastEvent) } });
        const milliseconds delays[] { milliseconds(5), milliseconds(200), milliseconds(2500) };
        m_actions.schedule(delays[randomBelow(3)], [this, next]() mutable {
            next.gateway = m_faults.running((next.gateway + 1) % gatewayCount, gatewayCount);
            m_callers.send(next);
        });
    }

    // Faults.

    void injectFault()
    {
        ++m_faultCount;
        const milliseconds duration(200 + randomBelow(1800));
        switch (randomBelow(14)) {
        case 0:
            if (const size_t gateway = randomBelow(gatewayCount); m_faults.stop(gateway, SIGKILL, duration))
                m_history.addKill(gateway);
            break;
        case 1:
            if (const size_t gateway = randomBelow(gatewayCount); !m_faults.isPaused(gateway))
                m_faults.stop(gateway, SIGTERM, duration);
            break;
        case 2:
            pauseGateway(duration);
            break;
        case 3:
            injectStoreFault(duration);
            break;
        case 4:
        case 5:
            configureRandomly();
            break;
        case 6:
            changeSettings();
            break;
        case 7:
            stateLimit(duration);
            break;
        case 8:
        case 9:
            silenceEngine();
            break;
        case 10:
            silenceService();
            break;
        case 11:
            for (auto* encoder : m_encoders)
                encoder->fallSilent(silence());
            break;
        case 12:
            engineAt(randomBelow(static_cast<unsigned>(m_engines.size()))).crashIfUp();
            break;
        default:
            m_loadFactor = 4;
            m_undo.schedule(duration / 2, [this] { m_loadFactor = 1; });
        }
    }

    [[nodiscard]] milliseconds silence() { return milliseconds(500 + randomBelow(2500)); }

    void pauseGateway(milliseconds duration)
    {
        const size_t gateway = randomBelow(gatewayCount);
        if (m_faults.isStopped(gateway) || m_faults.isPaused(gateway))
            return;
        m_history.addPause(gateway, duration);
        m_faults.pause(gateway, duration);
    }

    void injectStoreFault(milliseconds duration)
    {
        const fakes::store_faults faults[] { { true, false, 0 }, { false, true, 0 }, { false, false, 503 }, { false, false, 429 } };
        m_deployment.store().setFaults(faults[randomBelow(4)]);
        m_undo.schedule(duration, [this] { m_deployment.store().setFaults({}); });
    }

    void changeSettings()
    {
        const size_t gateway = randomBelow(gatewayCount);
        m_deployment.changeSettings(gateway, { { "bounds", { { "retrySlack", 30 + randomBelow(30) } } } });
        if (!m_faults.isStopped(gateway))
            m_deployment.signal(gateway, SIGHUP);
    }

    void stateLimit(milliseconds duration)
    {
        auto& engine = engineAt(randomBelow(static_cast<unsigned>(m_engines.size())));
        engine.behaviour().statedLimit = randomBelow(2) == 0 ? "1" : "5";
        m_undo.schedule(duration * 2, [&engine] { engine.behaviour().statedLimit.reset(); });
    }

    void silenceEngine()
    {
        auto& engine = engineAt(randomBelow(static_cast<unsigned>(m_engines.size())));
        if (randomBelow(2) == 0)
            engine.fallSilentInsideEvents(silence());
        else
            engine.target().fallSilent(silence());
    }

    void silenceService()
    {
        const bool isModel = randomBelow(2) == 0;
        const milliseconds duration = silence();
        for (size_t i = 0; i < m_engines.size(); ++i) {
            if ((m_services[i] == "model") == isModel)
                engineAt(i).target().fallSilent(duration);
        }
    }

    void startCrashingSegment()
    {
        m_hasCrashingSegment = true;
        for (auto& engine : m_engines)
            engine.behaviour().crashingSegments.insert("bad");
    }

    /// Engines and their versions of a release that is rolled back half-way and then completed.
    [[nodiscard]] static std::vector<std::pair<size_t, std::string>> releaseSteps()
    {
        return { { 0, "v1.2" }, { 1, "v1.2" }, { 3, "v1.2" }, { 1, "v1" }, { 0, "v1" }, { 0, "v1.2" }, { 1, "v1.2" }, { 2, "v1.2" } };
    }

    /// Restarts an engine at another version, mostly after it has said that it leaves.
    void releaseStep()
    {
        const auto steps = releaseSteps();
        if (m_releaseStep >= steps.size())
            return;
        const auto [index, version] = steps[m_releaseStep++];
        const auto restart = [this, index = index, version = version] {
            // An engine that has just crashed stays at its version.
            if (engineAt(index).isUp())
                engineAt(index).restartAs(version);
        };
        if (randomBelow(4) == 0) {
            restart();
            return;
        }
        list(index, "draining", m_startedAtMs[index]);
        m_actions.schedule(milliseconds(2500 + randomBelow(500)), restart);
    }

    void restoreAll()
    {
        m_deployment.store().setFaults({});
        m_loadFactor = 1;
        for (auto& engine : m_engines) {
            engine.behaviour().statedLimit.reset();
            engine.behaviour().silences.percent = 0;
        }
        configure();
        m_faults.restoreAll();
    }

    // Results.

    void addComplaint(const attempt& item)
    {
        if (m_complainedIds.contains(item.id))
            return;
        if (const auto complaint = m_history.complaint(item, eventsPerAnswer)) {
            m_complainedIds.insert(item.id);
            m_complaints.push_back(*complaint);
        }
    }

    void report()
    {
        const auto& attempts = m_callers.attempts();
        const auto countOf = [&](const auto& condition) { return std::to_string(std::count_if(attempts.begin(), attempts.end(), condition)); };
        std::fprintf(stderr, "silence soak: seed %u, %zu faults, %zu requests, %s served, %s refused, %zu of %zu resumed streams complete, %zu streams of two versions, %zu complaints\n", m_seed, m_faultCount, attempts.size(),
            countOf([](const auto& item) { return item.isComplete() && item.head.status == http1::statusOk; }).c_str(), countOf([](const auto& item) { return item.isComplete() && item.head.status == 503; }).c_str(), m_resumedCount, m_returnCount, m_mixedStreamCount, m_complaints.size());
        if (m_complaints.empty())
            return;
        std::string description;
        for (const auto& text : m_complaints)
            description += text + "\n";
        keepLogs("silence-soak", m_seed, description, m_faults.logs(gatewayCount));
        constexpr size_t shownComplaints = 5;
        std::string shown;
        for (size_t i = 0; i < std::min(shownComplaints, m_complaints.size()); ++i)
            shown += "\n" + m_complaints[i];
        cr_assert(false, "seed %u: %zu complaints:%s", m_seed, m_complaints.size(), shown.c_str());
    }

    unsigned m_seed;
    std::mt19937 m_random;
    milliseconds m_duration;
    deployment_fixture m_deployment;
    soak_history m_history;
    std::list<fakes::platform_engine> m_engines;
    std::vector<std::string> m_services;
    std::map<size_t, int64_t> m_startedAtMs;
    record_heartbeats m_heartbeats { m_deployment };
    std::vector<fakes::platform_target*> m_encoders;
    soak_callers m_callers;
    /// Actions that also run after the last fault.
    undo_actions m_actions;
    undo_actions m_undo;
    gateway_faults m_faults { m_deployment, m_undo };
    std::vector<std::string> m_complaints;
    std::set<std::string> m_complainedIds;
    size_t m_mixedStreamCount = 0;
    size_t m_returnCount = 0;
    unsigned m_version = 0;
    unsigned m_loadFactor = 1;
    size_t m_sent = 0;
    size_t m_faultCount = 0;
    size_t m_resumedCount = 0;
    size_t m_releaseStep = 0;
    bool m_isLoading = false;
    bool m_hasCrashingSegment = false;
};
}

// Each seed runs in its own process with its own ports.
ParameterizedTestParameters(silence_soak, requests_get_answers_while_targets_fall_silent_and_change_versions)
{
    static std::vector<unsigned> seeds = selectedSeeds();
    return cr_make_param_array(unsigned, seeds.data(), seeds.size());
}

ParameterizedTest(unsigned* seed, silence_soak, requests_get_answers_while_targets_fall_silent_and_change_versions)
{
    // Process tests have the same slots, but run before the soaks.
    constexpr int firstSlot = 140;
    constexpr int slotCount = 9;
    silence_soak run(*seed, selectedDuration(12), firstSlot + static_cast<int>(*seed % slotCount));
    run.run();
}
