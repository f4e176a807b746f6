/// Which configuration an entry passes to another that has just connected.
#include "gateway/configuration_exchange.hpp"

#include <criterion/criterion.h>
#include <optional>

using namespace bilberryseam;
using gateway::configuration_exchange;

namespace {
struct exchange_test {
    metrics counters;
    std::string received;
    configuration_exchange exchange { counters, [this](std::string_view text) { received = text; } };

    /// @return The text in the response to a query by an entry with a version.
    std::optional<std::string> responseTo(uint64_t version)
    {
        std::optional<std::string> text;
        const bool isHandled = exchange.handle(wire::configuration_offset { version, true }, [&](wire::message reply) { text = std::get<wire::configuration_records>(reply).snapshot; });
        cr_assert(isHandled);
        return text;
    }
};
}

// Guards against a newer configuration that an entry keeps to itself, and against an older one that it passes on.
Test(configuration_exchange, only_a_newer_configuration_is_passed_on)
{
    exchange_test test;
    cr_assert(test.responseTo(0) == "", "nothing is in force");
    test.exchange.setInForce(4, "text of 4");
    cr_assert(test.responseTo(0) == "text of 4");
    cr_assert(test.responseTo(3) == "text of 4");
    cr_assert(test.responseTo(4) == "");
    cr_assert(test.responseTo(5) == "");
}

Test(configuration_exchange, a_response_is_received_unless_it_is_empty)
{
    exchange_test test;
    cr_assert(test.exchange.handle(wire::configuration_records {}, {}));
    cr_assert(test.received.empty());
    cr_assert(test.exchange.handle(wire::configuration_records { "text of 5", {} }, {}));
    cr_assert(test.received == "text of 5");
    cr_assert_not(test.exchange.handle(wire::stream_query {}, {}));
}
