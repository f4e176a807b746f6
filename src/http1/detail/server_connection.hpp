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
    [[nodiscard]] tcp_stream& stream() noexcept { return *m_stream; }
    /// Called when the head of a response is sent.
    /// @return True if the response announces the close of the connection.
    [[nodiscard]] bool decideClose() noexcept;
    void setMustClose() noexcept { m_mustClose = true; }
    /// Called when the response is complete; continues with the next request or closes the connection.
    void onResponseComplete();
    /// Closes the connection if it has no request and the client has received the last response. A request that arrives later is
    /// not read, and the client's host sees a reset.
    void closeIfIdle();
    /// Refuses the request that is being received, if there is one.
    void refuseIfReading(const header_list& headers);
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
    void parse();
    bool beginRequest();
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
