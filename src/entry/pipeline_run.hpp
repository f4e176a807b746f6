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

/// A request in progress. Ends with exactly one outcome.
class pipeline_run : public std::enable_shared_from_this<pipeline_run> {
public:
    struct callbacks {
        /// Next part of the text of a streamed response.
        std::function<void(std::string_view text)> onOutput;
        /// Called once; no other callback follows.
        std::function<void(outcome)> onOutcome;
    };

    pipeline_run(request request, run_context& context, callbacks callbacks);
    ~pipeline_run();

    void start();

    /// Ends the run and cancels its attempts at the sides and targets.
    void cancel(outcome_reason reason, milliseconds retryAfter);

    /// Looks for a target again if the run waits for one.
    void onCapacityChanged();

    [[nodiscard]] const request& activeRequest() const noexcept { return m_request; }

private:
    struct active_attempt {
        known_target* target = nullptr;
        std::string region;
        time_point sentAt;
        /// Start or newest output of the call at its target.
        time_point lastSignAt;
        size_t bytesSent = 0;
        size_t bytesReceived = 0;
        bool hasStarted = false;
        bool isIsolated = false;
        bool isHedge = false;
    };

    static constexpr uint32_t maxRetriesPerStage = 8;

    /// Delay before another target is looked for again while all attempts are in doubt.
    static constexpr milliseconds replacementCheckPeriod { 100 };

    [[nodiscard]] const planned_stage& stage() const { return m_request.stages[m_stageIndex]; }
    [[nodiscard]] bool isLastStage() const { return m_stageIndex + 1 == m_request.stages.size(); }

    void startStage();
    void tryDispatch();
    /// @return Hashes of the prompt segments of the current stage that other requests may share.
    [[nodiscard]] std::span<const uint64_t> segments() const noexcept;
    [[nodiscard]] policy::execution_mode executionMode() const;
    std::vector<policy::routing_candidate> listCandidates() const;
    std::optional<size_t> chooseCandidate(std::span<const policy::routing_candidate> candidates, double bytes);
    void dispatchTo(known_target& target, std::string body, bool isHedge);
    wire::start_call makeCall(const known_target& target, identifier attempt, std::string body, bool isIsolated) const;

    void handleEvent(identifier attempt, attempt_event& event);
    void handleRefusal(const wire::call_refused& message);
    /// @return Whether the refusal concerned the idempotency key and needs no further handling.
    bool handleKeyRefusal(wire::refusal refusal);
    void handleOutput(identifier attempt, const std::string& text);
    void handleFinish(const active_attempt& attempt, wire::call_finished& message);
    void handleLoss(const active_attempt& attempt);
    void completeStage(wire::call_finished& message);
    void handleCrash(const active_attempt& attempt, std::string detail);
    void recordRun(const active_attempt& attempt, const wire::call_finished& message);
    void scheduleHedge();
    void startHedge();
    policy::budget& retryBudget();
    /// @return Time after which the attempt may not deliver any more; zero if its link is down or its target silent.
    [[nodiscard]] milliseconds timeUntilDoubt(identifier id, const active_attempt& attempt) const;
    /// If all attempts may not deliver any more, starts one at another target. They go on until it has delivered.
    void replaceDoubtful();
    /// @return False if no attempt can start now.
    bool startReplacement();
    void retryStage(outcome_reason reason, std::string detail);
    void waitForTarget(outcome_reason reason, milliseconds retryAfter);
    void cancelAttempts(std::optional<identifier> except);
    void onDeadlinePassed();
    void recordTraffic(const active_attempt& attempt);

    /// Ends the run without a response. The outcome claims no more than is certain about whether the request ran.
    void finishUnanswered(outcome_reason reason, milliseconds retryAfter, std::string detail);
    void finish(outcome result);

    request m_request;
    run_context& m_context;
    callbacks m_callbacks;
    size_t m_stageIndex = 0;
    nlohmann::json m_previousOutput;
    std::string m_outputText;
    std::unordered_map<identifier, active_attempt> m_attempts;
    std::set<std::string> m_triedTargets;
    uint32_t m_retryCount = 0;
    /// At least one stage has certainly started.
    bool m_hasStarted = false;
    /// At least one attempt may have started and has an unknown outcome.
    bool m_hasUnknownAttempt = false;
    /// The same, for a call that must not run twice.
    bool m_hasUnknownNonRetryableAttempt = false;
    bool m_isFinished = false;
    outcome_reason m_waitReason = outcome_reason::None;
    milliseconds m_waitRetryAfter { 0 };
    bool m_isWaiting = false;
    /// The current attempt runs although its prompt prefix is refused, to see whether it still crashes targets.
    bool m_isTrial = false;
    /// Time since which no target has accepted the current stage.
    std::optional<time_point> m_waitingSince;
    timer m_waitTimer;
    timer m_hedgeTimer;
    timer m_replacementTimer;
    timer m_deadlineTimer;
};
}
