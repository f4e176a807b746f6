/// Outcomes that no other test meets.
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

Test(outcome, no_target_before_anything_began_is_not_run)
{
    cluster running(twoStages(91));
    running.switchFakes({ { "targets", { { "rank-1", { { "die", true } } } } } });
    const auto answer = running.ask({ .pipeline = "rank" });
    checkEqual(answer->kind(), "not_run");
    checkEqual(answer->reason(), "no_target");
    cr_assert_eq(running.targetCounts("rank-1")["runs"], 0);
}

Test(outcome, no_target_after_an_earlier_stage_is_failed)
{
    cluster running(twoStages(92));
    running.switchFakes({ { "targets", { { "rank-1", { { "die", true } } } } } });
    const auto answer = running.ask({ .pipeline = "both" });
    checkEqual(answer->kind(), "failed");
    checkEqual(answer->reason(), "no_target");
    checkEqual(answer->outcome()["stage"], "rank");
    cr_assert_eq(running.targetCounts("enc-1")["runs"], 1);
}

Test(outcome, no_configuration_yet_is_not_run)
{
    cluster running(twoStages(93));
    running.switchFakes({ { "log", { { "down", true } } } });
    for (const char* process : { "side-enc-1", "side-rank-1", "entry-0" })
        running.kill(process);
    running.start("entry-0");
    running.waitUntil([&] { return running.get(running.entryOperator(), "/healthz").is_object(); }, "the entry");
    const auto answer = running.ask({ .pipeline = "rank" });
    checkEqual(answer->kind(), "not_run");
    checkEqual(answer->reason(), "not_ready");
    cr_assert(running.get(running.entryOperator(), "/readyz")["ready"] == false);
}
