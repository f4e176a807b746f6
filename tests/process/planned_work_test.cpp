/// Configurations, SIGHUP and SIGTERM in series at entries and sides: each request that was read gets an answer or a true refusal.
#include "loop/timer.hpp"
#include "support/check.hpp"
#include "support/cluster.hpp"
#include "support/raw_client.hpp"

#include <criterion/criterion.h>
#include <csignal>
#include <list>
#include <random>

using namespace bilberryseam;
using namespace bilberryseam::tests;
using nlohmann::json;

namespace {
constexpr uint32_t tokens = 40;

cluster_spec mixedSpec(int slot)
{
    cluster_spec spec;
    spec.slot = slot;
    spec.entries = 2;
    const json silence { { "seed", slot }, { "minMs", 1000 }, { "maxMs", 1000 } };
    for (const char* name : { "rank-1", "rank-2" })
        spec.targets.push_back({ .name = name, .service = "rank", .kind = "reranker", .capacity = 64, .behaviour = { { "latencyMs", 50 } } });
    for (const char* name : { "llm-1", "llm-2" })
        spec.targets.push_back({ .name = name, .service = "generate", .kind = "engine", .capacity = 64, .behaviour = { { "tokenMs", 10 }, { "silence", silence } } });
    spec.pipelines = json::array({ pipelineOf("assistant", { "rank", "generate" }, tokens) });
    spec.sideLimits = { { "targetSilenceMs", 300 } };
    return spec;
}

std::string requestText(const std::string& headers = "", const std::string& prompt = "hello")
{
    const std::string body = json { { "input", { { "prompt", prompt } } }, { "stream", false } }.dump();
    return "POST /v1/pipelines/assistant HTTP/1.1\r\nHost: entry\r\nBilberryseam-Account: acme\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// @return The bytes up to and including the empty line.
std::string headOf(const std::string& request)
{
    return request.substr(0, request.find("\r\n\r\n") + 4);
}

cluster_spec stopSpec(int slot, int tokenMs, int drainTimeoutMs)
{
    cluster_spec spec;
    spec.slot = slot;
    spec.targets = { { .name = "llm-1", .service = "generate", .kind = "engine", .capacity = 64, .behaviour = { { "tokenMs", tokenMs } } } };
    spec.pipelines = json::array({ pipelineOf("assistant", { "generate" }, tokens) });
    spec.entryLimits = { { "drainTimeoutMs", drainTimeoutMs } };
    return spec;
}

std::unique_ptr<raw_client> connectTo(const cluster& deployment)
{
    return std::make_unique<raw_client>(ip_endpoint::parse(deployment.entryAddress()).value());
}

/// A caller that keeps its connection and sends a request after each response.
class kept_caller {
public:
    kept_caller(ip_endpoint entry, uint64_t seed)
        : m_entry(std::move(entry))
        , m_random(seed)
    {
        waitAndSend();
    }

    [[nodiscard]] bool isIdle() const { return !m_isOpen; }
    void stop() { m_isStopping = true; }
    int sent = 0;
    int answered = 0;
    /// Connections that ended before any byte of a response, although the request was sent on an established connection.
    int closedOnIdle = 0;
    std::vector<std::string> lost;

private:
    void waitAndSend()
    {
        m_timer.startOnce(milliseconds(std::uniform_int_distribution<int>(0, 400)(m_random)), [this] {
            if (!m_isStopping)
                send();
        });
    }

    void send()
    {
        if (!m_client || !m_client->stream->isOpen() || m_client->isClosed)
            m_client = std::make_unique<raw_client>(m_entry);
        m_client->received.clear();
        m_isOpen = true;
        ++sent;
        m_client->stream->write(requestText("", "request " + std::to_string(sent)));
        m_poll.startEvery(milliseconds(5), [this] { check(); });
    }

    void check()
    {
        const std::string& text = m_client->received;
        const bool isWhole = text.find("\"outcome\"") != std::string::npos && text.ends_with("}\n");
        if (!isWhole && !m_client->isClosed)
            return;
        m_poll.stop();
        m_isOpen = false;
        if (isWhole && text.starts_with("HTTP/1.1 200"))
            ++answered;
        else if (m_client->closeReason == http1::close_reason::ConnectFailed)
            --sent;
        else if (text.empty())
            ++closedOnIdle;
        else
            lost.push_back(text);
        if (m_client->isClosed || text.find("Connection: close") != std::string::npos)
            m_client.reset();
        waitAndSend();
    }

    ip_endpoint m_entry;
    std::mt19937_64 m_random;
    std::unique_ptr<raw_client> m_client;
    timer m_timer;
    timer m_poll;
    bool m_isOpen = false;
    bool m_isStopping = false;
};

void checkAllAnswered(const std::list<kept_caller>& callers)
{
    int sent = 0;
    int answered = 0;
    int closedOnIdle = 0;
    std::string lost;
    for (const kept_caller& caller : callers) {
        sent += caller.sent;
        answered += caller.answered;
        closedOnIdle += caller.closedOnIdle;
        for (const std::string& text : caller.lost)
            lost += text + "\n";
    }
    cr_log_info("sent %d, answered %d, connections closed without a response %d", sent, answered, closedOnIdle);
    cr_assert(lost.empty() && answered == sent, "of %d requests %d were answered, %d got a closed connection; others:\n%s", sent, answered, closedOnIdle, lost.c_str());
}
}

Test(planned_work, no_request_is_lost_beside_a_configuration_hangup_and_stop_of_an_entry_and_a_side_in_series, .timeout = 120)
{
    cluster deployment(mixedSpec(310));
    std::list<kept_caller> callers;
    for (uint64_t i = 0; i < 16; ++i)
        callers.emplace_back(ip_endpoint::parse(deployment.entryAddress(static_cast<int>(i % 2))).value(), i);
    deployment.runFor(milliseconds(1000));
    for (int round = 0; round < 3; ++round) {
        const std::string side = round % 2 == 0 ? "side-rank-1" : "side-llm-1";
        deployment.appendNote({ { "schema", 1 }, { "note", "round " + std::to_string(round) }, { "added", { { "accounts", json::array({ { { "name", "other-" + std::to_string(round) } } }) } } } });
        deployment.runFor(milliseconds(1000));
        for (const std::string& process : { std::string("entry-0"), side })
            deployment.signal(process, SIGHUP);
        deployment.runFor(milliseconds(1000));
        for (const std::string& process : { std::string("entry-0"), side })
            deployment.signal(process, SIGTERM);
        deployment.waitUntil([&] { return deployment.hasExited(side); }, "the side to exit");
        deployment.waitUntil([&] { return deployment.hasExited("entry-0"); }, "the entry to exit");
        deployment.start("entry-0");
        deployment.start(side);
        deployment.runFor(milliseconds(1000));
    }
    deployment.waitForTargets();
    for (kept_caller& caller : callers)
        caller.stop();
    deployment.waitUntil([&] { return std::ranges::all_of(callers, &kept_caller::isIdle); }, "the last responses");
    checkAllAnswered(callers);
}

Test(planned_work, requests_in_parts_are_answered_by_a_stopping_entry)
{
    cluster deployment(stopSpec(311, 20, 60000));
    const auto inHeader = connectTo(deployment);
    const auto inBody = connectTo(deployment);
    const auto expecting = connectTo(deployment);
    const std::string text = requestText();
    inHeader->stream->write(text.substr(0, 40));
    inBody->stream->write(text.substr(0, text.size() - 5));
    const std::string expectingText = requestText("Expect: 100-continue\r\n");
    expecting->stream->write(headOf(expectingText));
    deployment.waitUntil([&] { return expecting->received.starts_with("HTTP/1.1 100"); }, "the interim response");
    deployment.signal("entry-0", SIGTERM);
    deployment.runFor(milliseconds(2500));
    inHeader->stream->write(text.substr(40));
    inBody->stream->write(text.substr(text.size() - 5));
    expecting->stream->write(expectingText.substr(headOf(expectingText).size()));
    for (const auto* client : { inHeader.get(), inBody.get(), expecting.get() })
        deployment.waitUntil([&] { return client->isClosed; }, "the end of a connection");
    cr_assert_eq(inHeader->count("HTTP/1.1 200"), 1u, "received \"%s\"", inHeader->received.c_str());
    cr_assert_eq(inBody->count("HTTP/1.1 200"), 1u, "received \"%s\"", inBody->received.c_str());
    cr_assert_eq(expecting->count("HTTP/1.1 200"), 1u, "received \"%s\"", expecting->received.c_str());
}

Test(planned_work, pipelined_requests_are_answered_or_follow_an_announced_close)
{
    cluster deployment(stopSpec(312, 20, 60000));
    const auto client = connectTo(deployment);
    client->stream->write(requestText() + requestText());
    deployment.runFor(milliseconds(300));
    deployment.signal("entry-0", SIGTERM);
    deployment.waitUntil([&] { return client->isClosed; }, "the end of the connection");
    const bool isCloseAnnounced = client->received.find("Connection: close") != std::string::npos;
    cr_assert(client->count("HTTP/1.1 200") == 2 || (client->count("HTTP/1.1 200") == 1 && isCloseAnnounced), "received \"%s\"", client->received.c_str());
    cr_assert(client->received.ends_with("}\n"));
}

Test(planned_work, a_grace_of_one_second_ends_each_read_request_with_an_outcome)
{
    cluster deployment(stopSpec(313, 200, 1000));
    std::vector<std::unique_ptr<raw_client>> clients;
    for (int i = 0; i < 4; ++i)
        clients.push_back(connectTo(deployment));
    const std::string text = requestText();
    clients[0]->stream->write(text);
    clients[1]->stream->write(text + text);
    clients[2]->stream->write(text.substr(0, 100));
    clients[3]->stream->write(text.substr(0, text.size() - 5));
    deployment.runFor(milliseconds(200));
    deployment.signal("entry-0", SIGTERM);
    deployment.runFor(milliseconds(300));
    clients[2]->stream->write(text.substr(100));
    clients[3]->stream->write(text.substr(text.size() - 5));
    for (const auto& client : clients) {
        deployment.waitUntil([&] { return client->isClosed; }, "the end of a connection");
        cr_assert_eq(client->count("\"outcome\""), 1u, "received \"%s\"", client->received.c_str());
    }
}

Test(planned_work, a_connection_that_arrives_while_a_stopping_entry_is_paused_is_served)
{
    cluster deployment(stopSpec(314, 0, 60000));
    deployment.signal("entry-0", SIGTERM);
    deployment.runFor(milliseconds(500));
    deployment.signal("entry-0", SIGSTOP);
    const auto client = connectTo(deployment);
    client->stream->write(requestText());
    // Longer than the rest of the time for which a stopping entry accepts requests.
    deployment.runFor(milliseconds(2500));
    deployment.signal("entry-0", SIGCONT);
    deployment.waitUntil([&] { return client->isClosed; }, "the end of the connection");
    cr_assert(client->received.starts_with("HTTP/1.1 200"), "received \"%s\"", client->received.c_str());
    deployment.waitUntil([&] { return deployment.hasExited("entry-0"); }, "the entry to exit");
}

Test(planned_work, a_request_that_arrives_on_a_kept_connection_while_a_stopping_entry_is_paused_is_answered)
{
    cluster deployment(stopSpec(315, 0, 60000));
    const auto client = connectTo(deployment);
    client->stream->write(requestText());
    deployment.waitUntil([&] { return client->received.ends_with("}\n"); }, "the response");
    client->received.clear();
    deployment.signal("entry-0", SIGTERM);
    deployment.runFor(milliseconds(500));
    deployment.signal("entry-0", SIGSTOP);
    client->stream->write(requestText());
    deployment.runFor(milliseconds(2500));
    deployment.signal("entry-0", SIGCONT);
    deployment.waitUntil([&] { return client->isClosed; }, "the end of the connection");
    cr_assert(client->received.starts_with("HTTP/1.1 200"), "received \"%s\"", client->received.c_str());
}

Test(planned_work, an_entry_whose_callers_go_on_sending_ends_before_its_time_limit_and_cuts_no_request, .timeout = 60)
{
    cluster deployment(stopSpec(316, 20, 12000));
    std::list<kept_caller> callers;
    for (uint64_t i = 0; i < 8; ++i)
        callers.emplace_back(ip_endpoint::parse(deployment.entryAddress()).value(), i);
    deployment.runFor(milliseconds(1000));
    deployment.signal("entry-0", SIGTERM);
    deployment.waitUntil([&] { return deployment.hasExited("entry-0"); }, "the entry to exit");
    for (kept_caller& caller : callers)
        caller.stop();
    deployment.waitUntil([&] { return std::ranges::all_of(callers, &kept_caller::isIdle); }, "the last responses");
    checkAllAnswered(callers);
}
