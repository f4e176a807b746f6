#include "policy/orders.hpp"

#include <algorithm>

namespace bilberryseam::policy {

namespace {
    template <typename Model>
    const Model* findModel(std::span<const Model> models, std::string_view name)
    {
        const auto it = std::find_if(models.begin(), models.end(), [&](const Model& item) { return item.name == name; });
        return it == models.end() ? nullptr : &*it;
    }

    bool matches(const desired_model& desired, const reported_model& reported)
    {
        return desired.version == reported.version && desired.adapters == reported.adapters;
    }
}

std::optional<engine_order> nextOrder(std::span<const desired_model> desired, std::span<const reported_model> reported, uint64_t fencingToken, wall_time now)
{
    const bool isLoading = std::any_of(reported.begin(), reported.end(), [](const reported_model& item) { return item.isLoading; });
    for (const desired_model& model : desired) {
        const reported_model* current = findModel(reported, model.name);
        if (current && matches(model, *current))
            continue;
        // One load at a time. A load of this model in an outdated version does not block the new order.
        const bool isOtherLoading = isLoading && !(current && current->isLoading);
        if (!isOtherLoading && model.notBefore <= now)
            return engine_order { order_kind::Load, model.name, model.version, model.adapters, model.fencingToken };
    }
    for (const reported_model& current : reported) {
        if (!findModel(desired, current.name))
            return engine_order { order_kind::Unload, current.name, current.version, {}, fencingToken };
    }
    return std::nullopt;
}

wall_time loadStartTime(wall_time since, size_t rank, uint64_t weightBytes, uint64_t bytesPerSecond) noexcept
{
    if (bytesPerSecond == 0)
        return since;
    const double seconds = static_cast<double>(rank) * static_cast<double>(weightBytes) / static_cast<double>(bytesPerSecond);
    return since + milliseconds(static_cast<int64_t>(1000 * seconds));
}
}
