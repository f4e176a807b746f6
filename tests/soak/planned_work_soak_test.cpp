/// Planned work in series on neighbouring gateways while targets fall silent and go on. No process is killed or paused and no
/// target breaks off, so every request that a gateway has read ends with a complete response or a true refusal.
/// The environment variables of soak_test.cpp select seeds, duration and the folder for logs.
#include "soak/attempt_checks.hpp"
#include "soak/gateway_faults.hpp"
#include "soak/raw_callers.hpp"
#include "soak/seeds.hpp"
#include "soak/soak_configuration.hpp"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <random>

using namespace bilberryseam;
using namespace bilberryseam::tests;
using nlohmann::json;

namespace {
constexpr size_t gatewayCount = 4;
constexpr size_t modelCount = 3;
constexpr size_t pageCount = 6;
constexpr size_t engineSlots = 8;
constexpr int eventsPerAnswer = 8;
constexpr size_t plainBytes = 5000;

/// Callers that wait for a response at any time: 0.8 of the slots of the models and of one of the two services of pages.
constexpr size_t callerCount = (modelCount + pageCount / 2) * engineSlots * 4 / 5;
constexpr size_t slowCallerCount = 4;

constexpr milliseconds stepPeriod { 1000 };
constexpr size_t stepsWithConfigurations = 9;
constexpr size_t stepsPerCycle = 15;
/// Time after which a leaving target must not get new requests.
constexpr milliseconds leavingBound { 2500 };
/// A stopping gateway serves requests for this long.
constexpr milliseconds servedAfterStop { 3000 };
/// Time for a signal to reach a gateway, and for a request to be read.
constexpr milliseconds signalTime { 200 };
/// Time in which service must be restored after the last step.
constexpr milliseconds recoveryBound { 12000 };

class planned_work_soak {
public:
    planned_work_soak(unsigned seed, milliseconds duration, int slot)
        : m_seed(seed)
        , m_random(seed)
        , m_duration(duration)
        , m_deployment(slot)
        , m_callers(m_deployment, [this](attempt& item) { onFinished(item); })
    {
        for (size_t i = 0; i < modelCount; ++i)
            addEngine("m-" + std::to_string(i), "model", { .firstEventDelay = milliseconds(60), .headDelay = milliseconds(30), .eventPeriod = milliseconds(30), .eventCount = eventsPerAnswer });
        for (size_t i = 0; i < pageCount; ++i)
            addEngine("p-" + std::to_string(i), i % 2 == 0 ? "pages" : "other-pages", { .firstEventDelay = milliseconds(250), .eventCount = 1 });
        for (const char* id : { "e-0", "e-1" })
            m_plainTargets.push_back(&m_deployment.addTarget(id, "encode"));
        addPlainTarget("b-0");
        addPlainTarget("b-1");
        configure({});
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
        m_rawCallers.resize(callerCount / 2);
        for (size_t i = callerCount / 2; i < callerCount; ++i)
            sendByClient(i % 2 == 0);
        m_slowReaders.resize(slowCallerCount);
        timer rawLoad;
        rawLoad.startEvery(milliseconds(10), [this] { continueRawCallers(); });
        timer work;
        work.startEvery(stepPeriod, [this] { doPlannedWork(); });
        timer silences;
        silences.startEvery(milliseconds(700), [this] { silenceTarget(); });
        timer leaving;
        leaving.startEvery(milliseconds(3500), [this] { letTargetLeave(); });
        m_deployment.waitUntil([&] { return monotonicNow() >= end; }, "the end of the planned work");
        work.stop();
        silences.stop();
        leaving.stop();
        m_undo.clear();
        for (auto& engine : m_engines)
            engine.behaviour().silences.percent = 0;
        configure({});
        m_faults.restoreAll();
        // Targets at 0.8 of their slots reject some requests, so the check needs them for itself.
        m_isLoading = false;
        const time_point restoredAt = monotonicNow();
        bool isRestored = false;
        m_deployment.waitUntil([&] {
            isRestored = isSoakServed(m_deployment, gatewayCount);
            return isRestored || monotonicNow() - restoredAt > recoveryBound; }, "the recovery bound");
        if (!isRestored || monotonicNow() - restoredAt > recoveryBound)
            m_complaints.emplace_back("service was not restored in time");
        m_deployment.waitUntil([this] { return m_callers.areAllFinished(); }, "all requests to finish");
        rawLoad.stop();
        report();
    }

private:
    struct raw_caller {
        std::unique_ptr<raw_connection> connection;
        size_t gateway = 0;
        time_point continueAt {};
    };

