/// An owner of a pool that learns what other entries have at its targets (setting `poolReports`).
#include "support/deployment_fixture.hpp"

#include <criterion/criterion.h>
#include <csignal>

using namespace bilberryseam;
using namespace bilberryseam::tests;
using nlohmann::json;

namespace {
/// A pool of two targets with 3 MB for results of 1.1 MB each, and a gateway that has not used it yet.
struct taken_over_pool {
    deployment_fixture deployment;
    fakes::platform_target& first;
    fakes::platform_target& second;
    fakes::platform_target& model;
    std::vector<caller_ptr> callers;

    taken_over_pool(int slot, bool readsReports)
        : deployment(slot)
        , first(deployment.addTarget("e-1", "encode"))
        , second(deployment.addTarget("e-2", "encode"))
        , model(deployment.addTarget("t-1", "model"))
    {
        const json stages { { { "service", "encode" }, { "after", json::array() }, { "bytes", 1100000 } } };
        const json service { { "name", "encode" }, { "pieces", { { "slots", 1 }, { "queue", 2 }, { "batch", 1 }, { "call_ms", 100 }, { "item_ms", 0 }, { "headroom_mb", 3 }, { "handle_s", 4 } } } };
        deployment.configure(3, { deployment_fixture::route("/m/", "idempotent", "model", { { "stages", stages } }) }, { service });
        deployment.startGateway();
        deployment.waitUntilReady(0);
        if (!readsReports)
            return;
        deployment.changeSettings(0, { { "poolReports", true } });
        deployment.signal(0, SIGHUP);
        deployment.waitUntil([&] { return deployment.logOf(0).find("The settings were reloaded.") != std::string::npos; }, "the setting");
    }

    /// Sends a request with one task and waits for its response.
    void serve()
    {
        const http1::header_list headers { { "X-Pieces", "1" }, { "X-Piece-Key", "k" }, { "X-Deadline-Ms", "2500" } };
        callers.push_back(deployment.send("POST", "/m/" + std::to_string(callers.size()), headers, "", 0));
        deployment.waitUntil([&] { return callers.back()->isFinished; }, "the response");
        cr_assert_eq(callers.back()->head.status, 200);
    }
};

constexpr const char* idleReport = R"({"waiting":0,"busy":0,"free_mb":3})";
constexpr const char* fullReport = R"({"waiting":0,"busy":0,"free_mb":0})";
}

// Guards against calls that find no memory, because results of the previous owner occupy it.
Test(gateway_pool_reports, a_target_full_of_other_results_gets_no_calls_after_a_takeover)
{
    for (const bool isFirstFull : { true, false }) {
        taken_over_pool pool(isFirstFull ? 294 : 295, true);
        pool.first.setReport(isFirstFull ? fullReport : idleReport);
        pool.second.setReport(isFirstFull ? idleReport : fullReport);
        for (int i = 0; i < 3; ++i)
            pool.serve();
        const auto& full = isFirstFull ? pool.first : pool.second;
        const auto& idle = isFirstFull ? pool.second : pool.first;
        cr_assert(full.batchCalls().empty(), "the full target got a call");
        cr_assert_eq(idle.batchCalls().size(), 3u);
        cr_assert_neq(pool.deployment.logOf(0).find("Other entries use a target of a pool."), std::string::npos);
    }
}

// Guards against a pool that stands still because its targets do not report.
Test(gateway_pool_reports, targets_without_a_usable_report_are_used)
{
    taken_over_pool pool(296, true);
    pool.first.setReport(R"({"waiting":-1})");
    for (int i = 0; i < 3; ++i)
        pool.serve();
    cr_assert_eq(pool.first.batchCalls().size() + pool.second.batchCalls().size(), 3u);
    cr_assert_geq(pool.first.reportCount() + pool.second.reportCount(), 2u);
}

// Guards against queries for each call: they are for takeovers and for targets with less room than expected.
Test(gateway_pool_reports, a_pool_in_use_is_not_queried_again)
{
    taken_over_pool pool(297, true);
    pool.first.setReport(idleReport);
    pool.second.setReport(idleReport);
    for (int i = 0; i < 10; ++i)
        pool.serve();
    cr_assert_eq(pool.first.reportCount(), 1u);
    cr_assert_eq(pool.second.reportCount(), 1u);
}

Test(gateway_pool_reports, without_the_setting_nothing_is_queried)
{
    taken_over_pool pool(298, false);
    pool.first.setReport(fullReport);
    pool.second.setReport(fullReport);
    pool.serve();
    cr_assert_eq(pool.first.reportCount() + pool.second.reportCount(), 0u);
}
