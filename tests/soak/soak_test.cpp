/// Injects random faults into gateway processes and checks the guarantees from what callers and targets observe.
/// BILBERRYSEAM_SOAK_SEEDS ("1,2,3" or "100-150") and BILBERRYSEAM_SOAK_SECONDS select seeds and duration;
/// BILBERRYSEAM_SOAK_LOGS names a directory for the gateway logs of a failed run.
#include "fakes/fake_link.hpp"
#include "soak/gateway_faults.hpp"
#include "soak/seeds.hpp"
#include "soak/stream_text.hpp"
#include "support/deployment_fixture.hpp"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <map>
#include <random>
#include <set>

using namespace bilberryseam;
using namespace bilberryseam::tests;
using nlohmann::json;

namespace {
constexpr size_t gatewayCount = 3;

/// Time after which a leaving target must not get new requests, and time in which service must be restored after the
/// last fault.
constexpr milliseconds leavingBound { 2500 };
constexpr milliseconds recoveryBound { 12000 };

enum class request_kind {
    Booking,
    Page,
    Stream,
    ResumableStream,
};

struct soak_request {
    std::string id;
    request_kind kind = request_kind::Booking;
    caller_ptr caller;
};

/// A deployment with random faults for a limited time.
class soak {
public:
    soak(unsigned seed, milliseconds duration, int slot)
        : m_seed(seed)
        , m_random(seed)
        , m_duration(duration)
        , m_deployment(slot)
    {
        const ip_endpoint storeLink = m_deployment.allocateAddress();
        m_links.push_back(std::make_unique<fakes::fake_link>("store", storeLink, m_deployment.storeAddress()));
        m_deployment.setStoreAddress(storeLink);
        for (const char* id : { "b-1", "b-2" })
            addTarget(id, "booking");
        for (const char* id : { "m-1", "m-2", "m-3" })
            addTarget(id, "model");
        for (const char* id : { "e-1", "e-2" })
            addTarget(id, "encode");
        configure();
        for (size_t i = 0; i < gatewayCount; ++i)
            m_deployment.startGateway({ { "stopSeconds", 4 } });
        for (size_t i = 0; i < gatewayCount; ++i)
            m_deployment.waitUntilReady(i);
    }

    void run()
    {
        const time_point end = monotonicNow() + m_duration;
        timer load;
        load.startEvery(milliseconds(12), [this] { sendRequest(); });
        timer faults;
        faults.startEvery(milliseconds(350), [this] { injectFault(); });
        m_deployment.waitUntil([&] { return monotonicNow() >= end; }, "the end of the fault phase");
        faults.stop();
        m_undo.clear();
        restoreAll();
        const time_point restoredAt = monotonicNow();
        m_deployment.waitUntil([&] { return isServiceRestored(); }, "service to be restored after the last fault");
        expect(monotonicNow() - restoredAt <= recoveryBound, "service was not restored in time");
        load.stop();
        m_deployment.waitUntil([this] { return std::all_of(m_requests.begin(), m_requests.end(), [](const auto& item) { return item.caller->isFinished; }); }, "all requests to finish");
        checkGuarantees();
    }

    [[nodiscard]] size_t requestCount() const { return m_requests.size(); }
    [[nodiscard]] size_t completeCount() const { return m_completeCount; }
    [[nodiscard]] size_t faultCount() const { return m_faultCount; }
    [[nodiscard]] size_t truncatedCount() const { return m_truncatedCount; }

private:
    struct soak_target {
        fakes::platform_target* target = nullptr;
        std::string service;
        ip_endpoint listed;
        /// Probability of a faulty response, in percent.
        unsigned faultPercent = 0;
        bool isLeaving = false;
        time_point leavingSince {};
    };

    void expect(bool condition, const std::string& description)
    {
        if (condition)
            return;
        keepLogs("soak", m_seed, description, m_faults.logs(gatewayCount));
        cr_assert(false, "seed %u: %s", m_seed, description.c_str());
    }

    unsigned randomBelow(unsigned below) { return static_cast<unsigned>(m_random() % below); }

    void addTarget(const std::string& id, const std::string& service)
    {
        m_fakeTargets.push_back(std::make_unique<fakes::platform_target>(id, m_deployment.allocateAddress()));
        auto& target = *m_fakeTargets.back();
        const ip_endpoint linkAddress = m_deployment.allocateAddress();
        m_links.push_back(std::make_unique<fakes::fake_link>(id, linkAddress, target.endpoint()));
        target.setEndpoint(linkAddress);
        m_targets.push_back({ &target, service, linkAddress, 0, false, {} });
        const size_t index = m_targets.size() - 1;
        target.setRequestHandler([this, index](std::shared_ptr<http1::exchange> exchange) { handleRequest(m_targets[index], std::move(exchange)); });
        m_deployment.listTarget(target, service);
    }

