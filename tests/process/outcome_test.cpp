/// Outcomes that no other test covers.
#include "support/check.hpp"
#include "support/cluster.hpp"

#include <criterion/criterion.h>

using namespace bilberryseam;
using namespace bilberryseam::tests;
using nlohmann::json;

namespace {
cluster_spec twoStages(int slot)
{
    cluster_spec spec;
    spec.slot = slot;
    spec.targets = { { .name = "enc-1", .service = "encode", .kind = "encoder" }, { .name = "rank-1", .service = "rank", .kind = "reranker", .behaviour = { { "restartMs", 60000 } } } };
    spec.pipelines = json::array({ pipelineOf("both", { "encode", "rank" }), pipelineOf("rank", { "rank" }) });
    return spec;
}
}

Test(outcome, no_target_before_the_first_stage_started_is_not_run)
{
    cluster cluster(twoStages(91));
    cluster.switchFakes({ { "targets", { { "rank-1", { { "die", true } } } } } });
    const auto response = cluster.sendAndWait({ .pipeline = "rank" });
    checkEqual(response->outcomeName(), "not_run");
    checkEqual(response->reason(), "no_target");
    cr_assert_eq(cluster.targetCounts("rank-1")["runs"], 0);
}

Test(outcome, no_target_after_an_earlier_stage_is_failed)
{
    cluster cluster(twoStages(92));
    cluster.switchFakes({ { "targets", { { "rank-1", { { "die", true } } } } } });
    const auto response = cluster.sendAndWait({ .pipeline = "both" });
    checkEqual(response->outcomeName(), "failed");
    checkEqual(response->reason(), "no_target");
    checkEqual(response->outcome()["stage"], "rank");
    cr_assert_eq(cluster.targetCounts("enc-1")["runs"], 1);
}

Test(outcome, a_request_before_the_first_configuration_is_not_run)
{
    cluster cluster(twoStages(93));
    cluster.switchFakes({ { "log", { { "down", true } } } });
    for (const char* process : { "side-enc-1", "side-rank-1", "entry-0" })
        cluster.kill(process);
    cluster.start("entry-0");
    cluster.waitUntil([&] { return cluster.get(cluster.entryOperator(), "/healthz").is_object(); }, "the entry to start");
    const auto response = cluster.sendAndWait({ .pipeline = "rank" });
    checkEqual(response->outcomeName(), "not_run");
    checkEqual(response->reason(), "not_ready");
    cr_assert(cluster.get(cluster.entryOperator(), "/readyz")["ready"] == false);
}
