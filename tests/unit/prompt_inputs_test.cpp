/// Inputs of the cost of a prompt: the streams that run at a target, and the gap objective of its service.
#include "deployment/deployment.hpp"
#include "gateway/target_attempt.hpp"

#include <criterion/criterion.h>

using namespace bilberryseam;

// Guards against streams that are counted before they begin, twice, or after they have ended.
Test(prompt_inputs, a_stream_counts_from_its_beginning_to_the_end_of_the_attempt)
{
    const auto target = std::make_shared<gateway::target_state>();
    {
        gateway::target_attempt first(target, 100, 0, 0, {});
        gateway::target_attempt second(target, 100, 0, 0, {});
        cr_assert_eq(target->runningStreams, 0u);
        first.beginStream();
        first.beginStream();
        cr_assert_eq(target->runningStreams, 1u);
        second.beginStream();
        cr_assert_eq(target->runningStreams, 2u);
    }
    cr_assert_eq(target->runningStreams, 0u);
    // An attempt that ends before its first byte was no stream.
    static_cast<void>(gateway::target_attempt(target, 100, 0, 0, {}));
    cr_assert_eq(target->runningStreams, 0u);
}

// The routes of the other streams at a target are not known, so the strictest objective counts.
Test(prompt_inputs, gap_objective_of_a_service_is_the_shortest_of_its_routes)
{
    deployment::configuration configuration;
    const auto addRoute = [&](const char* service, int gapMs) {
        deployment::route route;
        route.services = { { "other", 1 }, { service, 1 } };
        route.gapObjective = milliseconds(gapMs);
        configuration.routes.push_back(route);
    };
    addRoute("model", 500);
    addRoute("model", 0);
    addRoute("model", 400);
    addRoute("third", 100);
    cr_assert_eq(deployment::gapObjectiveOf(configuration, "model").count(), 400);
    cr_assert_eq(deployment::gapObjectiveOf(configuration, "other").count(), 100);
    cr_assert_eq(deployment::gapObjectiveOf(configuration, "none").count(), 0);
}
