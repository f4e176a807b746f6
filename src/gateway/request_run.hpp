/// One caller's request from its acceptance to the end of its response.
#pragma once

#include "deployment/caller_request.hpp"
#include "gateway/context.hpp"
#include "gateway/placement_explanation.hpp"
#include "gateway/pool_router.hpp"
#include "gateway/stream_directory.hpp"
#include "gateway/target_attempt.hpp"
#include "http1/server.hpp"
#include "platform/ingress.hpp"
#include "policy/long_prompts.hpp"
#include "policy/placement.hpp"
#include "policy/stream_origins.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>

namespace bilberryseam::gateway {

namespace detail {
    /// Delay after which callers may retry if the failure is likely to be transient.
    constexpr milliseconds retryAfterTransientFailure { 100 };

    /// A request for which no target is usable is refused this long after its arrival.
    constexpr milliseconds maxPlacementTime { 1500 };

    /// Longest wait for a record that shows which version wrote the events of a stream: records of targets that ended lapse
    /// earlier.
    constexpr milliseconds maxProofTime { 5000 };

    /// Limit of how often the stages of one request are run.
    constexpr int maxStageRuns = 3;

    /// Limit of how often one request is sent, including the sends that targets refused.
    constexpr int maxSends = 5;

    /// Delay after which callers may retry if no target is usable.
    constexpr milliseconds retryWithoutTargets { 1000 };
}

/// An accepted request with everything that is needed to run it.
struct accepted_request {
    std::shared_ptr<http1::exchange> exchange;
    deployment::caller_request callerRequest;
    deployment::configuration_ptr configuration;
    const deployment::route* route = nullptr;
    std::string service;
    std::string account;
    /// Regions that the route and the account permit.
    deployment::permitted_regions permittedRegions;
    /// Priority; 0 is the most urgent.
    int rank = 0;
    /// Hash of the request's path, body and API key, the same for each attempt.
    uint64_t fingerprint = 0;
    /// Hashes of the prompt segments that other requests may share.
    std::vector<uint64_t> segments;
    /// The request runs although one of its segments is refused, to see whether it still crashes targets.
    bool isTrial = false;
};

/// What is predicted for a request at the chosen target.
struct prompt_choice {
    policy::prompt_forecast forecast;
    policy::target_load load;
    /// Identifier of the target that the load alone would have chosen; empty if it is the same.
    std::string insteadOf;
    /// Why the request was not sent there.
    std::string_view reason;
};

/// Counts a request among those that wait for the limited targets of a service, while it exists.
class limit_place {
public:
    explicit limit_place(size_t& counter) noexcept
        : m_counter(counter)
    {
        ++m_counter;
    }
    limit_place(const limit_place&) = delete;
    limit_place& operator=(const limit_place&) = delete;
    ~limit_place() { --m_counter; }

private:
    size_t& m_counter;
};

/// Runs the stages of a request, sends it to a target, and relays the response.
class request_run : public std::enable_shared_from_this<request_run> {
public:
    request_run(context& context, pool_router& pools, accepted_request request, std::function<void(request_run*)> onFinished);
    request_run(const request_run&) = delete;
    request_run& operator=(const request_run&) = delete;
    ~request_run();

    /// Starts the request; may respond at once.
    void start();

    /// Ends the request if its deadline has passed, sends it if it waits for a target, and looks for a second target if its
    /// target is silent.
    void tick(time_point now);

    /// Ends the attempts whose targets have not begun to respond if a segment of the prompt is refused that no response has
    /// survived before, and the request with the last of them.
    void onVerdict(time_point now);

    /// Ends the request although it could go on: with a refusal if no target has run it, else with a failure.
    void expire(std::string_view reason);

    /// @return The target that the request would be sent to now, or null if none is usable.
    [[nodiscard]] target_ptr chooseTarget(time_point now) const;

