/// A TCP client socket outside the event loop, with a small receive buffer, that can stop acknowledging.
#pragma once

#include "base/endpoint.hpp"

#include <arpa/inet.h>
#include <array>
#include <criterion/criterion.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>

namespace bilberryseam::tests {

/// One connection whose bytes are read only when the test asks for them. The kernel acknowledges segments meanwhile.
class plain_socket {
public:
    /// @param receiveBufferBytes  Size of the receive buffer; 0 for the default.
    explicit plain_socket(const ip_endpoint& server, int receiveBufferBytes = 0)
        : m_descriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        if (receiveBufferBytes > 0)
            setsockopt(m_descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof receiveBufferBytes);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(server.port);
        inet_pton(AF_INET, server.address.c_str(), &address.sin_addr);
        cr_assert_eq(connect(m_descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address), 0, "the connection was refused");
    }
    plain_socket(const plain_socket&) = delete;
    plain_socket& operator=(const plain_socket&) = delete;
    ~plain_socket() { ::close(m_descriptor); }

    void write(std::string_view bytes) const
    {
        cr_assert_eq(send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL), static_cast<ssize_t>(bytes.size()));
    }

    /// Reads at most `maxBytes` of what has arrived, without waiting.
    /// @return False once the connection has ended.
    bool read(size_t maxBytes)
    {
        std::string block(maxBytes, '\0');
        const ssize_t count = recv(m_descriptor, block.data(), block.size(), MSG_DONTWAIT);
        if (count < 0)
            return errno == EAGAIN;
        received.append(block, 0, static_cast<size_t>(count));
        return count > 0;
    }

    /// Drops all further segments of the peer before TCP sees them, as if the host were gone.
    void dropIncoming() const
    {
        std::array<sock_filter, 1> program { { BPF_STMT(BPF_RET | BPF_K, 0) } };
        const sock_fprog filter { program.size(), program.data() };
        cr_assert_eq(setsockopt(m_descriptor, SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof filter), 0);
    }

    std::string received;

private:
    int m_descriptor;
};
}