    struct read_counts {
        /// Requests that a gateway read whole.
        size_t read = 0;
        /// Those that ended without a complete response or a true refusal.
        size_t lost = 0;
    };

    unsigned randomBelow(unsigned below) { return static_cast<unsigned>(m_random() % below); }

    // Targets.

    void addEngine(const std::string& id, const std::string& service, fakes::engine_behaviour behaviour)
    {
        behaviour.maxRequests = engineSlots;
        behaviour.restartDelay = milliseconds(100);
        behaviour.silences = { .percent = 1, .seed = m_seed };
        behaviour.version = "v1";
        behaviour.isResuming = true;
        const size_t index = m_engines.size();
        auto& engine = m_engines.emplace_back(m_deployment.addTarget(id, service), behaviour);
        engine.setOnRequest([this, index](const fakes::received_request& request) { onArrival(request, index); });
        engine.setOnRejected([this](const std::string& id) { m_history.addRejection(id); });
        m_services.push_back(service);
    }

    void addPlainTarget(const std::string& id)
    {
        auto& target = m_deployment.addTarget(id, "plain");
        target.setOnArrival([this](const fakes::received_request& request) { m_history.addRun(request.id, modelCount + pageCount); });
        target.setRequestHandler([&target](std::shared_ptr<http1::exchange> exchange) { exchange->respond(http1::statusOk, target.responseHeaders(*exchange), std::string(plainBytes, 'x')); });
        m_plainTargets.push_back(&target);
    }

    fakes::platform_engine& engineAt(size_t index) { return *std::next(m_engines.begin(), static_cast<ptrdiff_t>(index)); }

    void onArrival(const fakes::received_request& request, size_t engine)
    {
        m_history.addRun(request.id, engine);
        const auto left = m_leftAt.find(engine);
        if (left != m_leftAt.end() && monotonicNow() - left->second > leavingBound)
            m_complaints.push_back("reached a target " + std::to_string(asMilliseconds(monotonicNow() - left->second)) + " ms after it had left: " + request.id);
    }

    [[nodiscard]] milliseconds silence() { return milliseconds(500 + randomBelow(2500)); }

    void silenceTarget()
    {
        const unsigned index = randomBelow(static_cast<unsigned>(m_engines.size() + m_plainTargets.size()));
        if (index >= m_engines.size())
            m_plainTargets[index - m_engines.size()]->fallSilent(silence());
        else if (randomBelow(2) == 0)
            engineAt(index).fallSilentInsideEvents(silence());
        else
            engineAt(index).target().fallSilent(silence());
    }

    void list(size_t engine, const std::string& state, std::optional<int64_t> startedAtMs = std::nullopt)
    {
        m_deployment.listTarget(engineAt(engine).target(), m_services[engine], state, "north-1", "v1", startedAtMs);
    }

    void letTargetLeave()
    {
        const size_t engine = randomBelow(static_cast<unsigned>(m_engines.size()));
        if (!m_leftAt.emplace(engine, monotonicNow()).second)
            return;
        list(engine, "draining");
        m_actions.schedule(leavingBound + milliseconds(1500), [this, engine] { replaceTarget(engine); });
    }

    /// Starts a target that has left again, once it has finished its requests.
    void replaceTarget(size_t engine)
    {
        if (engineAt(engine).runningCount() > 0 || engineAt(engine).target().isSilent()) {
            m_actions.schedule(milliseconds(200), [this, engine] { replaceTarget(engine); });
            return;
        }
        engineAt(engine).restartAs("v1", [this, engine] {
            m_leftAt.erase(engine);
            list(engine, "ready", wallNow().time_since_epoch().count());
        });
    }

