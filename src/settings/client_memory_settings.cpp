#include "settings/client_memory_settings.hpp"

namespace bilberryseam::settings {

using nlohmann::json;

namespace {
    constexpr std::string_view properties = R"json("machineMemoryMb": { "type": "integer", "minimum": 64, "maximum": 1000000 },
            "maxHeldBytes": { "type": "integer", "minimum": 1048576 })json";

    constexpr size_t defaultHeldBytes = 48 * 1024 * 1024;

    /// The rest is for the state of the process, and for copies that exist for a moment.
    constexpr size_t heldPercent = 30;
    constexpr size_t bytesPerMb = 1000 * 1000;
}

size_t client_memory_settings::heldBytes() const noexcept
{
    if (maxHeldBytes)
        return *maxHeldBytes;
    return machineMemoryMb ? *machineMemoryMb * bytesPerMb * heldPercent / 100 : defaultHeldBytes;
}

namespace detail {
    client_memory_settings readClientMemory(const json& limits)
    {
        client_memory_settings settings;
        if (limits.contains("machineMemoryMb"))
            settings.machineMemoryMb = limits["machineMemoryMb"].get<size_t>();
        if (limits.contains("maxHeldBytes"))
            settings.maxHeldBytes = limits["maxHeldBytes"].get<size_t>();
        return settings;
    }

    void addClientMemory(json& limits, const client_memory_settings& settings)
    {
        if (settings.machineMemoryMb)
            limits["machineMemoryMb"] = *settings.machineMemoryMb;
        limits["maxHeldBytes"] = settings.heldBytes();
    }

    std::string withClientMemorySchema(std::string_view schema)
    {
        constexpr std::string_view placeholder = "@clientMemory@";
        std::string text(schema);
        return text.replace(text.find(placeholder), placeholder.size(), properties);
    }
}
}
