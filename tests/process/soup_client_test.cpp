/// What libsoup does by itself when a kept connection dies, and how the product's own interface avoids it.
#include "http1/tcp_stream.hpp"
#include "loop/http.hpp"

#include <criterion/criterion.h>

using namespace bilberryseam;

namespace {
constexpr milliseconds patience { 10000 };

/// A server that answers its first request and closes its connections at all later ones.
class closing_server {
public:
    closing_server(const ip_endpoint& listen, std::string method)
        : m_method(std::move(method))
        , m_listener(listen, [this](std::shared_ptr<http1::tcp_stream> stream) { serve(std::move(stream)); })
    {
    }

    [[nodiscard]] size_t seen() const noexcept { return m_seen; }

private:
    void serve(std::shared_ptr<http1::tcp_stream> stream)
    {
        http1::tcp_stream* const own = stream.get();
        http1::tcp_stream::callbacks calls;
        calls.onBytes = [this, own](std::string_view bytes) {
            // The body may come apart from its header.
            if (!bytes.starts_with(m_method))
                return;
            if (m_seen++ == 0)
                own->write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
            else
                own->close();
        };
        stream->setCallbacks(std::move(calls));
        m_streams.push_back(std::move(stream));
    }

    std::string m_method;
    size_t m_seen = 0;
    std::vector<std::shared_ptr<http1::tcp_stream>> m_streams;
    http1::tcp_listener m_listener;
};

/// Sends a request and waits for its end.
exchange_outcome ask(http_client& client, const ip_endpoint& server, const std::string& method, bool isOnNewConnection)
{
    http_request request { method, urlOf(server, "/book"), "", {}, isOnNewConnection, patience };
    std::optional<exchange_outcome> end;
    const auto pending = client.send(request, [&](const http_response& reply) { end = reply.outcome; });
    while (!end)
        g_main_context_iteration(nullptr, TRUE);
    return *end;
}
}

Test(soup_client, a_get_on_a_kept_connection_is_sent_again_by_the_library)
{
    const ip_endpoint listen { "127.0.0.1", 25970 };
    closing_server server(listen, "GET");
    http_client client;
    cr_assert(ask(client, listen, "GET", false) == exchange_outcome::Complete);
    cr_assert(ask(client, listen, "GET", false) != exchange_outcome::Complete);
    cr_assert_gt(server.seen(), 2u, "the library no longer repeats requests: calls that may run once may share connections");
}

Test(soup_client, a_call_on_a_connection_of_its_own_is_sent_once)
{
    for (const char* method : { "GET", "POST" }) {
        const ip_endpoint listen { "127.0.0.1", 25971 };
        closing_server server(listen, method);
        http_client client;
        cr_assert(ask(client, listen, method, false) == exchange_outcome::Complete);
        cr_assert(ask(client, listen, method, true) == exchange_outcome::NoResponse);
        cr_assert_eq(server.seen(), 2u);
    }
}