    // Planned work.

    void configure(soak_configuration configuration, bool hasFurtherRoute = true)
    {
        configuration.furtherRoutes.push_back(soakRoute(configuration, "/plain/", "idempotent", "plain"));
        if (hasFurtherRoute)
            configuration.furtherRoutes.push_back(soakRoute(configuration, "/further/", "idempotent", "pages"));
        m_version += 1 + randomBelow(3);
        m_history.addConfiguration();
        m_history.addTimeout(configuration.timeout);
        m_history.addRouteChange("/further/", hasFurtherRoute);
        if (configuration.isKeyRemoved)
            m_history.addKeyRemoval();
        configureSoak(m_deployment, m_version, configuration);
    }

    void configureRandomly()
    {
        soak_configuration configuration;
        configuration.isServiceMoved = randomBelow(2) == 0;
        configuration.isSplit = randomBelow(3) == 0;
        configuration.timeout = randomBelow(2) == 0 ? longTimeout : shortTimeout;
        configuration.isKeyRemoved = randomBelow(3) == 0;
        configuration.idleTimeout = milliseconds(randomBelow(2) == 0 ? 3000 : 600);
        configure(std::move(configuration), randomBelow(2) == 0);
    }

    /// A configuration, SIGHUP and SIGTERM follow each other, on one gateway after the other; then only the signals, so that some
    /// requests are away from a configuration.
    void doPlannedWork()
    {
        const size_t gateway = m_stepCount / 3 % gatewayCount;
        switch (m_stepCount++ % 3) {
        case 0:
            if (m_stepCount % stepsPerCycle <= stepsWithConfigurations)
                configureRandomly();
            break;
        case 1:
            m_deployment.changeSettings(gateway, { { "bounds", { { "retrySlack", 30 + randomBelow(30) } } } });
            if (!m_faults.isStopped(gateway))
                m_deployment.signal(gateway, SIGHUP);
            break;
        default:
            if (m_faults.stop(gateway, SIGTERM, milliseconds(200 + randomBelow(800))))
                m_stoppedAt[gateway] = monotonicNow();
        }
    }

    // Callers.

    attempt newAttempt(size_t gateway)
    {
        attempt item;
        item.id = "r-" + std::to_string(m_seed) + "-" + std::to_string(m_sent++);
        item.kind = static_cast<attempt_kind>(randomBelow(attemptKindCount));
        item.gateway = gateway;
        item.hasRevocableKey = randomBelow(10) == 0;
        item.headers = { { "X-Api-Key", item.hasRevocableKey ? "revocable" : "lasting" } };
        if (isStream(item.kind)) {
            const auto prompt = promptHeaders("subject" + std::to_string(randomBelow(4)), randomBelow(40), item.id);
            item.headers.insert(item.headers.end(), prompt.begin(), prompt.end());
            if (randomBelow(2) == 0)
                item.headers.insert(item.headers.end(), { { "X-Pieces", "1" }, { "X-Piece-Key", "k" } });
        } else if (item.kind == attempt_kind::Page && randomBelow(4) == 0) {
            item.prefix = "/further/";
        }
        return item;
    }

    void sendByClient(bool isKept)
    {
        attempt item = newAttempt(randomBelow(gatewayCount));
        item.isKept = isKept;
        m_callers.send(std::move(item));
    }

    void onFinished(attempt& item)
    {
        checkRefusal(item);
        if (item.call && m_isLoading)
            m_actions.schedule(milliseconds(item.isComplete() ? randomBelow(40) : 100), [this, isKept = item.isKept] {
                if (m_isLoading)
                    sendByClient(isKept);
            });
    }

