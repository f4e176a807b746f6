#include "entry/pipeline_run.hpp"

#include "base/hash.hpp"
#include "entry/stage_body.hpp"
#include "telemetry/log.hpp"

namespace bilberryseam::entry {

using nlohmann::json;

namespace {
    constexpr std::string_view part = "run";

    /// Sides get a little less time than the entry has, so that their word arrives before the deadline.
    constexpr milliseconds deadlineMargin { 20 };

    /// How long a run that has not begun waits for a target when there are some but none is usable.
    constexpr milliseconds targetPatience { 400 };

    /// The same for a run that has begun, whose work would be lost.
    constexpr milliseconds begunPatience { 1000 };

    /// Pause before all targets are looked at again.
    constexpr milliseconds waitStep { 25 };

    /// Pause before a key that runs elsewhere is asked for again.
    constexpr milliseconds heldKeyBackoff { 150 };

    /// Share of a stage's part of the remaining time that may be waited away in the own region.
    constexpr double slackShare = 0.2;

    constexpr uint32_t maxRetriesPerStage = 8;
    constexpr milliseconds defaultRetryAfter { 1000 };

    /// How long a target's own figures are believed; later it gets another chance.
    constexpr seconds runMemory { 5 };

    double recentMeanRun(const known_target& known)
    {
        return monotonicNow() - known.lastRunAt > runMemory ? 0 : known.meanRunSeconds;
    }
}

pipeline_run::pipeline_run(request asked, run_context& context, callbacks calls)
    : m_request(std::move(asked))
    , m_context(context)
    , m_calls(std::move(calls))
{
}

pipeline_run::~pipeline_run()
{
    cancelAttempts(std::nullopt);
}

void pipeline_run::start()
{
    const milliseconds remaining = std::chrono::ceil<milliseconds>(m_request.deadline - monotonicNow());
    m_deadline.startOnce(remaining, [this] { deadlinePassed(); });
    startStage();
}

void pipeline_run::startStage()
{
    m_text.clear();
    m_tried.clear();
    m_retries = 0;
    tryDispatch();
}

void pipeline_run::tryDispatch()
{
    m_isWaiting = false;
    m_patience.stop();
    if (m_context.suspicions.treatmentOf(m_request.fingerprint, monotonicNow()) == policy::execution_mode::Refused) {
        giveUp(outcome_reason::Quarantined, milliseconds(0), "This request crashed the targets that ran it.");
        return;
    }
    std::string body = writeStageBody(stage(), m_request.input, m_previous, m_text);
    const std::vector<policy::routing_candidate> choices = candidates();
    const std::optional<size_t> chosen = choose(choices, static_cast<double>(body.size()));
    if (chosen) {
        dispatchTo(*m_context.sides.targetsOf(stage().service->name)[*chosen], std::move(body), false);
        armHedge();
        return;
    }
    if (m_waitReason != outcome_reason::None && !m_tried.empty()) {
        waitForTarget(m_waitReason, m_waitRetryAfter);
        return;
    }
    waitForTarget(outcome_reason::NoTarget, defaultRetryAfter);
}

std::vector<policy::routing_candidate> pipeline_run::candidates() const
{
    std::vector<policy::routing_candidate> made;
    for (const known_target* known : m_context.sides.targetsOf(stage().service->name)) {
        const configuration::target& target = *known->target;
        policy::routing_candidate& choice = made.emplace_back();
        choice.name = target.name;
        choice.hash = known->hash;
        choice.isInOwnRegion = target.region == m_context.ownRegion;
        choice.isEligible = m_context.sides.isUsable(*known) && !m_tried.contains(target.name);
        choice.reportedWaitSeconds = known->load.expectedWaitMs / 1000.0;
        choice.inFlight = known->inFlight;
        choice.reportedLoad = known->load.running + known->load.queued;
        choice.capacity = std::max(1u, target.capacity);
        choice.meanRunSeconds = recentMeanRun(*known);
        choice.pricePerGib = m_context.priceOf(m_context.ownRegion, target.region);
    }
    return made;
}

std::optional<size_t> pipeline_run::choose(std::span<const policy::routing_candidate> candidates, double bytes)
{
    service_figures& figures = m_context.services[stage().service->name];
    if (!stage().service->isRepeatable)
        return policy::chooseByKey(candidates, hashOf(m_request.idempotencyKey));
    // All tries of a suspect meet at one side, which lets only one of them run.
    if (m_context.suspicions.treatmentOf(m_request.fingerprint, monotonicNow()) == policy::execution_mode::Isolated)
        return policy::chooseByKey(candidates, m_request.fingerprint);
    if (m_request.policy->mode == "baseline")
        return policy::chooseRoundRobin(candidates, figures.roundRobinTurn);
    const policy::routing_weights weights { m_request.policy->attainmentWeight, m_request.policy->costWeight };
    const double remaining = asSeconds(m_request.deadline - monotonicNow());
    const auto stagesLeft = static_cast<double>(m_request.stages.size() - m_stageIndex);
    const double slack = std::max(0.0, slackShare * remaining / stagesLeft);
    return policy::chooseByCost(candidates, { bytes, isEngine(stage()) ? m_request.prefixHash : 0, figures.meanRunSeconds, slack }, weights, m_context.random);
}

wire::start_call pipeline_run::callFor(const known_target& target, identifier attempt, std::string body, bool isAlone) const
{
    const milliseconds remaining = std::chrono::floor<milliseconds>(m_request.deadline - monotonicNow()) - deadlineMargin;
    wire::start_call call;
    call.request = m_request.id;
    call.attempt = attempt;
    call.target = target.target->name;
    call.pipeline = m_request.pipeline->name;
    call.stage = stage().stage.name;
    call.account = m_request.account->name;
    call.remainingMs = static_cast<uint32_t>(std::max<int64_t>(0, remaining.count()));
    call.priority = m_request.priority;
    call.isStreamed = isEngine(stage());
    call.isRepeatable = stage().service->isRepeatable;
    call.idempotencyKey = call.isRepeatable ? "" : m_request.idempotencyKey;
    call.keyIssuedMs = m_request.keyIssuedMs;
    call.fingerprint = m_request.fingerprint;
    call.isAlone = isAlone;
    call.body = std::move(body);
    return call;
}

void pipeline_run::dispatchTo(known_target& target, std::string body, bool isHedge)
{
    const identifier attempt = m_context.identifiers.next();
    m_tried.insert(target.target->name);
    const bool isAlone = m_context.suspicions.treatmentOf(m_request.fingerprint, monotonicNow()) == policy::execution_mode::Isolated;
    m_attempts[attempt] = { &target, target.target->region, monotonicNow(), body.size(), 0, false, isAlone, isHedge };
    m_context.counters.count("attempts_total", { { "stage", stage().stage.name }, { "target_region", target.target->region } });
    m_context.sides.dispatch(target, callFor(target, attempt, std::move(body), isAlone), [weak = weak_from_this(), attempt](attempt_event& event) {
        if (const auto self = weak.lock())
            self->take(attempt, event);
    });
}

void pipeline_run::take(identifier attempt, attempt_event& event)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end() || m_isOver)
        return;
    if (std::holds_alternative<wire::call_started>(event)) {
        // The side may still find that the target never took the call, and refuse it.
        found->second.hasStarted = true;
        m_waitingSince.reset();
        return;
    }
    if (const auto* output = std::get_if<wire::call_output>(&event)) {
        takeOutput(attempt, output->text);
        return;
    }
    if (std::holds_alternative<attempt_stalled>(event)) {
        takeStall(attempt);
        return;
    }
    live_attempt ended = std::move(found->second);
    m_attempts.erase(found);
    if (const auto* finished = std::get_if<wire::call_finished>(&event))
        ended.bytesBack += finished->body.size();
    account(ended);
    if (auto* finished = std::get_if<wire::call_finished>(&event))
        takeFinish(ended, *finished);
    else if (const auto* refused = std::get_if<wire::call_refused>(&event))
        takeRefusal(*refused);
    else
        takeLoss(ended);
}

