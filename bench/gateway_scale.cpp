/// Measures what one gateway pays for the size of its deployment: processor time by operation at 30, 100 and 300 gateways
/// and 3,000 targets. Prints one line of JSON for each data point; log lines are discarded.
#include "base/hash.hpp"
#include "fakes/platform_store.hpp"
#include "gateway/crash_watch.hpp"
#include "gateway/load_exchange.hpp"
#include "gateway/request_run.hpp"
#include "gateway/topic_relay.hpp"
#include "loop/main_loop.hpp"
#include "platform/records.hpp"
#include "policy/ownership.hpp"

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <list>
#include <nlohmann/json.hpp>

using namespace bilberryseam;
using namespace bilberryseam::gateway;
using nlohmann::json;

namespace {
constexpr size_t targetCount = 3000;
constexpr size_t engineCount = 1667;
constexpr size_t domainCount = 6;
constexpr size_t openRequests = 500;
/// Bound of docs/design/mixed-load.md for a choice among 1,667 engines by the load of all gateways.
constexpr double maxLoadChoiceMicroseconds = 20;
constexpr uint16_t storePort = 26990;
constexpr uint16_t peerPort = 26991;
constexpr double microsecondsPerSecond = 1e6;

/// @return Processor time of this thread in microseconds.
double threadMicroseconds()
{
    timespec used {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
    return static_cast<double>(used.tv_sec) * microsecondsPerSecond + static_cast<double>(used.tv_nsec) / 1000;
}

/// @return Mean processor time of one call in microseconds.
template <typename Function>
double microsecondsEach(size_t rounds, Function function)
{
    const double before = threadMicroseconds();
    for (size_t i = 0; i < rounds; ++i)
        function(i);
    return (threadMicroseconds() - before) / static_cast<double>(rounds);
}

void print(std::string_view operation, size_t gateways, double microsecondsOfOne)
{
    std::fprintf(stderr, "%s\n", json { { "bench", operation }, { "gateways", gateways }, { "targets", targetCount }, { "microseconds", microsecondsOfOne } }.dump().c_str());
}

std::string domainOf(size_t index)
{
    return "domain-" + std::to_string(index % domainCount);
}

std::string serviceOf(size_t index)
{
    return index < engineCount ? "engine" : "pool-" + std::to_string(index % 3);
}

std::string targetRecord(size_t index, int sequence, int64_t startedAtMs = 1)
{
    return json { { "service", serviceOf(index) }, { "address", "10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250) + ":8000" }, { "zone", domainOf(index) }, { "slots", 64 }, { "state", "ready" }, { "cold_left_ms", 0 }, { "seq", sequence }, { "born", startedAtMs }, { "version", "v1" } }.dump();
}

std::string targetName(size_t index)
{
    return serviceOf(index) + "-" + std::to_string(index);
}

std::string gatewayRecord(size_t index, int64_t startedAtMs)
{
    // Nothing listens there; the processor time of failing connections is not part of the figures.
    return entry_record { "", { "127.0.0.1", 1 }, 0.07 + 0.01 * static_cast<double>(index % 40), startedAtMs, domainOf(index) }.encode();
}

std::string gatewayName(size_t index)
{
    return "gateway-" + std::to_string(index);
}

settings::gateway_settings makeSettings()
{
    settings::gateway_settings settings;
    settings.name = gatewayName(0);
    settings.region = "region-0";
    settings.failureDomain = domainOf(0);
    settings.peerListen = { "127.0.0.1", peerPort };
    settings.store = { "127.0.0.1", storePort };
    settings.processorShare = 0.1;
    for (size_t i = 0; i < domainCount; ++i)
        settings.regions[domainOf(i)] = "region-" + std::to_string(i / 2);
    return settings;
}

deployment::configuration_ptr makeConfiguration()
{
    json services { { { "name", "engine" } } };
    for (int i = 0; i < 3; ++i)
        services.push_back({ { "name", "pool-" + std::to_string(i) }, { "pieces", { { "slots", 1 } } } });
    const json route { { "name", "r" }, { "host", "h" }, { "path_prefix", "/" }, { "kind", "streaming" }, { "timeout_ms", 15000 }, { "service", "engine" }, { "sticky", true }, { "resumable", true } };
    const auto decoded = platform::decodeConfiguration(json { { "version", 1 }, { "routes", { route } }, { "services", services } }.dump());
    return std::make_shared<const deployment::configuration>(decoded.value());
}

/// The components of one gateway that depend on the other gateways, with a directory that is filled without a store.
struct gateway_fixture {
    gateway_fixture()
        : gatewayContext(makeSettings(), [](const target_state&, std::string_view) {})
        , scheduler(gatewayContext)
        , directory(gatewayContext, { gatewayName(0), gatewayContext.settings.peerListen, gatewayContext.settings.processorShare, 1, domainOf(0) }, [this] { pools.onMembersChanged(); })
        , pools(gatewayContext, scheduler, directory)
    {
        gatewayContext.configuration = makeConfiguration();
        directory.follower().setPeer({ [this](uint64_t askedNumber, uint64_t askedEra, uint64_t askedOffset) {
                                          number = askedNumber;
                                          era = askedEra;
                                          offset = askedOffset;
                                          isAsking = true;
                                          return true;
                                      },
            [](std::string_view) {} });
    }

    /// Has the directory's follower handle one read with these records.
    /// @return Processor time in microseconds.
    double applyRead(const std::vector<std::string>& records)
    {
        while (!isAsking) {
            directory.scheduleRead();
            g_main_context_iteration(nullptr, TRUE);
        }
        isAsking = false;
        platform::topic_extract extract { era, offset + records.size(), milliseconds(0), false, false, {} };
        for (const auto& record : records)
            extract.records.push_back({ offset + extract.records.size(), record });
        const double before = threadMicroseconds();
        directory.follower().handlePeer(extract, number);
        return threadMicroseconds() - before;
    }

    context gatewayContext;
    task_scheduler scheduler;
    entry_directory directory;
    pool_router pools;
    uint64_t number = 0;
    uint64_t era = 0;
    uint64_t offset = 0;
    bool isAsking = false;
};

void measureGateways(gateway_fixture& fixture, size_t gateways)
{
    std::vector<std::string> joins;
    for (size_t i = 1; i < gateways; ++i)
        joins.push_back(platform::detail::encodeKeyedRecord(gatewayName(i), gatewayRecord(i, 1)));
    print("all gateways join in one read", gateways, fixture.applyRead(joins));
    double ofRecord = 0;
    constexpr int records = 5;
    for (int i = 0; i < records; ++i)
        ofRecord += fixture.applyRead({ platform::detail::encodeKeyedRecord(gatewayName(1), gatewayRecord(1, 2 + i)) }) / records;
    print("one gateway starts again", gateways, ofRecord);

    std::vector<policy::owner_candidate> candidates;
    for (size_t i = 0; i < gateways; ++i)
        candidates.push_back({ hashOf(gatewayName(i)), 0.1 + 0.01 * static_cast<double>(i % 40) });
    size_t check = 0;
    print("rankOwners", gateways, microsecondsEach(1000, [&](size_t i) { check += policy::rankOwners(candidates, i).front(); }));
    print("onMembersChanged", gateways, microsecondsEach(200, [&](size_t) { fixture.pools.onMembersChanged(); }));
    print("rankFor, new key", gateways, microsecondsEach(1000, [&](size_t i) { check += fixture.pools.rankFor(std::to_string(i)); }));
    print("rankFor, known key", gateways, microsecondsEach(1000, [&](size_t i) { check += fixture.pools.rankFor(std::to_string(i)); }));
    print("originKeepers", gateways, microsecondsEach(1000, [&](size_t) { check += fixture.pools.originKeepers().size(); }));
    print("storeReaders", gateways, microsecondsEach(1000, [&](size_t) { check += fixture.pools.storeReaders().size(); }));
    print("crashCollectionRole", gateways, microsecondsEach(1000, [&](size_t) { check += fixture.pools.crashCollectionRole().isCollector ? 1 : 0; }));

    auto& targets = fixture.gatewayContext.limitedTargets;
    targets = fixture.gatewayContext.targets.ofService("engine");
    for (const auto& target : targets)
        target->limit.perSecond = 1;
    const auto share = [&](const target_state& target) { return policy::shareOf(fixture.pools.rankFor(target.listed.id), gateways, true, false); };
    print("limits of 1,667 targets, first tick", gateways, microsecondsEach(1, [&](size_t) { updateLimits(fixture.gatewayContext, share, time_point(seconds(1))); }));
    print("limits of 1,667 targets, next tick", gateways, microsecondsEach(20, [&](size_t) { updateLimits(fixture.gatewayContext, share, time_point(seconds(1))); }));
    for (const auto& target : targets)
        target->limit = {};
    targets.clear();
    if (check == 0)
        std::fprintf(stderr, "no rank was computed\n");
}

accepted_request engineRequest(const context& gatewayContext, size_t prompt)
{
    accepted_request request;
    request.exchange = std::make_shared<http1::exchange>(nullptr);
    request.configuration = gatewayContext.configuration;
    request.route = &gatewayContext.configuration->routes.front();
    request.service = "engine";
    request.callerRequest.generation = deployment::generation_request { "m", 17020, 100, { { "system", 6000 }, { "subject-" + std::to_string(prompt), 7300 }, { "own", 3720 } } };
    return request;
}

void measureTargets(gateway_fixture& fixture)
{
    context& gatewayContext = fixture.gatewayContext;
    target_registry& targets = gatewayContext.targets;
    std::vector<deployment::target> listed;
    std::map<std::string, std::string> texts;
    for (size_t i = 0; i < targetCount; ++i)
        texts[targetName(i)] = targetRecord(i, 1);
    print("target list, decode of a snapshot", 0, microsecondsEach(1, [&](size_t) {
        for (const auto& [id, text] : texts)
            listed.push_back(platform::decodeTarget(id, text).value());
    }));
    print("target list, first snapshot", 0, microsecondsEach(1, [&](size_t) { targets.applyAll(listed, time_point(seconds(1))); }));
    constexpr size_t rounds = 300;
    std::vector<std::string> heartbeats;
    std::vector<std::string> restarts;
    for (size_t i = 0; i < rounds; ++i) {
        heartbeats.push_back(targetRecord(i, 2));
        restarts.push_back(targetRecord(i, 3, 2));
    }
    size_t repetitions = 0;
    print("target record, first heartbeat", 0, microsecondsEach(rounds, [&](size_t i) {
        const auto target = platform::decodeTarget(targetName(i), heartbeats[i]);
        targets.apply(target.value(), time_point(seconds(2)), platform::withoutSequence(heartbeats[i]));
    }));
    print("target record, heartbeat", 0, microsecondsEach(rounds, [&](size_t i) {
        repetitions += targets.isKnownRecord(targetName(i), platform::withoutSequence(heartbeats[i])) ? 1 : 0;
        repetitions += targets.renew(targetName(i), platform::withoutSequence(heartbeats[i]), time_point(seconds(2))) ? 1 : 0;
    }));
    print("target record, restarted target", 0, microsecondsEach(rounds, [&](size_t i) {
        const auto first = platform::decodeTarget(targetName(i), restarts[i]);
        repetitions += targets.isListed(first.value()) ? 1 : 0;
        const auto second = platform::decodeTarget(targetName(i), restarts[i]);
        targets.apply(second.value(), time_point(seconds(3)));
    }));
    if (repetitions != 2 * rounds)
        std::fprintf(stderr, "heartbeats were not recognised\n");
}

/// Measures the choice by the load of all gateways; the requests must have been created already.
template <typename Runs>
void measureLoadChoice(context& gatewayContext, const Runs& runs)
{
    load_exchange loads(gatewayContext.counters, gatewayContext.targets, gatewayName(0), false, { [](std::string_view, const wire::message&) { return true; }, [] { return std::vector<std::string> { gatewayName(0) }; }, [] { return std::vector<std::string>(); } });
    wire::load_report report { hashOf(gatewayName(1)), 1, {} };
    gatewayContext.targets.forEach([&report](const target_state& target) { report.items.push_back({ target.incarnation, static_cast<uint32_t>(3 + target.hash % 5), target.hash % 20000, 60000, 20000, 20 }); });
    const time_point begun = monotonicNow();
    time_point now = begun;
    for (; now < begun + seconds(3); now += policy::loadReportPeriod, ++report.sequence) {
        static_cast<void>(loads.handle(
            report, gatewayName(1), [](const wire::message&) {}, now));
        loads.tick(now);
    }
    now -= policy::loadReportPeriod;
    if (!loads.isUsable("engine", now))
        std::fprintf(stderr, "the load of all gateways is not used\n");
    gatewayContext.loads = &loads;
    size_t check = 0;
    const double each = microsecondsEach(10, [&](size_t) {
        for (const auto& run : runs)
            check += run->chooseTarget(now) ? 1 : 0;
    }) / static_cast<double>(runs.size());
    gatewayContext.loads = nullptr;
    print("placement by load among 1,667 engines", 0, each);
    if (each > maxLoadChoiceMicroseconds || check == 0)
        std::fprintf(stderr, "the bound of %.0f us is exceeded\n", maxLoadChoiceMicroseconds);
}

void measureRequests(gateway_fixture& fixture)
{
    context& gatewayContext = fixture.gatewayContext;
    // A request that has run already; its own state at targets is what a gateway of 300 has at 1,667 targets.
    const auto& engines = gatewayContext.targets.ofService("engine");
    for (size_t i = 0; i < engines.size(); i += 40)
        engines[i]->inFlight = 1 + static_cast<uint32_t>(i % 3);
    // The runs are never destroyed, since their exchanges have no connections.
    auto& runs = *new std::list<std::shared_ptr<request_run>>;
    for (size_t i = 0; i < openRequests; ++i)
        runs.push_back(std::make_shared<request_run>(gatewayContext, fixture.pools, engineRequest(gatewayContext, i), [](request_run*) {}));
    size_t check = 0;
    const time_point now = monotonicNow();
    print("placement among 1,667 engines", 0, microsecondsEach(10, [&](size_t) {
        for (const auto& run : runs)
            check += run->chooseTarget(now) ? 1 : 0;
    }) / static_cast<double>(runs.size()));
    measureLoadChoice(gatewayContext, runs);
    print("tick, copy and order of 500 requests", 0, microsecondsEach(200, [&](size_t) {
        std::vector<std::shared_ptr<request_run>> copy(runs.begin(), runs.end());
        std::stable_sort(copy.begin(), copy.end(), [](const auto& left, const auto& right) { return left->urgency() < right->urgency(); });
        check += copy.size();
    }));
    if (check == 0)
        std::fprintf(stderr, "no target was chosen\n");
}
}

int main()
{
    startLogging(log_format::Text, log_level::Info);
    // Log lines go to standard output and are part of the cost; they are not part of the report.
    if (!std::freopen("/dev/null", "w", stdout))
        return 1;
    for (const size_t gateways : { 30, 100, 300 }) {
        fakes::platform_store store({ "127.0.0.1", storePort });
        gateway_fixture fixture;
        measureTargets(fixture);
        measureGateways(fixture, gateways);
        measureRequests(fixture);
    }
    // Exchanges without connections must not be destroyed.
    std::fflush(stderr);
    std::_Exit(0);
}
