#include "gateway/placement_explanation.hpp"

#include "gateway/load_exchange.hpp"
#include "gateway/request_run.hpp"
#include "gateway/target_eligibility.hpp"
#include "gateway/target_pauses.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <numeric>

namespace bilberryseam::gateway {

using nlohmann::json;

namespace {
    /// Terms of zero are left out: most of the cost of a query is the text of its targets.
    json toJson(const policy::cost_terms& cost)
    {
        json object = json::object();
        const auto add = [&object](const char* name, double term) {
            if (term != 0)
                object[name] = term;
        };
        add("load", cost.load);
        add("uncachedPrefix", cost.uncachedPrefix);
        add("remoteInputs", cost.remoteInputs);
        add("cold", cost.cold);
        add("onlyOfVersion", cost.onlyOfVersion);
        add("prompt", cost.prompt);
        add("distance", cost.distance);
        return object;
    }

    json toJson(const explained_target& target)
    {
        json object;
        object["id"] = target.id;
        object["failureDomain"] = target.failureDomain;
        object["verdict"] = nameOf(target.verdict);
        object["requests"] = target.requests;
        object["slots"] = target.slots;
        object["listedMsAgo"] = asMilliseconds(target.listedFor);
        if (target.verdict == policy::ineligibility::None) {
            object["costMs"] = target.cost.sum();
            object["costTermsMs"] = toJson(target.cost);
        }
        return object;
    }

    json toJson(const explained_stage& stage)
    {
        return { { "stage", stage.index }, { "service", stage.service }, { "tasks", stage.tasks }, { "owner", stage.owner }, { "isOwnedHere", stage.isOwnedHere }, { "waitingTasks", stage.waitingTasks ? json(*stage.waitingTasks) : json() }, { "expectedWaitMs", stage.expectedWait ? json(stage.expectedWait->count()) : json() } };
    }

