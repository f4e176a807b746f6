/// One connection of the HTTP/1.1 server.
#pragma once

#include "http1/detail/beast.hpp"
#include "http1/server.hpp"

namespace bilberryseam::http1::detail {

/// Reads requests one after the other; reads on while an answer is due, to see the client leave.
class server_connection : public std::enable_shared_from_this<server_connection> {
public:
    server_connection(server& owner, std::shared_ptr<tcp_stream> stream);

    void start();
    /// Ends the connection if its time is up.
    void checkTime(time_point now, const server_limits& limits);
    /// The owner is going away.
    void orphan();

    [[nodiscard]] bool isOpen() const noexcept { return m_stream->isOpen(); }
    [[nodiscard]] tcp_stream& stream() noexcept { return *m_stream; }
    [[nodiscard]] bool mustClose() const noexcept;
    void setMustClose() noexcept { m_mustClose = true; }
    /// The answer is whole; the next request may be read.
    void answered();
    /// The exchange is over without a whole answer.
    void cut();

private:
    enum class phase {
        Idle,
        Reading,
        Answering,
        Lingering,
    };

    void take(std::string_view bytes);
    void parse();
    bool beginMessage();
    void headerDone();
    void messageDone();
    void refuse(unsigned status, std::string_view why);
    void ended();
    void linger();

    using request_parser = http::request_parser<http::string_body>;

    server* m_owner;
    std::shared_ptr<tcp_stream> m_stream;
    std::optional<request_parser> m_parser;
    std::string m_in;
    phase m_phase = phase::Idle;
    bool m_mustClose = false;
    bool m_isHeaderDone = false;
    time_point m_since {};
    time_point m_arrivedAt {};
    exchange* m_current = nullptr;
};
}
