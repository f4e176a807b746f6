/// Network endpoints: an IP address and a port. Host names are not resolved.
#pragma once

#include "base/result.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace bilberryseam {

/// An IP address and a TCP port.
struct ip_endpoint {
    std::string address;
    uint16_t port = 0;

    auto operator<=>(const ip_endpoint&) const = default;

    /// @return `a.b.c.d:port` or `[v6]:port`.
    [[nodiscard]] std::string toString() const;

    /// @param text      `a.b.c.d:port` or `[v6]:port`.
    /// @param location  Source of the text, for the error message.
    /// @return The endpoint, or `InvalidSettings`.
    [[nodiscard]] static result<ip_endpoint> parse(std::string_view text, std::string_view location = {});
};
}