    /// Explains where the request would be sent now; sends, counts and logs nothing. Only for a run that is never started; in
    /// placement_explanation.cpp.
    [[nodiscard]] placement_explanation explain(time_point now);

    [[nodiscard]] bool isFinished() const noexcept { return m_isFinished; }
    /// @return Priority rank and deadline, by which waiting requests get the next place at a limited target.
    [[nodiscard]] std::pair<int, time_point> urgency() const noexcept { return { m_request.rank, m_deadline }; }

private:
    using bytes_by_domain = std::map<std::string, double, std::less<>>;

    struct stage_progress {
        std::vector<std::string> handles;
        job_ptr job;
        size_t unfinishedTasks = 0;
        bool isStarted = false;
        time_point startedAt {};
        /// Time at which the first result arrived; it expires first.
        std::optional<time_point> firstResultAt;
        [[nodiscard]] bool isDone() const noexcept { return isStarted && unfinishedTasks == 0; }
    };

    // Stages; in request_stages.cpp.
    [[nodiscard]] uint32_t taskCountOf(size_t stage) const noexcept;
    void startStages();
    void restartStages(std::string_view reason);
    /// Runs the stages again while the target that fetched their results is silent.
    void repeatStages();
    [[nodiscard]] bool hasTasks() const noexcept;
    /// @return True if the results that a target needs exist, or existed until they were released.
    [[nodiscard]] bool areStagesDone() const noexcept;
    /// Releases results that no further run will need.
    void releaseUnneededResults(time_point now);
    void startReadyStages();
    [[nodiscard]] bool mustWait(size_t index) const;
    void startStage(size_t index);
    /// @return The job of a stage, as it would start now.
    [[nodiscard]] job_ptr jobOf(size_t index) const;
    void onTaskFinished(size_t stage, uint32_t task, const task_outcome& outcome);
    void releaseStage(size_t index);
    void cancelAndReleaseStages();
    /// @return Time at which the target of a request that is sent now is expected to have fetched all results; nothing if
    /// only the first event of the response can show it.
    [[nodiscard]] std::optional<time_point> inputsFetchedAt(const target_state& target, time_point now) const;
    /// @return Sum of `timeIn` over the chain of a stage and the stages that follow it, one after the other.
    [[nodiscard]] milliseconds chainTime(size_t fromStage, const std::function<milliseconds(const deployment::pool_profile&)>& timeIn) const;
    /// @return Expected time from the start of a stage to the first event of the response.
    [[nodiscard]] milliseconds remainingTime(size_t fromStage) const;
    /// @return Time from which on a result that the stage takes may have expired; nothing if it takes none.
    [[nodiscard]] std::optional<time_point> inputsExpireAt(size_t index) const;
    [[nodiscard]] std::string domainOfLargeResults() const;
    [[nodiscard]] std::string domainOfInputs(const std::vector<std::string>& inputs, double inputBytes) const;
    /// @return Bytes of the results of the final stages in each failure domain.
    [[nodiscard]] bytes_by_domain resultBytesByDomain() const;

    /// Calls a function on behalf of the request. An exception ends the request alone, and not what others have in the same event.
    void runGuarded(const std::function<void()>& function) noexcept;
    void begin();
    void handleTick(time_point now);

    // Continued streams; in request_continuation.cpp.
    /// @return True if the caller has the beginning of the stream already.
    [[nodiscard]] bool isContinuation() const noexcept;
    /// @return Hash of the caller's request that brought, or will bring, the first event.
    [[nodiscard]] uint64_t streamKey() const noexcept;
    void findOrigin();
    void onOrigin(const stream_directory::found_origin& found);
    [[nodiscard]] std::set<std::string_view> versionsInService() const;
    /// Takes over that a later record has proven a doubtful origin.
    void updateOrigin(time_point now);
    [[nodiscard]] policy::continuation continuationNow() const;
    /// @return Whether the records of all targets that may continue the stream may be older ones, for longer than it may wait.
    [[nodiscard]] bool waitsForRecovery(time_point now) const;
    void refuseUntilRecovered(time_point now);
    /// @return True if a target of this version may run the request.
    [[nodiscard]] bool mayRunAt(const target_state& target) const;
    /// Records the version that wrote the first event, before the event is passed on.
    void recordOrigin(target_attempt& attempt);
    /// Waits for a record that proves the origin.
    /// @return False if there is nothing to wait for, or no time.
    [[nodiscard]] bool awaitProof(time_point now);
    /// Searches again for an origin that was doubtful.
    void retryOrigin(time_point now);
    void refuseContinuation(policy::continuation decision, bool isCertain);

