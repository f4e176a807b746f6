/// Evacuations, permitted regions that change, and cold targets, beside planned work and targets that fall silent. Guards
/// against requests, tasks and releases that reach targets which the rules exclude, and against more requests than a cold
/// target takes. Odd seeds run with `loadSharing`. All gateways reach the store.
/// The environment variables of soak_test.cpp select seeds, duration and the folder for logs.
#include "soak/attempt_checks.hpp"
#include "soak/gateway_faults.hpp"
#include "soak/placement_checks.hpp"
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
constexpr int eventsPerAnswer = 8;
constexpr double coldPerSecond = 2;
constexpr milliseconds coldTime { 7000 };
/// Time after which a leaving target must not get new requests.
constexpr milliseconds leavingBound { 2500 };
/// Time in which service must be restored after the last step.
constexpr milliseconds recoveryBound { 12000 };

const std::map<std::string, std::string> regionOfDomain { { "north-1", "north" }, { "north-2", "north" }, { "south-1", "south" }, { "south-2", "south" } };

class placement_rules_soak {
public:
    placement_rules_soak(unsigned seed, milliseconds duration, int slot)
        : m_seed(seed)
        , m_random(seed)
        , m_duration(duration)
        , m_deployment(slot)
        , m_callers(m_deployment, [](const attempt&) {})
    {
        m_placements.coldPerSecond = coldPerSecond;
        for (const auto& [domain, region] : regionOfDomain) {
            addEngine("m-" + domain, "model", domain, { .firstEventDelay = milliseconds(60), .headDelay = milliseconds(30), .eventPeriod = milliseconds(30), .eventCount = eventsPerAnswer });
            for (const char* service : { "pages", "other-pages" })
                addEngine(std::string(service) + "-" + domain, service, domain, { .firstEventDelay = milliseconds(25), .eventCount = 1 });
            m_targets.push_back({ &m_deployment.addTarget("e-" + domain, "encode", domain), domain, region });
        }
        configure(false);
        // Longer than the timeouts of all routes, so that a planned stop waits for all requests.
        for (size_t i = 0; i < gatewayCount; ++i)
            m_deployment.startGateway({ { "stopSeconds", 12 } }, { { "regions", regionOfDomain }, { "loadSharing", seed % 2 == 1 } });
        for (size_t i = 0; i < gatewayCount; ++i)
            m_deployment.waitUntilReady(i);
    }

    void run()
    {
        const time_point end = monotonicNow() + m_duration;
        timer load;
        load.startEvery(milliseconds(8), [this] { sendRequest(); });
        timer work;
        work.startEvery(milliseconds(1000), [this] { doPlannedWork(); });
        timer silences;
        silences.startEvery(milliseconds(900), [this] { silenceTarget(); });
        timer cold;
        cold.startEvery(milliseconds(2000), [this] { makeCold(randomBelow(static_cast<unsigned>(m_engines.size()))); });
        evacuate();
        m_deployment.waitUntil([&] { return monotonicNow() >= end; }, "the end of the planned work");
        work.stop();
        silences.stop();
        cold.stop();
        m_undo.clear();
        for (const auto& [domain, region] : regionOfDomain)
            withdraw(domain);
        for (auto& engine : m_engines)
            engine.behaviour().silences.percent = 0;
        configure(false);
        m_faults.restoreAll();
        load.stop();
        const time_point restoredAt = monotonicNow();
        bool isRestored = false;
        m_deployment.waitUntil([&] {
            isRestored = isSoakServed(m_deployment, gatewayCount);
            return isRestored || monotonicNow() - restoredAt > recoveryBound; }, "the recovery bound");
        if (!isRestored)
            m_complaints.emplace_back("service was not restored in time");
        m_deployment.waitUntil([this] { return m_callers.areAllFinished(); }, "all requests to finish");
        report();
    }

private:
    unsigned randomBelow(unsigned below) { return static_cast<unsigned>(m_random() % below); }
    fakes::platform_engine& engineAt(size_t index) { return *std::next(m_engines.begin(), static_cast<ptrdiff_t>(index)); }

    void addEngine(const std::string& id, const std::string& service, const std::string& domain, fakes::engine_behaviour behaviour)
    {
        behaviour.restartDelay = milliseconds(100);
        behaviour.silences = { .percent = 1, .seed = m_seed };
        behaviour.version = "v1";
        behaviour.isResuming = true;
        auto& target = m_deployment.addTarget(id, service, domain);
        const size_t index = m_engines.size();
        m_engines.emplace_back(target, behaviour).setOnRequest([this, index](const fakes::received_request& request) { m_history.addRun(request.id, index); });
        m_targets.push_back({ &target, domain, regionOfDomain.at(domain) });
    }

