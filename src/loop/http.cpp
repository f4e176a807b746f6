#include "loop/http.hpp"

#include "base/json_text.hpp"
#include "loop/callback_guard.hpp"

#include "base/error.hpp"
#include "loop/timer.hpp"

namespace bilberryseam {

namespace {
    constexpr size_t readBlockBytes = 16 * 1024;

    /// One HTTP exchange, kept alive by its pending GIO operation and by the caller's handle.
    class exchange : public std::enable_shared_from_this<exchange> {
    public:
        exchange(http_client::on_end onEnd, http_client::on_chunk onChunk, size_t maxResponseBytes)
            : m_onEnd(std::move(onEnd))
            , m_onChunk(std::move(onChunk))
            , m_cancellable(gobject_ptr<GCancellable>::adopt(g_cancellable_new()))
            , m_maxResponseBytes(maxResponseBytes)
        {
        }

        void start(SoupSession* session, SoupMessage* message, milliseconds timeout)
        {
            m_message = gobject_ptr<SoupMessage>::adopt(message);
            g_signal_connect(message, "wrote-headers", G_CALLBACK(+[](SoupMessage*, gpointer self) { static_cast<exchange*>(self)->m_wroteHeaders = true; }), this);
            if (timeout.count() > 0) {
                m_timeout.startOnce(timeout, [this] {
                    m_isTimedOut = true;
                    g_cancellable_cancel(m_cancellable.get());
                });
            }
            auto* reference = new std::shared_ptr<exchange>(shared_from_this());
            soup_session_send_async(session, message, G_PRIORITY_DEFAULT, m_cancellable.get(), &exchange::onSent, reference);
        }

        void cancel()
        {
            m_onEnd = nullptr;
            m_onChunk = nullptr;
            m_timeout.stop();
            g_cancellable_cancel(m_cancellable.get());
        }

        ~exchange()
        {
            if (m_message)
                g_signal_handlers_disconnect_by_data(m_message.get(), this);
        }

    private:
        static std::shared_ptr<exchange> takeReference(gpointer data)
        {
            std::unique_ptr<std::shared_ptr<exchange>> reference(static_cast<std::shared_ptr<exchange>*>(data));
            return *reference;
        }

        static void onSent(GObject* source, GAsyncResult* asyncResult, gpointer data)
        {
            const auto self = takeReference(data);
            runGuarded("http", [&] { self->handleSent(source, asyncResult); });
        }

        void handleSent(GObject* source, GAsyncResult* asyncResult)
        {
            GError* failure = nullptr;
            const auto self = shared_from_this();
            self->m_stream = gobject_ptr<GInputStream>::adopt(soup_session_send_finish(SOUP_SESSION(source), asyncResult, &failure));
            if (!self->m_stream) {
                self->fail(failure, self->m_wroteHeaders ? exchange_outcome::NoResponse : exchange_outcome::NotSent);
                return;
            }
            self->m_response.status = soup_message_get_status(self->m_message.get());
            const bool isFinalStatus = self->m_response.status >= 200 && self->m_response.status <= 599;
            if (!isFinalStatus) {
                self->m_response.detail = "The response has a status that the protocol does not have.";
                self->finish(exchange_outcome::Truncated);
                return;
            }
            if (const char* retryAfter = soup_message_headers_get_list(soup_message_get_response_headers(self->m_message.get()), "Retry-After"))
                self->m_response.retryAfter = retryAfter;
            self->readStatedLength();
            self->readMore();
        }

        void readStatedLength()
        {
            SoupMessageHeaders* headers = soup_message_get_response_headers(m_message.get());
            const bool isBodyless = m_response.status == SOUP_STATUS_NO_CONTENT;
            m_response.hasStatedLength = isBodyless || soup_message_headers_get_encoding(headers) == SOUP_ENCODING_CONTENT_LENGTH;
            if (m_response.hasStatedLength && !isBodyless)
                m_statedLength = static_cast<size_t>(soup_message_headers_get_content_length(headers));
        }

