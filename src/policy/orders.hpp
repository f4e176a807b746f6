/// Orders to engines: what to load or unload so that an engine's reported models match the desired ones.
#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bilberryseam::policy {

/// A model version that an engine should have.
struct desired_model {
    std::string name;
    std::string version;
    std::vector<std::string> adapters;
    /// Increases with each release note that changes the model.
    uint64_t fencingToken = 0;
    /// Earliest time of the load, which paces reads from the weight store.
    wall_time notBefore {};
};

/// A model as the engine reports it.
struct reported_model {
    std::string name;
    std::string version;
    std::vector<std::string> adapters;
    bool isLoading = false;
};

enum class order_kind {
    Load,
    Unload,
};

/// An instruction to an engine to load or unload a model.
struct engine_order {
    order_kind kind = order_kind::Load;
    std::string name;
    std::string version;
    std::vector<std::string> adapters;
    uint64_t fencingToken = 0;
};

/// @param desired       Models that the configuration assigns to this engine.
/// @param reported      Models that the engine reports.
/// @param fencingToken  Token for unloads: that of the configuration in force.
/// @return The next order, or empty if the models match or the next load has to wait.
[[nodiscard]] std::optional<engine_order> nextOrder(std::span<const desired_model> desired, std::span<const reported_model> reported, uint64_t fencingToken, wall_time now);

/// Spreads the loads of one model over time, so that together they stay within the weight store's rate.
/// @param since           When the change was accepted.
/// @param rank            Position of this target among those that load the model, from zero.
/// @param weightBytes     Size of the model's weights, read by each load.
/// @param bytesPerSecond  Rate of the store; zero disables pacing.
/// @return When this target may start its load.
[[nodiscard]] wall_time loadStartTime(wall_time since, size_t rank, uint64_t weightBytes, uint64_t bytesPerSecond) noexcept;
}