void pipeline_run::account(const live_attempt& ended)
{
    const std::string& own = m_context.ownRegion;
    const std::string& stageName = stage().stage.name;
    m_context.counters.count("stage_bytes_total", { { "stage", stageName }, { "from", own }, { "to", ended.region } }, static_cast<double>(ended.bytesOut));
    m_context.counters.count("stage_bytes_total", { { "stage", stageName }, { "from", ended.region }, { "to", own } }, static_cast<double>(ended.bytesBack));
    if (ended.region == own)
        return;
    constexpr double bytesPerGib = 1024.0 * 1024.0 * 1024.0;
    const double cost = (m_context.priceOf(own, ended.region) * ended.bytesOut + m_context.priceOf(ended.region, own) * ended.bytesBack) / bytesPerGib;
    m_context.counters.count("stage_cost_total", { { "stage", stageName } }, cost);
}

void pipeline_run::takeOutput(identifier attempt, const std::string& text)
{
    if (m_attempts.size() > 1)
        cancelAttempts(attempt);
    m_attempts.at(attempt).bytesBack += text.size();
    if (m_text.empty())
        policy::recordLatency(m_context.services[stage().service->name].latencies, asSeconds(monotonicNow() - m_attempts.at(attempt).sentAt));
    if (m_text.empty() && isLastStage())
        m_context.counters.observeSeconds("first_token_seconds", { { "pipeline", m_request.pipeline->name } }, asSeconds(monotonicNow() - m_request.arrivedAt));
    m_text += text;
    if (isLastStage() && m_request.isStreamed)
        m_calls.onOutput(text);
}