    void configure()
    {
        const json stages { { { "service", "encode" }, { "after", json::array() }, { "bytes", 1000 } } };
        const json pool { { "name", "encode" }, { "pieces", { { "slots", 1 }, { "queue", 2 }, { "batch", 4 }, { "call_ms", 5 }, { "item_ms", 1 }, { "headroom_mb", 10 }, { "handle_s", 4 } } } };
        m_deployment.configure(++m_version, { deployment_fixture::route("/book/", "non_idempotent", "booking"), deployment_fixture::route("/page/", "idempotent", "booking"), deployment_fixture::route("/stream/", "streaming", "model", { { "stages", stages } }), deployment_fixture::route("/resume/", "streaming", "model", { { "resumable", true }, { "max_attempts", 3 }, { "stages", stages } }) }, { pool });
    }

    void handleRequest(soak_target& target, std::shared_ptr<http1::exchange> exchange)
    {
        const auto header = [&](std::string_view name) { return std::string(http1::findHeader(exchange->head().headers, name).value_or("")); };
        const std::string id = header("X-Attempt-Id");
        if (target.isLeaving && m_isStoreHealthy && monotonicNow() - std::max(target.leavingSince, m_storeHealthySince) > leavingBound)
            expect(false, target.target->id() + " got " + id + " after it had left the service");
        const bool isFaulty = randomBelow(100) < target.faultPercent;
        if (isFaulty && randomBelow(3) == 0) {
            exchange->respond(503, { { "X-Not-Executed", "1" } }, {});
            return;
        }
        ++m_runs[id];
        const bool isStream = target.service == "model";
        const std::string lastId = header("Last-Event-Id");
        const int firstNumber = lastId.empty() ? 1 : std::stoi(lastId) + 1;
        const bool isUnframed = isStream && firstNumber <= eventsPerStream && randomBelow(4) == 0;
        const bool isTruncated = isUnframed && (isFaulty || randomBelow(100) < m_truncatedPercent);
        if (isUnframed) {
            respondUnframed(target, *exchange, streamText(id, firstNumber), isTruncated);
            return;
        }
        if (isFaulty) {
            injectResponseFault(target, std::move(exchange));
            return;
        }
        if (!isStream) {
            exchange->respond(200, target.target->responseHeaders(*exchange), id);
            return;
        }
        exchange->startChunked(200, target.target->responseHeaders(*exchange));
        sendEvents(std::move(exchange), id, firstNumber);
    }

    /// Responds without length or chunks and closes the connection in an orderly way; a truncated response ends inside an event
    /// or before the first. The events are written at once, so that a link that closes cannot end them between two events.
    void respondUnframed(const soak_target& target, http1::exchange& exchange, std::string events, bool isTruncated)
    {
        if (isTruncated) {
            ++m_truncatedCount;
            events.resize(sizeInsideEvent(events, randomBelow(static_cast<unsigned>(events.size()))));
        }
        const auto connection = target.target->startUnframed(exchange);
        connection->write(events);
        connection->finishWriting();
    }

    void sendEvents(std::shared_ptr<http1::exchange> exchange, const std::string& id, int number)
    {
        if (exchange->isFinished())
            return;
        if (number > eventsPerStream) {
            exchange->finishChunked();
            return;
        }
        exchange->writeChunk(eventText(id, number));
        runLater(milliseconds(10), [this, exchange, id, number] { sendEvents(exchange, id, number + 1); });
    }

    void injectResponseFault(soak_target& target, std::shared_ptr<http1::exchange> exchange)
    {
        switch (randomBelow(5)) {
        case 0:
            exchange->abort();
            break;
        case 1:
            exchange->respond(200, { { "X-Attempt-Id", "another" }, { "X-Response-Seal", "s" } }, "another's answer");
            break;
        case 2:
            exchange->respond(500, target.target->responseHeaders(*exchange), "failed");
            break;
        case 3:
            exchange->startChunked(200, target.target->responseHeaders(*exchange));
            exchange->writeChunk(eventText("half", 1).substr(0, 8));
            runLater(milliseconds(30), [exchange] { exchange->abort(); });
            break;
        default:
            m_unansweredExchanges.push_back(std::move(exchange));
        }
    }

