#include "policy/fairness.hpp"

#include <algorithm>
#include <cmath>

namespace bilberryseam::policy {

double shareOf(const fair_queue& queue, std::string_view account, double weight)
{
    double sum = weight;
    for (const auto& [name, other] : queue.accounts) {
        if (name != account && !other.waiting.empty())
            sum += other.weight;
    }
    return weight / sum;
}

double predictFinishSeconds(const fair_queue& queue, std::string_view account, double weight, const admission_capacity& capacity)
{
    const auto it = queue.accounts.find(account);
    const double ahead = it == queue.accounts.end() ? 0 : static_cast<double>(it->second.waiting.size());
    const double slots = std::max(1.0, capacity.slots) * shareOf(queue, account, weight);
    // Slots become free one after another; the account gets its share of them.
    const double wait = queue.size == 0 ? 0 : (ahead + 1) * capacity.meanServiceSeconds / slots;
    return wait + capacity.meanServiceSeconds;
}

void enqueue(fair_queue& queue, const std::string& account, double weight, const queued_request& request)
{
    account_queue& accountQueue = queue.accounts[account];
    if (accountQueue.waiting.empty())
        accountQueue.startTag = std::max(accountQueue.startTag, queue.virtualTime);
    accountQueue.weight = weight;
    accountQueue.waiting.push_back(request);
    ++queue.size;
}

std::optional<queued_request> dequeue(fair_queue& queue)
{
    account_queue* chosenAccount = nullptr;
    for (auto& [name, candidate] : queue.accounts) {
        if (!candidate.waiting.empty() && (!chosenAccount || candidate.startTag < chosenAccount->startTag))
            chosenAccount = &candidate;
    }
    if (!chosenAccount)
        return std::nullopt;
    queue.virtualTime = chosenAccount->startTag;
    chosenAccount->startTag += 1 / chosenAccount->weight;
    const queued_request request = chosenAccount->waiting.front();
    chosenAccount->waiting.pop_front();
    --queue.size;
    return request;
}

void removeQueued(fair_queue& queue, std::string_view account, identifier id)
{
    const auto it = queue.accounts.find(account);
    if (it != queue.accounts.end())
        queue.size -= std::erase_if(it->second.waiting, [&](const queued_request& item) { return item.id == id; });
}

std::vector<queued_request> removeInfeasible(fair_queue& queue, time_point now, double meanServiceSeconds)
{
    std::vector<queued_request> infeasible;
    for (auto& [name, accountQueue] : queue.accounts) {
        queue.size -= std::erase_if(accountQueue.waiting, [&](const queued_request& item) {
            const bool isInfeasible = asSeconds(item.deadline - now) < meanServiceSeconds;
            if (isInfeasible)
                infeasible.push_back(item);
            return isInfeasible;
        });
    }
    return infeasible;
}
}
