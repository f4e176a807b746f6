/// Targets that ask for rest with `Retry-After`: they get no calls meanwhile, and callers get answers or a true refusal.
#include "support/check.hpp"
#include "support/cluster.hpp"

#include <criterion/criterion.h>

using namespace bilberryseam;
using namespace bilberryseam::tests;
using nlohmann::json;

namespace {
constexpr int pauseSeconds = 5;
constexpr int requestCount = 40;

cluster_spec ranks(int slot, int count, bool isRetryable = true)
{
    cluster_spec spec;
    spec.slot = slot;
    for (int i = 1; i <= count; ++i)
        spec.targets.push_back({ .name = "rank-" + std::to_string(i), .service = "rank", .kind = "plain", .isRetryable = isRetryable });
    spec.pipelines = json::array({ pipelineOf("ranking", { "rank" }) });
    return spec;
}

void requestRest(cluster& deployment, const std::string& target, unsigned status, const std::string& retryAfter)
{
    deployment.switchFakes({ { "targets", { { target, { { "failStatus", status }, { "retryAfter", retryAfter } } } } } });
}

int runsAt(cluster& deployment, const std::string& target)
{
    return deployment.targetCounts(target)["runs"].get<int>();
}
}

Test(target_pause, requests_go_to_other_targets_while_one_asks_for_rest)
{
    cluster deployment(ranks(320, 2));
    requestRest(deployment, "rank-1", 503, std::to_string(pauseSeconds));
    int answered = 0;
    for (int i = 0; i < requestCount; ++i)
        answered += deployment.sendAndWait({ .pipeline = "ranking", .input = { { "number", i } } })->outcomeName() == "answered" ? 1 : 0;
    const int runs = runsAt(deployment, "rank-1");
    cr_assert(answered == requestCount && runs <= 1, "%d requests were answered, and the target got %d calls in its pause", answered, runs);
}

Test(target_pause, a_request_that_cannot_wait_is_refused_with_the_time_of_the_pause)
{
    cluster deployment(ranks(321, 1));
    requestRest(deployment, "rank-1", 429, std::to_string(pauseSeconds));
    for (int i = 0; i < 5; ++i) {
        const auto request = deployment.sendAndWait({ .pipeline = "ranking", .input = { { "number", i } }, .deadlineMs = 1000 });
        checkEqual(request->outcomeName(), "not_run");
        const int64_t retryAfterMs = request->outcome().value("retryAfterMs", int64_t { 0 });
        cr_assert(retryAfterMs > 1000 && retryAfterMs <= 1000 * pauseSeconds, "retryAfterMs is %ld", retryAfterMs);
    }
    cr_assert_eq(runsAt(deployment, "rank-1"), 1);
}

Test(target_pause, a_request_that_can_wait_is_answered_after_the_pause)
{
    cluster deployment(ranks(322, 1));
    requestRest(deployment, "rank-1", 503, "2");
    static_cast<void>(deployment.sendAndWait({ .pipeline = "ranking" }));
    deployment.switchFakes({ { "targets", { { "rank-1", { { "failStatus", 0 } } } } } });
    const auto request = deployment.sendAndWait({ .pipeline = "ranking", .input = { { "number", 1 } } });
    checkEqual(request->outcomeName(), "answered");
    cr_assert_eq(runsAt(deployment, "rank-1"), 2);
}

Test(target_pause, a_call_that_must_not_run_twice_goes_on_elsewhere_after_429)
{
    cluster deployment(ranks(323, 2, false));
    requestRest(deployment, "rank-1", 429, std::to_string(pauseSeconds));
    // The target of a request follows from its key, which is random here.
    for (int i = 0; i < 30 && runsAt(deployment, "rank-1") == 0; ++i)
        checkEqual(deployment.sendAndWait({ .pipeline = "ranking", .input = { { "number", i } } })->outcomeName(), "answered");
    cr_assert_eq(runsAt(deployment, "rank-1"), 1);
}