    void runLater(milliseconds delay, std::function<void()> action)
    {
        m_timers.push_back(std::make_unique<timer>());
        m_timers.back()->startOnce(delay, std::move(action));
    }

    void sendRequest()
    {
        const size_t gateway = randomBelow(gatewayCount);
        if (m_faults.isStopped(gateway) || m_requests.size() > 20000)
            return;
        soak_request request;
        request.kind = static_cast<request_kind>(randomBelow(4));
        request.id = "r-" + std::to_string(m_seed) + "-" + std::to_string(m_requests.size());
        const char* paths[] { "/book/", "/page/", "/stream/", "/resume/" };
        const bool isGet = request.kind == request_kind::Page;
        request.caller = m_deployment.send(isGet ? "GET" : "POST", paths[static_cast<size_t>(request.kind)] + request.id, { { "X-Attempt-Id", request.id }, { "X-Pieces", "2" }, { "X-Piece-Key", "k" } }, isGet ? "" : request.id, gateway);
        // Some callers disconnect before the response.
        if (randomBelow(25) == 0) {
            const caller_ptr caller = request.caller;
            runLater(milliseconds(randomBelow(60)), [caller] {
                if (caller->isFinished)
                    return;
                caller->call.reset();
                caller->isFinished = true;
            });
        }
        m_requests.push_back(std::move(request));
    }

    void injectFault()
    {
        ++m_faultCount;
        const milliseconds duration(200 + randomBelow(1800));
        switch (randomBelow(11)) {
        case 0:
            m_faults.stop(randomBelow(gatewayCount), SIGKILL, duration);
            break;
        case 1:
            m_faults.stop(randomBelow(gatewayCount), SIGTERM, duration);
            break;
        case 2:
            m_faults.pause(randomBelow(gatewayCount), duration);
            break;
        case 3:
            injectStoreFault(duration);
            break;
        case 4:
            m_deployment.store().truncateHistory("keyed.servers");
            m_deployment.store().truncateHistory("keyed.op");
            break;
        case 5:
            configure();
            break;
        case 6:
            drainTarget(duration);
            break;
        case 7:
        case 8:
            injectLinkFault(duration);
            break;
        case 9:
            m_truncatedPercent = 20 + randomBelow(60);
            m_undo.schedule(duration, [this] { m_truncatedPercent = 0; });
            break;
        default: {
            const size_t index = randomBelow(static_cast<unsigned>(m_targets.size()));
            m_targets[index].faultPercent = 20 + randomBelow(60);
            m_undo.schedule(duration, [this, index] { m_targets[index].faultPercent = 0; });
        }
        }
    }

    void injectStoreFault(milliseconds duration)
    {
        m_isStoreHealthy = false;
        const fakes::store_faults faults[] { { true, false, 0 }, { false, true, 0 }, { false, false, 503 }, { false, false, 429 } };
        m_deployment.store().setFaults(faults[randomBelow(4)]);
        m_undo.schedule(duration, [this] { restoreStore(); });
    }

    void restoreStore()
    {
        m_deployment.store().setFaults({});
        m_isStoreHealthy = true;
        m_storeHealthySince = monotonicNow();
    }

    void drainTarget(milliseconds duration)
    {
        const size_t index = randomBelow(static_cast<unsigned>(m_targets.size()));
        soak_target& target = m_targets[index];
        if (target.isLeaving)
            return;
        target.isLeaving = true;
        target.leavingSince = monotonicNow();
        m_deployment.listTarget(*target.target, target.service, "draining");
        m_undo.schedule(duration + leavingBound, [this, index] { returnTarget(m_targets[index]); });
    }

    void returnTarget(soak_target& target)
    {
        target.isLeaving = false;
        m_deployment.listTarget(*target.target, target.service);
    }

    void injectLinkFault(milliseconds duration)
    {
        const size_t index = randomBelow(static_cast<unsigned>(m_links.size()));
        if (index == 0) {
            m_isStoreHealthy = false;
            m_storeHealthySince = monotonicNow() + duration;
        }
        switch (randomBelow(3)) {
        case 0:
            m_links[index]->applySwitches({ { "silenceNow", true } });
            break;
        case 1:
            m_links[index]->applySwitches({ { "cutAfterBlocks", 1 + randomBelow(4) } });
            break;
        default:
            m_links[index]->applySwitches({ { "down", true } });
        }
        m_undo.schedule(duration, [this, index] {
            m_links[index]->applySwitches({ { "down", false }, { "cutAfterBlocks", 0 } });
            if (index == 0)
                restoreStore();
        });
    }

