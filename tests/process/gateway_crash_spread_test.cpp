/// What messages about crashes cost each of many gateways.
#include "support/engine_fleet.hpp"

#include <cmath>
#include <criterion/criterion.h>
#include <sstream>

using namespace bilberryseam;
using namespace bilberryseam::tests;

namespace {
fakes::engine_behaviour crashingOn(std::set<std::string> segments)
{
    fakes::engine_behaviour behaviour;
    behaviour.crashingSegments = std::move(segments);
    return behaviour;
}

/// @return The sum of a counter's series with this label text.
double counterOf(const std::string& metrics, const std::string& name, const std::string& label)
{
    double sum = 0;
    std::istringstream lines(metrics);
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with("bilberryseam_" + name + "{") && line.find(label) != std::string::npos)
            sum += std::stod(line.substr(line.rfind(' ') + 1));
    }
    return sum;
}
}

Test(gateway_crash_spread, a_crash_report_reaches_all_gateways_and_costs_each_the_logarithm_of_their_number)
{
    constexpr size_t gatewayCount = 12;
    engine_fleet fleet(331, 8, gatewayCount, crashingOn({ "bad" }));
    fleet.deployment.runLoopFor(milliseconds(2500));
    for (size_t gateway = 0; gateway < 4; ++gateway) {
        fleet.sendAndWait({ "system", "subject", "bad" }, gateway);
        // Crashes that are closer together count as one.
        fleet.deployment.runLoopFor(milliseconds(200));
    }
    const size_t crashes = fleet.crashCount();
    cr_assert_geq(crashes, 3u);
    fleet.deployment.runLoopFor(milliseconds(1000));
    for (size_t gateway = 0; gateway < gatewayCount; ++gateway)
        cr_assert_eq(fleet.sendAndWait({ "system", "subject", "bad" }, gateway)->head.status, 503, "gateway %zu does not refuse the segment", gateway);
    cr_assert_eq(fleet.crashCount(), crashes);
    const double bound = static_cast<double>(crashes) * std::ceil(std::log2(gatewayCount));
    for (size_t gateway = 0; gateway < gatewayCount; ++gateway) {
        const std::string metrics = fleet.deployment.metricsOf(gateway);
        const double sent = counterOf(metrics, "entry_messages_total", "direction=\"broadcast\",kind=\"crash_report\"");
        cr_assert_leq(sent, bound, "gateway %zu sent %.0f crash reports for %zu crashes", gateway, sent, crashes);
    }
}