    // Events that continue a stream; in request_proof.cpp.
    /// @return Whether it is known which software version wrote what was sent over a connection since then.
    [[nodiscard]] bool isProven(const policy::stream_origin& claim, time_point now) const;
    /// @return What the record of the target says of the run that the attempt was sent to.
    [[nodiscard]] static policy::stream_origin claimOf(const target_attempt& attempt);
    /// @return Whether the events must not be passed on yet, since they would continue those of another run.
    [[nodiscard]] bool mustHold(target_attempt& attempt, time_point now) const;
    /// Keeps whole events of an attempt, or its end, until the run is known.
    void hold(target_attempt& attempt, std::string_view events, time_point now);
    /// @return Why held events are dropped; nothing if their run may still become known.
    [[nodiscard]] std::optional<std::string_view> dropReason(const target_attempt& attempt, time_point now) const;
    /// Passes held events on, or ends an attempt whose run turns out to be another one.
    void checkHeld(time_point now);
    /// Passes on the events that an attempt holds, if there are any.
    void passOnHeld(target_attempt& attempt);

    // Attempts.
    /// What the placement of the request depends on, apart from the targets.
    struct placement_inputs {
        policy::placement_request request;
        /// Hashes of the prompt prefixes that other requests may share.
        std::vector<uint64_t> prefixHashes;
        bytes_by_domain inputBytes;
    };
    [[nodiscard]] placement_inputs placementInputs() const;
    /// @return Why the request may not use the target now, or `None`.
    [[nodiscard]] policy::ineligibility verdictOn(const target_state& target, time_point now) const;
    /// @return What `chooseByLoad` knows of the request and of the figures.
    [[nodiscard]] policy::load_placement_request loadRequest(uint64_t prefixHash, time_point now) const;
    /// @return The targets of the service as candidates, in their order.
    [[nodiscard]] std::vector<policy::placement_candidate> candidates(const placement_inputs& inputs, bool isByLoad, time_point now) const;
    [[nodiscard]] std::vector<explained_target> explainTargets(const target_ptr& chosen, time_point now) const;
    /// @param stages  Receives the stages that have tasks.
    /// @return The expected wait for a pool of this entry that would refuse the request.
    [[nodiscard]] std::optional<milliseconds> explainStages(std::vector<explained_stage>& stages, time_point now);
    /// Chooses by the load of all gateways.
    [[nodiscard]] target_ptr chooseByLoad(const placement_inputs& inputs, time_point now) const;
    [[nodiscard]] policy::placement_candidate candidateOf(const target_state& target, std::span<const uint64_t> sharedHashes, const bytes_by_domain& inputBytes, time_point now) const;
    /// Sets what follows from the failure domain of the target.
    void locate(policy::placement_candidate& candidate, std::string_view domain, const bytes_by_domain& inputBytes) const;
    void dispatch();
    /// What the request can expect if all targets that it may use are limited.
    struct limit_forecast {
        /// Requests a second that this entry may send to them.
        double rate = 0;
        size_t waiting = 0;
        milliseconds expected { 0 };
        bool isAnyCold = false;
        /// The expected wait if it is too long.
        std::optional<milliseconds> refusal;
    };
    /// @return Nothing if a target is not limited, or the request has a place already.
    [[nodiscard]] std::optional<limit_forecast> forecastLimits(time_point now) const;
    /// Takes a place among the requests that wait for limited targets.
    /// @return The expected wait if it is too long; nothing if the request has a place or no target is limited.
    [[nodiscard]] std::optional<milliseconds> waitForLimits(time_point now);
    void refuseLimited(milliseconds expectedWait);
    [[nodiscard]] milliseconds retryAfterPause(milliseconds pauseLeft) const;
    [[nodiscard]] milliseconds retryAfterLimit(milliseconds expectedWait) const;
    [[nodiscard]] milliseconds retryAfterOverload(milliseconds wait) const;
    void refusePaused(milliseconds pauseLeft, time_point now);
    /// Ends the request because a pool cannot start its tasks in time.
    /// @param wait  Predicted time until the pool has room.
    void refuseOverloaded(milliseconds wait);
    /// @return A part of the time that differs between requests.
    [[nodiscard]] milliseconds spreadOver(milliseconds time) const;
    /// @return Time until the first target is available, if targets pause and none is available before the request's wait or
    /// its time ends.
    [[nodiscard]] std::optional<milliseconds> pauseOfAllTargets(time_point now) const;
    /// Reports once which targets are unavailable, if any of them pauses.
    /// @param next  What happens to the request.
    void logPauses(std::string_view next, time_point now);
    void send(const target_ptr& target);

