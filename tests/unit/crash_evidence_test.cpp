/// Which prompt segments are refused after crashes, and how a wrong verdict ends.
#include "policy/crash_evidence.hpp"

#include <criterion/criterion.h>
#include <random>

using namespace bilberryseam;
using namespace bilberryseam::policy;

namespace {
constexpr time_point start { seconds(1000) };
constexpr uint64_t system1 = 1;
constexpr uint64_t subject = 2;
constexpr uint64_t otherSubject = 3;
constexpr uint64_t bad = 90;
constexpr uint64_t otherBad = 91;

using requests = std::vector<std::vector<uint64_t>>;

/// Evidence of a process, and the time.
struct evidence_test {
    crash_evidence evidence;
    recent_survivals survivals;
    time_point now = start;
    uint64_t target = 100;
    uint64_t reportId = 0;

    void crash(const requests& inProgress, milliseconds after = milliseconds(1000))
    {
        now += after;
        cr_assert(mergeReport(evidence, { ++reportId, ++target, now, suspectedSegments(inProgress) }, now).isNew);
    }

    [[nodiscard]] bool isRefused(const std::vector<uint64_t>& request) const { return refusedSegment(evidence, request, now).has_value(); }

    void survive(const std::vector<uint64_t>& request)
    {
        for (const uint64_t segment : request)
            recordRecentSurvival(survivals, segment, now);
        static_cast<void>(recordSurvival(evidence, request, now));
    }
};
}

Test(crash_evidence, a_segment_is_refused_after_three_crashes_and_sound_requests_are_not)
{
    evidence_test test;
    for (uint64_t i = 0; i < 3; ++i) {
        cr_assert_not(test.isRefused({ system1, subject, bad }));
        test.crash({ { system1, subject, bad }, { system1, otherSubject + i } });
        test.survive({ system1, subject });
    }
    cr_assert(test.isRefused({ system1, subject, bad }));
    cr_assert(test.isRefused({ bad }));
    cr_assert_not(test.isRefused({ system1, subject }));
    cr_assert_not(test.isRefused({ system1, otherSubject }));
}

Test(crash_evidence, segments_that_always_come_together_are_refused_only_together)
{
    evidence_test test;
    for (int i = 0; i < 3; ++i)
        test.crash({ { system1, subject, bad } });
    cr_assert(test.isRefused({ system1, subject, bad }));
    cr_assert_not(test.isRefused({ system1, subject }), "a sound request is refused although another segment explains all crashes");
    // Requests without the subject crash as well, so the subject is not needed for a crash.
    test.crash({ { system1, bad } });
    test.crash({ { system1, bad } });
    cr_assert(test.isRefused({ system1, bad }));
}

Test(crash_evidence, the_crashing_segment_is_refused_after_at_most_five_crashes_whatever_accompanies_it)
{
    constexpr uint64_t firstSubject = 1000;
    for (uint32_t seed = 1; seed <= 2000; ++seed) {
        std::mt19937 random(seed);
        evidence_test test;
        const uint64_t subjectCount = 1 + random() % 4;
        uint32_t crashes = 0;
        for (int i = 0; i < 40; ++i) {
            const std::vector<uint64_t> request { system1, firstSubject + random() % subjectCount, bad };
            if (test.isRefused(request))
                continue;
            ++crashes;
            test.crash({ request, { system1, firstSubject + random() % subjectCount } });
            if (random() % 3 == 0)
                test.survive({ system1, firstSubject + random() % subjectCount });
        }
        cr_assert_leq(crashes, 5u, "seed %u: %u crashes", seed, crashes);
    }
}

Test(crash_evidence, two_crashing_segments_are_found_although_their_requests_run_at_the_same_targets)
{
    evidence_test test;
    for (int i = 0; i < 3; ++i)
        test.crash({ { system1, bad }, { system1, otherBad } });
    cr_assert(test.isRefused({ system1, bad }));
    cr_assert(test.isRefused({ system1, otherBad }));
}

Test(crash_evidence, targets_lost_at_once_are_one_event)
{
    evidence_test test;
    for (int i = 0; i < 8; ++i)
        test.crash({ { system1, subject } }, milliseconds(5));
    cr_assert_eq(crashCountOf(test.evidence, system1), 1u);
    cr_assert_not(test.isRefused({ system1, subject }));
}

