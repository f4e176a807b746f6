/// Which targets a request may use: the order of the reasons, evacuations, permitted regions and their decoding.
#include "deployment/deployment.hpp"
#include "platform/records.hpp"
#include "policy/batching.hpp"
#include "policy/eligibility.hpp"
#include "policy/evacuation.hpp"

#include <criterion/criterion.h>
#include <functional>
#include <limits>
#include <random>

using namespace bilberryseam;
using namespace bilberryseam::policy;

namespace {
const time_point start { seconds(1000) };

/// State of a target to which nothing speaks against.
struct known_target {
    target_pause pause;
    target_health health;
    rate_limit limit;
    cold_start coldStart;
    target_conditions conditions;

    known_target()
    {
        conditions.pause = &pause;
        conditions.health = &health;
        conditions.limit = &limit;
        conditions.coldStart = &coldStart;
    }
    known_target(const known_target&) = delete;
    known_target& operator=(const known_target&) = delete;
};

struct reason_case {
    ineligibility reason;
    std::string_view name;
    std::function<void(known_target&)> apply;
};

const std::vector<reason_case> reasonCases {
    { ineligibility::OutsideRegions, "outside_regions", [](known_target& target) { target.conditions.isInPermittedRegion = false; } },
    { ineligibility::Evacuated, "evacuated", [](known_target& target) { target.conditions.isEvacuated = true; } },
    { ineligibility::Replaced, "replaced", [](known_target& target) { target.conditions.isReplaced = true; } },
    { ineligibility::Leaving, "leaving", [](known_target& target) { target.conditions.isLeaving = true; } },
    { ineligibility::Paused, "paused", [](known_target& target) { target.pause.until = start + seconds(1); } },
    { ineligibility::Blocked, "blocked", [](known_target& target) { target.health.blockedUntil = start + seconds(1); } },
    { ineligibility::Returning, "returning", [](known_target& target) {
         // A pause that has ended; one request may be unanswered, and is.
         target.pause = { start - seconds(3), std::max(target.pause.until, start - microseconds(1)), 1, 1, start };
     } },
    { ineligibility::Limited, "limited", [](known_target& target) {
         target.limit.perSecond = 1;
         target.limit.refilledAt = start;
     } },
    { ineligibility::Cold, "cold", [](known_target& target) {
         // A process without a share of the cold rate sends nothing.
         target.coldStart.until = start + seconds(3);
         updateCold(target.coldStart, { 5.9, 0, start + seconds(3) }, start);
     } },
    { ineligibility::Memory, "memory", [](known_target& target) {
         target.conditions.memoryTokens = 1000;
         target.conditions.heldTokens = 900;
         target.conditions.neededTokens = 101;
     } },
    { ineligibility::OtherVersion, "other_version", [](known_target& target) { target.conditions.isOtherVersion = true; } },
    { ineligibility::Tried, "tried", [](known_target& target) { target.conditions.isTried = true; } },
};

std::string configurationOf(const std::string& routeRegions, const std::string& accountRegions = "")
{
    return R"({"version":1,"routes":[{"name":"r","host":"h","path_prefix":"/","kind":"idempotent","service":"s")" + routeRegions + R"(}],"services":[],"tenants":[{"name":"a","api_keys":["k"])" + accountRegions + "}]}";
}

evacuation_table tableWith(std::string_view domain, uint64_t era = 1)
{
    evacuation_table table;
    static_cast<void>(applySnapshot(table, { std::string(domain) }, era, start));
    return table;
}

const std::vector<std::string> onlyNorth { "north" };
const std::vector<std::string> noRegion {};

queued_task taskOf(uint64_t jobId, const std::vector<std::string>* regions, double bytes = 0)
{
    queued_task task;
    task.jobId = jobId;
    task.latestStart = start + seconds(1);
    task.queuedAt = start;
    task.resultBytes = bytes;
    task.permittedRegions = regions;
    return task;
}
}

// Guards against engines that crash because they hold more than their memory, and against counts that silence a target.
Test(eligibility, request_must_fit_beside_those_that_the_target_holds)
{
    constexpr uint64_t huge = std::numeric_limits<uint64_t>::max();
    cr_assert(fitsMemory(1000, 900, 100));
    cr_assert(!fitsMemory(1000, 901, 100));
    cr_assert(!fitsMemory(1000, 0, 1001));
    cr_assert(!fitsMemory(1000, huge, 1));
    cr_assert(!fitsMemory(1000, 1, huge));
    cr_assert(fitsMemory(0, huge, huge), "the memory is not known");
    cr_assert(fitsMemory(1000, huge, 0), "the need is not known");
    cr_assert_eq(plausibleHeldTokens(900, 100, 1000), 900u);
    cr_assert_eq(plausibleHeldTokens(50, 100, 1000), 100u, "the own requests are there in any case");
    cr_assert_eq(plausibleHeldTokens(huge, 100, 1000), 100u);
}

