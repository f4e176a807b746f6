/// Reports about crashing prompt segments between peers.
#include "execution/crash_exchange.hpp"

#include <criterion/criterion.h>
#include <deque>
#include <map>
#include <memory>

using namespace bilberryseam;

namespace {
constexpr time_point start { seconds(1000) };
constexpr uint64_t segment = 7;
constexpr milliseconds messageDelay { 1 };
constexpr size_t peerCount = 3;

/// Daemons that all send to each other. Their messages arrive in order after a delay.
struct peer_group {
    peer_group()
    {
        for (size_t i = 0; i < peerCount; ++i) {
            const auto sendToAll = [this, i](const wire::message& message) {
                for (size_t to = 0; to < peerCount; ++to) {
                    if (to == i)
                        continue;
                    underway.push_back({ to, now + messageDelay, message });
                    sentVerdicts[i] += std::holds_alternative<wire::segment_verdict>(message) ? 1 : 0;
                }
            };
            peers.push_back(std::make_unique<execution::crash_exchange>(counters, "peer-" + std::to_string(i), execution::crash_exchange::callbacks { sendToAll, [](time_point) {}, {} }));
        }
    }

    /// Delivers messages until none is underway or the limit is reached.
    /// @return The number of delivered messages.
    size_t deliver(size_t limit)
    {
        size_t count = 0;
        for (; !underway.empty() && count < limit; ++count) {
            const auto item = underway.front();
            underway.pop_front();
            now = std::max(now, item.arrivesAt);
            cr_assert(peers[item.to]->handle(item.message, "peer", now));
        }
        return count;
    }

    [[nodiscard]] size_t verdictsSentBy(size_t peer) { return sentVerdicts[peer]; }

    struct message_underway {
        size_t to = 0;
        time_point arrivesAt {};
        wire::message message;
    };

    metrics counters;
    time_point now = start;
    std::deque<message_underway> underway;
    std::map<size_t, size_t> sentVerdicts;
    std::vector<std::unique_ptr<execution::crash_exchange>> peers;
};
}

Test(crash_exchange, a_verdict_and_its_end_do_not_circulate_between_peers_forever)
{
    constexpr size_t messageLimit = 1000;
    for (const int survivalMs : { 0, 1, 2, 5 }) {
        peer_group group;
        const std::vector<std::vector<uint64_t>> requests { { segment } };
        time_point lastCrashAt {};
        for (uint64_t target = 1; target <= 3; ++target) {
            cr_assert_lt(group.deliver(messageLimit), messageLimit);
            lastCrashAt = group.now += milliseconds(1000);
            group.peers[0]->reportCrash(target, "target", requests, lastCrashAt);
        }
        // While the verdict spreads, a peer sees that a request survives that began just after the last crash.
        cr_assert_eq(group.deliver(1), 1);
        group.now = std::max(group.now, lastCrashAt + milliseconds(survivalMs));
        group.peers[1]->recordSurvival(requests.front(), lastCrashAt + milliseconds(survivalMs), group.now);
        const size_t count = group.deliver(messageLimit);
        cr_assert_lt(count, messageLimit, "messages still circulate after %zu, with a survival %d ms after the crash", count, survivalMs);
    }
}

Test(crash_exchange, a_verdict_that_all_form_from_the_same_reports_is_announced_once)
{
    peer_group group;
    for (uint64_t target = 1; target <= 3; ++target) {
        group.now += milliseconds(1000);
        group.peers[0]->reportCrash(target, "target", std::vector<std::vector<uint64_t>> { { segment } }, group.now);
        while (group.deliver(1) > 0) {
        }
    }
    for (const auto& peer : group.peers)
        cr_assert(peer->refusedSegment(std::vector<uint64_t> { segment }, group.now));
    cr_assert_eq(group.verdictsSentBy(0), peerCount - 1);
    cr_assert_eq(group.verdictsSentBy(1) + group.verdictsSentBy(2), 0u);
}
