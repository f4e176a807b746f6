/// A hangup signal does not end a daemon that does not reload its settings.
#include "base/endpoint.hpp"
#include "loop/gobject_ptr.hpp"
#include "support/test_host.hpp"
#include "support/wait.hpp"

#include <criterion/criterion.h>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <gio/gio.h>
#include <nlohmann/json.hpp>

using namespace bilberryseam;

namespace {
constexpr milliseconds testTimeout { 10000 };

std::string addressOf(uint16_t port)
{
    return ip_endpoint { tests::testHost(), port }.toString();
}

bool acceptsConnections(uint16_t port)
{
    const auto client = gobject_ptr<GSocketClient>::adopt(g_socket_client_new());
    GSocketConnection* connection = g_socket_client_connect_to_host(client.get(), tests::testHost().c_str(), port, nullptr, nullptr);
    if (connection)
        g_object_unref(connection);
    return connection != nullptr;
}

/// Starts the daemon on this port and the next, and sends it a hangup while it serves.
void checkSurvivesHangup(const std::string& program, uint16_t port)
{
    const std::string path = std::filesystem::temp_directory_path() / ("bilberryseam-hangup-" + std::to_string(getpid()));
    std::ofstream(path) << nlohmann::json { { "name", "daemon" }, { "region", "north" }, { "listen", addressOf(port) }, { "operatorListen", addressOf(static_cast<uint16_t>(port + 1)) }, { "platform", { { "log", addressOf(static_cast<uint16_t>(port + 2)) } } } };
    const std::string executable = std::string(BILBERRYSEAM_BINARIES) + "/" + program;
    const auto process = gobject_ptr<GSubprocess>::adopt(g_subprocess_new(G_SUBPROCESS_FLAGS_STDERR_SILENCE, nullptr, executable.c_str(), "--settings", path.c_str(), nullptr));
    tests::runUntil([&] { return acceptsConnections(port); }, testTimeout, "the daemon to listen");
    g_subprocess_send_signal(process.get(), SIGHUP);
    tests::runFor(milliseconds(500));
    const bool isRunning = acceptsConnections(port);
    g_subprocess_send_signal(process.get(), SIGTERM);
    g_subprocess_wait(process.get(), nullptr, nullptr);
    std::filesystem::remove(path);
    cr_assert(isRunning, "%s has exited", program.c_str());
    cr_assert(g_subprocess_get_successful(process.get()));
}
}

Test(hangup, does_not_end_an_entry)
{
    checkSurvivesHangup("bilberryseam-entry", 1590);
}

Test(hangup, does_not_end_a_side)
{
    checkSurvivesHangup("bilberryseam-side", 1595);
}
