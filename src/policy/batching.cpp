#include "policy/batching.hpp"

#include <algorithm>
#include <numeric>
#include <unordered_map>
#include <unordered_set>

namespace bilberryseam::policy {

namespace {
    /// A target with a higher penalty works only on what has waited for a better one.
    constexpr double soundPenalty = 3;

    /// A group that needs more than this share of all memory is begun when that much is free.
    constexpr double largestGroupShare = 0.5;

    /// A group that needs less than this share of all memory is begun even if a larger one waits for memory.
    constexpr double smallGroupShare = 0.002;

    bool isSound(const pool_target& target) noexcept { return target.penalty < soundPenalty; }

    /// Pieces in the order in which they should start: those that were begun, then those that can still be in time.
    std::vector<size_t> orderPieces(std::span<const queued_task> pieces, const batching_rules& rules, time_point now)
    {
        std::vector<size_t> order(pieces.size());
        std::iota(order.begin(), order.end(), size_t { 0 });
        const auto isLate = [&](size_t i) { return pieces[i].latestStart < now; };
        const auto due = [&](size_t i) { return pieces[i].latestStart + rules.delayPerRank * pieces[i].rank - pieces[i].boost; };
        std::stable_sort(order.begin(), order.end(), [&](size_t left, size_t right) {
            if (pieces[left].isJobStarted != pieces[right].isJobStarted)
                return pieces[left].isJobStarted;
            if (isLate(left) != isLate(right))
                return isLate(right);
            if (due(left) != due(right))
                return due(left) < due(right);
            return pieces[left].jobId < pieces[right].jobId;
        });
        return order;
    }

    /// Takes out the pieces of groups that would find memory for a part of their results only.
    std::vector<size_t> keepWhatFits(const std::vector<size_t>& order, std::span<const queued_task> pieces, std::span<const pool_target> targets)
    {
        double freeBytes = 0;
        double totalBytes = 0;
        const bool hasSound = std::any_of(targets.begin(), targets.end(), isSound);
        for (const auto& target : targets) {
            // Without a sound target, the others do the work.
            if (hasSound && !isSound(target))
                continue;
            freeBytes += std::max(0.0, target.freeBytes);
            totalBytes += target.totalBytes;
        }
        std::unordered_map<uint64_t, double> needs;
        for (const auto& piece : pieces)
            needs[piece.jobId] += piece.resultBytes;
        std::unordered_set<uint64_t> admitted;
        bool isMemoryShort = false;
        std::vector<size_t> kept;
        for (const size_t index : order) {
            const queued_task& piece = pieces[index];
            if (!piece.isJobStarted && !admitted.contains(piece.jobId)) {
                // What the first group that does not fit needs is left for it.
                const double need = std::min(needs[piece.jobId], totalBytes * largestGroupShare);
                const bool isSmall = need < totalBytes * smallGroupShare && need <= freeBytes;
                isMemoryShort = isMemoryShort || need > freeBytes;
                if (isMemoryShort && !isSmall)
                    continue;
            }
            if (admitted.insert(piece.jobId).second)
                freeBytes -= needs[piece.jobId];
            kept.push_back(index);
        }
        return kept;
    }

    std::vector<size_t> idleTargets(std::span<const pool_target> targets)
    {
        std::vector<size_t> order;
        for (size_t i = 0; i < targets.size(); ++i) {
            if (targets[i].isIdle)
                order.push_back(i);
        }
        std::stable_sort(order.begin(), order.end(), [&](size_t left, size_t right) { return targets[left].penalty < targets[right].penalty; });
        return order;
    }

    struct planner {
        std::span<const queued_task> pieces;
        std::span<const pool_target> targets;
        const batching_rules& rules;
        time_point now;
        bool hasSound = false;

        bool hasSoundIn(std::string_view domain) const
        {
            return std::any_of(targets.begin(), targets.end(), [domain](const auto& item) { return item.failureDomain == domain && isSound(item); });
        }

        bool mayGo(const queued_task& piece, const pool_target& target) const
        {
            const auto waited = now - piece.queuedAt;
            if (!isSound(target) && hasSound && waited < rules.requiredDomainWait)
                return false;
            if (!piece.requiredDomain.empty())
                return target.failureDomain == piece.requiredDomain || waited >= rules.requiredDomainWait || !hasSoundIn(piece.requiredDomain);
            return piece.preferredDomain.empty() || target.failureDomain == piece.preferredDomain || waited >= rules.preferredDomainWait || !hasSoundIn(piece.preferredDomain);
        }

        /// @return The idle target for the piece that heads a call: where it belongs if that is idle, else the best.
        std::optional<size_t> targetFor(const queued_task& piece, std::span<const size_t> idle) const
        {
            std::optional<size_t> best;
            for (const size_t index : idle) {
                const pool_target& target = targets[index];
                if (piece.resultBytes > target.freeBytes || !mayGo(piece, target))
                    continue;
                const bool isWanted = target.failureDomain == (piece.requiredDomain.empty() ? piece.preferredDomain : piece.requiredDomain);
                if (isWanted && isSound(target))
                    return index;
                if (!best)
                    best = index;
            }
            return best;
        }

        /// Takes pieces in order until the call is as large as it should be; a group that was begun is finished if it fits.
        std::vector<size_t> fill(const pool_target& target, const std::vector<size_t>& order, size_t fairShare) const
        {
            std::vector<size_t> chosen;
            double freeBytes = target.freeBytes;
            for (const size_t index : order) {
                if (chosen.size() >= rules.batchSize)
                    break;
                const queued_task& piece = pieces[index];
                const bool isBegun = !chosen.empty() && pieces[chosen.back()].jobId == piece.jobId;
                if (chosen.size() >= fairShare && !isBegun)
                    break;
                if (piece.resultBytes > freeBytes || !mayGo(piece, target))
                    continue;
                freeBytes -= piece.resultBytes;
                chosen.push_back(index);
            }
            return chosen;
        }
    };
}

std::vector<task_batch> planBatches(std::span<const queued_task> pieces, std::span<const pool_target> targets, const batching_rules& rules, time_point now)
{
    planner plan { pieces, targets, rules, now };
    plan.hasSound = std::any_of(targets.begin(), targets.end(), isSound);
    std::vector<size_t> order = keepWhatFits(orderPieces(pieces, rules, now), pieces, targets);
    std::vector<size_t> idle = idleTargets(targets);
    std::vector<task_batch> batches;
    for (size_t head = 0; head < order.size() && !idle.empty();) {
        const auto target = plan.targetFor(pieces[order[head]], idle);
        if (!target) {
            ++head;
            continue;
        }
        // Several idle targets share what waits, so that each call is short.
        const size_t fairShare = (order.size() + idle.size() - 1) / idle.size();
        const std::vector<size_t> rest(order.begin() + static_cast<std::ptrdiff_t>(head), order.end());
        task_batch batch { *target, plan.fill(targets[*target], rest, fairShare) };
        std::erase(idle, *target);
        std::erase_if(order, [&](size_t piece) { return std::find(batch.tasks.begin(), batch.tasks.end(), piece) != batch.tasks.end(); });
        batches.push_back(std::move(batch));
    }
    return batches;
}
}
