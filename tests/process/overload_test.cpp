/// Admission, fairness and shedding under load.
#include "support/check.hpp"
#include "support/cluster.hpp"

#include <criterion/criterion.h>

using namespace bilberryseam;
using namespace bilberryseam::tests;
using nlohmann::json;

namespace {
cluster_spec smallPool(int slot)
{
    cluster_spec spec;
    spec.slot = slot;
    spec.targets = { { .name = "pool-1", .service = "rank", .kind = "reranker", .capacity = 2, .behaviour = { { "latencyMs", 100 } } } };
    spec.pipelines = json::array({ pipelineOf("rank", { "rank" }) });
    spec.accounts = json::array({ { { "name", "large" } }, { { "name", "small" } }, { { "name", "limited" }, { "maxInFlight", 2 } } });
    return spec;
}

void warmUp(cluster& cluster)
{
    for (int i = 0; i < 3; ++i)
        checkEqual(cluster.sendAndWait({ .pipeline = "rank", .account = "small" })->outcomeName(), "answered");
}
}

Test(overload, infeasible_requests_are_shed_and_do_not_run)
{
    cluster cluster(smallPool(80));
    warmUp(cluster);
    std::vector<std::shared_ptr<sent_request>> requests;
    for (int i = 0; i < 200; ++i)
        requests.push_back(cluster.send({ .pipeline = "rank", .account = "large", .deadlineMs = 1500 }));
    int answeredCount = 0;
    int failedCount = 0;
    for (const auto& request : requests) {
        cluster.waitUntil([&] { return request->isDone; }, "the response");
        if (request->outcomeName() == "answered") {
            ++answeredCount;
            continue;
        }
        // A request that started shortly before its deadline did run, and is reported as failed.
        if (request->outcomeName() == "failed") {
            ++failedCount;
            continue;
        }
        checkEqual(request->outcomeName(), "not_run");
        cr_assert_eq(request->reply.status, 429u);
        cr_assert_geq(request->outcome()["retryAfterMs"].get<int>(), 1000);
    }
    cr_assert_geq(answeredCount, 10);
    cr_assert_leq(failedCount, 3, "more failures than requests admitted at the same time");
    cr_assert_eq(cluster.targetCounts("pool-1")["runs"], answeredCount + failedCount + 3, "a request reported as not_run did run");
}

Test(overload, a_large_account_does_not_starve_a_small_one)
{
    cluster cluster(smallPool(81));
    warmUp(cluster);
    std::vector<std::shared_ptr<sent_request>> largeRequests;
    for (int i = 0; i < 150; ++i)
        largeRequests.push_back(cluster.send({ .pipeline = "rank", .account = "large", .deadlineMs = 4000 }));
    cluster.runFor(milliseconds(300));
    for (int i = 0; i < 5; ++i)
        checkEqual(cluster.sendAndWait({ .pipeline = "rank", .account = "small", .deadlineMs = 1500 })->outcomeName(), "answered");
}

Test(overload, an_account_has_a_limit_of_open_requests)
{
    cluster cluster(smallPool(82));
    std::vector<std::shared_ptr<sent_request>> requests;
    for (int i = 0; i < 3; ++i)
        requests.push_back(cluster.send({ .pipeline = "rank", .account = "limited" }));
    int limitedCount = 0;
    for (const auto& request : requests) {
        cluster.waitUntil([&] { return request->isDone; }, "the response");
        limitedCount += request->reason() == "account_limit" ? 1 : 0;
    }
    cr_assert_eq(limitedCount, 1);
    checkEqual(cluster.sendAndWait({ .pipeline = "rank", .account = "limited" })->outcomeName(), "answered");
}

Test(overload, baseline_mode_can_be_configured)
{
    cluster_spec spec = smallPool(83);
    spec.policies = json::array({ { { "name", "default" }, { "mode", "baseline" } } });
    cluster cluster(spec);
    checkEqual(cluster.sendAndWait({ .pipeline = "rank", .account = "small" })->outcomeName(), "answered");
    cr_assert_eq(cluster.entryMetric("bilberryseam_requests_shed_total"), 0);
}
