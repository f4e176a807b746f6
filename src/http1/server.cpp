#include "http1/server.hpp"

#include "http1/detail/server_connection.hpp"

#include <algorithm>

namespace bilberryseam::http1 {

namespace {
    constexpr milliseconds checkPeriod { 250 };

    /// Connections beyond the limit that are kept until their request can be refused.
    constexpr size_t maxConnectionsOverLimit = 128;
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
    header_list ownFields { { std::string(framingName), std::string(framingValue) } };
    if (m_connection->decideClose())
        ownFields.emplace_back("Connection", "close");
    std::string bytes = detail::serializeHead(detail::statusLine(status), headers, ownFields);
    bytes.append(body);
    m_connection->stream().write(bytes);
    m_connection->countUnsent(m_bufferedBytes);
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
    m_connection->countUnsent(m_bufferedBytes);
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

void exchange::endConnection()
{
    m_connection->setLastRequest();
}

size_t exchange::pendingBytes() const
{
    return m_connection->stream().pendingBytes();
}

size_t exchange::pendingLimit(size_t largest) const noexcept
{
    return m_connection->memory().unsentLimit(largest);
}

bool exchange::holdBody(size_t bytes)
{
    return m_connection->memory().grow(policy::memory_use::Held, policy::requestOverheadBytes + bytes);
}

void exchange::setBufferedBytes(size_t bytes)
{
    if (m_isFinished || m_bufferedBytes == bytes)
        return;
    m_bufferedBytes = bytes;
    m_connection->countUnsent(bytes);
}

server::server(const ip_endpoint& address, std::function<server_limits()> limits, handler onRequest, std::shared_ptr<client_memory_budget> memory)
    : m_limits(std::move(limits))
    , m_onRequest(std::move(onRequest))
    , m_memory(std::move(memory))
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
    if (m_connections.size() >= maxConnections)
        freePlaces(m_connections.size() - maxConnections + 1);
    const bool isOverLimit = m_connections.size() >= maxConnections;
    if (m_connections.size() >= maxConnections + maxConnectionsOverLimit) {
        if (m_onRefused)
            m_onRefused(0, "The connection limit is reached; the new connection was closed.");
        stream->close();
        return;
    }
    if (m_memory)
        m_listener.limitReceiveBuffers(policy::receiveBufferLimit(m_memory->memory(), m_connections.size()));
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

void server::freePlaces(size_t count)
{
    std::vector<std::shared_ptr<detail::server_connection>> connections;
    std::vector<policy::open_connection> states;
    for (const auto& connection : m_connections) {
        if (!connection->isOpen())
            continue;
        connections.push_back(connection);
        states.push_back(connection->placeState());
    }
    for (const size_t index : policy::yieldingConnections(states, count, monotonicNow())) {
        if (m_memory)
            m_memory->report(pressure_event::PlaceYielded);
        // A refused request would keep the place for a moment.
        connections[index]->closeForPlace();
    }
    std::erase_if(m_connections, [](const auto& connection) { return !connection->isOpen(); });
}

size_t server::unfinishedConnections() const noexcept
{
    return static_cast<size_t>(std::count_if(m_connections.begin(), m_connections.end(), [](const auto& connection) { return connection->isUnfinished(); }));
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
