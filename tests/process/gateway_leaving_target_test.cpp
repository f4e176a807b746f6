/// Targets that state in a response that they leave, or that they want no requests for a while.
#include "platform/ingress.hpp"
#include "support/deployment_fixture.hpp"

#include <criterion/criterion.h>

using namespace bilberryseam;
using namespace bilberryseam::tests;

namespace {
/// Two targets, of which the first adds header fields to its responses.
struct two_targets {
    explicit two_targets(int slot)
        : deployment(slot)
        , first(deployment.addTarget("t-1", "pages"))
        , second(deployment.addTarget("t-2", "pages"))
    {
        deployment.configure(3, { deployment.route("/p/", "idempotent", "pages") });
        deployment.startGateway();
        deployment.waitUntilReady();
    }

    void respond(unsigned status, http1::header_list fields)
    {
        first.setRequestHandler([this, status, fields](std::shared_ptr<http1::exchange> exchange) {
            http1::header_list headers = first.responseHeaders(*exchange);
            headers.insert(headers.end(), fields.begin(), fields.end());
            exchange->respond(status, std::move(headers), "");
        });
    }

    /// Sends requests until the first target has got one.
    void sendUntilFirstIsUsed()
    {
        for (int i = 0; i < 40 && first.requests().empty(); ++i)
            cr_assert_eq(deployment.sendAndWait("GET", "/p/" + std::to_string(i))->head.status, 200);
        cr_assert(!first.requests().empty());
    }

    /// @return How many of further requests reach the first target.
    size_t countAtFirst(int requests)
    {
        const size_t before = first.requests().size();
        for (int i = 0; i < requests; ++i)
            cr_assert_eq(deployment.sendAndWait("GET", "/p/after-" + std::to_string(i))->head.status, 200);
        return first.requests().size() - before;
    }

    deployment_fixture deployment;
    fakes::platform_target& first;
    fakes::platform_target& second;
};
}

Test(gateway_leaving_target, a_target_that_says_in_a_response_that_it_leaves_gets_no_new_requests)
{
    two_targets targets(220);
    targets.respond(200, { { "Server-Leaving", "1" } });
    targets.sendUntilFirstIsUsed();
    cr_assert_eq(targets.countAtFirst(20), 0u);
}

Test(gateway_leaving_target, a_target_that_says_in_a_failure_that_it_leaves_gets_no_new_requests_while_the_store_is_down)
{
    two_targets targets(221);
    targets.deployment.store().setFaults({ true, false, 0 });
    targets.respond(503, { { "X-Not-Executed", "1" }, { "Server-Leaving", "1" } });
    targets.sendUntilFirstIsUsed();
    cr_assert_eq(targets.countAtFirst(20), 0u);
}

Test(gateway_leaving_target, a_target_that_is_listed_anew_at_the_address_of_a_leaving_one_is_used)
{
    two_targets targets(222);
    targets.respond(200, { { "Server-Leaving", "1" } });
    targets.sendUntilFirstIsUsed();
    targets.first.setRequestHandler({});
    targets.deployment.listTarget(targets.first, "pages", "ready", "north-1", "v1", 1772518544000);
    targets.deployment.runLoopFor(milliseconds(1500));
    cr_assert_gt(targets.countAtFirst(20), 0u);
}

Test(gateway_leaving_target, other_values_do_not_take_a_target_out)
{
    two_targets targets(223);
    targets.respond(200, { { "Server-Leaving", "0" } });
    targets.sendUntilFirstIsUsed();
    cr_assert_gt(targets.countAtFirst(20), 0u);
}

Test(gateway_leaving_target, a_target_that_asks_for_a_pause_gets_no_requests_meanwhile)
{
    two_targets targets(224);
    targets.respond(503, { { "X-Not-Executed", "1" }, { "Retry-After", "1.5" } });
    targets.sendUntilFirstIsUsed();
    targets.deployment.runLoopFor(milliseconds(200));
    cr_assert_eq(targets.countAtFirst(20), 0u);
    targets.first.setRequestHandler({});
    targets.deployment.runLoopFor(milliseconds(2200));
    cr_assert_gt(targets.countAtFirst(20), 0u);
}

Test(gateway_leaving_target, a_request_is_refused_at_once_while_all_targets_ask_for_a_pause)
{
    two_targets targets(225);
    for (auto* target : { &targets.first, &targets.second })
        target->setRequestHandler([target](std::shared_ptr<http1::exchange> exchange) { exchange->respond(503, { { "X-Not-Executed", "1" }, { "Retry-After", "4" } }, ""); });
    cr_assert_eq(targets.deployment.sendAndWait("GET", "/p/1")->head.status, 503);
    const size_t sends = targets.first.requests().size() + targets.second.requests().size();
    const time_point sentAt = monotonicNow();
    const auto response = targets.deployment.sendAndWait("GET", "/p/2");
    cr_assert_eq(response->head.status, 503);
    cr_assert_lt(monotonicNow() - sentAt, milliseconds(1000));
    cr_assert_geq(std::stod(response->header("Retry-After")), 2.0);
    cr_assert_eq(targets.first.requests().size() + targets.second.requests().size(), sends);
}

Test(gateway_leaving_target, a_pause_that_is_no_plausible_number_is_ignored_or_bounded)
{
    for (const char* value : { "-4", "nan", "inf", "soon", "Fri, 31 Dec 1999 23:59:59 GMT", "", "1e300" }) {
        http1::response_head head { 503, { { "X-Not-Executed", "1" }, { "Retry-After", value } } };
        const auto pause = platform::decodePause(head).length;
        cr_assert(!pause || *pause <= platform::longestPause, "'%s'", value);
    }
    cr_assert_eq(platform::decodePause({ 503, { { "X-Not-Executed", "1" }, { "Retry-After", "100000" } } }).length.value(), platform::longestPause);
    cr_assert(!platform::decodePause({ 200, { { "Retry-After", "4" } } }).length);
}
