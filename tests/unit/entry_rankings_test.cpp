/// Guards against rankings that differ between gateways because they are kept up to date, and against a start of a gateway that
/// has the places of all gateways computed again.
#include "base/hash.hpp"
#include "gateway/entry_rankings.hpp"

#include <criterion/criterion.h>
#include <map>
#include <random>

using namespace bilberryseam;
using namespace bilberryseam::gateway;

namespace {
const std::string ownName = "gateway-own";
const std::vector<std::string> keys { "pages", "thumbnails", "stream-origins", "target-1", "target-2" };

std::vector<ranked_entry> toList(const std::map<std::string, double>& weights)
{
    std::vector<ranked_entry> entries;
    for (const auto& [name, weight] : weights)
        entries.push_back({ name, weight });
    return entries;
}

std::vector<std::string> computeNames(const std::map<std::string, double>& weights, const std::string& key)
{
    std::vector<std::string> names;
    std::vector<policy::owner_candidate> candidates;
    for (const auto& [name, weight] : weights) {
        names.push_back(name);
        candidates.push_back({ hashOf(name), weight });
    }
    std::vector<std::string> ranked;
    for (const size_t index : policy::rankOwners(candidates, hashOf(key)))
        ranked.push_back(names[index]);
    return ranked;
}
}

Test(entry_rankings, rankings_after_changes_are_those_computed_from_all_entries)
{
    std::mt19937_64 random(3);
    entry_rankings rankings(ownName);
    std::map<std::string, double> weights { { ownName, 0.2 } };
    for (int step = 0; step < 3000; ++step) {
        for (uint64_t changes = random() % 4; changes > 0; --changes) {
            const std::string name = "gateway-" + std::to_string(random() % 40);
            if (random() % 3 == 0)
                weights.erase(name);
            else
                weights[name] = 0.07 + 0.05 * static_cast<double>(random() % 10);
        }
        if (random() % 100 == 0)
            weights[ownName] = 0.07 + 0.05 * static_cast<double>(random() % 10);
        rankings.setEntries(toList(weights));
        for (const auto& key : keys) {
            const auto expected = computeNames(weights, key);
            cr_assert(rankings.namesFor(key) == expected, "step %d: the ranking for %s differs", step, key.c_str());
            const auto rank = static_cast<size_t>(std::find(expected.begin(), expected.end(), ownName) - expected.begin());
            cr_assert_eq(rankings.ownRankFor(key), rank, "step %d: the own rank for %s differs", step, key.c_str());
        }
    }
}

Test(entry_rankings, the_cost_of_a_start_does_not_depend_on_the_number_of_gateways)
{
    std::vector<uint64_t> costs;
    for (const size_t gateways : { 30, 300 }) {
        entry_rankings rankings(ownName);
        std::map<std::string, double> weights { { ownName, 0.5 } };
        for (size_t i = 1; i < gateways; ++i)
            weights["gateway-" + std::to_string(i)] = 0.07;
        rankings.setEntries(toList(weights));
        for (const auto& key : keys) {
            static_cast<void>(rankings.namesFor(key));
            static_cast<void>(rankings.ownRankFor(key));
        }
        const uint64_t before = rankings.placeCount();
        weights["gateway-new"] = 0.07;
        rankings.setEntries(toList(weights));
        for (const auto& key : keys) {
            static_cast<void>(rankings.namesFor(key));
            static_cast<void>(rankings.ownRankFor(key));
        }
        costs.push_back(rankings.placeCount() - before);
    }
    cr_assert_eq(costs[0], costs[1]);
    cr_assert_eq(costs[0], 2 * keys.size(), "one place in each ranking and for each own rank");
}
