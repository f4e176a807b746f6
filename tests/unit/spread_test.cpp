/// How messages spread over many processes.
#include "policy/spread.hpp"

#include <cmath>
#include <criterion/criterion.h>
#include <deque>
#include <functional>
#include <random>
#include <set>

using namespace bilberryseam;

namespace {
/// @return The processes that a message of process 0 reaches, over the links for which `isUp` returns true.
std::set<size_t> reachedFromFirst(size_t count, const std::function<bool(size_t from, size_t to)>& isUp)
{
    std::set<size_t> reached { 0 };
    std::deque<size_t> forwarding { 0 };
    while (!forwarding.empty()) {
        const size_t from = forwarding.front();
        forwarding.pop_front();
        for (const size_t to : policy::spreadPeers(from, count)) {
            if (isUp(from, to) && reached.insert(to).second)
                forwarding.push_back(to);
        }
    }
    return reached;
}
}

Test(spread, every_process_is_reached_and_sends_the_logarithm_of_their_number)
{
    for (const size_t count : { 1, 2, 3, 4, 7, 8, 9, 30, 300, 1000 }) {
        const auto bound = static_cast<size_t>(std::ceil(std::log2(count)));
        for (size_t own = 0; own < count; ++own)
            cr_assert_leq(policy::spreadPeers(own, count).size(), bound);
        cr_assert_eq(reachedFromFirst(count, [](size_t, size_t) { return true; }).size(), count);
    }
}

Test(spread, a_tenth_of_the_processes_gone_leaves_the_others_reachable)
{
    constexpr size_t count = 30;
    for (unsigned seed = 1; seed <= 200; ++seed) {
        std::mt19937 random(seed);
        std::set<size_t> gone;
        while (gone.size() < count / 10)
            gone.insert(1 + random() % (count - 1));
        const auto reached = reachedFromFirst(count, [&](size_t, size_t to) { return !gone.contains(to); });
        cr_assert_eq(reached.size(), count - gone.size(), "seed %u", seed);
    }
}

Test(spread, links_that_are_cut_one_way_leave_all_processes_reachable)
{
    constexpr size_t count = 30;
    constexpr size_t cutCount = 8;
    for (unsigned seed = 1; seed <= 200; ++seed) {
        std::mt19937 random(seed);
        std::set<std::pair<size_t, size_t>> cut;
        while (cut.size() < cutCount) {
            const size_t from = random() % count;
            const auto peers = policy::spreadPeers(from, count);
            cut.insert({ from, peers[random() % peers.size()] });
        }
        const auto reached = reachedFromFirst(count, [&](size_t from, size_t to) { return !cut.contains({ from, to }); });
        cr_assert_eq(reached.size(), count, "seed %u", seed);
    }
}
