/// Responses of targets in trouble that no caller may get as an answer, with uploads of any size.
#include "support/deployment_fixture.hpp"

#include <criterion/criterion.h>
#include <list>

using namespace bilberryseam;
using namespace bilberryseam::tests;
using nlohmann::json;

namespace {
constexpr size_t uploadBytes = 3 * 1024 * 1024;

/// A target that sends the same bytes as soon as the head of a request has arrived, and reads nothing more.
class hasty_target {
public:
    enum class ending { Reset,
        Close };

    explicit hasty_target(deployment_fixture& deployment)
        : m_endpoint(deployment.allocateAddress())
        , m_listener(m_endpoint, [this](std::shared_ptr<http1::tcp_stream> stream) { accept(std::move(stream)); })
    {
        deployment.store().put("keyed.servers", "t-1", json { { "service", "pages" }, { "address", m_endpoint.toString() }, { "zone", "north-1" }, { "slots", 8 }, { "state", "ready" }, { "cold_left_ms", 0 }, { "seq", 1 } }.dump());
    }

    /// @param text  Each `ID` in it is replaced by the identifier of the request.
    void setResponse(std::string text, ending end)
    {
        m_text = std::move(text);
        m_ending = end;
    }

private:
    struct connection {
        std::shared_ptr<http1::tcp_stream> stream;
        std::string received;
        timer end;
    };

    void accept(std::shared_ptr<http1::tcp_stream> stream)
    {
        connection& added = m_connections.emplace_back();
        added.stream = std::move(stream);
        http1::tcp_stream::callbacks callbacks;
        callbacks.onBytes = [this, &added](std::string_view bytes) { handleBytes(added, bytes); };
        added.stream->setCallbacks(std::move(callbacks));
    }

    void handleBytes(connection& connection, std::string_view bytes)
    {
        connection.received.append(bytes);
        const std::string field = "X-Attempt-Id: ";
        const size_t position = connection.received.find(field);
        if (position == std::string::npos || connection.received.find("\r\n\r\n") == std::string::npos || connection.end.isRunning())
            return;
        const size_t start = position + field.size();
        const std::string id = connection.received.substr(start, connection.received.find('\r', start) - start);
        std::string text = m_text;
        if (const size_t place = text.find("ID"); place != std::string::npos)
            text.replace(place, 2, id);
        connection.stream->setReading(false);
        connection.stream->write(text);
        connection.end.startOnce(milliseconds(100), [this, &connection] {
            if (m_ending == ending::Reset)
                connection.stream->reset();
            else
                connection.stream->close();
        });
    }

    ip_endpoint m_endpoint;
    std::list<connection> m_connections;
    std::string m_text;
    ending m_ending = ending::Reset;
    http1::tcp_listener m_listener;
};

struct broken_response_test {
    explicit broken_response_test(int slot)
        : deployment(slot)
        , target(deployment)
    {
        deployment.configure(3, { deployment_fixture::route("/p/", "non_idempotent", "pages"), deployment_fixture::route("/s/", "streaming", "pages") }, json::array(), nullptr, { { "max_body_bytes", 4 * 1024 * 1024 } });
        deployment.startGateway();
        deployment.waitUntilReady();
    }

    /// Sends a large and a small request of each kind; none may get a whole success.
    void expectNoAnswer(const std::string& text, hasty_target::ending ending)
    {
        target.setResponse(text, ending);
        for (const std::string path : { "/p/", "/s/" }) {
            for (const size_t size : { uploadBytes, size_t { 6 } }) {
                // A path of its own, as requests that seem to crash targets are refused.
                const auto response = deployment.sendAndWait("POST", path + std::to_string(++requests), { { "X-Deadline-Ms", "1500" } }, std::string(size, 'x'));
                const bool isComplete = response->outcome == http1::call_outcome::Complete;
                cr_assert(!isComplete || response->head.status == 502 || response->head.status == 503, "%s with %zu bytes got status %u: %s behind %s", path.c_str(), size, response->head.status, response->body.c_str(), text.c_str());
            }
        }
    }

    deployment_fixture deployment;
    hasty_target target;
    size_t requests = 0;
};

const std::string head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Response-Seal: s\r\nContent-Type: text/event-stream\r\n";
}

// Guards against a part of an answer without a length that passes for the whole, as its connection is reset during the upload.
Test(gateway_broken_response, a_response_without_length_that_is_reset_during_the_upload_is_no_answer)
{
    broken_response_test test(490);
    for (const std::string body : { "id: 1\ndata: one\n\n", "id: 1\nda", "" })
        test.expectNoAnswer(head + "\r\n" + body, hasty_target::ending::Reset);
}

Test(gateway_broken_response, a_status_outside_the_protocol_is_no_answer)
{
    broken_response_test test(491);
    for (const std::string status : { "000", "099", "600", "777" }) {
        const std::string fields = "HTTP/1.1 " + status + " Odd\r\nX-Attempt-Id: ID\r\nX-Response-Seal: s\r\n";
        test.expectNoAnswer(fields + "Content-Length: 4\r\n\r\nbody", hasty_target::ending::Close);
        test.expectNoAnswer("HTTP/1.1 100 Continue\r\n\r\n" + fields + "\r\nbody", hasty_target::ending::Close);
    }
}

Test(gateway_broken_response, a_response_that_is_closed_inside_its_head_is_no_answer)
{
    broken_response_test test(492);
    const std::string whole = head + "Content-Length: 17\r\n\r\n";
    for (size_t length = 9; length < whole.size(); length += 7)
        test.expectNoAnswer(whole.substr(0, length), hasty_target::ending::Close);
    test.expectNoAnswer(whole.substr(0, whole.size() - 2), hasty_target::ending::Close);
}
