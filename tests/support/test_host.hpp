/// Loopback address of the tests.
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
}