    template <typename Items>
    json toJsonList(const Items& items)
    {
        json list = json::array();
        for (const auto& item : items)
            list.push_back(toJson(item));
        return list;
    }
}

json toJson(const std::optional<explained_refusal>& refusal)
{
    if (!refusal)
        return nullptr;
    return { { "status", refusal->status }, { "reason", refusal->reason }, { "retryAfterMs", refusal->retryAfter ? json(refusal->retryAfter->count()) : json() } };
}

json toJson(const placement_explanation& explanation)
{
    json object;
    object["stages"] = toJsonList(explanation.stages);
    object["basis"] = explanation.isByLoad ? "load_of_all_gateways" : "own_calls";
    object["figuresMsAgo"] = asMilliseconds(explanation.figureAge);
    object["targetCount"] = explanation.targetCount;
    object["targets"] = toJsonList(explanation.targets);
    object["choice"] = explanation.choice.empty() ? json() : json(explanation.choice);
    object["refusal"] = toJson(explanation.refusal);
    object["waits"] = explanation.waitReason.empty() ? json() : json { { "reason", explanation.waitReason }, { "longestMs", explanation.longestWait.count() } };
    return object;
}

std::optional<milliseconds> takeExplanation(std::deque<time_point>& given, time_point now)
{
    constexpr milliseconds period { 1000 };
    while (!given.empty() && now - given.front() >= period)
        given.pop_front();
    if (given.size() >= maxExplanationsPerSecond)
        return std::chrono::ceil<milliseconds>(given.front() + period - now);
    given.push_back(now);
    return std::nullopt;
}

std::vector<size_t> listedOrder(std::span<const target_rank> ranks)
{
    std::vector<size_t> order(ranks.size());
    std::iota(order.begin(), order.end(), size_t { 0 });
    const auto keyOf = [&ranks](size_t index) {
        const target_rank& rank = ranks[index];
        return std::tuple(!rank.isChosen, !rank.isUsable, rank.isUsable ? rank.cost : 0.0, rank.id);
    };
    const auto end = order.begin() + static_cast<std::ptrdiff_t>(std::min(order.size(), maxExplainedTargets));
    std::partial_sort(order.begin(), end, order.end(), [&keyOf](size_t left, size_t right) { return keyOf(left) < keyOf(right); });
    order.erase(end, order.end());
    return order;
}

std::vector<explained_target> request_run::explainTargets(const target_ptr& chosen, time_point now) const
{
    const auto& listed = m_context.targets.ofService(m_request.service);
    const placement_inputs inputs = placementInputs();
    const bool isByLoad = m_context.loads && m_context.loads->isUsable(m_request.service, now);
    auto all = candidates(inputs, isByLoad, now);
    std::vector<policy::cost_terms> costs;
    if (const auto prompt = promptRequest(now); isByLoad && prompt)
        policy::setPromptCosts(all, policy::forecastPrompt(all, inputs.request, *prompt, {}));
    if (isByLoad)
        costs = policy::loadTermsOf(all, inputs.request, loadRequest(inputs.request.prefixHash, now), {});
    else {
        // As in the search for the target, the prefix counts as cached at the target that all entries prefer for it.
        const auto preferred = inputs.request.prefixHash != 0 ? policy::preferredTarget(all, inputs.request.prefixHash) : std::nullopt;
        if (preferred)
            all[*preferred].cachedTokens = std::max(all[*preferred].cachedTokens, inputs.request.sharedTokens);
        for (const auto& candidate : all)
            costs.push_back(candidate.isUsable ? policy::costTermsOf(candidate, inputs.request, {}) : policy::cost_terms());
    }
    std::vector<target_rank> ranks;
    ranks.reserve(listed.size());
    for (size_t i = 0; i < listed.size(); ++i)
        ranks.push_back({ listed[i] == chosen, all[i].isUsable, costs[i].sum(), listed[i]->listed.id });
    std::vector<explained_target> targets;
    for (const size_t i : listedOrder(ranks)) {
        const target_state& target = *listed[i];
        targets.push_back({ target.listed.id, target.listed.failureDomain, verdictOn(target, now), costs[i], isByLoad ? all[i].load.requests : target.inFlight, target.listed.slots, now - target.listedAt });
    }
    return targets;
}

std::optional<milliseconds> request_run::explainStages(std::vector<explained_stage>& stages, time_point now)
{
    std::optional<milliseconds> refusalWait;
    m_stages.assign(m_request.route->stages.size(), {});
    if (hasTasks())
        m_requiredDomain = domainOfLargeResults();
    for (size_t i = 0; i < m_stages.size(); ++i) {
        if (taskCountOf(i) == 0)
            continue;
        const std::string& service = m_request.route->stages[i].service;
        auto& stage = stages.emplace_back(explained_stage { i, service, taskCountOf(i), m_pools.ownerOf(service), false, {}, {} });
        stage.isOwnedHere = stage.owner == m_context.settings.name;
        if (!stage.isOwnedHere)
            continue;
        const pool_outlook outlook = m_pools.outlookOf(jobOf(i), now);
        stage.waitingTasks = outlook.waitingTasks;
        stage.expectedWait = outlook.startsIn;
        if (!refusalWait)
            refusalWait = outlook.refusalWait;
    }
    return refusalWait;
}

placement_explanation request_run::explain(time_point now)
{
    placement_explanation explanation;
    explanation.isByLoad = m_context.loads && m_context.loads->isUsable(m_request.service, now);
    if (explanation.isByLoad)
        explanation.figureAge = m_context.loads->figureAge(now);
    const std::optional<milliseconds> poolWait = explainStages(explanation.stages, now);
    const target_ptr chosen = chooseTarget(now);
    explanation.targets = explainTargets(chosen, now);
    explanation.targetCount = m_context.targets.ofService(m_request.service).size();

    // In the order in which a request meets these checks.
    const auto refuse = [&explanation](std::string_view reason, milliseconds retryAfter) { explanation.refusal = { http1::statusUnavailable, std::string(reason), retryAfter }; };
    if (const auto refusal = findPlacementRefusal(now))
        refuse(refusal->reason, refusal->retryAfter);
    else if (const auto retryAfter = retryAfterTooLarge())
        refuse("prompt_too_large", *retryAfter);
    else if (const auto wait = waitForService(m_context, m_request.service, now))
        refuse("targets_paused", retryAfterPause(*wait));
    else if (poolWait)
        refuse("pool_overloaded", retryAfterOverload(*poolWait));
    else if (isTargetListUncertain(m_context, now)) {
        explanation.waitReason = "target_list_uncertain";
        explanation.longestWait = detail::maxPlacementTime;
    } else if (chosen)
        explanation.choice = chosen->listed.id;
    else if (const auto pause = pauseOfAllTargets(now))
        refuse("targets_paused", retryAfterPause(*pause));
    else if (const auto forecast = forecastLimits(now); forecast && forecast->refusal)
        refuse("rate_limited", retryAfterLimit(*forecast->refusal));
    else if (explanation.targetCount == 0)
        refuse("no_target", detail::retryWithoutTargets);
    else {
        explanation.waitReason = forecast ? "rate_limited" : "no_target";
        explanation.longestWait = detail::maxPlacementTime;
    }
    return explanation;
}
}
