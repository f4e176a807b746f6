/// Runs one request through the stages of its pipeline.
#pragma once

#include "entry/outcome.hpp"
#include "entry/request.hpp"
#include "entry/run_context.hpp"
#include "loop/timer.hpp"

#include <functional>
#include <memory>
#include <set>
#include <unordered_map>

namespace bilberryseam::entry {

/// One request in progress. Ends with exactly one outcome.
class pipeline_run : public std::enable_shared_from_this<pipeline_run> {
public:
    struct callbacks {
        /// The next piece of a streamed answer.
        std::function<void(std::string_view text)> onOutput;
        /// The final word; nothing follows.
        std::function<void(outcome)> onOutcome;
    };

    pipeline_run(request asked, run_context& context, callbacks calls);
    ~pipeline_run();

    void start();

    /// Ends the run for a reason of the caller's side; cancels its attempts down to the targets.
    void abandon(outcome_reason reason);

    /// Looks again for a target if the run waits for one.
    void capacityChanged();

    [[nodiscard]] const request& asked() const noexcept { return m_request; }

private:
    struct live_attempt {
        known_target* target = nullptr;
        std::string region;
        time_point sentAt;
        size_t bytesOut = 0;
        size_t bytesBack = 0;
        bool hasStarted = false;
        bool isAlone = false;
        bool isHedge = false;
    };

    [[nodiscard]] const planned_stage& stage() const { return m_request.stages[m_stageIndex]; }
    [[nodiscard]] bool isLastStage() const { return m_stageIndex + 1 == m_request.stages.size(); }

    void startStage();
    void tryDispatch();
    std::vector<policy::routing_candidate> candidates() const;
    std::optional<size_t> choose(std::span<const policy::routing_candidate> candidates, double bytes);
    void dispatchTo(known_target& target, std::string body, bool isHedge);
    wire::start_call callFor(const known_target& target, identifier attempt, std::string body, bool isAlone) const;

    void take(identifier attempt, attempt_event& event);
    void takeRefusal(const wire::call_refused& refused);
    /// @return Whether the refusal was about the idempotency key and has been dealt with.
    bool takeKeyRefusal(wire::refusal refusal);
    void takeOutput(identifier attempt, const std::string& text);
    void takeFinish(const live_attempt& ended, wire::call_finished& finished);
    void takeLoss(const live_attempt& ended);
    void takeStall(identifier attempt);
    void completeStage(wire::call_finished& finished);
    void takeCrash(const live_attempt& ended, std::string detail);
    void recordRun(const live_attempt& ended, const wire::call_finished& finished);
    void armHedge();
    void hedge();
    policy::budget& retryBudget();
    void retryOr(outcome_reason reason, std::string detail);
    void waitForTarget(outcome_reason reason, milliseconds retryAfter);
    void cancelAttempts(std::optional<identifier> except);
    void deadlinePassed();
    void account(const live_attempt& ended);

    /// Ends the run with the most that can truthfully be said.
    void giveUp(outcome_reason reason, milliseconds retryAfter, std::string detail);
    void end(outcome told);

    request m_request;
    run_context& m_context;
    callbacks m_calls;
    size_t m_stageIndex = 0;
    nlohmann::json m_previous;
    std::string m_text;
    std::unordered_map<identifier, live_attempt> m_attempts;
    std::set<std::string> m_tried;
    uint32_t m_retries = 0;
    /// Some stage began for sure.
    bool m_hasBegun = false;
    /// Some attempt may have begun, and its fate is unknown.
    bool m_isUnclear = false;
    /// The same, for a call that may not be repeated.
    bool m_isUnclearOnce = false;
    bool m_isOver = false;
    outcome_reason m_waitReason = outcome_reason::None;
    milliseconds m_waitRetryAfter { 0 };
    bool m_isWaiting = false;
    /// Since when no target would take the present stage.
    std::optional<time_point> m_waitingSince;
    timer m_patience;
    timer m_hedge;
    timer m_deadline;
};
}