    void restoreAll()
    {
        restoreStore();
        for (auto& link : m_links)
            link->applySwitches({ { "down", false }, { "cutAfterBlocks", 0 } });
        m_truncatedPercent = 0;
        for (auto& target : m_targets) {
            target.faultPercent = 0;
            if (target.isLeaving)
                returnTarget(target);
        }
        m_faults.restoreAll();
    }

    /// @return Whether each gateway responds with status 200 to a request of each kind.
    bool isServiceRestored()
    {
        for (size_t gateway = 0; gateway < gatewayCount; ++gateway) {
            for (const char* path : { "/book/", "/page/", "/stream/", "/resume/" }) {
                const auto exchange = m_deployment.sendAndWait("POST", std::string(path) + "after", { { "X-Pieces", "1" }, { "X-Piece-Key", "k" } }, "", gateway);
                if (exchange->outcome != http1::call_outcome::Complete || exchange->head.status != 200)
                    return false;
            }
        }
        return true;
    }

    void checkGuarantees()
    {
        for (const auto& item : m_requests) {
            const unsigned runs = m_runs.contains(item.id) ? m_runs.at(item.id) : 0;
            const bool mayRunTwice = item.kind == request_kind::Page || item.kind == request_kind::ResumableStream;
            expect(mayRunTwice || runs <= 1, item.id + " ran " + std::to_string(runs) + " times");
            const auto& caller = *item.caller;
            if (!caller.hasHead)
                continue;
            const bool isNotExecutedStatus = caller.head.status == 503 || caller.head.status == 429 || caller.head.status == 408;
            expect(!isNotExecutedStatus || mayRunTwice || runs == 0, item.id + " got a status that says it did not run, but it did");
            expect(caller.head.status == 200 || caller.head.status >= 500, item.id + " got status " + std::to_string(caller.head.status));
            if (caller.head.status != 200)
                continue;
            const bool isStream = item.kind == request_kind::Stream || item.kind == request_kind::ResumableStream;
            const std::string expectedBody = isStream ? streamText(item.id) : item.id;
            if (caller.outcome == http1::call_outcome::Complete) {
                ++m_completeCount;
                expect(caller.body == expectedBody, item.id + " got a complete response with a wrong or truncated body: " + caller.body);
            } else
                expect(expectedBody.starts_with(caller.body) || !isStream || caller.body.starts_with("id: 1\nda"), item.id + " got body bytes of another response: " + caller.body);
        }
    }

    unsigned m_seed;
    std::mt19937 m_random;
    milliseconds m_duration;
    deployment_fixture m_deployment;
    std::vector<std::unique_ptr<fakes::platform_target>> m_fakeTargets;
    std::vector<std::unique_ptr<fakes::fake_link>> m_links;
    std::vector<soak_target> m_targets;
    std::vector<soak_request> m_requests;
    std::vector<std::shared_ptr<http1::exchange>> m_unansweredExchanges;
    std::map<std::string, unsigned> m_runs;
    std::vector<std::unique_ptr<timer>> m_timers;
    undo_actions m_undo;
    gateway_faults m_faults { m_deployment, m_undo };
    int m_version = 0;
    bool m_isStoreHealthy = true;
    time_point m_storeHealthySince = monotonicNow();
    size_t m_completeCount = 0;
    size_t m_faultCount = 0;
    /// Probability that a target truncates a stream without length, in percent.
    unsigned m_truncatedPercent = 0;
    size_t m_truncatedCount = 0;
};
}

// Each seed runs in its own process with its own ports.
ParameterizedTestParameters(soak, guarantees_hold_under_random_faults)
{
    static std::vector<unsigned> seeds = selectedSeeds();
    return cr_make_param_array(unsigned, seeds.data(), seeds.size());
}

ParameterizedTest(unsigned* seed, soak, guarantees_hold_under_random_faults)
{
    constexpr int firstSlot = 196;
    constexpr int slotCount = 9;
    soak run(*seed, selectedDuration(8), firstSlot + static_cast<int>(*seed % slotCount));
    run.run();
    std::fprintf(stderr, "soak: seed %u, %zu faults, %zu requests, %zu complete responses, %zu truncated streams\n", *seed, run.faultCount(), run.requestCount(), run.completeCount(), run.truncatedCount());
}
