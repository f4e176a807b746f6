/// Gateways that place long prompts beside running streams.
#include "fakes/platform_engine.hpp"
#include "support/deployment_fixture.hpp"

#include <criterion/criterion.h>
#include <list>

using namespace bilberryseam;
using namespace bilberryseam::tests;
using nlohmann::json;

namespace {
/// Two gateways in front of an engine with two requests that have not begun to respond, and of one with a running stream. By load,
/// a request goes to the second one.
class prompt_fleet {
public:
    prompt_fleet(int slot, bool isEnabled)
        : deployment(slot)
    {
        const json changes { { "timeout_ms", 30000 }, { "target_latency_ms", 30000 }, { "gap_aim_ms", 200 }, { "resumable", true } };
        const json service { { "name", "model" }, { "engine", { { "kv_capacity_tokens", 600000 }, { "stride", 4 } } } };
        fakes::engine_behaviour waiting;
        waiting.firstEventDelay = seconds(20);
        m_engines.emplace_back(deployment.addTarget("waiting", "model"), waiting);
        deployment.configure(3, { deployment_fixture::route("/m/", "streaming", "model", changes) }, { service });
        for (size_t i = 0; i < 2; ++i)
            deployment.startGateway(json::object(), { { "loadSharing", true }, { "longPromptPlacement", isEnabled } });
        for (size_t i = 0; i < 2; ++i) {
            deployment.waitUntilReady(i);
            deployment.waitUntil([&] { return deployment.metricsOf(i).find("\nbilberryseam_load_entries_counted 2") != std::string::npos; }, "the load of both gateways");
        }
        static_cast<void>(send(0, 400));
        static_cast<void>(send(0, 400));
        deployment.waitUntil([this] { return m_engines.front().arrivals().size() == 2; }, "two requests that wait");
        fakes::engine_behaviour streaming;
        streaming.eventCount = 4000;
        streaming.eventPeriod = milliseconds(20);
        m_engines.emplace_back(deployment.addTarget("streaming", "model"), streaming);
        // The gateways read the target list, and then exchange their load.
        deployment.runLoopFor(milliseconds(1500));
        const auto stream = send(0, 400);
        deployment.waitUntil([&] { return !stream->body.empty(); }, "a running stream");
        cr_assert_eq(m_engines.back().arrivals().size(), 1u);
        deployment.runLoopFor(milliseconds(800));
    }

    caller_ptr send(size_t gateway, int promptTokens)
    {
        ++m_sent;
        const std::string tokens = std::to_string(promptTokens);
        m_callers.push_back(deployment.send("POST", "/m/" + std::to_string(m_sent), { { "X-Model", "m" }, { "X-Token-Counts", tokens + ",400" }, { "X-Prompt-Prefix", "own" + std::to_string(m_sent) + ":" + tokens }, { "X-Deadline-Ms", "25000" } }, "question", gateway));
        return m_callers.back();
    }

    /// Sends a request through the gateway that has none, and waits until an engine has it.
    /// @return Whether it went to the engine with the stream.
    [[nodiscard]] bool isSentToStream(int promptTokens)
    {
        const size_t waiting = m_engines.front().arrivals().size();
        const size_t streaming = m_engines.back().arrivals().size();
        static_cast<void>(send(1, promptTokens));
        deployment.waitUntil([&] { return m_engines.front().arrivals().size() + m_engines.back().arrivals().size() > waiting + streaming; }, "the request at an engine");
        return m_engines.back().arrivals().size() > streaming;
    }

    deployment_fixture deployment;

private:
    std::list<fakes::platform_engine> m_engines;
    std::vector<caller_ptr> m_callers;
    size_t m_sent = 0;
};

constexpr int longPrompt = 17000;
constexpr int shortPrompt = 400;
}

// Guards against a gateway that does not know the streams of the others, and sends a long prompt to an engine where it makes them
// late.
Test(gateway_long_prompts, long_prompt_avoids_the_stream_of_another_gateway)
{
    prompt_fleet fleet(285, true);
    cr_assert_not(fleet.isSentToStream(longPrompt));
    const std::string metrics = fleet.deployment.metricsOf(1);
    cr_assert_neq(metrics.find("bilberryseam_prompt_moves_total{reason=\"pause\"} 1"), std::string::npos);
    cr_assert_neq(fleet.deployment.logOf(1).find("\"instead_of\":\"streaming\""), std::string::npos);
}

// Guards against a cost that also moves short prompts, and against forecasts that are not compared with what happens.
Test(gateway_long_prompts, short_prompt_goes_where_the_load_is_least)
{
    prompt_fleet fleet(286, true);
    cr_assert(fleet.isSentToStream(shortPrompt));
    fleet.deployment.waitUntil([&] { return fleet.deployment.metricsOf(1).find("bilberryseam_first_event_error_seconds_count{service=\"model\"} 1") != std::string::npos; }, "the error of the predicted first event");
    cr_assert_eq(fleet.deployment.metricsOf(1).find("prompt_moves_total"), std::string::npos);
}

// Guards against a choice that changes although the setting does not enable it.
Test(gateway_long_prompts, long_prompt_goes_by_load_unless_the_setting_enables_it)
{
    prompt_fleet fleet(287, false);
    cr_assert(fleet.isSentToStream(longPrompt));
    for (size_t i = 0; i < 2; ++i) {
        cr_assert_eq(fleet.deployment.metricsOf(i).find("prompt_moves_total"), std::string::npos);
        cr_assert_eq(fleet.deployment.metricsOf(i).find("first_event_error_seconds"), std::string::npos);
    }
}
