/// Crowds of clients that ignore the limits, at each port of an entry and of a side. The processes stay within the memory of their
/// machines and answer an ordinary request while the crowd stays.
#include "support/check.hpp"
#include "support/client_crowd.hpp"
#include "support/cluster.hpp"
#include "wire/wire.hpp"

#include <criterion/criterion.h>

using namespace bilberryseam;
using namespace bilberryseam::tests;
using nlohmann::json;

namespace {
/// Largest body that an entry accepts by default.
constexpr size_t maxBody = 1024 * 1024;

const std::string callerHead = "POST /v1/pipelines/assistant HTTP/1.1\r\nHost: x\r\nBilberryseam-Account: acme\r\n";
const std::string operatorHead = "POST /drain HTTP/1.1\r\nHost: x\r\n";

/// An entry, a side and an engine.
struct entry_crowd_test {
    explicit entry_crowd_test(int slot, const json& behaviour = json::object(), int maxTokens = 16)
        : deployment(specOf(slot, behaviour, maxTokens))
        , entryListen(ip_endpoint::parse(deployment.entryAddress()).value())
        , entryOperators(ip_endpoint::parse(deployment.entryOperator()).value())
        , sideListen(ip_endpoint::parse(deployment.sideAddress("llm-1")).value())
        , sideOperators(ip_endpoint::parse(deployment.sideOperator("llm-1")).value())
        , entryWatch(deployment.processId("entry-0"), { entryListen.port, entryOperators.port })
        , sideWatch(deployment.processId("side-llm-1"), { sideListen.port, sideOperators.port })
    {
    }

    static cluster_spec specOf(int slot, const json& behaviour, int maxTokens)
    {
        cluster_spec spec;
        spec.slot = slot;
        spec.targets = { { .name = "llm-1", .service = "generate", .kind = "engine", .capacity = 1000, .behaviour = behaviour, .maxQueue = 1000 },
            { .name = "llm-2", .service = "ordinary", .kind = "engine" } };
        spec.pipelines = json::array({ pipelineOf("assistant", { "generate" }, maxTokens), pipelineOf("ordinary", { "ordinary" }, 16) });
        return spec;
    }

    void run(client_crowd& crowd)
    {
        crowd.run([this] {
            entryWatch.sample();
            sideWatch.sample();
        });
    }

    /// @param maxDescriptors  Descriptors that the clients may have each process open.
    void check(size_t maxDescriptors)
    {
        const auto ordinary = deployment.sendAndWait({ .pipeline = "ordinary" });
        cr_log_info("ordinary request: status %d, %s", ordinary->reply.status, ordinary->reply.body.c_str());
        checkEqual(ordinary->outcomeName(), "answered");
        cr_assert(deployment.get(deployment.entryOperator(), "/readyz")["ready"].get<bool>());
        cr_assert(deployment.get(deployment.sideOperator("llm-1"), "/readyz")["ready"].get<bool>());
        for (process_watch* watch : { &entryWatch, &sideWatch }) {
            watch->sample();
            watch->log();
            cr_assert(watch->isAlive());
            cr_assert_leq(watch->peakBytes(), maxProcessBytes, "%zu bytes, %zu of them unread", watch->peakBytes(), watch->peakUnreadBytes());
            cr_assert_leq(watch->peakDescriptors(), maxDescriptors + otherDescriptors, "%zu descriptors", watch->peakDescriptors());
        }
    }

    cluster deployment;
    ip_endpoint entryListen;
    ip_endpoint entryOperators;
    ip_endpoint sideListen;
    ip_endpoint sideOperators;
    process_watch entryWatch;
    process_watch sideWatch;
};

void runBodies(body_kind kind, int slot, const ip_endpoint entry_crowd_test::*server, const std::string& head)
{
    entry_crowd_test test(slot);
    client_crowd crowd(test.*server, 160, bodyScript(kind, head, maxBody));
    test.run(crowd);
    test.check(160);
}

void runEntryCallers(body_kind kind, int slot)
{
    runBodies(kind, slot, &entry_crowd_test::entryListen, callerHead);
}

void runEntryOperators(body_kind kind, int slot)
{
    runBodies(kind, slot, &entry_crowd_test::entryOperators, operatorHead);
}

void runSideSessions(body_kind kind, int slot)
{
    runBodies(kind, slot, &entry_crowd_test::sideListen, operatorHead);
}

void runSideOperators(body_kind kind, int slot)
{
    runBodies(kind, slot, &entry_crowd_test::sideOperators, operatorHead);
}
}

BILBERRYSEAM_BODY_CROWD_TESTS(entry_caller_crowd, runEntryCallers, 100)
BILBERRYSEAM_BODY_CROWD_TESTS(entry_operator_crowd, runEntryOperators, 105)
BILBERRYSEAM_BODY_CROWD_TESTS(side_session_crowd, runSideSessions, 110)
BILBERRYSEAM_BODY_CROWD_TESTS(side_operator_crowd, runSideOperators, 115)

