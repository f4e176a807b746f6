#include "http1/detail/server_connection.hpp"

#include <algorithm>
#include <limits>

namespace bilberryseam::http1 {

namespace {
    /// How long a closing connection is still read. Closing a socket with unread bytes sends a reset, which could destroy the last response.
    constexpr milliseconds lingerTimeout { 1000 };

    /// Longest time in which a client that is alive may read nothing of the last response.
    constexpr milliseconds unreadResponseTimeout { 6000 };

    /// Largest read while a response is pending.
    constexpr size_t readAheadBlockBytes = 4 * 1024;

    /// A client that has taken no byte of a response for this long yields under pressure.
    constexpr milliseconds unsentYieldTime { 2000 };
}

namespace detail {

    server_connection::server_connection(server& owner, std::shared_ptr<tcp_stream> stream, bool isOverLimit)
        : m_server(&owner)
        , m_stream(std::move(stream))
        , m_memory(owner.m_memory, [this] { yield(); })
        , m_isOverLimit(isOverLimit)
        , m_progressAt(monotonicNow())
        , m_lastProgressAt(m_progressAt)
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
        if (m_phase == phase::Responding) {
            readAhead(bytes);
            return;
        }
        if (m_phase == phase::Reading)
            m_lastProgressAt = m_isHeaderDone ? monotonicNow() : m_lastProgressAt;
        parse(bytes);
    }

    void server_connection::readAhead(std::string_view bytes)
    {
        m_readBuffer.append(bytes);
        m_memory.set(policy::memory_use::ReadAhead, m_readBuffer.size());
        if (m_readBuffer.size() < m_memory.readAheadLimit())
            return;
        m_stream->setReading(false);
        m_stream->limitReceiveBuffer(m_memory.readAheadLimit());
        m_isReadingPaused = true;
        m_memory.setYielding(true, monotonicNow());
        m_memory.report(pressure_event::ReadingPaused);
    }

    void server_connection::resumeReading()
    {
        m_isReadingPaused = false;
        m_memory.set(policy::memory_use::Unread, 0);
        m_stream->setReadLimit(std::numeric_limits<size_t>::max());
        m_stream->setReading(true);
    }

    bool server_connection::beginRequest(std::string_view& bytes)
    {
        if (m_phase != phase::Idle)
            return true;
        // Empty lines before a request are ignored (RFC 9112, section 2.2).
        m_readBuffer.erase(0, std::min(m_readBuffer.find_first_not_of("\r\n"), m_readBuffer.size()));
        if (m_readBuffer.empty())
            bytes.remove_prefix(std::min(bytes.find_first_not_of("\r\n"), bytes.size()));
        if (m_readBuffer.empty() && bytes.empty()) {
            m_unansweredBytes = 0;
            return false;
        }
        const server_limits limits = m_server->m_limits();
        m_headerTimeout = limits.headerTimeout;
        m_bodyCopies = limits.bodyCopies;
        m_parser.emplace();
        m_maxUnparsedBytes = limits.maxHeaderBytes;
        m_parser->header_limit(static_cast<std::uint32_t>(limits.maxHeaderBytes));
        m_parser->body_limit(limits.maxBodyBytes);
        m_parser->eager(true);
        m_phase = phase::Reading;
        m_isHeaderDone = false;
        m_lastProgressAt = m_progressAt = m_arrivedAt = monotonicNow();
        m_bytesSinceProgress = 0;
        return true;
    }

    size_t server_connection::bodyBytes() const
    {
        return m_parser && m_isHeaderDone ? m_parser->get().body().size() : 0;
    }

    bool server_connection::reserve(size_t bytes)
    {
        m_bytesSinceProgress += bytes;
        if (m_bytesSinceProgress >= policy::progressBytes) {
            m_bytesSinceProgress = 0;
            m_progressAt = monotonicNow();
        }
        m_memory.setYielding(true, m_progressAt);
        m_memory.set(policy::memory_use::ReadAhead, 0);
        if (m_memory.grow(policy::memory_use::Receiving, policy::requestOverheadBytes + m_readBuffer.size() + bodyBytes() + bytes))
            return true;
        refuse(statusUnavailable, "There is no memory for the request.", m_server->m_overLimitHeaders);
        return false;
    }

