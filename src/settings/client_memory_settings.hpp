/// Settings of the memory that clients may have a process hold, the same for all daemons.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace bilberryseam::settings {

struct client_memory_settings {
    /// Memory of the machine that the process may use, in MB of 10^6 bytes; not set if unknown.
    std::optional<size_t> machineMemoryMb;
    /// Bytes that clients may have the process hold; by default, a share of the machine's memory.
    std::optional<size_t> maxHeldBytes;

    /// @return Bytes that clients may have the process hold.
    [[nodiscard]] size_t heldBytes() const noexcept;
};

namespace detail {
    [[nodiscard]] client_memory_settings readClientMemory(const nlohmann::json& limits);
    void addClientMemory(nlohmann::json& limits, const client_memory_settings& settings);

    /// @return The schema with the properties of these settings in place of `@clientMemory@`.
    [[nodiscard]] std::string withClientMemorySchema(std::string_view schema);
}
}