    void silenceTarget()
    {
        auto& target = engineAt(randomBelow(static_cast<unsigned>(m_engines.size()))).target();
        target.fallSilent(milliseconds(500 + randomBelow(2000)));
    }

    // Evacuations.

    void evacuate()
    {
        const std::string domain = std::next(regionOfDomain.begin(), randomBelow(static_cast<unsigned>(regionOfDomain.size())))->first;
        m_deployment.store().put("keyed.op", "evacuate/" + domain, "{}");
        m_placements.evacuations.push_back({ domain, monotonicNow() });
        // Mostly longer than the bound, and sometimes withdrawn before it.
        const milliseconds duration(randomBelow(4) == 0 ? 500 + randomBelow(3000) : 6500 + randomBelow(3000));
        m_undo.schedule(duration, [this, domain] {
            withdraw(domain);
            m_undo.schedule(milliseconds(randomBelow(1500)), [this] { evacuate(); });
        });
    }

    void withdraw(const std::string& domain)
    {
        auto* period = lastPeriodOf(m_placements.evacuations, domain);
        if (!period || period->until != time_point::max())
            return;
        period->until = monotonicNow();
        m_deployment.store().put("keyed.op", "evacuate/" + domain, "");
    }

    // Cold targets.

    /// Makes a target cold while it runs, or restarts it cold after it has left.
    void makeCold(size_t engine)
    {
        fakes::platform_target& target = engineAt(engine).target();
        if (!m_coldEngines.insert(engine).second)
            return;
        if (randomBelow(2) == 0) {
            stateCold(engine, json::object());
            return;
        }
        m_deployment.changeRecord(target.id(), { { "state", "draining" } });
        m_actions.schedule(leavingBound + milliseconds(500), [this, engine] { restartCold(engine); });
    }

    /// Restarts a target that has left, once it has finished its requests.
    void restartCold(size_t engine)
    {
        if (engineAt(engine).runningCount() > 0 || engineAt(engine).target().isSilent())
            m_actions.schedule(milliseconds(200), [this, engine] { restartCold(engine); });
        else
            engineAt(engine).restartAs("v1", [this, engine] { stateCold(engine, { { "state", "ready" }, { "born", wallNow().time_since_epoch().count() } }); });
    }

    void stateCold(size_t engine, json changes)
    {
        fakes::platform_target& target = engineAt(engine).target();
        changes["cold_left_ms"] = coldTime.count();
        target.setCold(coldTime);
        m_deployment.changeRecord(target.id(), changes);
        m_placements.coldTimes.push_back({ target.id(), monotonicNow(), monotonicNow() + coldTime });
        m_actions.schedule(coldTime + targetReadTime, [this, engine] { m_coldEngines.erase(engine); });
    }

    // Planned work.

    void configure(bool isRandom)
    {
        soak_configuration configuration;
        configuration.coldPerSecond = coldPerSecond;
        if (isRandom) {
            configuration.isServiceMoved = randomBelow(2) == 0;
            configuration.isSplit = randomBelow(3) == 0;
            configuration.routeRegions = randomRegions();
            configuration.accountRegions = randomRegions();
        }
        m_version += 1 + randomBelow(3);
        m_history.addTimeout(configuration.timeout);
        configureSoak(m_deployment, m_version, configuration);
        m_placements.configurations.push_back({ monotonicNow(), configuration.routeRegions, configuration.accountRegions });
    }

    json randomRegions()
    {
        const json lists[] { json::array(), json::array(), { "north" }, { "south" }, { "north", "south" } };
        return lists[randomBelow(5)];
    }

    /// A configuration, SIGHUP and SIGTERM follow each other, on one gateway after the other.
    void doPlannedWork()
    {
        const size_t gateway = m_stepCount / 3 % gatewayCount;
        switch (m_stepCount++ % 3) {
        case 0:
            configure(true);
            break;
        case 1:
            m_deployment.changeSettings(gateway, { { "bounds", { { "retrySlack", 30 + randomBelow(30) } } } });
            if (!m_faults.isStopped(gateway))
                m_deployment.signal(gateway, SIGHUP);
            break;
        default:
            // Some cycles have no stop, because a gateway that has just started sends nothing to cold targets for 7 s.
            if (randomBelow(2) == 0)
                m_faults.stop(gateway, SIGTERM, milliseconds(200 + randomBelow(800)));
        }
    }