void pipeline_run::takeRefusal(const wire::call_refused& refused)
{
    m_context.counters.count("attempts_refused_total", { { "stage", stage().stage.name }, { "reason", std::string(nameOf(refused.reason)) } });
    if (!m_attempts.empty() || takeKeyRefusal(refused.reason))
        return;
    m_waitReason = reasonOf(refused.reason);
    m_waitRetryAfter = std::max(defaultRetryAfter, milliseconds(refused.retryAfterMs));
    if (refused.reason == wire::refusal::Quarantined) {
        giveUp(m_waitReason, milliseconds(0), "");
        return;
    }
    m_context.counters.count("retries_total", { { "stage", stage().stage.name }, { "reason", std::string(nameOf(refused.reason)) } });
    tryDispatch();
}

bool pipeline_run::takeKeyRefusal(wire::refusal refusal)
{
    const bool isUnclear = refusal == wire::refusal::RunsElsewhere || refusal == wire::refusal::ClaimsNotReady || refusal == wire::refusal::KeyExpired;
    m_isUnclear = m_isUnclear || isUnclear;
    m_isUnclearOnce = m_isUnclearOnce || isUnclear;
    switch (refusal) {
    case wire::refusal::RunsElsewhere:
        // Its answer may come to be known: ask again until the deadline.
        m_tried.clear();
        m_waitReason = reasonOf(refusal);
        m_patience.startOnce(heldKeyBackoff, [this] { tryDispatch(); });
        return true;
    case wire::refusal::KeyExpired:
        giveUp(outcome_reason::KeyExpired, milliseconds(0), "The key is older than the window in which repeats are recognised.");
        return true;
    case wire::refusal::KeyReused:
        giveUp(outcome_reason::KeyReused, milliseconds(0), "");
        return true;
    default:
        // A side that may have missed claims on the key is no reason to give up: another one may not have.
        return false;
    }
}

void pipeline_run::waitForTarget(outcome_reason reason, milliseconds retryAfter)
{
    const bool isFull = reason == outcome_reason::Overloaded || reason == outcome_reason::DeadlinePassed || reason == outcome_reason::LogUnavailable;
    const bool hasTargets = !m_context.sides.targetsOf(stage().service->name).empty();
    const time_point now = monotonicNow();
    if (!m_waitingSince)
        m_waitingSince = now;
    // Full targets are worth waiting for if work is lost otherwise; absent ones only for a moment.
    const milliseconds patience = m_hasBegun ? begunPatience : targetPatience;
    const bool isHopeless = isFull ? !m_hasBegun : now - *m_waitingSince >= patience;
    if (!hasTargets || isHopeless) {
        giveUp(reason, retryAfter, "");
        return;
    }
    m_isWaiting = true;
    m_patience.startOnce(waitStep, [this] {
        m_tried.clear();
        tryDispatch();
    });
}

void pipeline_run::capacityChanged()
{
    if (!m_isWaiting || m_isOver)
        return;
    const std::vector<policy::routing_candidate> choices = candidates();
    const bool hasChoice = std::any_of(choices.begin(), choices.end(), [](const policy::routing_candidate& choice) { return choice.isEligible; });
    if (hasChoice)
        tryDispatch();
}