        void readMore()
        {
            auto* reference = new std::shared_ptr<exchange>(shared_from_this());
            g_input_stream_read_async(m_stream.get(), m_block.data(), m_block.size(), G_PRIORITY_DEFAULT, m_cancellable.get(), &exchange::onRead, reference);
        }

        static void onRead(GObject*, GAsyncResult* asyncResult, gpointer data)
        {
            const auto self = takeReference(data);
            runGuarded("http", [&] { self->handleRead(asyncResult); });
        }

        void handleRead(GAsyncResult* asyncResult)
        {
            GError* failure = nullptr;
            const auto self = shared_from_this();
            const gssize count = g_input_stream_read_finish(self->m_stream.get(), asyncResult, &failure);
            if (count < 0) {
                self->fail(failure, exchange_outcome::Truncated);
                return;
            }
            if (count == 0) {
                self->finishBody();
                return;
            }
            if (self->handleBlock(static_cast<size_t>(count)))
                self->readMore();
        }

        bool handleBlock(size_t count)
        {
            const std::string_view block(m_block.data(), count);
            m_receivedBytes += count;
            if (m_receivedBytes > m_maxResponseBytes) {
                m_response.detail = "The answer is larger than the limit.";
                finish(exchange_outcome::Truncated);
                g_cancellable_cancel(m_cancellable.get());
                return false;
            }
            const bool isStreamed = m_onChunk && m_response.status / 100 == 2;
            if (const auto onChunk = m_onChunk; isStreamed)
                onChunk(block);
            else
                m_response.body.append(block);
            return static_cast<bool>(m_onEnd);
        }

        void finishBody()
        {
            // libsoup accepts a head that is closed before its end, behind which there is never a body.
            SoupMessageHeaders* headers = soup_message_get_response_headers(m_message.get());
            if (m_receivedBytes == 0 && !m_response.hasStatedLength && soup_message_headers_get_encoding(headers) == SOUP_ENCODING_EOF) {
                m_response.detail = "The connection ended before the body of the response, or inside its head.";
                finish(exchange_outcome::Truncated);
                return;
            }
            // libsoup accepts a shorter body if the connection is closed after the response.
            if (m_receivedBytes >= m_statedLength) {
                finish(exchange_outcome::Complete);
                return;
            }
            m_response.detail = "The connection ended before the stated length of the response.";
            finish(exchange_outcome::Truncated);
        }

        void fail(GError* failure, exchange_outcome outcome)
        {
            const bool isCancelled = g_error_matches(failure, G_IO_ERROR, G_IO_ERROR_CANCELLED);
            m_response.detail = m_isTimedOut ? "The exchange timed out." : failure->message;
            g_error_free(failure);
            finish(isCancelled && !m_isTimedOut ? exchange_outcome::Cancelled : outcome);
        }

        void finish(exchange_outcome outcome)
        {
            m_timeout.stop();
            m_response.outcome = outcome;
            if (const auto onEnd = std::exchange(m_onEnd, nullptr))
                onEnd(std::move(m_response));
        }

        http_client::on_end m_onEnd;
        http_client::on_chunk m_onChunk;
        gobject_ptr<GCancellable> m_cancellable;
        gobject_ptr<SoupMessage> m_message;
        gobject_ptr<GInputStream> m_stream;
        std::array<char, readBlockBytes> m_block;
        http_response m_response;
        size_t m_maxResponseBytes;
        size_t m_receivedBytes = 0;
        size_t m_statedLength = 0;
        timer m_timeout;
        bool m_isTimedOut = false;
        bool m_wroteHeaders = false;
    };

