#include "http1/server.hpp"

#include "http1/detail/server_connection.hpp"

#include <algorithm>

namespace bilberryseam::http1 {

namespace {
    constexpr milliseconds checkPeriod { 250 };

    /// How long a closing connection is still read. Closing a socket with unread bytes sends a reset, which could destroy the last response.
    constexpr milliseconds lingerTimeout { 1000 };

    /// Longest time in which a client that is alive may read nothing of the last response.
    constexpr milliseconds unreadResponseTimeout { 6000 };

    /// Size of pipelined requests that are buffered while a response is pending; beyond it, reading pauses.
    constexpr size_t maxPipelinedBytes = 64 * 1024;

    /// Connections beyond the limit that are kept until their request can be refused.
    constexpr size_t maxConnectionsOverLimit = 128;
}

namespace detail {

    server_connection::server_connection(server& owner, std::shared_ptr<tcp_stream> stream, bool isOverLimit)
        : m_server(&owner)
        , m_stream(std::move(stream))
        , m_isOverLimit(isOverLimit)
        , m_lastProgressAt(monotonicNow())
    {
    }

    void server_connection::start()
    {
        const std::weak_ptr<server_connection> weak = weak_from_this();
        tcp_stream::callbacks callbacks;
        callbacks.onBytes = [weak](std::string_view bytes) {
            if (const auto self = weak.lock())
                self->handleBytes(bytes);
        };
        callbacks.onEnd = [weak](close_reason reason) {
            if (const auto self = weak.lock())
                self->onClosed(reason);
        };
        m_stream->setCallbacks(std::move(callbacks));
    }

    bool server_connection::decideClose() noexcept
    {
        // A request that was already received gets its response on this connection, unless its client closes it anyway.
        const bool isWanted = m_mustClose || !m_server || m_server->m_closesAfterResponse;
        m_isCloseAnnounced = m_isLastRequest || !m_server || (isWanted && m_readBuffer.empty() && m_stream->unreadBytes() == 0);
        return m_isCloseAnnounced;
    }

    void server_connection::handleBytes(std::string_view bytes)
    {
        m_unansweredBytes += bytes.size();
        if (m_phase == phase::Lingering)
            return;
        if (m_phase == phase::Reading)
            m_lastProgressAt = m_isHeaderDone ? monotonicNow() : m_lastProgressAt;
        m_readBuffer.append(bytes);
        if (m_phase == phase::Responding) {
            if (m_readBuffer.size() > maxPipelinedBytes)
                m_stream->setReading(false);
            return;
        }
        parse();
    }

    bool server_connection::beginRequest()
    {
        if (m_phase != phase::Idle)
            return true;
        // Empty lines before a request are ignored (RFC 9112, section 2.2).
        m_readBuffer.erase(0, std::min(m_readBuffer.find_first_not_of("\r\n"), m_readBuffer.size()));
        if (m_readBuffer.empty()) {
            m_unansweredBytes = 0;
            return false;
        }
        const server_limits limits = m_server->m_limits();
        m_headerTimeout = limits.headerTimeout;
        m_parser.emplace();
        m_maxUnparsedBytes = limits.maxHeaderBytes;
        m_parser->header_limit(static_cast<std::uint32_t>(limits.maxHeaderBytes));
        m_parser->body_limit(limits.maxBodyBytes);
        m_parser->eager(true);
        m_phase = phase::Reading;
        m_isHeaderDone = false;
        m_lastProgressAt = m_arrivedAt = monotonicNow();
        return true;
    }

    void server_connection::parse()
    {
        if (!m_server || !beginRequest())
            return;
        beast::error_code problem;
        const size_t consumed = feed(*m_parser, m_readBuffer, problem);
        m_readBuffer.erase(0, consumed);
        if (problem == http::error::header_limit) {
            refuse(statusHeaderTooLarge, "The request header exceeds the size limit.");
            return;
        }
        if (problem == http::error::body_limit) {
            refuse(statusBodyTooLarge, "The request body exceeds the size limit.");
            return;
        }
        if (problem && problem != http::error::need_more) {
            refuse(statusBadRequest, "The request is malformed.");
            return;
        }
        if (m_parser->is_header_done() && !m_isHeaderDone)
            onHeaderComplete();
        if (m_phase != phase::Reading)
            return;
        if (m_parser->is_done())
            onRequestComplete();
        else if (m_readBuffer.size() > m_maxUnparsedBytes)
            refuse(statusBadRequest, "The line in front of a chunk, or the trailer, exceeds the size limit.");
    }

