#include "http1/server.hpp"

#include "http1/detail/server_connection.hpp"

#include <algorithm>

namespace bilberryseam::http1 {

namespace {
    constexpr milliseconds sweepPeriod { 250 };

    /// How long a closing connection still reads, so that its last answer is not lost to a reset.
    constexpr milliseconds lingerTime { 1000 };

    /// Bytes of later requests that may wait behind an open one.
    constexpr size_t maxPipelinedBytes = 64 * 1024;

}

namespace detail {

    server_connection::server_connection(server& owner, std::shared_ptr<tcp_stream> stream)
        : m_owner(&owner)
        , m_stream(std::move(stream))
        , m_since(monotonicNow())
    {
    }

    void server_connection::start()
    {
        const std::weak_ptr<server_connection> weak = weak_from_this();
        tcp_stream::callbacks calls;
        calls.onBytes = [weak](std::string_view bytes) {
            if (const auto self = weak.lock())
                self->take(bytes);
        };
        calls.onEnd = [weak](close_reason) {
            if (const auto self = weak.lock())
                self->ended();
        };
        m_stream->setCallbacks(std::move(calls));
    }

    bool server_connection::mustClose() const noexcept
    {
        return m_mustClose || !m_owner || m_owner->m_isClosing;
    }

    void server_connection::take(std::string_view bytes)
    {
        if (m_phase == phase::Lingering)
            return;
        if (m_phase == phase::Reading)
            m_since = m_isHeaderDone ? monotonicNow() : m_since;
        m_in.append(bytes);
        if (m_phase == phase::Answering) {
            if (m_in.size() > maxPipelinedBytes)
                m_stream->setReading(false);
            return;
        }
        parse();
    }

    bool server_connection::beginMessage()
    {
        if (m_phase != phase::Idle)
            return true;
        // A blank line between requests is allowed.
        m_in.erase(0, std::min(m_in.find_first_not_of("\r\n"), m_in.size()));
        if (m_in.empty())
            return false;
        const server_limits limits = m_owner->m_limits();
        m_parser.emplace();
        m_parser->header_limit(static_cast<std::uint32_t>(limits.maxHeaderBytes));
        m_parser->body_limit(limits.maxBodyBytes);
        m_parser->eager(true);
        m_phase = phase::Reading;
        m_isHeaderDone = false;
        m_since = m_arrivedAt = monotonicNow();
        return true;
    }

    void server_connection::parse()
    {
        if (!m_owner || !beginMessage())
            return;
        beast::error_code problem;
        const size_t used = feed(*m_parser, m_in, problem);
        m_in.erase(0, used);
        if (problem == http::error::header_limit) {
            refuse(statusHeaderTooLarge, "The header is larger than the limit.");
            return;
        }
        if (problem == http::error::body_limit) {
            refuse(statusBodyTooLarge, "The body is larger than the limit.");
            return;
        }
        if (problem && problem != http::error::need_more) {
            refuse(statusBadRequest, "The request is malformed.");
            return;
        }
        if (m_parser->is_header_done() && !m_isHeaderDone)
            headerDone();
        if (m_phase == phase::Reading && m_parser->is_done())
            messageDone();
    }

    void server_connection::headerDone()
    {
        m_isHeaderDone = true;
        m_since = monotonicNow();
        const auto& message = m_parser->get();
        const auto encodings = std::distance(message.equal_range(http::field::transfer_encoding).first, message.equal_range(http::field::transfer_encoding).second);
        const bool isEncodingPlain = encodings == 0 || (encodings == 1 && beast::iequals(message[http::field::transfer_encoding], "chunked"));
        if (!isEncodingPlain || message.version() != 11 || m_parser->upgrade()) {
            refuse(statusBadRequest, "The framing of the request is not accepted.");
            return;
        }
        if (beast::iequals(message[http::field::expect], "100-continue") && !m_parser->is_done())
            m_stream->write("HTTP/1.1 100 Continue\r\n\r\n");
    }

    void server_connection::messageDone()
    {
        m_phase = phase::Answering;
        auto message = m_parser->release();
        m_mustClose = m_mustClose || !m_parser->keep_alive();
        m_parser.reset();
        const auto made = std::make_shared<exchange>(shared_from_this());
        made->m_head = { std::string(message.method_string()), std::string(message.target()), headersOf(message) };
        made->m_body = std::move(message.body());
        made->m_arrivedAt = m_arrivedAt;
        m_current = made.get();
        m_owner->m_onRequest(made);
    }

    void server_connection::refuse(unsigned status, std::string_view why)
    {
        if (m_owner->m_onRefused)
            m_owner->m_onRefused(status, why);
        http::response<http::empty_body> message(static_cast<http::status>(status), 11);
        message.set(http::field::connection, "close");
        message.set(http::field::content_length, "0");
        m_stream->write(serializeHead(message));
        linger();
    }