    SoupMessage* makeMessage(const http_request& request)
    {
        SoupMessage* message = soup_message_new(request.method.c_str(), request.url.c_str());
        if (!message)
            throw error(error_kind::InvalidSettings, "\"" + request.url + "\" is not a URL.", "Use http://IP:port/path.");
        for (const auto& [name, value] : request.headers)
            soup_message_headers_replace(soup_message_get_request_headers(message), name.c_str(), value.c_str());
        if (!request.body.empty()) {
            GBytes* bytes = g_bytes_new(request.body.data(), request.body.size());
            soup_message_set_request_body_from_bytes(message, "application/json", bytes);
            g_bytes_unref(bytes);
        }
        // Without SOUP_MESSAGE_IDEMPOTENT libsoup opens a connection for each POST and keeps the previous ones idle.
        soup_message_add_flags(message, request.isOnNewConnection ? SOUP_MESSAGE_NEW_CONNECTION : SOUP_MESSAGE_IDEMPOTENT);
        if (request.isOnNewConnection)
            soup_message_headers_replace(soup_message_get_request_headers(message), "Connection", "close");
        return message;
    }
}

http_client::http_client(int maxConnections)
    : m_session(gobject_ptr<SoupSession>::adopt(soup_session_new_with_options(
        "max-conns", maxConnections, "max-conns-per-host", maxConnections, "idle-timeout", 30u, "timeout", 0u, nullptr)))
{
    // Peers have IP addresses and are reached directly: no proxy resolver.
    soup_session_set_proxy_resolver(m_session.get(), nullptr);
    // The stated length of a response is that of the encoded body.
    soup_session_remove_feature_by_type(m_session.get(), SOUP_TYPE_CONTENT_DECODER);
}

std::shared_ptr<void> http_client::send(const http_request& request, on_end onEnd, on_chunk onChunk)
{
    const auto pending = std::make_shared<exchange>(std::move(onEnd), std::move(onChunk), request.maxResponseBytes);
    pending->start(m_session.get(), makeMessage(request), request.timeout);
    return std::shared_ptr<void>(pending.get(), [pending](void*) { pending->cancel(); });
}

std::string urlOf(const ip_endpoint& endpoint, std::string_view path)
{
    return "http://" + endpoint.toString() + std::string(path);
}

void setJsonResponse(SoupServerMessage* message, unsigned status, const nlohmann::json& body)
{
    const std::string text = dumpText(body) + "\n";
    soup_server_message_set_status(message, status, nullptr);
    soup_server_message_set_response(message, "application/json", SOUP_MEMORY_COPY, text.data(), text.size());
}

std::string_view bodyOf(SoupServerMessage* message)
{
    SoupMessageBody* body = soup_server_message_get_request_body(message);
    GBytes* bytes = soup_message_body_flatten(body);
    gsize size = 0;
    const auto* data = static_cast<const char*>(g_bytes_get_data(bytes, &size));
    g_bytes_unref(bytes);
    return { data, size };
}

std::string_view headerOf(SoupServerMessage* message, const char* name)
{
    const char* value = soup_message_headers_get_one(soup_server_message_get_request_headers(message), name);
    return value ? std::string_view(value) : std::string_view();
}

void listenOn(SoupServer* server, const ip_endpoint& endpoint)
{
    GSocketAddress* address = g_inet_socket_address_new_from_string(endpoint.address.c_str(), endpoint.port);
    GError* failure = nullptr;
    const auto socket = gobject_ptr<GSocket>::adopt(g_socket_new(g_socket_address_get_family(address), G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, &failure));
    bool isListening = static_cast<bool>(socket);
    if (isListening) {
        g_socket_set_listen_backlog(socket.get(), listenBacklog);
        isListening = g_socket_bind(socket.get(), address, TRUE, &failure) && g_socket_listen(socket.get(), &failure)
            && soup_server_listen_socket(server, socket.get(), static_cast<SoupServerListenOptions>(0), &failure);
    }
    g_object_unref(address);
    if (isListening)
        return;
    const std::string text = failure->message;
    g_error_free(failure);
    throw error(error_kind::Unavailable, "Cannot listen on " + endpoint.toString() + ": " + text + ".", "Choose a free address in the settings.");
}
}