    void server_connection::onHeaderComplete()
    {
        m_isHeaderDone = true;
        m_lastProgressAt = monotonicNow();
        m_isOverLimit = m_isOverLimit && m_server->isOverLimit();
        if (m_isOverLimit) {
            refuse(statusUnavailable, "The connection limit is reached.", m_server->m_overLimitHeaders);
            return;
        }
        const auto& message = m_parser->get();
        const auto encodingCount = std::distance(message.equal_range(http::field::transfer_encoding).first, message.equal_range(http::field::transfer_encoding).second);
        const bool isTransferEncodingSupported = encodingCount == 0 || (encodingCount == 1 && beast::iequals(message[http::field::transfer_encoding], "chunked"));
        if (!isTransferEncodingSupported || message.version() != 11 || m_parser->upgrade()) {
            refuse(statusBadRequest, "The request uses an unsupported HTTP version, transfer encoding or upgrade.");
            return;
        }
        if (beast::iequals(message[http::field::expect], "100-continue") && !m_parser->is_done())
            m_stream->write("HTTP/1.1 100 Continue\r\n\r\n");
    }

    void server_connection::onRequestComplete()
    {
        m_phase = phase::Responding;
        auto message = m_parser->release();
        m_isLastRequest = !m_parser->keep_alive();
        m_parser.reset();
        const auto newExchange = std::make_shared<exchange>(shared_from_this());
        newExchange->m_head = { std::string(message.method_string()), std::string(message.target()), headersOf(message) };
        newExchange->m_body = std::move(message.body());
        newExchange->m_arrivedAt = m_arrivedAt;
        m_currentExchange = newExchange.get();
        m_stream->setSendsAfterEnd(false);
        m_server->m_onRequest(newExchange);
    }

    void server_connection::refuse(unsigned status, std::string_view reason, const header_list& headers)
    {
        if (m_server->m_onRefused)
            m_server->m_onRefused(status, reason);
        http::response<http::empty_body> message(static_cast<http::status>(status), 11);
        for (const auto& [name, value] : headers)
            message.insert(name, value);
        message.set(http::field::connection, "close");
        message.set(http::field::content_length, "0");
        m_stream->write(serializeHead(message));
        startLingering();
    }

    void server_connection::startLingering()
    {
        m_phase = phase::Lingering;
        m_lastProgressAt = monotonicNow();
        m_unansweredBytes = m_readBuffer.size();
        m_readBuffer.clear();
        m_stream->setReading(true);
        m_stream->finishWriting();
    }

    void server_connection::onResponseComplete()
    {
        m_currentExchange = nullptr;
        if (!isOpen())
            return;
        // A client that closes its sending side during its request counts as gone; behind a complete response, it may still read.
        m_stream->setSendsAfterEnd(true);
        m_stream->setReading(true);
        // A client may send its next request until a response announces the close.
        if (m_isCloseAnnounced || !m_server) {
            startLingering();
            return;
        }
        m_phase = phase::Idle;
        m_lastProgressAt = monotonicNow();
        m_unansweredBytes = m_readBuffer.size();
        if (!m_readBuffer.empty())
            parse();
    }

    void server_connection::closeIfIdle()
    {
        if (isOpen() && m_phase == phase::Idle && m_stream->unreadBytes() == 0 && m_stream->unacknowledgedBytes() == 0)
            m_stream->close();
    }

    void server_connection::refuseIfReading(const header_list& headers)
    {
        if (isOpen() && m_phase == phase::Reading && m_stream->unreadBytes() == 0)
            refuse(statusUnavailable, "The request was not received before the end of the process.", headers);
    }

    void server_connection::abort()
    {
        m_currentExchange = nullptr;
        m_stream->reset();
    }

    std::shared_ptr<tcp_stream> server_connection::release()
    {
        m_currentExchange = nullptr;
        m_stream->setCallbacks({});
        return m_stream;
    }

    void server_connection::onClosed(close_reason reason)
    {
        if (exchange* current = std::exchange(m_currentExchange, nullptr)) {
            current->m_isFinished = true;
            current->m_disconnectReason = reason;
            if (const auto onDisconnect = std::exchange(current->m_onDisconnect, nullptr))
                onDisconnect();
        } else if (m_phase != phase::Reading) {
            reportUnfinished("client_end");
        }
    }

    void server_connection::reportUnfinished(std::string_view reason) const
    {
        const unfinished_connection state { reason, m_currentExchange ? &m_currentExchange->head() : nullptr, m_unansweredBytes + m_stream->unreadBytes(), m_stream->pendingBytes() };
        if (m_server && m_server->m_onUnfinished && (state.openRequest || state.unansweredBytes > 0 || state.unsentBytes > 0))
            m_server->m_onUnfinished(state);
    }

    void server_connection::closeUnfinished(std::string_view reason)
    {
        reportUnfinished(reason);
        m_stream->close();
    }

    void server_connection::enforceTimeouts(time_point now, const server_limits& limits)
    {
        // After a stall of the process, the timers run before the sockets are read.
        const bool isIdleOrReading = m_phase == phase::Idle || m_phase == phase::Reading;
        const milliseconds timeout = m_phase == phase::Reading ? m_headerTimeout : limits.idleTimeout;
        if (isIdleOrReading && now - m_lastProgressAt > timeout && m_stream->unreadBytes() > 0)
            return;
        if (m_phase == phase::Idle && isDone(now, limits.idleTimeout))
            closeUnfinished("idle");
        else if (m_phase == phase::Reading && now - m_lastProgressAt > m_headerTimeout)
            refuse(statusTimeout, "The request was not received within the time limit.");
        else if (m_phase == phase::Lingering && isDone(now, lingerTimeout))
            closeUnfinished("linger");
    }

