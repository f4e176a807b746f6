/// One connection of the HTTP/1.1 server.
#pragma once

#include "http1/detail/beast.hpp"
#include "http1/server.hpp"

namespace bilberryseam::http1::detail {

/// Processes the requests of one connection in sequence. Reading continues while a response is pending, to detect a disconnect.
class server_connection : public std::enable_shared_from_this<server_connection> {
public:
    /// @param isOverLimit  The server had too many connections when this one was accepted; it refuses requests as long as that holds.
    server_connection(server& owner, std::shared_ptr<tcp_stream> stream, bool isOverLimit);

    void start();
    /// Closes the connection, or refuses its request, if a timeout expired.
    void enforceTimeouts(time_point now, const server_limits& limits);
    /// Reports the connection if it ends now and a request has no complete response.
    void reportUnfinished(std::string_view reason) const;
    /// Called by the server's destructor; the connection processes no further requests.
    void detachServer();

    [[nodiscard]] bool isOpen() const noexcept { return m_stream->isOpen(); }
    /// @return True if a request is not completely received, or a response is not completely sent.
    [[nodiscard]] bool isUnfinished() const noexcept { return isOpen() && (m_phase == phase::Reading || m_phase == phase::Responding || m_stream->pendingBytes() > 0); }
    [[nodiscard]] tcp_stream& stream() noexcept { return *m_stream; }
    /// Called when the head of a response is sent.
    /// @return True if the response announces the close of the connection.
    [[nodiscard]] bool decideClose() noexcept;
    void setMustClose() noexcept { m_mustClose = true; }
    void setLastRequest() noexcept { m_isLastRequest = true; }
    /// Called when the response is complete; continues with the next request or closes the connection.
    void onResponseComplete();
    /// Closes the connection if it has no request and the client has received the last response. A request that arrives later is
    /// not read, and the client's host sees a reset.
    void closeIfIdle();
    /// Refuses the request that is being received, if there is one.
    void refuseIfReading(const header_list& headers);
    /// @return What the connection does, for the choice of one that yields its place.
    [[nodiscard]] policy::open_connection placeState() const noexcept;
    /// Frees what the connection holds: refuses the request that is being received, or closes the connection.
    void yield();
    /// Closes the connection in favour of a new one; refuses the request that is being received.
    void closeForPlace();
    [[nodiscard]] client_memory_share& memory() noexcept { return m_memory; }
    /// Counts the bytes of responses that the client has not taken.
    /// @param bufferedBytes  Further bytes that are kept elsewhere.
    void countUnsent(size_t bufferedBytes);
    /// Resets the connection because the exchange ended without a complete response.
    void abort();
    /// Hands over the connection; it stays in the phase of a pending response.
    [[nodiscard]] std::shared_ptr<tcp_stream> release();

private:
    enum class phase {
        Idle,
        Reading,
        Responding,
        Lingering,
    };

    void handleBytes(std::string_view bytes);
    /// @param bytes  Bytes behind those in the read buffer.
    void parse(std::string_view bytes);
    /// @return False if there is no request yet; skips the empty lines before one.
    bool beginRequest(std::string_view& bytes);
    /// @return False if there is no memory for the bytes, and the request was refused.
    [[nodiscard]] bool reserve(size_t bytes);
    [[nodiscard]] size_t bodyBytes() const;
    void readAhead(std::string_view bytes);
    void resumeReading();
    void onHeaderComplete();
    void onRequestComplete();
    void refuse(unsigned status, std::string_view reason, const header_list& headers = {});
    void onClosed(close_reason reason);
    void startLingering();
    /// @return True if the connection needs no more time: nothing happened for `timeout`, and the client has received the last
    /// response or does not read it.
    [[nodiscard]] bool isDone(time_point now, milliseconds timeout);
    void closeUnfinished(std::string_view reason);

    using request_parser = http::request_parser<http::string_body>;

    server* m_server;
    std::shared_ptr<tcp_stream> m_stream;
    client_memory_share m_memory;
    std::optional<request_parser> m_parser;
    std::string m_readBuffer;
    /// Bytes that were read since the last complete response.
    size_t m_unansweredBytes = 0;
    phase m_phase = phase::Idle;
    bool m_isOverLimit;
    bool m_mustClose = false;
    bool m_isLastRequest = false;
    bool m_isCloseAnnounced = false;
    bool m_isHeaderDone = false;
    bool m_isReadingPaused = false;
    bool m_hasServed = false;
    /// Bytes since the last progress of the request that is being read, and when that was.
    size_t m_bytesSinceProgress = 0;
    time_point m_progressAt {};
    /// Bytes of responses that were not sent at the last check, and since when the client takes none.
    size_t m_unsentBytes = 0;
    time_point m_unsentSince {};
    size_t m_bodyCopies = 1;
    /// Limits of the request that is being read, as they were when the request began.
    milliseconds m_headerTimeout {};
    /// Longest line in front of a chunk, and largest trailer. The parser consumes neither before its end.
    size_t m_maxUnparsedBytes = 0;
    time_point m_lastProgressAt {};
    /// Written bytes that the client had not acknowledged when a timeout was last about to expire.
    size_t m_unacknowledgedBytes = 0;
    time_point m_arrivedAt {};
    exchange* m_currentExchange = nullptr;
};
}
