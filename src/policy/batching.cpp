#include "policy/batching.hpp"

#include <algorithm>
#include <numeric>

namespace bilberryseam::policy {

namespace {
    /// A target with a higher penalty works only on what no better one is there for.
    constexpr double soundPenalty = 3;

    /// Pieces in time order of their latest start; those that are too late come last.
    std::vector<size_t> orderPieces(std::span<const waiting_piece> pieces, time_point now)
    {
        std::vector<size_t> order(pieces.size());
        std::iota(order.begin(), order.end(), size_t { 0 });
        const auto isLate = [&](size_t i) { return pieces[i].latestStart < now; };
        std::stable_sort(order.begin(), order.end(), [&](size_t left, size_t right) {
            if (isLate(left) != isLate(right))
                return isLate(right);
            return pieces[left].latestStart < pieces[right].latestStart;
        });
        return order;
    }

    std::vector<size_t> orderTargets(std::span<const pool_target> targets)
    {
        std::vector<size_t> order(targets.size());
        std::iota(order.begin(), order.end(), size_t { 0 });
        std::stable_sort(order.begin(), order.end(), [&](size_t left, size_t right) {
            const bool isLeftSound = targets[left].penalty < soundPenalty;
            const bool isRightSound = targets[right].penalty < soundPenalty;
            if (isLeftSound != isRightSound)
                return isLeftSound;
            if (targets[left].isOwn != targets[right].isOwn)
                return targets[left].isOwn;
            return targets[left].penalty < targets[right].penalty;
        });
        return order;
    }

    bool hasSoundTarget(std::span<const pool_target> targets, std::string_view domain)
    {
        return std::any_of(targets.begin(), targets.end(), [domain](const auto& item) { return item.failureDomain == domain && item.penalty < soundPenalty; });
    }

    struct planner {
        std::span<const waiting_piece> pieces;
        std::span<const pool_target> targets;
        const batching_rules& rules;
        time_point now;
        bool hasOwn = false;
        bool hasSound = false;

        bool mayGo(const waiting_piece& piece, const pool_target& target) const
        {
            const auto waited = now - piece.since;
            if (target.penalty >= soundPenalty && hasSound && waited < rules.patience * 4)
                return false;
            if (!piece.boundTo.empty()) {
                const bool isThere = target.failureDomain == piece.boundTo;
                return isThere || !hasSoundTarget(targets, piece.boundTo) || waited > rules.patience * 8;
            }
            return target.isOwn || !hasOwn || waited >= rules.patience;
        }
    };
}

std::vector<piece_batch> planBatches(std::span<const waiting_piece> pieces, std::span<const pool_target> targets, const batching_rules& rules, time_point now)
{
    planner plan { pieces, targets, rules, now };
    plan.hasOwn = std::any_of(targets.begin(), targets.end(), [](const auto& item) { return item.isOwn && item.penalty < soundPenalty; });
    plan.hasSound = std::any_of(targets.begin(), targets.end(), [](const auto& item) { return item.penalty < soundPenalty; });
    std::vector<size_t> order = orderPieces(pieces, now);
    std::vector<piece_batch> batches;
    for (const size_t index : orderTargets(targets)) {
        const pool_target& target = targets[index];
        if (!target.isIdle)
            continue;
        piece_batch batch { index, {} };
        double freeBytes = target.freeBytes;
        for (const size_t piece : order) {
            if (batch.pieces.size() >= rules.batch)
                break;
            const bool fits = pieces[piece].resultBytes <= freeBytes;
            if (!fits || !plan.mayGo(pieces[piece], target))
                continue;
            freeBytes -= pieces[piece].resultBytes;
            batch.pieces.push_back(piece);
        }
        if (batch.pieces.empty())
            continue;
        std::erase_if(order, [&](size_t piece) { return std::find(batch.pieces.begin(), batch.pieces.end(), piece) != batch.pieces.end(); });
        batches.push_back(std::move(batch));
    }
    return batches;
}
}