Test(eligibility, each_condition_gives_its_reason_and_the_earlier_one_wins)
{
    cr_assert_eq(reasonAgainst(known_target().conditions, start), ineligibility::None);
    cr_assert_eq(reasonAgainst({}, start), ineligibility::None, "nothing is known about the target");
    for (size_t i = 0; i < reasonCases.size(); ++i) {
        known_target target;
        reasonCases[i].apply(target);
        cr_assert_eq(reasonAgainst(target.conditions, start), reasonCases[i].reason, "%s", reasonCases[i].name.data());
        cr_assert_eq(nameOf(reasonCases[i].reason), reasonCases[i].name);
        for (size_t later = i + 1; later < reasonCases.size(); ++later) {
            known_target both;
            reasonCases[i].apply(both);
            reasonCases[later].apply(both);
            cr_assert_eq(reasonAgainst(both.conditions, start), reasonCases[i].reason, "%s before %s", reasonCases[i].name.data(), reasonCases[later].name.data());
        }
    }
}

Test(eligibility, only_an_evacuation_without_its_withdrawal_is_in_force)
{
    evacuation_table table;
    cr_assert_eq(evacuate(table, "north-1", start), evacuation_change::Begun);
    cr_assert_eq(evacuate(table, "north-1", start), evacuation_change::None, "a repeated record");
    cr_assert(isEvacuated(table, "north-1"));
    cr_assert(!isEvacuated(table, "north-10") && !isEvacuated(table, "north"));
    cr_assert_eq(withdraw(table, "north-1"), evacuation_change::Withdrawn);
    cr_assert_eq(withdraw(table, "north-1"), evacuation_change::None);
    cr_assert(!isEvacuated(table, "north-1"));
    cr_assert_eq(evacuate(table, "north-1", start), evacuation_change::Begun);
    cr_assert(isEvacuated(table, "north-1"), "evacuate, withdraw, evacuate");
}

Test(eligibility, a_snapshot_of_the_same_era_withdraws_what_it_lacks)
{
    evacuation_table table = tableWith("north-1");
    const auto changes = applySnapshot(table, { "south-1" }, 1, start);
    cr_assert_eq(changes.size(), 2u);
    cr_assert(!isEvacuated(table, "north-1"));
    cr_assert(isEvacuated(table, "south-1"));
}

Test(eligibility, an_evacuation_that_the_store_lost_stays_for_five_seconds_of_reads)
{
    evacuation_table table = tableWith("north-1");
    static_cast<void>(applySnapshot(table, {}, 2, start));
    cr_assert(isEvacuated(table, "north-1"));
    static_cast<void>(applySnapshot(table, {}, 2, start + seconds(1)));
    cr_assert(isEvacuated(table, "north-1"), "a further snapshot of the new era");
    cr_assert(dropLost(table, start + milliseconds(4999)).empty());
    cr_assert(isEvacuated(table, "north-1"));
    cr_assert_eq(dropLost(table, start + milliseconds(5000)).size(), 1u);
    cr_assert(!isEvacuated(table, "north-1"));
}

Test(eligibility, an_evacuation_that_is_written_again_or_withdrawn_after_a_new_era_counts_as_written)
{
    evacuation_table table = tableWith("north-1");
    static_cast<void>(applySnapshot(table, {}, 2, start));
    cr_assert_eq(evacuate(table, "north-1", start + seconds(2)), evacuation_change::Confirmed);
    cr_assert(dropLost(table, start + seconds(60)).empty());
    cr_assert(isEvacuated(table, "north-1"));
    static_cast<void>(applySnapshot(table, {}, 3, start + seconds(61)));
    cr_assert_eq(withdraw(table, "north-1"), evacuation_change::Withdrawn);
    cr_assert(!isEvacuated(table, "north-1"));
}

Test(eligibility, the_number_of_evacuated_domains_is_bounded)
{
    evacuation_table table;
    for (size_t i = 0; i < maxEvacuatedDomains; ++i)
        cr_assert_eq(evacuate(table, std::to_string(i), start), evacuation_change::Begun);
    cr_assert_eq(evacuate(table, "one more", start), evacuation_change::Rejected);
    cr_assert_eq(table.domains.size(), maxEvacuatedDomains);
}

