/// Targets of a pool that write an earlier response once more on a kept connection, in front of the response to the next call.
#include "support/deployment_fixture.hpp"

#include <criterion/criterion.h>
#include <deque>
#include <list>
#include <random>

using namespace bilberryseam;
using namespace bilberryseam::tests;
using nlohmann::json;

namespace {
constexpr milliseconds callTime { 60 };

/// A target of a pool that repeats the last response of a connection in front of half of the responses behind it.
class repeating_pool {
public:
    explicit repeating_pool(deployment_fixture& deployment)
        : m_endpoint(deployment.allocateAddress())
        , m_listener(m_endpoint, [this](std::shared_ptr<http1::tcp_stream> stream) { accept(std::move(stream)); })
    {
        deployment.store().put("keyed.servers", "e-1", json { { "service", "encode" }, { "address", m_endpoint.toString() }, { "zone", "north-1" }, { "slots", 1 }, { "state", "ready" }, { "cold_left_ms", 0 }, { "seq", 1 } }.dump());
    }

    /// @return Handles of results, with the request that each was made for.
    [[nodiscard]] const std::map<std::string, std::string>& requestsByHandle() const noexcept { return m_requestsByHandle; }
    [[nodiscard]] size_t repeatCount() const noexcept { return m_repeats; }
    /// Refuses each call with this number of the order of arrival, or none.
    void setRefusedCall(size_t every) noexcept { m_refusedCall = every; }

private:
    struct connection {
        std::shared_ptr<http1::tcp_stream> stream;
        std::string received;
        std::string lastResponse;
        std::deque<timer> answers;
    };

    void accept(std::shared_ptr<http1::tcp_stream> stream)
    {
        connection& added = m_connections.emplace_back();
        added.stream = std::move(stream);
        http1::tcp_stream::callbacks callbacks;
        callbacks.onBytes = [this, &added](std::string_view bytes) { handleBytes(added, bytes); };
        callbacks.onEnd = [&added](http1::close_reason) { added.stream->close(); };
        added.stream->setCallbacks(std::move(callbacks));
    }

    void handleBytes(connection& connection, std::string_view bytes)
    {
        connection.received.append(bytes);
        const size_t headEnd = connection.received.find("\r\n\r\n");
        if (headEnd == std::string::npos)
            return;
        const std::string head = connection.received.substr(0, headEnd);
        const std::string lengthField = "Content-Length: ";
        const size_t position = head.find(lengthField);
        const size_t length = position == std::string::npos ? 0 : std::stoul(head.substr(position + lengthField.size()));
        if (connection.received.size() < headEnd + 4 + length)
            return;
        const std::string body = connection.received.substr(headEnd + 4, length);
        connection.received.clear();
        respond(connection, head, body);
    }

    void respond(connection& connection, const std::string& head, const std::string& body)
    {
        milliseconds delay = callTime;
        if (!connection.lastResponse.empty() && m_luck() % 2 == 0) {
            ++m_repeats;
            connection.stream->write(connection.lastResponse);
            delay += callTime;
        }
        connection.lastResponse = responseTo(head, body);
        connection.answers.emplace_back().startOnce(delay, [&connection, response = connection.lastResponse] {
            if (connection.stream->isOpen())
                connection.stream->write(response);
        });
    }

    std::string responseTo(const std::string& head, const std::string& body)
    {
        if (head.find("/v1/stage-run") == std::string::npos) {
            const std::string text = head.find("/v1/report") == std::string::npos ? "{}" : R"({"waiting":0,"busy":0,"free_mb":10})";
            return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text;
        }
        if (m_refusedCall > 0 && ++m_calls % m_refusedCall == 0)
            return "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        json items = json::array();
        const json call = json::parse(body);
        for (const json& item : call.at("items")) {
            const std::string handle = m_endpoint.toString() + "/" + std::to_string(++m_handles);
            m_requestsByHandle[handle] = item.at("id");
            items.push_back({ { "handle", handle } });
        }
        const std::string text = json { { "items", items } }.dump();
        return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text;
    }

