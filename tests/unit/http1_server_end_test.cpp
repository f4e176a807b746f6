/// How the HTTP/1.1 server ends connections, on real sockets in one event loop.
#include "http1/server.hpp"
#include "support/raw_client.hpp"
#include "support/test_host.hpp"
#include "support/wait.hpp"

#include <algorithm>
#include <criterion/criterion.h>
#include <csignal>
#include <functional>
#include <string>
#include <vector>

using namespace bilberryseam;
using namespace bilberryseam::http1;
using tests::raw_client;

namespace {
constexpr milliseconds testTimeout { 10000 };

const std::string getRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

/// @return A separate port for each test, below the range of ephemeral ports.
ip_endpoint endpointOf(uint16_t test)
{
    std::signal(SIGPIPE, SIG_IGN);
    return { tests::testHost(), static_cast<uint16_t>(1500 + test) };
}

void runUntil(const std::function<bool()>& condition, const char* what)
{
    tests::runUntil(condition, testTimeout, what);
}
}

Test(http1_server_end, a_connection_that_ends_before_its_response_is_reported)
{
    std::shared_ptr<exchange> held;
    server testServer(
        endpointOf(40), [] { return server_limits(); }, [&](std::shared_ptr<exchange> request) { held = std::move(request); });
    std::vector<std::string> reports;
    testServer.setOnUnfinished([&](const unfinished_connection& connection) {
        reports.push_back(std::string(connection.reason) + " " + (connection.openRequest ? connection.openRequest->target : "") + " " + std::to_string(connection.unansweredBytes) + " " + std::to_string(connection.unsentBytes));
    });
    raw_client idle(endpointOf(40));
    raw_client open(endpointOf(40));
    raw_client halfRead(endpointOf(40));
    open.stream->write(getRequest);
    halfRead.stream->write("GET /half");
    runUntil([&] { return held != nullptr && testServer.connectionCount() == 3; }, "the requests");
    tests::runFor(milliseconds(50));
    testServer.reportUnfinished("stop");
    std::sort(reports.begin(), reports.end());
    cr_assert_eq(reports.size(), 2u);
    cr_assert_str_eq(reports[0].c_str(), "stop  9 0");
    cr_assert_str_eq(reports[1].c_str(), ("stop / " + std::to_string(getRequest.size()) + " 0").c_str());
}