Test(eligibility, allowed_regions_are_decoded_or_make_the_configuration_invalid)
{
    struct decoding_case {
        std::string text;
        bool isValid;
        std::optional<std::vector<std::string>> names;
    };
    const std::vector<decoding_case> cases {
        { "", true, std::nullopt },
        { R"(,"allowed_regions":null)", true, std::nullopt },
        { R"(,"allowed_regions":[])", true, std::nullopt },
        { R"(,"allowed_regions":["south","north","south"])", true, std::vector<std::string> { "north", "south" } },
        { R"(,"allowed_regions":[""])", true, std::vector<std::string> { "" } },
        { R"(,"allowed_regions":"north")", false, std::nullopt },
        { R"(,"allowed_regions":["north",1])", false, std::nullopt },
        { R"(,"allowed_regions":[["north"]])", false, std::nullopt },
        { R"(,"allowed_regions":{"north":true})", false, std::nullopt },
        { R"(,"allowed_regions":true)", false, std::nullopt },
        { R"(,"allowed_regions":7)", false, std::nullopt },
    };
    for (const auto& item : cases) {
        const auto ofRoute = platform::decodeConfiguration(configurationOf(item.text));
        const auto ofAccount = platform::decodeConfiguration(configurationOf("", item.text));
        cr_assert_eq(ofRoute.has_value(), item.isValid, "%s", item.text.c_str());
        cr_assert_eq(ofAccount.has_value(), item.isValid, "%s", item.text.c_str());
        if (!item.isValid)
            continue;
        cr_assert(ofRoute.value().routes.front().allowedRegions.names == item.names);
        cr_assert(ofAccount.value().accountsByApiKey.at("k").allowedRegions.names == item.names);
    }
}

Test(eligibility, both_lists_apply_and_an_unknown_region_permits_nothing)
{
    const auto configuration = platform::decodeConfiguration(configurationOf(R"(,"allowed_regions":["north","south"])", R"(,"allowed_regions":["south","west"])")).value();
    const auto both = deployment::regionsOf(configuration, "r", "a");
    cr_assert(both.permits("south"));
    cr_assert(!both.permits("north") && !both.permits("west") && !both.permits(""));
    cr_assert(deployment::regionsOf(configuration, "r", "").permits("north"));
    cr_assert(deployment::regionsOf(configuration, "other", "other").permits(""), "no list applies");
    const deployment::permitted_regions north { std::vector<std::string> { "north" } };
    const deployment::permitted_regions south { std::vector<std::string> { "south" } };
    const auto none = deployment::intersectionOf(north, south);
    cr_assert(none.isRestricted());
    cr_assert(!none.permits("north") && !none.permits("south"));
    cr_assert(deployment::permitted_regions { std::vector<std::string> { "" } }.permits("") == false, "an empty name does not permit unknown regions");
}

Test(eligibility, keys_of_the_operators_topic_name_evacuated_domains)
{
    cr_assert_eq(platform::evacuatedDomainOf("evacuate/north-1").value(), "north-1");
    cr_assert_eq(platform::evacuatedDomainOf("evacuate/").value(), "");
    cr_assert_eq(platform::evacuatedDomainOf("evacuate/a/b").value(), "a/b");
    cr_assert(!platform::evacuatedDomainOf("config"));
    cr_assert(!platform::evacuatedDomainOf("evacuated/north-1"));
    cr_assert(!platform::evacuatedDomainOf(""));
}

Test(eligibility, no_batch_has_a_task_at_a_target_outside_its_permitted_regions)
{
    std::mt19937_64 random(7);
    const std::vector<std::string> regionNames { "north", "south", "west", "" };
    const std::vector<std::vector<std::string>> lists { {}, { "north" }, { "north", "south" }, { "" }, { "elsewhere" } };
    for (int round = 0; round < 2000; ++round) {
        std::vector<pool_target> targets;
        for (size_t i = 0; i < 1 + random() % 8; ++i) {
            const double bytes = random() % 3 == 0 ? 100 : 1e9;
            targets.push_back({ random() % 2 == 0 ? "a" : "b", random() % 4 != 0, bytes, bytes, random() % 5 == 0 ? 1000.0 : 1.0, regionNames[random() % regionNames.size()] });
        }
        std::vector<queued_task> tasks;
        for (size_t i = 0; i < random() % 40; ++i) {
            tasks.push_back(taskOf(i / 3, (i / 3) % 3 == 0 ? nullptr : &lists[(i / 3) % lists.size()], random() % 2 == 0 ? 0 : 60));
            tasks.back().requiredDomain = random() % 3 == 0 ? "b" : "";
        }
        for (const auto& batch : planBatches(tasks, targets, { 8 }, start + milliseconds(random() % 800))) {
            for (const size_t index : batch.tasks) {
                const auto* regions = tasks[index].permittedRegions;
                const auto& region = targets[batch.target].region;
                cr_assert(!regions || (!region.empty() && std::find(regions->begin(), regions->end(), region) != regions->end()), "round %d", round);
            }
        }
    }
}