void pipeline_run::takeFinish(const live_attempt& ended, wire::call_finished& finished)
{
    m_hasBegun = true;
    switch (finished.end) {
    case wire::call_end::Answered:
        recordRun(ended, finished);
        cancelAttempts(std::nullopt);
        m_context.counters.observeSeconds("stage_seconds", { { "stage", stage().stage.name } }, asSeconds(monotonicNow() - ended.sentAt));
        completeStage(finished);
        return;
    case wire::call_end::Rejected:
        giveUp(outcome_reason::TargetRejected, milliseconds(0), finished.detail);
        return;
    case wire::call_end::TargetCrashed:
        takeCrash(ended, std::move(finished.detail));
        return;
    case wire::call_end::TimedOut:
        retryOr(outcome_reason::RetriesSpent, finished.detail);
        return;
    case wire::call_end::Cancelled:
        retryOr(outcome_reason::LinkLost, finished.detail);
        return;
    case wire::call_end::Unknown:
        m_isUnclear = true;
        m_isUnclearOnce = true;
        giveUp(outcome_reason::TargetCrashed, defaultRetryAfter, finished.detail);
        return;
    }
}

void pipeline_run::takeLoss(const live_attempt& ended)
{
    m_isUnclear = true;
    // The side went down with the call; its target may have taken it along.
    m_hasBegun = m_hasBegun || ended.hasStarted;
    if (ended.hasStarted)
        m_context.suspicions.strike(m_request.fingerprint, ended.isAlone, monotonicNow());
    if (!stage().service->isRepeatable) {
        m_isUnclearOnce = true;
        giveUp(outcome_reason::LinkLost, defaultRetryAfter, "The side restarted while it had the call.");
        return;
    }
    retryOr(outcome_reason::LinkLost, "The side restarted while it had the call.");
}

void pipeline_run::takeStall(identifier attempt)
{
    // A call that may not be repeated waits for its link until the deadline.
    if (!stage().service->isRepeatable)
        return;
    m_isUnclear = true;
    m_hasBegun = m_hasBegun || m_attempts.at(attempt).hasStarted;
    account(m_attempts.at(attempt));
    m_context.sides.cancel(attempt);
    m_attempts.erase(attempt);
    retryOr(outcome_reason::LinkLost, "The link to the side is down.");
}

void pipeline_run::takeCrash(const live_attempt& ended, std::string detail)
{
    // The side has struck already; its word may be on its way through another link.
    if (ended.isAlone) {
        cancelAttempts(std::nullopt);
        giveUp(outcome_reason::Quarantined, milliseconds(0), "This request crashed the targets that ran it.");
        return;
    }
    retryOr(outcome_reason::TargetCrashed, std::move(detail));
}

void pipeline_run::recordRun(const live_attempt& ended, const wire::call_finished& finished)
{
    constexpr double newestRunWeight = 0.2;
    const double seconds = finished.ranMs / 1000.0;
    service_figures& figures = m_context.services[stage().service->name];
    figures.meanRunSeconds = figures.meanRunSeconds == 0 ? seconds : figures.meanRunSeconds + newestRunWeight * (seconds - figures.meanRunSeconds);
    known_target& target = *ended.target;
    target.meanRunSeconds = target.meanRunSeconds == 0 ? seconds : target.meanRunSeconds + newestRunWeight * (seconds - target.meanRunSeconds);
    target.lastRunAt = monotonicNow();
    if (!isEngine(stage()))
        policy::recordLatency(figures.latencies, asSeconds(monotonicNow() - ended.sentAt));
    if (ended.isHedge)
        m_context.counters.count("hedges_won_total", { { "stage", stage().stage.name } });
}

void pipeline_run::armHedge()
{
    service_figures& figures = m_context.services[stage().service->name];
    policy::earn(figures.hedges, m_request.policy->hedgePercent);
    policy::earn(retryBudget(), m_request.policy->retryPercent);
    const bool isHedgeable = stage().service->isRepeatable && m_request.policy->mode != "baseline" && m_attempts.size() == 1 && !m_attempts.begin()->second.isAlone;
    if (!isHedgeable)
        return;
    if (const auto delay = policy::hedgeDelay(figures.latencies))
        m_hedge.startOnce(*delay, [this] { hedge(); });
}