    void continueRawCallers()
    {
        const time_point now = monotonicNow();
        for (auto& caller : m_rawCallers) {
            if (caller.connection && caller.connection->isWaiting()) {
                const attempt& item = caller.connection->first();
                if (item.sentAt != time_point() && now - item.sentAt > callerDeadline + milliseconds(3000))
                    caller.connection->giveUp();
                caller.continueAt = now + milliseconds(randomBelow(10) == 0 ? 400 : randomBelow(40));
            } else if (m_isLoading && now >= caller.continueAt) {
                continueRawCaller(caller);
            }
        }
        for (auto& reader : m_slowReaders) {
            if (m_isLoading && (!reader || !reader->isWaiting()))
                startSlowReader(reader);
        }
    }

    void continueRawCaller(raw_caller& caller)
    {
        if (!caller.connection || !caller.connection->isUsable()) {
            caller.gateway = randomBelow(gatewayCount);
            caller.connection = std::make_unique<raw_connection>(m_callers, m_deployment.listenAddress(caller.gateway));
        }
        const auto shape = static_cast<request_shape>(randomBelow(requestShapeCount));
        std::vector<attempt*> items;
        for (int i = 0; i < (shape == request_shape::Pipelined ? 2 : 1); ++i) {
            attempt item = newAttempt(caller.gateway);
            item.isKept = true;
            items.push_back(&m_callers.add(std::move(item)));
        }
        caller.connection->send(items, shape, milliseconds(50 + randomBelow(400)));
    }

    void startSlowReader(std::unique_ptr<slow_reader>& reader)
    {
        attempt item;
        item.id = "r-" + std::to_string(m_seed) + "-" + std::to_string(m_sent++);
        item.kind = attempt_kind::Page;
        item.prefix = "/plain/";
        item.plainBytes = plainBytes;
        item.gateway = m_faults.running(randomBelow(gatewayCount), gatewayCount);
        item.headers = { { "X-Api-Key", "lasting" } };
        attempt& added = m_callers.add(std::move(item));
        reader = std::make_unique<slow_reader>(m_callers, m_deployment.listenAddress(added.gateway), added);
    }

    // Results.

    /// Targets may reject an attempt after its end, so this is checked last.
    void checkEnd(const attempt& item)
    {
        read_counts& counts = m_counts[{ item.gateway, m_history.isBesideConfiguration(item) }];
        counts.read += item.isComplete() || m_history.wasRead(item) ? 1 : 0;
        if (const auto complaint = m_history.complaint(item, eventsPerAnswer)) {
            ++counts.lost;
            m_complaints.push_back(*complaint);
            m_complainedIds.push_back(item.id);
        }
    }

    /// A stopping gateway must not turn away what it could still serve.
    void checkRefusal(const attempt& item)
    {
        const auto stoppedAt = m_stoppedAt.find(item.gateway);
        const bool isInStop = stoppedAt != m_stoppedAt.end() && item.sentAt >= stoppedAt->second && item.endedAt <= stoppedAt->second + servedAfterStop - signalTime;
        const bool isRefusedUnsent = item.isComplete() && item.head.status == http1::statusUnavailable && m_history.arrivalsOf(item.id) == 0;
        if (isInStop && isRefusedUnsent && hasIdleTarget(item)) {
            m_complaints.push_back("refused by a stopping gateway without being sent to one of its idle targets: " + m_history.describe(item));
            m_complainedIds.push_back(item.id);
        }
    }

    /// @return Whether each service that may serve the attempt has a target with free slots that is neither silent nor leaving.
    bool hasIdleTarget(const attempt& item)
    {
        if (item.plainBytes)
            return std::none_of(m_plainTargets.begin(), m_plainTargets.end(), [](const auto* target) { return target->isSilent(); });
        std::map<std::string, bool> isIdle;
        for (size_t i = 0; i < m_engines.size(); ++i) {
            auto& engine = engineAt(i);
            const bool isUsable = engine.isUp() && !engine.target().isSilent() && !m_leftAt.contains(i) && engine.runningCount() <= engineSlots / 2;
            isIdle[m_services[i]] = isIdle[m_services[i]] || isUsable;
        }
        if (!isStream(item.kind))
            return isIdle["pages"] && isIdle["other-pages"];
        return isIdle["model"] && !m_plainTargets[0]->isSilent() && !m_plainTargets[1]->isSilent();
    }