Test(crash_evidence, a_segment_that_keeps_finishing_is_never_refused)
{
    evidence_test test;
    for (int i = 0; i < 50; ++i) {
        test.crash({ { system1, subject } }, milliseconds(400));
        test.now += milliseconds(200);
        test.survive({ system1, subject });
        cr_assert_not(test.isRefused({ system1, subject }));
    }
}

Test(crash_evidence, a_response_that_began_before_the_crashes_refutes_nothing)
{
    evidence_test test;
    const time_point beganAt = test.now;
    for (int i = 0; i < 3; ++i)
        test.crash({ { bad } });
    cr_assert(recordSurvival(test.evidence, std::vector<uint64_t> { bad }, beganAt).empty() || test.isRefused({ bad }));
    cr_assert(test.isRefused({ bad }));
}

Test(crash_evidence, what_accompanies_two_refused_segments_is_not_refused_itself)
{
    evidence_test test;
    for (int i = 0; i < 3; ++i)
        test.crash({ { bad, subject } });
    // Sound requests with the subject still run, so it is cleared before the second segment begins.
    cr_assert_not(test.isRefused({ system1, subject }));
    test.survive({ system1, subject });
    for (int i = 0; i < 3; ++i)
        test.crash({ { otherBad, subject } });
    cr_assert_not(test.isRefused({ system1, subject }));
    cr_assert(test.isRefused({ bad, subject }));
    cr_assert(test.isRefused({ otherBad, subject }));
}

Test(crash_evidence, a_request_with_two_refused_segments_is_no_trial)
{
    evidence_test test;
    for (int i = 0; i < 3; ++i)
        test.crash({ { bad }, { otherBad } });
    test.now += seconds(60);
    cr_assert(test.isRefused({ bad, otherBad }));
    cr_assert_not(tryStartTrial(test.evidence, std::vector<uint64_t> { bad, otherBad }, milliseconds(0), test.now), "the trial of one segment would crash its target because of the other");
    cr_assert(tryStartTrial(test.evidence, std::vector<uint64_t> { bad, subject }, milliseconds(0), test.now));
}

Test(crash_evidence, a_process_that_starts_gets_no_evidence_that_was_refuted)
{
    evidence_test test;
    for (uint64_t i = 0; i < 3; ++i) {
        test.crash({ { system1, subject, bad } });
        test.survive({ system1, subject });
    }
    evidence_test started;
    for (auto& report : unrefutedReports(test.evidence))
        static_cast<void>(mergeReport(started.evidence, std::move(report), test.now));
    cr_assert(started.isRefused({ system1, subject, bad }));
    cr_assert_not(started.isRefused({ system1, subject }));
    cr_assert_eq(crashCountOf(started.evidence, system1), 0u);
}

Test(crash_evidence, reports_of_several_processes_about_one_crash_count_once)
{
    evidence_test test;
    test.crash({ { bad } });
    cr_assert(mergeReport(test.evidence, { 2, test.target, test.now + milliseconds(400), suspectedSegments(requests { { bad } }) }, test.now).isNew);
    cr_assert_not(mergeReport(test.evidence, { 2, test.target, test.now + seconds(9), suspectedSegments(requests { { bad } }) }, test.now).isNew, "a report that was delayed on a second path counts again");
    cr_assert_eq(crashCountOf(test.evidence, bad), 1u);
}

Test(crash_evidence, crashes_that_are_far_apart_add_up)
{
    evidence_test test;
    for (int i = 0; i < 3; ++i)
        test.crash({ { system1, bad } }, seconds(20));
    cr_assert(test.isRefused({ system1, bad }));
}