    void sendRequest()
    {
        attempt item;
        item.id = "r-" + std::to_string(m_seed) + "-" + std::to_string(m_sent++);
        item.kind = static_cast<attempt_kind>(randomBelow(attemptKindCount));
        item.gateway = m_faults.running(randomBelow(gatewayCount), gatewayCount);
        // The account of this key has permitted regions; the key stays valid.
        const bool isAccountRestricted = randomBelow(2) == 0;
        item.headers = { { "X-Api-Key", isAccountRestricted ? "revocable" : "lasting" } };
        if (isStream(item.kind)) {
            const auto prompt = promptHeaders("subject" + std::to_string(randomBelow(4)), randomBelow(40), item.id);
            item.headers.insert(item.headers.end(), prompt.begin(), prompt.end());
            if (randomBelow(2) == 0)
                item.headers.insert(item.headers.end(), { { "X-Pieces", "1" }, { "X-Piece-Key", "k" } });
        }
        m_placements.requests[item.id] = { item.kind != attempt_kind::Booking, isAccountRestricted };
        m_callers.send(std::move(item));
    }

    // Results.

    void report()
    {
        const auto& attempts = m_callers.attempts();
        for (const auto& item : attempts) {
            if (const auto complaint = m_history.complaint(item, eventsPerAnswer))
                m_complaints.push_back(*complaint);
        }
        size_t most = 0;
        size_t arrivals = 0;
        for (const auto& item : m_targets) {
            const auto complaints = placementComplaints(m_placements, item);
            m_complaints.insert(m_complaints.end(), complaints.begin(), complaints.end());
            arrivals += item.target->arrivals().size();
            for (const auto& period : m_placements.coldTimes)
                most = std::max(most, period.name == item.target->id() ? mostInOneSecond(item.target->arrivals(), period) : 0);
        }
        const auto countOf = [&](const auto& condition) { return static_cast<size_t>(std::count_if(attempts.begin(), attempts.end(), condition)); };
        std::fprintf(stderr, "placement rules soak: seed %u, %zu steps, %zu evacuations, %zu cold times, %zu requests, %zu served, %zu refused, %zu arrivals, at most %zu in a second at a cold target, %zu complaints\n", m_seed, m_stepCount, m_placements.evacuations.size(), m_placements.coldTimes.size(), attempts.size(),
            countOf([](const auto& item) { return item.isComplete() && item.head.status == http1::statusOk; }), countOf([](const auto& item) { return item.isComplete() && item.head.status == http1::statusUnavailable; }), arrivals, most, m_complaints.size());
        if (m_complaints.empty())
            return;
        std::string description;
        for (const auto& text : m_complaints)
            description += text + "\n";
        keepLogs("placement-rules-soak", m_seed, description, m_faults.logs(gatewayCount));
        constexpr size_t shownBytes = 3000;
        cr_assert(false, "seed %u: %zu complaints:\n%s", m_seed, m_complaints.size(), description.substr(0, shownBytes).c_str());
    }

    unsigned m_seed;
    std::mt19937 m_random;
    milliseconds m_duration;
    deployment_fixture m_deployment;
    soak_history m_history;
    placement_history m_placements;
    std::list<fakes::platform_engine> m_engines;
    /// All targets with what the rules refer to.
    std::vector<checked_target> m_targets;
    /// Engines that leave to come back cold, or are cold.
    std::set<size_t> m_coldEngines;
    soak_callers m_callers;
    /// Actions that also run after the last step.
    undo_actions m_actions;
    undo_actions m_undo;
    gateway_faults m_faults { m_deployment, m_undo };
    std::vector<std::string> m_complaints;
    unsigned m_version = 0;
    size_t m_stepCount = 0;
    size_t m_sent = 0;
};
}

// Each seed runs in its own process with its own ports.
ParameterizedTestParameters(placement_rules_soak, targets_get_only_what_regions_evacuations_and_cold_times_allow)
{
    static std::vector<unsigned> seeds = selectedSeeds();
    return cr_make_param_array(unsigned, seeds.data(), seeds.size());
}

ParameterizedTest(unsigned* seed, placement_rules_soak, targets_get_only_what_regions_evacuations_and_cold_times_allow)
{
    constexpr int firstSlot = 340;
    constexpr int slotCount = 9;
    placement_rules_soak run(*seed, selectedDuration(14), firstSlot + static_cast<int>(*seed % slotCount));
    run.run();
}
