/// libsoup resends a request by itself if the server closes a reused connection. Calls that must not run twice
/// therefore use `isOnNewConnection`, which sends them exactly once.
#include "http1/tcp_stream.hpp"
#include "loop/http.hpp"
#include "support/test_host.hpp"

#include <criterion/criterion.h>

using namespace bilberryseam;

namespace {
constexpr milliseconds requestTimeout { 10000 };

/// A server that responds to its first request and closes the connection on all later ones.
class closing_server {
public:
    closing_server(const ip_endpoint& listen, std::string method)
        : m_method(std::move(method))
        , m_listener(listen, [this](std::shared_ptr<http1::tcp_stream> stream) { serve(std::move(stream)); })
    {
    }

    [[nodiscard]] size_t requestCount() const noexcept { return m_requestCount; }

private:
    void serve(std::shared_ptr<http1::tcp_stream> stream)
    {
        http1::tcp_stream* const connection = stream.get();
        http1::tcp_stream::callbacks callbacks;
        callbacks.onBytes = [this, connection](std::string_view bytes) {
            // The body may arrive separately from the header.
            if (!bytes.starts_with(m_method))
                return;
            if (m_requestCount++ == 0)
                connection->write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
            else
                connection->close();
        };
        stream->setCallbacks(std::move(callbacks));
        m_streams.push_back(std::move(stream));
    }

    std::string m_method;
    size_t m_requestCount = 0;
    std::vector<std::shared_ptr<http1::tcp_stream>> m_streams;
    http1::tcp_listener m_listener;
};

/// Sends a request and waits until the exchange ends.
exchange_outcome sendRequest(http_client& client, const ip_endpoint& server, const std::string& method, bool isOnNewConnection)
{
    http_request request { method, urlOf(server, "/book"), "", {}, isOnNewConnection, requestTimeout };
    std::optional<exchange_outcome> outcome;
    const auto pending = client.send(request, [&](const http_response& response) { outcome = response.outcome; });
    while (!outcome)
        g_main_context_iteration(nullptr, TRUE);
    return *outcome;
}
}

Test(soup_client, libsoup_resends_a_get_on_a_reused_connection)
{
    const ip_endpoint listen { tests::testHost(), 25970 };
    closing_server server(listen, "GET");
    http_client client;
    cr_assert(sendRequest(client, listen, "GET", false) == exchange_outcome::Complete);
    cr_assert(sendRequest(client, listen, "GET", false) != exchange_outcome::Complete);
    cr_assert_gt(server.requestCount(), 2u, "libsoup no longer resends requests; calls that must not run twice may now reuse connections");
}

Test(soup_client, a_request_on_a_new_connection_is_sent_once)
{
    for (const char* method : { "GET", "POST" }) {
        const ip_endpoint listen { tests::testHost(), 25971 };
        closing_server server(listen, method);
        http_client client;
        cr_assert(sendRequest(client, listen, method, false) == exchange_outcome::Complete);
        cr_assert(sendRequest(client, listen, method, true) == exchange_outcome::NoResponse);
        cr_assert_eq(server.requestCount(), 2u);
    }
}
