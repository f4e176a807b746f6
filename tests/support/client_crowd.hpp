/// Many clients that ignore the limits of a server, and what the server's process holds meanwhile.
#pragma once

#include "base/endpoint.hpp"
#include "base/time.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <criterion/criterion.h>
#include <criterion/logging.h>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>
#include <glib.h>
#include <netinet/in.h>
#include <sstream>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace bilberryseam::tests {

/// Bytes that a client sends: a start, a unit that is repeated, and an end.
struct client_script {
    std::string start;
    std::string unit;
    size_t repetitions = 0;
    std::string end;
    /// Reads nothing of the response.
    bool isUnread = false;
};

/// @param body  Bytes of the body that are sent; the body is not ended.
/// @param chunk  Size of each chunk.
[[nodiscard]] inline client_script chunkedScript(const std::string& head, size_t body, size_t chunk)
{
    std::array<char, 32> line {};
    std::snprintf(line.data(), line.size(), "%zx\r\n", chunk);
    return { .start = head + "Transfer-Encoding: chunked\r\n\r\n", .unit = line.data() + std::string(chunk, 'x') + "\r\n", .repetitions = body / chunk };
}

/// @param announced  Value of `Content-Length`.
/// @param body       Bytes of the body that are sent.
[[nodiscard]] inline client_script lengthScript(const std::string& head, size_t announced, size_t body)
{
    return { .start = head + "Content-Length: " + std::to_string(announced) + "\r\n\r\n", .unit = std::string(1024, 'x'), .repetitions = body / 1024, .end = std::string(body % 1024, 'x') };
}

/// @return The start of a WebSocket frame of a client. Its mask of zeros leaves the content as it is.
[[nodiscard]] inline std::string frameStart(uint64_t contentBytes)
{
    std::string start = "\x82\xff";
    for (int shift = 56; shift >= 0; shift -= 8)
        start.push_back(static_cast<char>(contentBytes >> shift));
    return start.append(4, '\0');
}

/// @return The opening handshake of a WebSocket, and a first message.
[[nodiscard]] inline std::string webSocketStart(const std::string& first)
{
    std::string start = "GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n\r\n";
    if (!first.empty())
        start.append("\x82").append(1, static_cast<char>(0x80 | first.size())).append(4, '\0').append(first);
    return start;
}

/// @param first  Content of the first message; empty for none.
/// @param body   Bytes of a further message that are sent, one less than it has.
[[nodiscard]] inline client_script unfinishedMessageScript(const std::string& first, size_t body)
{
    return { .start = webSocketStart(first) + frameStart(body + 1), .unit = std::string(1024, 'x'), .repetitions = body / 1024 };
}

[[nodiscard]] inline client_script wholeMessageScript(const std::string& first, const std::string& second)
{
    return { .start = webSocketStart(first) + frameStart(second.size()) + second };
}

/// Clients that send the same script at the same time, and keep their connections open until the crowd is destroyed.
class client_crowd {
public:
    client_crowd(const ip_endpoint& server, size_t size, client_script script)
        : client_crowd(server, size, script, [start = script.start](size_t) { return start; })
    {
    }

    /// @param startOf  Returns the start of the client with an index; replaces that of the script.
    client_crowd(const ip_endpoint& server, size_t size, client_script script, const std::function<std::string(size_t index)>& startOf)
        : m_script(std::move(script))
        , m_bodyBytes(m_script.unit.size() * m_script.repetitions)
    {
        constexpr size_t blockBytes = 64 * 1024;
        while (!m_script.unit.empty() && m_block.size() < blockBytes)
            m_block.append(m_script.unit);
        for (size_t i = 0; i < size; ++i)
            m_clients.push_back({ connectTo(server, m_script.isUnread), startOf(i), 0, "" });
    }
    client_crowd(const client_crowd&) = delete;
    client_crowd& operator=(const client_crowd&) = delete;
    ~client_crowd()
    {
        for (const client& item : m_clients)
            ::close(item.descriptor);
    }