Test(crash_evidence, a_trial_is_let_through_rarely_and_ends_the_verdict_if_it_survives)
{
    evidence_test test;
    for (int i = 0; i < 3; ++i)
        test.crash({ { bad } });
    cr_assert_not(tryStartTrial(test.evidence, std::vector<uint64_t> { bad }, milliseconds(0), test.now));
    uint32_t trials = 0;
    for (int second = 0; second < 3000; ++second) {
        test.now += seconds(1);
        if (!tryStartTrial(test.evidence, std::vector<uint64_t> { bad }, milliseconds(0), test.now))
            continue;
        ++trials;
        cr_assert_not(tryStartTrial(test.evidence, std::vector<uint64_t> { bad }, milliseconds(0), test.now), "two trials at a time");
        test.crash({ { bad } }, milliseconds(100));
        cr_assert(test.isRefused({ bad }));
    }
    cr_assert_eq(trials, maxTrials);

    evidence_test mended;
    for (int i = 0; i < 3; ++i)
        mended.crash({ { bad } });
    mended.now += firstTrialDelay;
    cr_assert_not(tryStartTrial(mended.evidence, std::vector<uint64_t> { bad }, milliseconds(500), mended.now), "a process of a later rank must wait");
    cr_assert(tryStartTrial(mended.evidence, std::vector<uint64_t> { bad }, milliseconds(0), mended.now));
    mended.now += seconds(1);
    mended.survive({ bad });
    cr_assert_not(mended.isRefused({ bad }));
}

Test(crash_evidence, a_verdict_that_a_survival_refutes_is_not_adopted)
{
    evidence_test test;
    test.crash({ { system1 } });
    segment_verdict verdict { {}, 3, test.now, test.now, 0, test.now + firstTrialDelay, {} };
    test.now += seconds(1);
    test.survive({ system1 });
    cr_assert_not(mergeVerdict(test.evidence, system1, verdict, test.now));
    cr_assert_not(test.isRefused({ system1 }));
    verdict.lastCrashAt = test.now + milliseconds(1);
    cr_assert(mergeVerdict(test.evidence, system1, verdict, test.now));
    cr_assert_not(mergeVerdict(test.evidence, system1, verdict, test.now));
    cr_assert(test.isRefused({ system1 }));
}

Test(crash_evidence, a_refused_segment_has_survived_only_if_its_companions_have)
{
    evidence_test test;
    test.crash({ { system1, bad } });
    test.survive({ system1 });
    for (int i = 0; i < 3; ++i)
        test.crash({ { system1, bad } });
    cr_assert(test.isRefused({ system1, bad }));
    cr_assert_not(hasSurvived(test.evidence, test.survivals, system1), "no response with the companion has begun");
    cr_assert_not(hasSurvived(test.evidence, test.survivals, bad));
    cr_assert_not(hasSurvived(test.evidence, test.survivals, otherBad));

    evidence_test sound;
    sound.crash({ { system1, subject } });
    sound.survive({ system1, subject });
    for (int i = 0; i < 3; ++i)
        sound.crash({ { system1, subject } });
    cr_assert(sound.isRefused({ system1, subject }));
    cr_assert(hasSurvived(sound.evidence, sound.survivals, system1));
}

Test(crash_evidence, only_verdicts_that_are_kept_are_announced)
{
    evidence_test test;
    requests inProgress(8);
    uint64_t next = 1000;
    for (auto& request : inProgress) {
        for (int i = 0; i < 60; ++i)
            request.push_back(next++);
    }
    size_t announced = 0;
    for (int i = 0; i < 5; ++i) {
        test.now += seconds(1);
        const auto result = mergeReport(test.evidence, { ++test.reportId, ++test.target, test.now, suspectedSegments(inProgress) }, test.now);
        for (const uint64_t segment : result.newVerdicts)
            cr_assert(test.evidence.verdicts.contains(segment), "crash %d", i);
        announced += result.newVerdicts.size();
    }
    cr_assert_geq(announced, maxVerdicts);
    cr_assert_eq(test.evidence.verdicts.size(), maxVerdicts);
}

Test(crash_evidence, a_hundred_segments_a_request_and_a_million_different_ones_stay_bounded)
{
    evidence_test test;
    uint64_t next = 1000;
    for (int i = 0; i < 300; ++i) {
        requests inProgress;
        for (int j = 0; j < 34; ++j) {
            inProgress.emplace_back();
            for (int k = 0; k < 100; ++k)
                inProgress.back().push_back(next++);
        }
        test.crash(inProgress);
    }
    cr_assert_geq(next, 1'000'000u);
    cr_assert_eq(test.evidence.reports.size(), maxCrashReports);
    for (const auto& report : test.evidence.reports)
        cr_assert_leq(report.segments.size(), maxReportedSegments);
    cr_assert(test.evidence.verdicts.empty());
    cr_assert(test.evidence.survivals.empty());
}
