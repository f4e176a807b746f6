/// The fakes of the platform's targets: silences, software versions and resumed streams.
#include "support/deployment_fixture.hpp"

#include <criterion/criterion.h>

using namespace bilberryseam;
using namespace bilberryseam::tests;
using nlohmann::json;

namespace {
caller_ptr sendTo(http1::client& client, const ip_endpoint& address, const std::string& target, http1::header_list headers = {}, const std::string& body = "")
{
    const auto exchange = std::make_shared<caller_exchange>();
    http1::client_call::callbacks callbacks;
    callbacks.onHead = [exchange](const http1::response_head& head) {
        exchange->head = head;
        exchange->hasHead = true;
    };
    callbacks.onBody = [exchange](std::string_view bytes) { exchange->body.append(bytes); };
    callbacks.onEnd = [exchange](http1::call_outcome outcome) {
        exchange->outcome = outcome;
        exchange->isFinished = true;
    };
    headers.emplace_back("Host", "target");
    exchange->call = client.send(address, { "POST", target, std::move(headers), body }, { true }, std::move(callbacks));
    return exchange;
}

std::string streamOf(int eventCount, std::string_view version = {})
{
    std::string text;
    for (int i = 1; i <= eventCount; ++i)
        text += fakes::platform_engine::eventText(i, version);
    return text;
}

constexpr milliseconds silence { 500 };
constexpr milliseconds withinSilence { 350 };

/// An engine and one stream from it, without a gateway.
struct single_stream {
    explicit single_stream(deployment_fixture& deployment, const fakes::engine_behaviour& behaviour = { .firstEventDelay = milliseconds(120), .headDelay = milliseconds(60), .eventPeriod = milliseconds(60) })
        : deployment(deployment)
        , engine(deployment.addTarget("m-1", "model"), behaviour)
        , caller(sendTo(client, engine.target().endpoint(), "/m/1"))
    {
    }

    /// Checks that nothing arrives during the silence, and that the stream is complete afterwards.
    void checkSilence(size_t receivedBytes)
    {
        const bool hadHead = caller->hasHead;
        deployment.runLoopFor(withinSilence);
        cr_assert_eq(caller->hasHead, hadHead);
        cr_assert_eq(caller->body.size(), receivedBytes);
        deployment.waitUntil([&] { return caller->isFinished; }, "the end of the stream");
        cr_assert_eq(caller->outcome, http1::call_outcome::Complete);
        cr_assert_eq(caller->body, streamOf(4));
    }

    deployment_fixture& deployment;
    http1::client client;
    fakes::platform_engine engine;
    caller_ptr caller;
};

void checkSilenceBeforeHead(deployment_fixture& deployment)
{
    single_stream test(deployment);
    deployment.waitUntil([&] { return !test.engine.arrivals().empty(); }, "the request");
    test.engine.target().fallSilent(silence);
    test.checkSilence(0);
}

void checkSilenceBetweenHeadAndBody(deployment_fixture& deployment)
{
    single_stream test(deployment);
    deployment.waitUntil([&] { return test.caller->hasHead; }, "the head");
    test.engine.target().fallSilent(silence);
    test.checkSilence(0);
}

void checkSilenceBetweenEvents(deployment_fixture& deployment)
{
    single_stream test(deployment);
    deployment.waitUntil([&] { return test.caller->body == streamOf(2); }, "two events");
    test.engine.target().fallSilent(silence);
    test.checkSilence(streamOf(2).size());
}

void checkSilenceInsideAnEvent(deployment_fixture& deployment)
{
    single_stream test(deployment);
    deployment.waitUntil([&] { return test.caller->body == streamOf(2); }, "two events");
    test.engine.fallSilentInsideEvents(silence);
    deployment.waitUntil([&] { return test.caller->body.size() > streamOf(2).size(); }, "the first half of the third event");
    cr_assert_lt(test.caller->body.size(), streamOf(3).size());
    test.checkSilence(test.caller->body.size());
}
}

Test(platform_engine, a_silence_at_any_point_of_a_response_loses_nothing)
{
    deployment_fixture deployment(240);
    checkSilenceBeforeHead(deployment);
    checkSilenceBetweenHeadAndBody(deployment);
    checkSilenceBetweenEvents(deployment);
    checkSilenceInsideAnEvent(deployment);
}