    // Responses; in request_attempts.cpp.
    void onHead(target_attempt& attempt, const http1::response_head& head);
    void onBytes(target_attempt& attempt, std::string_view bytes);
    void onFirstByte(target_attempt& attempt);
    void onEventBytes(target_attempt& attempt, std::string_view bytes);
    void onAttemptEnded(target_attempt& attempt, http1::call_outcome outcome);
    /// Handles the end of an attempt whose target did not execute the request.
    void onNotExecuted(const target_attempt& attempt, time_point now);
    /// Sends the request again if possible, unless another attempt is in progress.
    void onAttemptFailed(std::string_view reason, bool mayHaveRun);
    /// @return True if a further target may get the request, or one at which a run was ended.
    [[nodiscard]] bool hasAttemptsLeft() const noexcept { return m_attempts < m_request.route->maxAttempts || mayReturn(); }
    /// @return True if a run at this target was ended for another one, so that the request may go back there.
    [[nodiscard]] bool mayReturnTo(const target_state& target) const noexcept;
    [[nodiscard]] bool mayReturn() const noexcept;

    // Cost of prompts; in request_prompts.cpp.
    /// @return What the cost of the prompt depends on; empty if the settings do not enable it or the request has no prompt.
    [[nodiscard]] std::optional<policy::prompt_request> promptRequest(time_point now) const;
    /// Chooses by the load of all gateways and the cost of the prompt.
    [[nodiscard]] std::optional<policy::load_choice> chooseByPrompt(std::span<policy::placement_candidate> candidates, const policy::placement_request& placement, const policy::load_placement_request& load, const policy::prompt_request& prompt) const;
    /// Counts and logs what was predicted for a send.
    void recordPrompt(target_attempt& attempt, time_point now);
    /// Counts and logs how far the prediction of the first event was off.
    void recordFirstEvent(const target_attempt& attempt);
    /// Records the time between two events of a stream.
    void recordPause(target_attempt& attempt, microseconds pause, time_point now);