Test(eligibility, a_restricted_task_does_not_wait_for_a_required_domain_that_is_not_permitted)
{
    const std::vector<pool_target> targets { { "a", true, 1e9, 1e9, 1, "north" }, { "b", true, 1e9, 1e9, 1, "south" } };
    std::vector<queued_task> tasks { taskOf(1, &onlyNorth) };
    tasks[0].requiredDomain = "b";
    const auto batches = planBatches(tasks, targets, { 8 }, start);
    cr_assert_eq(batches.size(), 1u);
    cr_assert_eq(batches[0].target, 0u);
}

Test(eligibility, a_restricted_job_that_waits_for_memory_holds_up_no_job_of_other_regions)
{
    const std::vector<pool_target> targets { { "a", true, 100, 1000, 1, "north" }, { "b", true, 1e6, 1e6, 1, "south" } };
    const std::vector<queued_task> tasks { taskOf(1, &onlyNorth, 150), taskOf(1, &onlyNorth, 150), taskOf(2, nullptr, 1000), taskOf(3, &noRegion, 10) };
    const auto batches = planBatches(tasks, targets, { 8 }, start);
    cr_assert_eq(batches.size(), 1u);
    cr_assert_eq(batches[0].target, 1u);
    cr_assert_eq(batches[0].tasks, (std::vector<size_t> { 2 }));
}

// Guards against a change of decisions where no list and no evacuation is set.
Test(eligibility, without_regions_and_evacuations_targets_are_usable_as_before)
{
    std::mt19937_64 random(11);
    const auto soon = [&random] { return start + milliseconds(static_cast<int64_t>(random() % 4) * 500 - 1000); };
    int usable = 0;
    for (int round = 0; round < 5000; ++round) {
        known_target target;
        target.pause = { start - seconds(5), soon(), static_cast<uint32_t>(random() % 3), static_cast<uint32_t>(random() % 3), soon() };
        target.health.blockedUntil = soon();
        if (random() % 2 == 0)
            target.limit.perSecond = 2;
        target.limit.share = 1;
        target.limit.tokens = static_cast<double>(random() % 2);
        target.limit.refilledAt = start;
        target.conditions.isReplaced = random() % 4 == 0;
        target.conditions.isLeaving = random() % 4 == 0;
        target.conditions.isOtherVersion = random() % 4 == 0;
        target.conditions.isTried = random() % 4 == 0;
        const bool isInService = !target.conditions.isReplaced && !target.conditions.isLeaving;
        const bool wasUsable = isInService && mayReturn(target.pause, start) && isUsable(target.health, start) && canSend(target.limit, start) && !target.conditions.isOtherVersion && !target.conditions.isTried;
        cr_assert_eq(reasonAgainst(target.conditions, start) == ineligibility::None, wasUsable, "round %d", round);
        usable += wasUsable ? 1 : 0;
    }
    cr_assert_gt(usable, 50, "both outcomes occur");
}

// Guards against a list that permits everything and still changes the planning.
Test(eligibility, a_list_of_all_regions_plans_as_no_list)
{
    std::mt19937_64 random(13);
    const std::vector<std::string> all { "north", "south" };
    for (int round = 0; round < 1000; ++round) {
        std::vector<pool_target> targets;
        for (size_t i = 0; i < 1 + random() % 6; ++i) {
            const double bytes = random() % 3 == 0 ? 200 : 1e6;
            targets.push_back({ random() % 2 == 0 ? "a" : "b", random() % 4 != 0, bytes, bytes, random() % 4 == 0 ? 5.0 : 1.0, all[random() % 2] });
        }
        std::vector<queued_task> tasks;
        for (size_t i = 0; i < random() % 30; ++i) {
            tasks.push_back(taskOf(i / 4, nullptr, static_cast<double>(random() % 120)));
            tasks.back().preferredDomain = random() % 2 == 0 ? "a" : "";
        }
        const time_point now = start + milliseconds(random() % 600);
        const auto unrestricted = planBatches(tasks, targets, { 8 }, now);
        for (auto& task : tasks)
            task.permittedRegions = &all;
        const auto restricted = planBatches(tasks, targets, { 8 }, now);
        cr_assert_eq(restricted.size(), unrestricted.size(), "round %d", round);
        for (size_t i = 0; i < restricted.size(); ++i) {
            cr_assert_eq(restricted[i].target, unrestricted[i].target, "round %d", round);
            cr_assert(restricted[i].tasks == unrestricted[i].tasks, "round %d", round);
        }
    }
}
