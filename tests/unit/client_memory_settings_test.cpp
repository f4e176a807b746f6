/// Settings of the memory that clients may have a process hold.
#include "settings/entry_settings.hpp"
#include "settings/gateway_settings.hpp"
#include "settings/side_settings.hpp"

#include <criterion/criterion.h>
#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace bilberryseam;
using namespace bilberryseam::settings;
using nlohmann::json;

namespace {
/// @return The settings in a file with these limits, or the problem.
template <typename Settings>
result<Settings> settingsWith(json document, const json& limits)
{
    const std::string path = std::filesystem::temp_directory_path() / ("bilberryseam-settings-" + std::to_string(getpid()) + ".json");
    document["limits"] = limits;
    std::ofstream(path) << document.dump();
    auto settings = Settings::fromFile(path);
    std::filesystem::remove(path);
    return settings;
}

const json gatewayDocument { { "name", "g" }, { "region", "r" }, { "failureDomain", "d" }, { "listen", "127.0.0.1:1" }, { "operatorListen", "127.0.0.1:2" }, { "peerListen", "127.0.0.1:3" }, { "store", "127.0.0.1:4" } };
const json entryDocument { { "name", "e" }, { "region", "r" }, { "listen", "127.0.0.1:1" }, { "operatorListen", "127.0.0.1:2" }, { "platform", { { "log", "127.0.0.1:3" } } } };

size_t heldBytesOfGateway(const json& limits)
{
    return settingsWith<gateway_settings>(gatewayDocument, limits).value().limits.heldBytes();
}
}

Test(client_memory_settings, the_size_follows_from_the_memory_of_the_machine)
{
    cr_assert_eq(heldBytesOfGateway(json::object()), 48u * 1024 * 1024);
    cr_assert_eq(heldBytesOfGateway({ { "machineMemoryMb", 260 } }), 78'000'000u);
    cr_assert_eq(heldBytesOfGateway({ { "machineMemoryMb", 260 }, { "maxHeldBytes", 2'000'000 } }), 2'000'000u);
}

Test(client_memory_settings, all_daemons_have_them)
{
    const json limits { { "machineMemoryMb", 100 } };
    cr_assert_eq(settingsWith<entry_settings>(entryDocument, limits).value().limits.memory.heldBytes(), 30'000'000u);
    cr_assert_eq(settingsWith<side_settings>(entryDocument, limits).value().limits.memory.heldBytes(), 30'000'000u);
}

Test(client_memory_settings, invalid_values_are_refused)
{
    const std::vector<json> invalid { { { "machineMemoryMb", 1 } }, { { "machineMemoryMb", "260" } }, { { "maxHeldBytes", 1000 } }, { { "maxHeldBytes", -1 } } };
    for (const json& limits : invalid) {
        cr_assert(!settingsWith<gateway_settings>(gatewayDocument, limits), "%s", limits.dump().c_str());
        cr_assert(!settingsWith<entry_settings>(entryDocument, limits), "%s", limits.dump().c_str());
        cr_assert(!settingsWith<side_settings>(entryDocument, limits), "%s", limits.dump().c_str());
    }
    for (const char* key : { "maxConnections", "receiveTimeoutMs", "idleTimeoutMs" })
        cr_assert(!settingsWith<entry_settings>(entryDocument, { { key, 1 } }), "%s", key);
}