Test(entry_caller_crowd, four_bodies_without_end)
{
    entry_crowd_test test(120);
    client_crowd crowd(test.entryListen, 4, chunkedScript(callerHead, 200 * maxBody, 64 * 1024));
    test.run(crowd);
    test.check(4);
}

Test(entry_caller_crowd, whole_bodies_that_wait_for_a_slow_target)
{
    entry_crowd_test test(121, json { { "latencyMs", 3000 } });
    const std::string begin = R"({"input":{"prompt":")";
    const std::string end = "\"}}";
    const size_t body = 700 * 1024;
    client_script script = lengthScript(callerHead, body, body - begin.size() - end.size());
    script.start.append(begin);
    script.end.append(end);
    client_crowd crowd(test.entryListen, 120, std::move(script));
    test.run(crowd);
    // A descriptor for each client, and one for its call to the target.
    test.check(240);
}

Test(entry_caller_crowd, responses_that_are_not_read)
{
    entry_crowd_test test(122, json::object(), 60000);
    const std::string body = R"({"input":{"prompt":"much"},"stream":true})";
    client_script script = lengthScript(callerHead, body.size(), 0);
    script.start.append(body);
    script.isUnread = true;
    client_crowd crowd(test.entryListen, 200, std::move(script));
    test.run(crowd);
    test.check(400);
}

Test(entry_caller_crowd, requests_behind_one_another)
{
    entry_crowd_test test(123, json { { "latencyMs", 3000 } });
    const std::string body = R"({"input":{"prompt":"much"}})";
    client_script script = lengthScript(callerHead, body.size(), 0);
    script.start.append(body);
    script.unit = script.start;
    script.repetitions = 400 * 1024 / script.unit.size();
    client_crowd crowd(test.entryListen, 500, std::move(script));
    test.run(crowd);
    test.check(1000);
}

Test(entry_caller_crowd, the_largest_request_is_served_in_calm)
{
    entry_crowd_test test(124);
    const std::string begin = R"({"input":{"prompt":")";
    const std::string end = "\"}}";
    client_script script = lengthScript(callerHead, maxBody, maxBody - begin.size() - end.size());
    script.start.append(begin);
    script.end.append(end);
    client_crowd crowd(test.entryListen, 1, std::move(script));
    test.run(crowd);
    cr_assert_eq(crowd.countResponses("HTTP/1.1 200"), 1u);
    test.check(1);
}

Test(side_session_crowd, unfinished_messages)
{
    entry_crowd_test test(125);
    client_crowd crowd(test.sideListen, 40, unfinishedMessageScript("", 7 * 1024 * 1024));
    test.run(crowd);
    test.check(40);
}

Test(side_session_crowd, unfinished_messages_after_a_hello)
{
    entry_crowd_test test(126);
    client_crowd crowd(test.sideListen, 40, unfinishedMessageScript("", 7 * 1024 * 1024), [](size_t index) {
        return unfinishedMessageScript(wire::encodeHello({ wire::protocolVersion, { 9, index }, "crowd", {}, 0 }), 7 * 1024 * 1024).start;
    });
    test.run(crowd);
    test.check(40);
}

Test(entry_caller_crowd, deeply_nested_input)
{
    entry_crowd_test test(127);
    const std::string begin = R"({"input":)";
    client_script script = lengthScript(callerHead, maxBody - 1, 0);
    script.start.append(begin);
    script.unit = std::string(1024, '[');
    script.repetitions = maxBody / 1024 - 1;
    script.end = std::string(1024 - begin.size() - 1, '[');
    client_crowd crowd(test.entryListen, 2, std::move(script));
    test.run(crowd);
    test.check(2);
}

Test(entry_caller_crowd, deeply_nested_input_that_is_closed)
{
    entry_crowd_test test(128);
    constexpr size_t depth = 200 * 1024;
    const std::string body = R"({"input":)" + std::string(depth, '[') + std::string(depth, ']') + "}";
    client_script script = lengthScript(callerHead, body.size(), 0);
    script.start.append(body);
    client_crowd crowd(test.entryListen, 2, std::move(script));
    test.run(crowd);
    test.check(2);
}

Test(entry_caller_crowd, many_small_values)
{
    entry_crowd_test test(129, json { { "latencyMs", 3000 } });
    std::string body = R"({"input":[0)";
    for (size_t i = 0; i < 400 * 1024; ++i)
        body.append(",0");
    body.append("]}");
    client_script script = lengthScript(callerHead, body.size(), 0);
    script.start.append(body);
    client_crowd crowd(test.entryListen, 40, std::move(script));
    test.run(crowd);
    test.check(80);
}

Test(side_session_crowd, a_deeply_nested_message)
{
    entry_crowd_test test(130);
    const std::string hello = wire::encodeHello({ wire::protocolVersion, { 9, 1 }, "crowd", {}, 0 });
    client_crowd crowd(test.sideListen, 1, wholeMessageScript(hello, std::string(1024 * 1024, '\x81')));
    test.run(crowd);
    test.check(1);
}