    bool server_connection::isDone(time_point now, milliseconds timeout)
    {
        if (now - m_lastProgressAt <= timeout)
            return false;
        const size_t unacknowledgedBytes = m_stream->unacknowledgedBytes();
        if (std::exchange(m_unacknowledgedBytes, unacknowledgedBytes) != unacknowledgedBytes) {
            m_lastProgressAt = now;
            return false;
        }
        return unacknowledgedBytes == 0 || now - m_lastProgressAt > unreadResponseTimeout;
    }

    void server_connection::detachServer()
    {
        m_server = nullptr;
    }
}

exchange::exchange(std::shared_ptr<detail::server_connection> connection)
    : m_connection(std::move(connection))
{
}

exchange::~exchange()
{
    if (!m_isFinished)
        abort();
}

void exchange::sendHead(unsigned status, header_list&& headers, std::string_view framingName, std::string_view framingValue, std::string_view body)
{
    m_isStarted = true;
    detail::http::response<detail::http::empty_body> message(static_cast<detail::http::status>(status), 11);
    for (const auto& [name, value] : headers)
        message.insert(name, value);
    message.insert(std::string(framingName), std::string(framingValue));
    if (m_connection->decideClose())
        message.set(detail::http::field::connection, "close");
    std::string bytes = detail::serializeHead(message);
    bytes.append(body);
    m_connection->stream().write(bytes);
}

void exchange::respond(unsigned status, header_list headers, std::string_view body)
{
    if (m_isFinished)
        return;
    const bool isBodyless = m_head.method == "HEAD";
    sendHead(status, std::move(headers), "Content-Length", std::to_string(body.size()), isBodyless ? std::string_view() : body);
    m_isFinished = true;
    m_connection->onResponseComplete();
}

void exchange::startChunked(unsigned status, header_list headers)
{
    if (!m_isFinished)
        sendHead(status, std::move(headers), "Transfer-Encoding", "chunked", {});
}

void exchange::writeChunk(std::string_view bytes)
{
    if (m_isFinished || bytes.empty())
        return;
    m_connection->stream().write(detail::beast::buffers_to_string(detail::http::make_chunk(boost::asio::const_buffer(bytes.data(), bytes.size()))));
}

void exchange::finishChunked()
{
    if (m_isFinished)
        return;
    m_connection->stream().write(detail::beast::buffers_to_string(detail::http::make_chunk_last()));
    m_isFinished = true;
    m_connection->onResponseComplete();
}

void exchange::abort()
{
    if (m_isFinished)
        return;
    m_isFinished = true;
    m_connection->abort();
}

std::shared_ptr<tcp_stream> exchange::releaseConnection()
{
    m_isFinished = true;
    return m_connection->release();
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
    m_checkTimer.startEvery(checkPeriod, [this] { checkConnections(); });
}

server::~server()
{
    for (const auto& connection : m_connections)
        connection->detachServer();
}

void server::accept(std::shared_ptr<tcp_stream> stream)
{
    const size_t maxConnections = m_limits().maxConnections;
    // Closed connections stay in the list until the next check, so remove them before applying the limit.
    if (m_connections.size() >= maxConnections)
        checkConnections();
    const bool isOverLimit = m_connections.size() >= maxConnections;
    if (m_connections.size() >= maxConnections + maxConnectionsOverLimit) {
        if (m_onRefused)
            m_onRefused(0, "The connection limit is reached; the new connection was closed.");
        stream->close();
        return;
    }
    const auto connection = std::make_shared<detail::server_connection>(*this, std::move(stream), isOverLimit);
    m_connections.push_back(connection);
    connection->start();
}

bool server::isOverLimit() const
{
    // Closed connections stay in the list until the next check.
    const auto openCount = std::count_if(m_connections.begin(), m_connections.end(), [](const auto& connection) { return connection->isOpen(); });
    return static_cast<size_t>(openCount) > m_limits().maxConnections;
}

void server::checkConnections()
{
    const server_limits limits = m_limits();
    const time_point now = monotonicNow();
    const auto connections = m_connections;
    for (const auto& connection : connections) {
        if (connection->isOpen())
            connection->enforceTimeouts(now, limits);
    }
    std::erase_if(m_connections, [](const auto& connection) { return !connection->isOpen(); });
}

bool server::closeIdleConnections()
{
    bool hasOpen = false;
    for (const auto& connection : m_connections) {
        connection->closeIfIdle();
        hasOpen = hasOpen || connection->isOpen();
    }
    return !hasOpen;
}

void server::refuseUnfinishedRequests(const header_list& headers)
{
    for (const auto& connection : m_connections)
        connection->refuseIfReading(headers);
}

void server::reportUnfinished(std::string_view reason)
{
    for (const auto& connection : m_connections) {
        if (connection->isOpen())
            connection->reportUnfinished(reason);
    }
}

void server::stopListening()
{
    m_listener.acceptWaiting();
    m_listener.stop();
}

}
