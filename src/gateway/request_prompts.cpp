/// The cost of a request's prompt in the choice of its target, and what came of the prediction.
#include "gateway/request_run.hpp"

#include "gateway/load_exchange.hpp"

#include <algorithm>
#include <cmath>

namespace bilberryseam::gateway {

namespace {
    constexpr std::string_view logComponent = "request";

    std::string roundedText(double value) { return std::to_string(std::lround(value)); }
}

std::optional<policy::prompt_request> request_run::promptRequest(time_point now) const
{
    if (!m_context.settings.longPromptPlacement || !m_request.callerRequest.generation)
        return std::nullopt;
    policy::prompt_request prompt;
    prompt.promptTokens = m_request.callerRequest.generation->promptTokens;
    if (m_request.route->hasObjective)
        prompt.firstEventObjective = asSeconds(m_arrivedAt + m_request.route->objective - now) * 1000;
    prompt.gapObjective = static_cast<double>(deployment::gapObjectiveOf(*m_request.configuration, m_request.service).count());
    if (const auto* engine = deployment::engineOf(*m_request.configuration, m_request.service))
        prompt.eventTokens = engine->eventTokens;
    return prompt;
}

std::optional<policy::load_choice> request_run::chooseByPrompt(std::span<policy::placement_candidate> candidates, const policy::placement_request& placement, const policy::load_placement_request& load, const policy::prompt_request& prompt) const
{
    const auto byLoad = policy::chooseByLoad(candidates, placement, load, {});
    if (!byLoad)
        return std::nullopt;
    const auto forecasts = policy::forecastPrompt(candidates, placement, prompt, {});
    policy::setPromptCosts(candidates, forecasts);
    const bool isCostly = std::any_of(candidates.begin(), candidates.end(), [](const auto& candidate) { return candidate.promptMilliseconds > 0; });
    const auto choice = isCostly ? policy::chooseByLoad(candidates, placement, load, {}) : byLoad;
    const auto& chosen = forecasts[choice->index];
    m_promptChoice = prompt_choice { chosen, candidates[choice->index].load, {}, {} };
    if (choice->index != byLoad->index) {
        const auto& avoided = forecasts[byLoad->index];
        m_promptChoice->insteadOf = m_context.targets.ofService(m_request.service)[byLoad->index]->listed.id;
        m_promptChoice->reason = avoided.pauseCost - chosen.pauseCost >= avoided.lateCost - chosen.lateCost ? "pause" : "first_event";
    }
    return choice;
}

void request_run::recordPrompt(target_attempt& attempt, time_point now)
{
    if (!m_promptChoice)
        return;
    const auto& [forecast, load, insteadOf, reason] = *m_promptChoice;
    attempt.predictedFirstEvent = forecast.firstEvent;
    if (!insteadOf.empty())
        m_context.counters.count("prompt_moves_total", { { "reason", std::string(reason) } });
    logLine(log_level::Info, logComponent, "The prompt was part of the choice of the target.", { { "request", m_request.callerRequest.id }, { "target", attempt.target->listed.id }, { "uncached_tokens", roundedText(forecast.uncachedTokens) }, { "waiting_tokens", roundedText(load.prefillTokens) }, { "running_streams", roundedText(load.runningStreams) }, { "pace_us", roundedText(load.paceUs) }, { "first_event_ms", roundedText(forecast.firstEvent) }, { "longest_pause_ms", roundedText(forecast.longestPause) }, { "pause_cost_ms", roundedText(forecast.pauseCost) }, { "late_cost_ms", roundedText(forecast.lateCost) }, { "instead_of", insteadOf }, { "reason", std::string(reason) }, { "age_ms", std::to_string(asMilliseconds(m_context.loads->figureAge(now))) } });
}

void request_run::recordFirstEvent(const target_attempt& attempt)
{
    if (!attempt.predictedFirstEvent)
        return;
    const double actual = asSeconds(attempt.firstByteAt - attempt.sentAt) * 1000;
    const double error = *attempt.predictedFirstEvent - actual;
    m_context.counters.observeSeconds("first_event_error_seconds", { { "service", m_request.service } }, std::abs(error) / 1000);
    logLine(log_level::Info, logComponent, "The first event of a request arrived.", { { "request", m_request.callerRequest.id }, { "target", attempt.target->listed.id }, { "after_ms", roundedText(actual) }, { "predicted_ms", roundedText(*attempt.predictedFirstEvent) }, { "error_ms", roundedText(error) } });
}

void request_run::recordPause(target_attempt& attempt, microseconds pause, time_point now)
{
    m_longestPause = std::max(m_longestPause, pause);
    if (m_context.settings.longPromptPlacement)
        policy::recordGapBesidePrompts(attempt.target->pace, pause, now);
    else
        policy::recordGap(attempt.target->pace, pause, now);
}
}