void pipeline_run::hedge()
{
    const bool isAnswering = isEngine(stage()) && !m_attempts.empty() && m_attempts.begin()->second.bytesBack > 0;
    if (m_isOver || m_attempts.size() != 1 || isAnswering)
        return;
    std::string body = writeStageBody(stage(), m_request.input, m_previous, m_text);
    const std::vector<policy::routing_candidate> choices = candidates();
    const std::optional<size_t> chosen = choose(choices, static_cast<double>(body.size()));
    if (!chosen || !policy::trySpend(m_context.services[stage().service->name].hedges))
        return;
    m_context.counters.count("hedges_total", { { "stage", stage().stage.name } });
    dispatchTo(*m_context.sides.targetsOf(stage().service->name)[*chosen], std::move(body), true);
}

policy::budget& pipeline_run::retryBudget()
{
    return m_context.retries.try_emplace({ m_request.account->name, stage().stage.name }, policy::budgetOf(retryBurst)).first->second;
}

void pipeline_run::retryOr(outcome_reason reason, std::string detail)
{
    if (!m_attempts.empty())
        return;
    if (++m_retries > maxRetriesPerStage || !policy::trySpend(retryBudget())) {
        giveUp(outcome_reason::RetriesSpent, milliseconds(0), std::move(detail));
        return;
    }
    m_context.counters.count("retries_total", { { "stage", stage().stage.name }, { "reason", std::string(nameOf(reason)) } });
    logLine(log_level::Info, part, "A stage is tried again.", { { "request", m_request.id.toString() }, { "stage", stage().stage.name }, { "reason", std::string(nameOf(reason)) } });
    m_waitReason = reason;
    m_waitRetryAfter = defaultRetryAfter;
    tryDispatch();
}

void pipeline_run::completeStage(wire::call_finished& finished)
{
    json output = readStageOutput(stage(), m_text, finished.body);
    // A key whose fate was unclear has been settled by its answer.
    m_isUnclearOnce = false;
    if (isLastStage()) {
        end({ outcome_kind::Answered, outcome_reason::None, "", milliseconds(0), "", std::move(output) });
        return;
    }
    m_hedge.stop();
    m_previous = std::move(output);
    ++m_stageIndex;
    m_waitReason = outcome_reason::None;
    startStage();
}

void pipeline_run::cancelAttempts(std::optional<identifier> except)
{
    for (auto found = m_attempts.begin(); found != m_attempts.end();) {
        if (except && found->first == *except) {
            ++found;
            continue;
        }
        m_context.sides.cancel(found->first);
        found = m_attempts.erase(found);
    }
}

void pipeline_run::deadlinePassed()
{
    giveUp(outcome_reason::DeadlinePassed, defaultRetryAfter, "");
}

void pipeline_run::abandon(outcome_reason reason)
{
    if (!m_isOver)
        giveUp(reason, milliseconds(0), "");
}

void pipeline_run::giveUp(outcome_reason reason, milliseconds retryAfter, std::string detail)
{
    for (const auto& [attempt, live] : m_attempts) {
        account(live);
        // A call that was sent and not refused may have begun.
        m_hasBegun = m_hasBegun || live.hasStarted;
        m_isUnclear = m_isUnclear || !live.hasStarted;
        m_isUnclearOnce = m_isUnclearOnce || !stage().service->isRepeatable;
    }
    cancelAttempts(std::nullopt);
    outcome told { outcome_kind::NotRun, reason, stage().stage.name, retryAfter, std::move(detail), {} };
    if (m_isUnclearOnce)
        told.kind = outcome_kind::Unknown;
    else if (m_hasBegun)
        told.kind = outcome_kind::Failed;
    else if (m_isUnclear)
        told.kind = outcome_kind::Unknown;
    end(std::move(told));
}

void pipeline_run::end(outcome told)
{
    if (m_isOver)
        return;
    m_isOver = true;
    m_deadline.stop();
    m_patience.stop();
    m_hedge.stop();
    m_isWaiting = false;
    const auto self = shared_from_this();
    const auto call = std::move(m_calls.onOutcome);
    m_calls = {};
    call(std::move(told));
}
}
