#include "http1/client.hpp"

#include "http1/detail/beast.hpp"

#include <algorithm>
#include <charconv>

namespace bilberryseam::http1 {

namespace {
    /// Largest size of a head, of the line in front of a chunk, and of a trailer.
    constexpr size_t maxResponseHeaderBytes = 64 * 1024;
    constexpr unsigned maxInterimResponses = 8;
    constexpr milliseconds cleanupPeriod { 500 };

    /// Lifetime of an idle connection if the server sends no `Keep-Alive` timeout.
    constexpr milliseconds defaultIdleLifetime { 4000 };
    constexpr milliseconds maxIdleLifetime { 10000 };
    /// Subtracted from the server's timeout, so that no request is sent on a connection that the server is closing.
    constexpr milliseconds idleMargin { 1000 };

    std::string serialize(const outgoing_request& request, bool isClosing)
    {
        header_list ownFields;
        if (!request.body.empty() || (request.method != "GET" && request.method != "HEAD" && request.method != "DELETE"))
            ownFields.emplace_back("Content-Length", std::to_string(request.body.size()));
        header_list headers = request.headers;
        if (isClosing)
            headers.emplace_back("Connection", "close");
        return detail::serializeHead(request.method + " " + request.target + " HTTP/1.1", headers, ownFields) + request.body;
    }

    milliseconds idleLifetimeOf(const header_list& headers)
    {
        const auto text = findHeader(headers, "Keep-Alive");
        if (!text)
            return defaultIdleLifetime;
        const size_t position = text->find("timeout=");
        if (position == std::string_view::npos)
            return defaultIdleLifetime;
        const std::string_view digits = text->substr(position + std::string_view("timeout=").size());
        int64_t timeoutSeconds = 0;
        if (std::from_chars(digits.data(), digits.data() + digits.size(), timeoutSeconds).ec != std::errc())
            return defaultIdleLifetime;
        return std::clamp(milliseconds(std::min<int64_t>(timeoutSeconds, 3600) * 1000) - idleMargin, milliseconds(0), maxIdleLifetime);
    }
}

std::string_view nameOf(call_outcome outcome) noexcept
{
    switch (outcome) {
    case call_outcome::Complete:
        return "complete";
    case call_outcome::Unframed:
        return "unframed";
    case call_outcome::NotSent:
        return "not_sent";
    case call_outcome::NoResponse:
        return "no_answer";
    case call_outcome::Truncated:
        return "cut";
    case call_outcome::Malformed:
        return "malformed";
    case call_outcome::TimedOut:
        return "timed_out";
    }
    return "malformed";
}

std::string_view nameOf(body_framing framing) noexcept
{
    switch (framing) {
    case body_framing::Unknown:
        return "unknown";
    case body_framing::Length:
        return "length";
    case body_framing::Chunks:
        return "chunks";
    case body_framing::Connection:
        return "connection";
    }
    return "unknown";
}

struct client_call::parser_state {
    using response_parser = detail::http::response_parser<detail::http::string_body>;

    parser_state(uint64_t maxBytes, bool isBodyless)
    {
        parser.header_limit(maxResponseHeaderBytes);
        parser.body_limit(maxBytes);
        parser.eager(true);
        parser.skip(isBodyless);
    }

    [[nodiscard]] body_framing framing() const
    {
        if (parser.need_eof())
            return body_framing::Connection;
        return parser.chunked() ? body_framing::Chunks : body_framing::Length;
    }

