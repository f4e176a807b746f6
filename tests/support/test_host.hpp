/// Loopback addresses of the tests. Tests run at the same time, so each has a slot with ports of its own.
#pragma once

#include <cstdlib>
#include <string>

namespace bilberryseam::tests {

/// @return The address in BILBERRYSEAM_TEST_HOST, so that several work trees can run their tests at the same time.
[[nodiscard]] inline std::string testHost()
{
    const char* host = std::getenv("BILBERRYSEAM_TEST_HOST");
    return host ? host : "127.0.0.1";
}

constexpr int portsPerSlot = 150;
/// Further slots use the ports of the first ones at further addresses; ports above are ephemeral.
constexpr int slotsPerHost = 205;

[[nodiscard]] inline std::string hostOfSlot(int slot)
{
    std::string host = testHost();
    if (const int index = slot / slotsPerHost; index > 0)
        host.replace(0, std::string("127.0.").size(), "127." + std::to_string(index) + ".");
    return host;
}

[[nodiscard]] constexpr int firstPortOfSlot(int slot) noexcept
{
    constexpr int firstPort = 2000;
    return firstPort + slot % slotsPerHost * portsPerSlot;
}
}