    // Permitted regions and evacuations; in request_regions.cpp.
    /// @return The regions that the request may use now, also by the newest configuration.
    [[nodiscard]] const deployment::permitted_regions& regionsNow() const;
    /// @return Whether the request may use the target as soon as its state allows.
    [[nodiscard]] bool isSuitable(const target_state& target) const;
    /// A refusal because regions or evacuations leave no target.
    struct placement_refusal {
        std::string_view reason;
        std::string_view service;
        milliseconds retryAfter { 0 };
    };
    /// @return Set if regions or evacuations leave no target for the request or for a stage that has not started. Tasks of a
    /// started stage may run already, and finish.
    /// @param failedStage  A started stage of which a task could not be sent.
    [[nodiscard]] std::optional<placement_refusal> findPlacementRefusal(time_point now, std::optional<size_t> failedStage = {}) const;
    /// Refuses the request if `findPlacementRefusal` says so.
    /// @return True if the request has ended.
    bool refuseUnplaceable(time_point now, std::optional<size_t> failedStage = {});
    /// Checks a request that waits once more after each change of the configuration or of an evacuation.
    void checkPlacementRules(time_point now);

    void waitForTarget(time_point now);
    /// Takes back the attempt at a target that did not run the request.
    void uncount(const target_attempt& attempt);
    /// @return Why the request may not be sent again, whatever targets and budget there are; nothing if it may.
    [[nodiscard]] std::optional<std::string_view> retryObstacle(time_point now) const;
    void logResponseEnd(const target_attempt& attempt, http1::call_outcome outcome);
    /// @return True if the content of a stream shows that it is incomplete, although its framing does not.
    [[nodiscard]] bool isStreamTruncated(const target_attempt& attempt, http1::call_outcome outcome) const noexcept;
    /// Removes an attempt; if another one is in progress, it becomes the current one.
    [[nodiscard]] target_attempt_ptr extract(const target_attempt& attempt);
    /// Ends the other attempt, since this one has delivered.
    void keepOnly(target_attempt& attempt);
    /// Ends all attempts.
    void detachFromTargets();
    void completeResponse(target_attempt& attempt);
    void relay(std::string_view bytes);
    void startRelay(target_attempt& attempt);
    /// Ends an attempt whose target sends more than it may.
    void abandonAttempt(target_attempt& attempt, std::string_view reason);

    // Silent targets; in request_silence.cpp.
    [[nodiscard]] bool isSilent(const target_attempt& attempt, time_point now) const;
    /// @return True if other calls or the target list show that the target has probably ended.
    [[nodiscard]] bool isPresumablyLost(const target_attempt& attempt) const noexcept;
    [[nodiscard]] bool needsSecondRun(const target_attempt& attempt, time_point now) const;
    /// Decides whether stages whose results were released run again for a second run; spends a retry if so.
    [[nodiscard]] bool mayRepeatStages(time_point now);
    /// Sends the request to a second target if its target is silent. The first attempt continues: its target may go on.
    void checkSilence(time_point now);
    /// @return Why a second run may not begin, whatever targets are usable; nothing if it may.
    [[nodiscard]] std::optional<std::string_view> secondRunObstacle(time_point now) const;
    /// @return A target for a second run; one that was full is asked again if there is no other.
    [[nodiscard]] target_ptr chooseSecondTarget(time_point now);
    void recordSilence(target_attempt& attempt, std::string_view secondRun, time_point now);
    [[nodiscard]] bool areInputsFetched(time_point now) const noexcept;

    // Crashes; in request_refusals.cpp.
    /// @return The segment for which the request must not be sent, or nothing.
    [[nodiscard]] std::optional<uint64_t> refusedSegment(time_point now) const noexcept;
    void recordCrash(const target_attempt& attempt, time_point now);
    void recordSurvival(target_attempt& attempt, time_point now);
    void logCrash(const target_attempt& attempt, const policy::suspicion& suspicion, time_point now) const;
    [[nodiscard]] bool isStream() const noexcept { return m_request.route->kind == deployment::call_kind::Streaming; }