    response_parser parser;
    std::string readBuffer;
    response_head head;
};

client_call::client_call(client& owner, ip_endpoint server, callbacks newCallbacks)
    : m_owner(&owner)
    , m_server(std::move(server))
    , m_callbacks(std::make_shared<callbacks>(std::move(newCallbacks)))
{
}

void client_call::cancel() noexcept
{
    m_isFinished = true;
    m_connectTimer.stop();
    m_timeoutTimer.stop();
    if (m_stream)
        m_stream->close();
    m_callbacks = std::make_shared<callbacks>();
}

void client_call::setReading(bool isReading)
{
    if (m_stream && !m_isFinished)
        m_stream->setReading(isReading);
}

void client_call::start(const outgoing_request& request, const call_options& options, std::shared_ptr<tcp_stream> reusedStream)
{
    m_options = options;
    m_isReused = static_cast<bool>(reusedStream);
    m_isHeadRequest = request.method == "HEAD";
    m_parserState = std::make_unique<parser_state>(options.maxResponseBytes, m_isHeadRequest);
    m_stream = reusedStream ? std::move(reusedStream) : tcp_stream::connectTo(m_server);
    attach();
    if (!m_isReused)
        m_connectTimer.startOnce(options.connectTimeout, [this] { finish(call_outcome::NotSent); });
    if (options.timeout.count() > 0)
        m_timeoutTimer.startOnce(options.timeout, [this] { finish(m_stream->hasSent() || m_isReused ? call_outcome::TimedOut : call_outcome::NotSent); });
    m_stream->write(serialize(request, options.isOnNewConnection));
}

void client_call::attach()
{
    const std::weak_ptr<client_call> weak = weak_from_this();
    tcp_stream::callbacks streamCallbacks;
    streamCallbacks.onConnected = [weak] {
        if (const auto self = weak.lock())
            self->m_connectTimer.stop();
    };
    streamCallbacks.onBytes = [weak](std::string_view bytes) {
        if (const auto self = weak.lock())
            self->handleBytes(bytes);
    };
    streamCallbacks.onEnd = [weak](close_reason reason) {
        if (const auto self = weak.lock())
            self->handleClose(reason);
    };
    m_stream->setCallbacks(std::move(streamCallbacks));
}

void client_call::handleBytes(std::string_view bytes)
{
    if (m_isFinished)
        return;
    m_hasResponseBytes = true;
    parser_state& state = *m_parserState;
    for (;;) {
        detail::beast::error_code problem;
        detail::feedBuffered(state.parser, state.readBuffer, bytes, problem);
        if (problem && problem != detail::http::error::need_more) {
            finish(call_outcome::Malformed);
            return;
        }
        const bool isInterim = state.parser.is_header_done() && state.parser.get().result_int() / 100 == 1;
        if (!isInterim)
            break;
        if (++m_interimResponses > maxInterimResponses) {
            finish(call_outcome::Malformed);
            return;
        }
        std::string rest = std::move(state.readBuffer);
        m_parserState = std::make_unique<parser_state>(m_options.maxResponseBytes, m_isHeadRequest);
        m_parserState->readBuffer = std::move(rest);
        if (m_parserState->readBuffer.empty())
            return;
        handleBytes({});
        return;
    }
    if (state.parser.is_header_done() && !isFinalStatus(state.parser.get().result_int())) {
        finish(call_outcome::Malformed);
        return;
    }
    if (state.parser.is_header_done() && !m_isHeadComplete) {
        m_isHeadComplete = true;
        m_trace.framing = state.framing();
        state.head = { state.parser.get().result_int(), detail::headersOf(state.parser.get()) };
        if (const auto activeCallbacks = m_callbacks; activeCallbacks->onHead)
            activeCallbacks->onHead(state.head);
    }
    if (m_isFinished)
        return;
    deliverBody();
    if (m_isFinished)
        return;
    if (state.parser.is_done())
        handleResponseEnd(!state.readBuffer.empty());
    else if (state.readBuffer.size() > maxResponseHeaderBytes)
        finish(call_outcome::Malformed);
}

void client_call::deliverBody()
{
    auto& body = m_parserState->parser.get().body();
    if (body.empty())
        return;
    const std::string bytes = std::move(body);
    body.clear();
    m_trace.bodyBytes += bytes.size();
    if (const auto activeCallbacks = m_callbacks; activeCallbacks->onBody)
        activeCallbacks->onBody(bytes);
}

void client_call::handleResponseEnd(bool hasExtraBytes)
{
    parser_state& state = *m_parserState;
    const bool isReusable = state.parser.keep_alive() && !state.parser.need_eof() && !hasExtraBytes && !m_options.isOnNewConnection && m_stream->pendingBytes() == 0;
    const milliseconds lifetime = isReusable ? idleLifetimeOf(state.head.headers) : milliseconds(0);
    if (lifetime.count() > 0) {
        // Calls on unused connections must not make the number of idle ones grow.
        if (m_options.isOnUnusedConnection)
            m_owner->dropIdleConnection(m_server);
        m_stream->setReading(true);
        m_owner->storeIdleConnection(m_server, m_stream, lifetime);
        m_connectedAt = m_stream->connectedAt();
        m_stream.reset();
    }
    finish(call_outcome::Complete);
}

void client_call::handleClose(close_reason reason)
{
    m_trace.connectionEnd = reason;
    if (reason == close_reason::ConnectFailed) {
        finish(call_outcome::NotSent);
        return;
    }
    if (!m_hasResponseBytes) {
        finish(call_outcome::NoResponse);
        return;
    }
    detail::beast::error_code problem;
    const bool isEndedByClose = reason == close_reason::Closed && m_isHeadComplete && m_parserState->parser.need_eof();
    if (isEndedByClose) {
        m_parserState->parser.put_eof(problem);
        if (!problem && m_parserState->parser.is_done()) {
            deliverBody();
            finish(call_outcome::Unframed);
            return;
        }
    }
    finish(call_outcome::Truncated);
}

void client_call::finish(call_outcome outcome)
{
    if (m_isFinished)
        return;
    const auto self = shared_from_this();
    m_isFinished = true;
    m_connectTimer.stop();
    m_timeoutTimer.stop();
    if (m_stream) {
        m_trace.unsentBytes = m_stream->pendingBytes();
        m_stream->close();
    }
    const auto finalCallbacks = std::exchange(m_callbacks, std::make_shared<callbacks>());
    if (finalCallbacks->onEnd)
        finalCallbacks->onEnd(outcome);
}

client::client()
{
    m_cleanupTimer.startEvery(cleanupPeriod, [this] { removeExpired(); });
}

client::~client() = default;

std::shared_ptr<client_call> client::send(const ip_endpoint& server, const outgoing_request& request, const call_options& options, client_call::callbacks callbacks)
{
    const auto call = std::make_shared<client_call>(*this, server, std::move(callbacks));
    std::shared_ptr<tcp_stream> reusedStream = options.isOnNewConnection || options.isOnUnusedConnection ? nullptr : popIdleConnection(server);
    if (!reusedStream)
        ++m_openedConnections;
    call->start(request, options, std::move(reusedStream));
    return std::shared_ptr<client_call>(call.get(), [call](client_call*) { call->cancel(); });
}

std::shared_ptr<tcp_stream> client::popIdleConnection(const ip_endpoint& server)
{
    const auto it = m_idleConnections.find(server);
    if (it == m_idleConnections.end())
        return nullptr;
    const time_point now = monotonicNow();
    while (!it->second.empty()) {
        idle_connection connection = std::move(it->second.back());
        it->second.pop_back();
        // Bytes that are unread belong to an earlier request.
        if (connection.stream->isOpen() && connection.expiresAt > now && connection.stream->unreadBytes() == 0)
            return connection.stream;
    }
    return nullptr;
}

void client::dropIdleConnection(const ip_endpoint& server)
{
    const auto position = m_idleConnections.find(server);
    if (position != m_idleConnections.end() && !position->second.empty())
        position->second.pop_back();
}

void client::storeIdleConnection(const ip_endpoint& server, std::shared_ptr<tcp_stream> stream, milliseconds lifetime)
{
    // Bytes received on an idle connection belong to no request, so the connection cannot be reused.
    tcp_stream* const raw = stream.get();
    tcp_stream::callbacks streamCallbacks;
    streamCallbacks.onBytes = [raw](std::string_view) { raw->close(); };
    stream->setCallbacks(std::move(streamCallbacks));
    m_idleConnections[server].push_back({ std::move(stream), monotonicNow() + lifetime });
}

void client::closeIdleConnections(const ip_endpoint& server)
{
    m_idleConnections.erase(server);
}

void client::removeExpired()
{
    const time_point now = monotonicNow();
    for (auto& [server, connections] : m_idleConnections)
        std::erase_if(connections, [now](const auto& item) { return !item.stream->isOpen() || item.expiresAt <= now; });
    std::erase_if(m_idleConnections, [](const auto& item) { return item.second.empty(); });
}
}