    /// @return The lines of the gateways' logs about a request.
    [[nodiscard]] static std::string linesOf(const std::string& logs, const std::string& id)
    {
        std::string lines;
        std::istringstream text(logs);
        for (std::string line; std::getline(text, line);) {
            if (line.find("\"" + id + "\"") != std::string::npos)
                lines += "  " + line + "\n";
        }
        return lines;
    }

    [[nodiscard]] static std::string textOf(const read_counts& counts) { return std::to_string(counts.lost) + "/" + std::to_string(counts.read); }

    void report()
    {
        const auto& attempts = m_callers.attempts();
        for (const auto& item : attempts)
            checkEnd(item);
        const auto countOf = [&](const auto& condition) { return static_cast<size_t>(std::count_if(attempts.begin(), attempts.end(), condition)); };
        std::string lost;
        for (size_t i = 0; i < gatewayCount; ++i)
            lost += " " + textOf(m_counts[{ i, true }]) + "+" + textOf(m_counts[{ i, false }]);
        std::fprintf(stderr, "planned work soak: seed %u, %zu steps, %zu requests, %zu served, %zu refused, %zu not connected, %zu closed unread, lost/read by gateway (beside a configuration + otherwise):%s, %zu complaints\n", m_seed, m_stepCount, attempts.size(),
            countOf([](const auto& item) { return item.isComplete() && item.head.status == http1::statusOk; }), countOf([](const auto& item) { return item.isComplete() && item.head.status == http1::statusUnavailable; }),
            countOf([](const auto& item) { return item.outcome == http1::call_outcome::NotSent; }), countOf([this](const auto& item) { return !item.isComplete() && item.outcome != http1::call_outcome::NotSent && !m_history.wasRead(item); }), lost.c_str(), m_complaints.size());
        if (m_complaints.empty())
            return;
        const std::string logs = m_faults.logs(gatewayCount);
        std::string description;
        for (const auto& text : m_complaints)
            description += text + "\n";
        for (const auto& id : m_complainedIds)
            description += id + ":\n" + linesOf(logs, id);
        keepLogs("planned-work-soak", m_seed, description, logs);
        constexpr size_t shownBytes = 6000;
        cr_assert(false, "seed %u: %zu complaints:\n%s", m_seed, m_complaints.size(), description.substr(0, shownBytes).c_str());
    }

    unsigned m_seed;
    std::mt19937 m_random;
    milliseconds m_duration;
    deployment_fixture m_deployment;
    soak_history m_history;
    std::list<fakes::platform_engine> m_engines;
    std::vector<std::string> m_services;
    /// Targets without a limit of requests: two encoders, and the others.
    std::vector<fakes::platform_target*> m_plainTargets;
    std::map<size_t, time_point> m_leftAt;
    std::map<size_t, time_point> m_stoppedAt;
    /// By gateway, and whether a configuration was near.
    std::map<std::pair<size_t, bool>, read_counts> m_counts;
    soak_callers m_callers;
    std::list<raw_caller> m_rawCallers;
    std::vector<std::unique_ptr<slow_reader>> m_slowReaders;
    /// Actions that also run after the last step.
    undo_actions m_actions;
    undo_actions m_undo;
    gateway_faults m_faults { m_deployment, m_undo };
    std::vector<std::string> m_complaints;
    std::vector<std::string> m_complainedIds;
    unsigned m_version = 0;
    size_t m_stepCount = 0;
    size_t m_sent = 0;
    bool m_isLoading = false;
};
}

// Each seed runs in its own process with its own ports.
ParameterizedTestParameters(planned_work_soak, requests_that_were_read_are_answered_beside_planned_work)
{
    static std::vector<unsigned> seeds = selectedSeeds();
    return cr_make_param_array(unsigned, seeds.data(), seeds.size());
}

ParameterizedTest(unsigned* seed, planned_work_soak, requests_that_were_read_are_answered_beside_planned_work)
{
    constexpr int firstSlot = 290;
    constexpr int slotCount = 9;
    planned_work_soak run(*seed, selectedDuration(14), firstSlot + static_cast<int>(*seed % slotCount));
    run.run();
}