    ip_endpoint m_endpoint;
    std::list<connection> m_connections;
    std::map<std::string, std::string> m_requestsByHandle;
    size_t m_handles = 0;
    size_t m_calls = 0;
    size_t m_refusedCall = 0;
    size_t m_repeats = 0;
    std::mt19937 m_luck { 1 };
    http1::tcp_listener m_listener;
};

struct repeat_case {
    int slot = 0;
    size_t gatewayCount = 1;
    size_t refusedCall = 0;
    bool areReportsUsed = false;
};

/// Sends requests with one to three pieces and checks that each model request has the results of its own pieces.
void runRepeats(const repeat_case& repeatCase)
{
    deployment_fixture deployment(repeatCase.slot);
    repeating_pool pool(deployment);
    pool.setRefusedCall(repeatCase.refusedCall);
    auto& model = deployment.addTarget("m-1", "model");
    const json stages { { { "service", "encode" }, { "after", json::array() }, { "bytes", 1000 } } };
    const json profile { { "name", "encode" }, { "pieces", { { "slots", 3 }, { "queue", 2 }, { "batch", 2 }, { "call_ms", callTime.count() }, { "item_ms", 1 }, { "headroom_mb", 10 }, { "handle_s", 4 } } } };
    deployment.configure(3, { deployment_fixture::route("/m/", "idempotent", "model", { { "stages", stages } }) }, { profile });
    for (size_t i = 0; i < repeatCase.gatewayCount; ++i)
        deployment.startGateway(json::object(), { { "poolReports", repeatCase.areReportsUsed } });
    for (size_t i = 0; i < repeatCase.gatewayCount; ++i)
        deployment.waitUntilReady(i);
    std::mt19937 luck(repeatCase.slot);
    size_t served = 0;
    for (int round = 0; round < 40; ++round) {
        std::vector<caller_ptr> callers;
        const size_t count = 1 + luck() % 4;
        for (size_t i = 0; i < count; ++i)
            callers.push_back(deployment.send("GET", "/m/" + std::to_string(round), { { "X-Pieces", std::to_string(1 + luck() % 3) }, { "X-Piece-Key", "k" }, { "X-Deadline-Ms", "3000" } }, "", luck() % repeatCase.gatewayCount));
        deployment.waitUntil([&] { return std::all_of(callers.begin(), callers.end(), [](const auto& item) { return item->isFinished; }); }, "the end of the requests");
        served += static_cast<size_t>(std::count_if(callers.begin(), callers.end(), [](const auto& item) { return item->head.status == 200; }));
    }
    cr_assert_geq(served, 10u, "%zu requests were served, %zu results made, %zu responses repeated", served, pool.requestsByHandle().size(), pool.repeatCount());
    for (const auto& request : model.requests()) {
        std::string inputs(http1::findHeader(request.head.headers, "X-Inputs").value_or(""));
        for (size_t comma = 0; !inputs.empty(); inputs.erase(0, comma)) {
            const std::string handle = inputs.substr(0, inputs.find(','));
            comma = std::min(inputs.size(), handle.size() + 1);
            const auto maker = pool.requestsByHandle().find(handle);
            cr_assert(maker != pool.requestsByHandle().end(), "%s was never made", handle.c_str());
            cr_assert_eq(maker->second, request.id, "%s was made for another request", handle.c_str());
        }
    }
}
}

// Guards against taking a response without any identity for that of the call that waits on its connection (review/6).
Test(gateway_late_response, results_of_a_pool_that_repeats_its_responses_stay_with_their_requests)
{
    runRepeats({ 484 });
}

Test(gateway_late_response, results_stay_with_their_requests_if_refusals_are_repeated)
{
    runRepeats({ 485, 1, 3 });
}

Test(gateway_late_response, results_stay_with_their_requests_at_several_gateways)
{
    runRepeats({ 486, 2, 4 });
}

Test(gateway_late_response, results_stay_with_their_requests_beside_reports_that_are_repeated)
{
    runRepeats({ 487, 2, 0, true });
}