    // End of the request.
    /// Ends the request although no target returned a usable response.
    /// @param hasUsableTarget  A target may be usable, so the caller may retry soon.
    void finishWithoutResponse(std::string_view reason, bool hasUsableTarget = true);
    void refuse(std::string_view reason, milliseconds retryAfter);
    void refuseSegment(uint64_t segment, time_point now);
    /// @return When the caller may retry, if the request is larger than the memory of every target.
    [[nodiscard]] std::optional<milliseconds> retryAfterTooLarge() const;
    /// Refuses a request that is larger than the memory of a target.
    /// @return True if the request has ended.
    bool refuseTooLarge();
    /// Refuses a request for which no target has had memory for too long.
    void refuseForMemory();
    void fail(unsigned status, std::string_view reason);
    void onCallerDisconnected();
    void finish(std::string_view outcome, std::string_view reason, unsigned status);

    context& m_context;
    pool_router& m_pools;
    accepted_request m_request;
    std::function<void(request_run*)> m_onFinished;
    time_point m_arrivedAt;
    time_point m_deadline;
    std::vector<stage_progress> m_stages;
    std::string m_requiredDomain;
    int m_stageRuns = 1;
    bool m_areInputsReleased = false;
    /// The results are those of repeated stages, for a second run.
    bool m_areInputsForSecondRun = false;
    bool m_isWaitingForTarget = false;
    time_point m_retryAt {};
    std::optional<limit_place> m_limitPlace;
    /// Tokens that a target of the service can hold, and that the request may need; zero if they are not known.
    uint64_t m_memoryTokens = 0;
    uint64_t m_neededTokens = 0;
    /// In the last search, a target was unusable only because it has no memory for the request.
    mutable bool m_lacksMemory = false;

    /// The attempt whose response is passed on.
    target_attempt_ptr m_current;
    /// A second attempt while the target of the first is silent. Whichever delivers first is kept.
    target_attempt_ptr m_backup;
    time_point m_nextBackupSearchAt {};
    time_point m_lastSentAt {};
    /// Inputs of the last choice of a target by load, for the log and for the count of queued tokens.
    mutable std::optional<policy::load_choice> m_loadChoice;
    /// Hash of the shared segments of the prompt; zero if there are none.
    mutable uint64_t m_prefixHash = 0;
    /// What was predicted at the last choice, if the cost of the prompt was part of it.
    mutable std::optional<prompt_choice> m_promptChoice;
    /// Longest time between two events that a target sent.
    microseconds m_longestPause { 0 };

    /// Identifier of the last event that the caller has.
    std::string m_lastEventId;
    /// Which version began the stream; not set as long as no event is known to exist.
    std::optional<policy::stream_origin> m_origin;
    /// The target that began the stream for this request.
    target_ptr m_originTarget;
    /// Time of the next search for a doubtful origin; not set if there is none.
    time_point m_originRetryAt {};
    /// Until then the request waits for a proof of the origin; not set if it did not wait yet.
    time_point m_proofDeadline {};
    /// When it last waited for one.
    time_point m_proofAwaitedAt {};
    /// When the origin became known, targets in service had several versions.
    bool m_hasSeveralVersions = false;
    int m_attempts = 0;
    int m_sends = 0;
    /// Targets at which a run was ended because another one delivered. They may get the request once more, which makes
    /// `m_attempts` no higher, if the run that delivered fails.
    std::vector<target_ptr> m_endedRuns;
    /// The next send has not been taken from the retry budget yet.
    bool m_isRetryUnpaid = false;
    bool m_arePausesReported = false;
    bool m_mayHaveRun = false;
    /// The last attempt ended with a broken response; its target is being checked for a crash.
    bool m_mayHaveCrashed = false;
    bool m_isFinished = false;
    std::vector<std::string> m_triedTargets;
    /// Cached by `regionsNow`.
    mutable deployment::configuration_ptr m_regionsConfiguration;
    mutable deployment::permitted_regions m_regionsNow;
    /// Value of `context::placementRules` at the last check.
    uint64_t m_checkedRules = 0;
    /// Those of the tried targets that were full; they may be asked again at `m_nextFullTargetAt`.
    std::vector<std::string> m_fullTargets;
    time_point m_nextFullTargetAt {};
};
}