    void server_connection::linger()
    {
        m_phase = phase::Lingering;
        m_since = monotonicNow();
        m_in.clear();
        m_stream->setReading(true);
        m_stream->finishWriting();
    }

    void server_connection::answered()
    {
        m_current = nullptr;
        if (!isOpen())
            return;
        m_stream->setReading(true);
        if (mustClose()) {
            linger();
            return;
        }
        m_phase = phase::Idle;
        m_since = monotonicNow();
        if (!m_in.empty())
            parse();
    }

    void server_connection::cut()
    {
        m_current = nullptr;
        m_stream->reset();
    }

    void server_connection::ended()
    {
        if (exchange* current = std::exchange(m_current, nullptr)) {
            current->m_isOver = true;
            if (const auto call = std::exchange(current->m_onGone, nullptr))
                call();
        }
    }

    void server_connection::checkTime(time_point now, const server_limits& limits)
    {
        const auto waited = now - m_since;
        if (m_phase == phase::Idle && waited > limits.idleTimeout)
            m_stream->close();
        else if (m_phase == phase::Reading && waited > limits.headerTimeout)
            refuse(statusTimeout, "The request came too slowly.");
        else if (m_phase == phase::Lingering && waited > lingerTime)
            m_stream->close();
    }

    void server_connection::orphan()
    {
        m_owner = nullptr;
    }
}

exchange::exchange(std::shared_ptr<detail::server_connection> connection)
    : m_connection(std::move(connection))
{
}

exchange::~exchange()
{
    if (!m_isOver)
        abort();
}

void exchange::sendHead(unsigned status, header_list&& headers, std::string_view framingName, std::string_view framingValue, std::string_view body)
{
    m_isStarted = true;
    detail::http::response<detail::http::empty_body> message(static_cast<detail::http::status>(status), 11);
    for (const auto& [name, value] : headers)
        message.insert(name, value);
    message.insert(std::string(framingName), std::string(framingValue));
    if (m_connection->mustClose())
        message.set(detail::http::field::connection, "close");
    std::string bytes = detail::serializeHead(message);
    bytes.append(body);
    m_connection->stream().write(bytes);
}

void exchange::respond(unsigned status, header_list headers, std::string_view body)
{
    if (m_isOver)
        return;
    const bool isBodyless = m_head.method == "HEAD";
    sendHead(status, std::move(headers), "Content-Length", std::to_string(body.size()), isBodyless ? std::string_view() : body);
    m_isOver = true;
    m_connection->answered();
}

void exchange::startChunked(unsigned status, header_list headers)
{
    if (!m_isOver)
        sendHead(status, std::move(headers), "Transfer-Encoding", "chunked", {});
}

void exchange::writeChunk(std::string_view bytes)
{
    if (m_isOver || bytes.empty())
        return;
    m_connection->stream().write(detail::beast::buffers_to_string(detail::http::make_chunk(boost::asio::const_buffer(bytes.data(), bytes.size()))));
}

void exchange::finishChunked()
{
    if (m_isOver)
        return;
    m_connection->stream().write(detail::beast::buffers_to_string(detail::http::make_chunk_last()));
    m_isOver = true;
    m_connection->answered();
}

void exchange::abort()
{
    if (m_isOver)
        return;
    m_isOver = true;
    m_connection->cut();
}

void exchange::closeAfterResponse()
{
    m_connection->setMustClose();
}

size_t exchange::pendingBytes() const
{
    return m_connection->stream().pendingBytes();
}

server::server(const ip_endpoint& address, std::function<server_limits()> limits, handler onRequest)
    : m_limits(std::move(limits))
    , m_onRequest(std::move(onRequest))
    , m_listener(address, [this](std::shared_ptr<tcp_stream> stream) { accept(std::move(stream)); })
{
    m_sweep.startEvery(sweepPeriod, [this] { sweep(); });
}

server::~server()
{
    for (const auto& connection : m_connections)
        connection->orphan();
}

void server::accept(std::shared_ptr<tcp_stream> stream)
{
    const size_t maxConnections = m_limits().maxConnections;
    // Connections that have closed are only counted until they are swept.
    if (m_connections.size() >= maxConnections)
        sweep();
    if (m_connections.size() >= maxConnections) {
        if (m_onRefused)
            m_onRefused(0, "Too many connections are open.");
        stream->close();
        return;
    }
    const auto made = std::make_shared<detail::server_connection>(*this, std::move(stream));
    m_connections.push_back(made);
    made->start();
}

void server::sweep()
{
    const server_limits limits = m_limits();
    const time_point now = monotonicNow();
    const auto open = m_connections;
    for (const auto& connection : open) {
        if (connection->isOpen())
            connection->checkTime(now, limits);
    }
    std::erase_if(m_connections, [](const auto& connection) { return !connection->isOpen(); });
}

void server::stopListening() noexcept
{
    m_listener.stop();
}

}
