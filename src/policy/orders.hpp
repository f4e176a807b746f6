/// Orders to engines: what to load or unload so that an engine's real state meets the desired one.
#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bilberryseam::policy {

/// A model version as it is wanted.
struct desired_model {
    std::string name;
    std::string version;
    std::vector<std::string> adapters;
    /// Fencing number: grows with each note that changes the model.
    uint64_t fencingToken = 0;
    /// Before this time a load waits for its turn at the weight store.
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

/// One order.
struct engine_order {
    order_kind kind = order_kind::Load;
    std::string name;
    std::string version;
    std::vector<std::string> adapters;
    uint64_t fencingToken = 0;
};

/// @param wanted    What the configuration wants at this engine.
/// @param reported  What the engine says it has.
/// @param fence     Fencing number for unloads: that of the configuration in force.
/// @return The next order, or nothing if the engine agrees or is at work on it.
[[nodiscard]] std::optional<engine_order> nextOrder(std::span<const desired_model> desired, std::span<const reported_model> reported, uint64_t fencingToken, wall_time now);

/// Spreads the loads of one model over time, so that together they respect the weight store's rate.
/// @param since           When the change was accepted.
/// @param rank            This target's place among those that want the model, from zero.
/// @param weightBytes     Bytes of one load.
/// @param bytesPerSecond  The store's rate; zero for no pacing.
/// @return When this target may begin.
[[nodiscard]] wall_time loadStartTime(wall_time since, size_t rank, uint64_t weightBytes, uint64_t bytesPerSecond) noexcept;
}