    void server_connection::parse(std::string_view bytes)
    {
        if (!m_server || !beginRequest(bytes) || !reserve(bytes.size()))
            return;
        beast::error_code problem;
        feedBuffered(*m_parser, m_readBuffer, bytes, problem);
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
        // The bytes are granted once, before the request is handed over.
        m_memory.set(policy::memory_use::Receiving, 0);
        if (!m_memory.grow(policy::memory_use::Held, policy::requestOverheadBytes + m_bodyCopies * bodyBytes())) {
            refuse(statusUnavailable, "There is no memory for the request.", m_server->m_overLimitHeaders);
            return;
        }
        m_memory.setYielding(false, m_progressAt);
        m_memory.set(policy::memory_use::ReadAhead, m_readBuffer.size());
        m_hasServed = true;
        m_stream->setReadLimit(readAheadBlockBytes);
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
        header_list allHeaders = headers;
        const std::string body = m_server->m_refusalBody ? m_server->m_refusalBody(status, allHeaders) : std::string();
        m_stream->write(serializeHead(statusLine(status), allHeaders, { { "Connection", "close" }, { "Content-Length", std::to_string(body.size()) } }) + body);
        startLingering();
    }

    void server_connection::startLingering()
    {
        m_phase = phase::Lingering;
        m_lastProgressAt = monotonicNow();
        m_unansweredBytes = m_readBuffer.size();
        std::string().swap(m_readBuffer);
        m_parser.reset();
        m_memory.clear();
        countUnsent(0);
        resumeReading();
        m_stream->finishWriting();
    }

    void server_connection::onResponseComplete()
    {
        m_currentExchange = nullptr;
        if (!isOpen())
            return;
        // A client that closes its sending side during its request counts as gone; behind a complete response, it may still read.
        m_stream->setSendsAfterEnd(true);
        m_memory.clear();
        resumeReading();
        // A client may send its next request until a response announces the close.
        if (m_isCloseAnnounced || !m_server) {
            startLingering();
            return;
        }
        m_phase = phase::Idle;
        m_lastProgressAt = monotonicNow();
        m_unansweredBytes = m_readBuffer.size();
        countUnsent(0);
        if (!m_readBuffer.empty())
            parse({});
    }

    void server_connection::countUnsent(size_t bufferedBytes)
    {
        const size_t unsentBytes = m_stream->pendingBytes() + bufferedBytes;
        if (unsentBytes == 0 && m_unsentBytes == 0)
            return;
        // A response may grow while its client takes no bytes of it.
        if (unsentBytes == 0 || unsentBytes < m_unsentBytes || m_unsentBytes == 0)
            m_unsentSince = monotonicNow();
        m_unsentBytes = unsentBytes;
        m_memory.set(policy::memory_use::Unsent, unsentBytes);
        const bool isStalled = unsentBytes > 0 && monotonicNow() - m_unsentSince > unsentYieldTime;
        if (m_phase != phase::Reading)
            m_memory.setYielding(isStalled || m_isReadingPaused, m_unsentSince);
    }

    policy::open_connection server_connection::placeState() const noexcept
    {
        using activity = policy::open_connection::activity;
        if (m_phase == phase::Reading)
            return { activity::Waiting, m_progressAt };
        if (m_phase == phase::Idle && m_stream->pendingBytes() == 0)
            return { m_hasServed ? activity::Kept : activity::Waiting, m_lastProgressAt };
        return { activity::Busy, m_lastProgressAt };
    }

    void server_connection::closeForPlace()
    {
        const auto keepAlive = shared_from_this();
        if (m_phase == phase::Reading)
            refuse(statusUnavailable, "The request was refused in favour of new connections.", m_server->m_overLimitHeaders);
        m_stream->close();
        m_memory.clear();
    }

    void server_connection::yield()
    {
        if (m_phase == phase::Reading && m_server) {
            refuse(statusUnavailable, "The request was refused in favour of others.", m_server->m_overLimitHeaders);
            return;
        }
        const auto keepAlive = shared_from_this();
        m_stream->reset();
        m_memory.clear();
        onClosed(close_reason::Reset);
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
        m_memory.clear();
    }

    std::shared_ptr<tcp_stream> server_connection::release()
    {
        m_currentExchange = nullptr;
        m_stream->setCallbacks({});
        return m_stream;
    }

    void server_connection::onClosed(close_reason reason)
    {
        m_parser.reset();
        m_memory.set(policy::memory_use::Receiving, 0);
        m_memory.set(policy::memory_use::ReadAhead, 0);
        m_memory.set(policy::memory_use::Unread, 0);
        m_memory.set(policy::memory_use::Unsent, 0);
        m_memory.setYielding(false, m_progressAt);
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
        m_memory.clear();
    }

    void server_connection::enforceTimeouts(time_point now, const server_limits& limits)
    {
        if (m_isReadingPaused)
            m_memory.set(policy::memory_use::Unread, m_stream->unreadBytes());
        countUnsent(m_currentExchange ? m_currentExchange->m_bufferedBytes : 0);
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
}
