/// Guards against indexes of the target list that differ from those computed anew from all records. They are updated for the
/// changed targets only, since the record of one restarted target among 3,000 took over a millisecond otherwise.
#include "gateway/target_registry.hpp"

#include <criterion/criterion.h>
#include <random>

using namespace bilberryseam;
using namespace bilberryseam::gateway;

namespace {
/// Records as they were applied, and the indexes computed from all of them.
struct reference_list {
    struct item {
        deployment::target listed;
        time_point listedAt {};
    };
    std::map<std::string, item> items;
    std::map<ip_endpoint, std::string> holders;

    void computeHolders()
    {
        holders.clear();
        for (const auto& [id, current] : items) {
            std::string& holder = holders[current.listed.endpoint];
            if (holder.empty() || items.at(holder).listedAt < current.listedAt)
                holder = id;
        }
    }

    /// @return Whether the holders must be computed again.
    bool apply(const deployment::target& listed, time_point now)
    {
        const auto position = items.find(listed.id);
        const bool isSameRun = position != items.end() && position->second.listed.startedAtMs == listed.startedAtMs;
        const bool isSamePlace = isSameRun && position->second.listed.endpoint == listed.endpoint && position->second.listed.service == listed.service;
        items[listed.id] = { listed, now };
        return !isSamePlace;
    }

    [[nodiscard]] std::vector<std::string> ofService(const std::string& service) const
    {
        std::vector<std::string> ids;
        for (const auto& [id, current] : items) {
            if (current.listed.service == service)
                ids.push_back(id);
        }
        return ids;
    }
};

constexpr size_t endpoints = 9;
constexpr size_t services = 4;

std::string serviceName(size_t index) { return "service-" + std::to_string(index); }
ip_endpoint endpointOf(size_t index) { return { "10.0.0.1", static_cast<uint16_t>(80 + index) }; }

deployment::target drawTarget(std::mt19937_64& random)
{
    deployment::target target;
    target.id = "t-" + std::to_string(random() % 24);
    target.service = serviceName(random() % services);
    target.endpoint = endpointOf(random() % endpoints);
    target.startedAtMs = 1 + static_cast<int64_t>(random() % 2);
    return target;
}

void checkEquality(const target_registry& registry, const reference_list& reference, int step)
{
    for (size_t i = 0; i < services; ++i) {
        std::vector<std::string> ids;
        for (const auto& state : registry.ofService(serviceName(i)))
            ids.push_back(state->listed.id);
        cr_assert(ids == reference.ofService(serviceName(i)), "step %d: the targets of a service differ", step);
    }
    for (size_t i = 0; i < endpoints; ++i) {
        const auto holder = registry.holderOf(endpointOf(i).toString() + "/result");
        const auto expected = reference.holders.find(endpointOf(i));
        const std::string expectedId = expected == reference.holders.end() ? "" : expected->second;
        cr_assert_eq(holder ? holder->listed.id : "", expectedId, "step %d: another target holds an address", step);
    }
}
}

Test(target_registry, indexes_that_are_updated_are_those_computed_from_all_records)
{
    std::mt19937_64 random(5);
    target_registry registry([](const target_state&, std::string_view) {});
    reference_list reference;
    time_point now { seconds(1000) };
    for (int step = 0; step < 20000; ++step) {
        now += milliseconds(static_cast<int64_t>(random() % 2));
        const uint64_t kind = random() % 20;
        bool isChanged = false;
        if (kind == 0) {
            std::map<std::string, deployment::target> listed;
            for (int i = 0; i < 20; ++i) {
                const auto target = drawTarget(random);
                listed[target.id] = target;
            }
            std::vector<deployment::target> list;
            for (const auto& [id, target] : listed) {
                list.push_back(target);
                isChanged |= reference.apply(target, now);
            }
            isChanged |= std::erase_if(reference.items, [&](const auto& item) { return !listed.contains(item.first); }) > 0;
            registry.applyAll(list, now);
        } else if (kind < 6) {
            const std::string id = drawTarget(random).id;
            isChanged = reference.items.erase(id) > 0;
            registry.remove(id, now);
        } else if (kind < 12 && !reference.items.empty()) {
            const deployment::target heartbeat = std::next(reference.items.begin(), static_cast<std::ptrdiff_t>(random() % reference.items.size()))->second.listed;
            isChanged = reference.apply(heartbeat, now);
            registry.apply(heartbeat, now);
        } else {
            const auto target = drawTarget(random);
            isChanged = reference.apply(target, now);
            registry.apply(target, now);
        }
        if (isChanged)
            reference.computeHolders();
        checkEquality(registry, reference, step);
    }
}