    /// Sends until all clients are done or closed, or the server takes no more bytes; runs the loop meanwhile.
    /// @param onRound  Called once in each round.
    void run(const std::function<void()>& onRound)
    {
        constexpr milliseconds stallTime { 1000 };
        constexpr milliseconds maxTime { 60000 };
        const time_point startedAt = monotonicNow();
        time_point progressAt = startedAt;
        while (monotonicNow() - progressAt < stallTime && monotonicNow() - startedAt < maxTime) {
            bool hasProgress = false;
            for (client& item : m_clients)
                hasProgress = advance(item) || hasProgress;
            onRound();
            while (g_main_context_iteration(nullptr, FALSE)) { }
            if (hasProgress)
                progressAt = monotonicNow();
            else
                usleep(2000);
        }
    }

    /// @return Number of clients whose received bytes begin with the text.
    [[nodiscard]] size_t countResponses(std::string_view start) const
    {
        size_t count = 0;
        for (const client& item : m_clients)
            count += item.received.starts_with(start) ? 1 : 0;
        return count;
    }

private:
    struct client {
        int descriptor;
        std::string start;
        size_t sent;
        std::string received;
    };

    static int connectTo(const ip_endpoint& server, bool isUnread)
    {
        const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        constexpr int smallBuffer = 4096;
        if (isUnread)
            setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &smallBuffer, sizeof smallBuffer);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(server.port);
        inet_pton(AF_INET, server.address.c_str(), &address.sin_addr);
        cr_assert_eq(connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address), 0, "a connection was refused");
        return descriptor;
    }

    [[nodiscard]] std::string_view nextBytes(const client& item) const
    {
        if (item.sent < item.start.size())
            return std::string_view(item.start).substr(item.sent);
        const size_t bodySent = item.sent - item.start.size();
        if (bodySent < m_bodyBytes)
            return std::string_view(m_block).substr(bodySent % m_block.size()).substr(0, m_bodyBytes - bodySent);
        return std::string_view(m_script.end).substr(std::min(bodySent - m_bodyBytes, m_script.end.size()));
    }

    /// @return True if bytes were sent or received.
    bool advance(client& item)
    {
        bool hasProgress = false;
        if (const std::string_view bytes = nextBytes(item); !bytes.empty()) {
            const ssize_t count = send(item.descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
            hasProgress = count > 0;
            item.sent += count > 0 ? static_cast<size_t>(count) : 0;
        }
        std::array<char, 4096> block;
        const ssize_t count = m_script.isUnread ? -1 : recv(item.descriptor, block.data(), block.size(), MSG_DONTWAIT);
        if (count > 0)
            item.received.append(block.data(), std::min<size_t>(static_cast<size_t>(count), 64));
        return hasProgress || count > 0;
    }

    client_script m_script;
    size_t m_bodyBytes;
    std::string m_block;
    std::vector<client> m_clients;
};

/// What a process holds; read from the kernel.
class process_watch {
public:
    /// @param ports  Ports that the process listens on.
    process_watch(std::string processId, std::vector<uint16_t> ports)
        : m_processId(std::move(processId))
        , m_ports(std::move(ports))
    {
    }

    /// Records the bytes that were received for the process and not read yet.
    void sample()
    {
        constexpr milliseconds samplePeriod { 20 };
        if (monotonicNow() - m_sampledAt < samplePeriod)
            return;
        m_sampledAt = monotonicNow();
        m_peakUnreadBytes = std::max(m_peakUnreadBytes, unreadBytes());
        m_peakDescriptors = std::max(m_peakDescriptors, descriptors());
    }

    /// @return Resident memory at its peak, with the unread bytes at their peak.
    [[nodiscard]] size_t peakBytes() const { return peakResidentBytes() + m_peakUnreadBytes; }
    [[nodiscard]] size_t peakUnreadBytes() const noexcept { return m_peakUnreadBytes; }
    [[nodiscard]] size_t peakDescriptors() const noexcept { return m_peakDescriptors; }

    /// Logs the peaks, for reports.
    void log() const { cr_log_info("peak: %zu bytes, %zu of them unread, %zu descriptors", peakBytes(), m_peakUnreadBytes, m_peakDescriptors); }