Test(platform_engine, a_silent_target_accepts_connections_and_responds_to_all_requests_afterwards)
{
    deployment_fixture deployment(241);
    http1::client client;
    auto& target = deployment.addTarget("t-1", "pages");
    target.fallSilent(silence);
    std::vector<caller_ptr> callers { sendTo(client, target.endpoint(), "/page/1", { { "X-Attempt-Id", "a" } }), sendTo(client, target.endpoint(), "/v1/stage-run", {}, R"({"items":[{}]})"),
        sendTo(client, target.endpoint(), "/page/2", { { "X-Expect-Instance", "t-2" } }) };
    deployment.runLoopFor(withinSilence);
    cr_assert_eq(target.requests().size(), 1);
    cr_assert_eq(target.batchCalls().size(), 1);
    cr_assert(std::none_of(callers.begin(), callers.end(), [](const auto& caller) { return caller->hasHead || caller->isFinished; }));
    deployment.waitUntil([&] { return std::all_of(callers.begin(), callers.end(), [](const auto& caller) { return caller->isFinished; }); }, "the responses");
    cr_assert_eq(callers[0]->body, "t-1");
    cr_assert_eq(callers[1]->head.status, 200);
    cr_assert_eq(callers[2]->head.status, 421);
}

Test(platform_engine, random_silences_follow_from_the_seed_and_lose_nothing)
{
    deployment_fixture deployment(242);
    http1::client client;
    std::vector<std::vector<milliseconds>> drawn;
    for (const unsigned seed : { 7U, 7U, 8U }) {
        fakes::platform_target target("m-1", deployment.allocateAddress());
        fakes::platform_engine engine(target, { .firstEventDelay = milliseconds(5), .eventPeriod = milliseconds(1), .silences = { .percent = 40, .shortest = milliseconds(3), .longest = milliseconds(30), .seed = seed } });
        for (int i = 0; i < 5; ++i) {
            const caller_ptr caller = sendTo(client, target.endpoint(), "/m/1");
            deployment.waitUntil([&] { return caller->isFinished; }, "the end of the stream");
            cr_assert_eq(caller->body, streamOf(4));
        }
        drawn.push_back(engine.drawnSilences());
    }
    cr_assert_eq(drawn[0], drawn[1]);
    cr_assert_neq(drawn[0], drawn[2]);
    for (const milliseconds item : drawn[0])
        cr_assert(item >= milliseconds(3) && item <= milliseconds(30));
}

Test(platform_engine, an_engine_starts_under_its_identifier_with_another_version_and_is_listed_late)
{
    deployment_fixture deployment(243);
    single_stream test(deployment, { .firstEventDelay = milliseconds(10), .restartDelay = milliseconds(100), .version = "v1", .isResuming = true });
    test.deployment.waitUntil([&] { return test.caller->isFinished; }, "the end of the stream");
    cr_assert_eq(test.caller->body, streamOf(4, "v1"));
    const auto record = [&] { return json::parse(test.deployment.store().newest("keyed.servers", "m-1")); };
    cr_assert_eq(record().at("version"), "v1");
    const int64_t before = wallNow().time_since_epoch().count();
    test.deployment.restartEngine(test.engine, "model", "v1.2", milliseconds(400));
    test.deployment.waitUntil([&] { return test.engine.isUp(); }, "the restart");
    const auto resumed = sendTo(test.client, test.engine.target().endpoint(), "/m/1", { { "Last-Event-Id", "3" } });
    test.deployment.waitUntil([&] { return resumed->isFinished; }, "the end of the resumed stream");
    cr_assert_eq(resumed->body, fakes::platform_engine::eventText(4, "v1.2"));
    cr_assert_eq(record().at("version"), "v1");
    test.deployment.waitUntil([&] { return record().at("version") == "v1.2"; }, "the record");
    cr_assert_geq(record().at("born").get<int64_t>(), before + 100);
}

Test(platform_engine, a_record_has_any_version_or_none)
{
    deployment_fixture deployment(244);
    constexpr size_t longSize = 10 * 1024;
    for (const json& version : { json(nullptr), json(12), json(std::string(longSize, 'v')), json("v1.2") }) {
        auto& target = deployment.addTarget("t-1", "pages", "north-1", version);
        cr_assert_eq(json::parse(deployment.store().newest("keyed.servers", target.id())).value("version", json(nullptr)), version);
    }
}