    /// @return False once the process has ended.
    [[nodiscard]] bool isAlive() const { return peakResidentBytes() > 0; }

private:
    [[nodiscard]] size_t peakResidentBytes() const
    {
        std::ifstream status("/proc/" + m_processId + "/status");
        for (std::string line; std::getline(status, line);) {
            if (line.starts_with("VmHWM:"))
                return std::stoul(line.substr(6)) * 1024;
        }
        return 0;
    }

    [[nodiscard]] size_t descriptors() const
    {
        std::error_code problem;
        const std::filesystem::directory_iterator items("/proc/" + m_processId + "/fd", problem);
        return problem ? 0 : static_cast<size_t>(std::distance(begin(items), end(items)));
    }

    [[nodiscard]] size_t unreadBytes() const
    {
        constexpr std::string_view listening = "0A";
        std::ifstream table("/proc/net/tcp");
        size_t sum = 0;
        std::string line;
        std::getline(table, line);
        while (std::getline(table, line)) {
            std::istringstream fields(line);
            std::string number;
            std::string local;
            std::string remote;
            std::string state;
            std::string queues;
            fields >> number >> local >> remote >> state >> queues;
            const auto port = static_cast<uint16_t>(std::stoul(local.substr(local.find(':') + 1), nullptr, 16));
            if (state != listening && std::find(m_ports.begin(), m_ports.end(), port) != m_ports.end())
                sum += std::stoul(queues.substr(queues.find(':') + 1), nullptr, 16);
        }
        return sum;
    }

    std::string m_processId;
    std::vector<uint16_t> m_ports;
    size_t m_peakUnreadBytes = 0;
    size_t m_peakDescriptors = 0;
    time_point m_sampledAt {};
};

/// Memory of the smallest machine of the deployments in force, in bytes.
constexpr size_t maxProcessBytes = 120'000'000;

/// Descriptors that a process may have open beside the connections of its clients.
constexpr size_t otherDescriptors = 200;

/// The ways in which a crowd sends bodies.
enum class body_kind {
    /// Chunks that end just short of the limit.
    LargeChunks,
    SmallChunks,
    /// One byte less than announced.
    OneByteShort,
    /// A length far over the limit is announced and sent.
    AnnouncedOverLimit,
    /// Chunks far beyond the limit.
    SentOverLimit,
};

/// @param head     Request line and header fields that each request has.
/// @param maxBody  Largest body that the server accepts.
[[nodiscard]] inline client_script bodyScript(body_kind kind, const std::string& head, size_t maxBody)
{
    constexpr size_t largeChunk = 32 * 1024;
    constexpr size_t smallChunk = 8;
    switch (kind) {
    case body_kind::LargeChunks:
        return chunkedScript(head, maxBody - 1, largeChunk);
    case body_kind::SmallChunks:
        return chunkedScript(head, maxBody - 1, smallChunk);
    case body_kind::OneByteShort:
        return lengthScript(head, maxBody, maxBody - 1);
    case body_kind::AnnouncedOverLimit:
        return lengthScript(head, 256 * maxBody, 4 * maxBody);
    case body_kind::SentOverLimit:
        return chunkedScript(head, 4 * maxBody, largeChunk);
    }
    return {};
}
}

/// Defines a test for each kind of body; `run` is called with the kind and with a slot of its own for each test.
#define BILBERRYSEAM_BODY_CROWD_TESTS(suite, run, firstSlot)                                                  \
    Test(suite, large_chunks_short_of_the_limit) { run(body_kind::LargeChunks, firstSlot); }                  \
    Test(suite, small_chunks_short_of_the_limit) { run(body_kind::SmallChunks, (firstSlot) + 1); }            \
    Test(suite, bodies_one_byte_short_of_their_length) { run(body_kind::OneByteShort, (firstSlot) + 2); }     \
    Test(suite, bodies_announced_far_over_the_limit) { run(body_kind::AnnouncedOverLimit, (firstSlot) + 3); } \
    Test(suite, chunks_far_over_the_limit) { run(body_kind::SentOverLimit, (firstSlot) + 4); }
