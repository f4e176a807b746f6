#include "base/endpoint.hpp"

#include <arpa/inet.h>
#include <charconv>

namespace bilberryseam {

namespace {
    bool isIpAddress(const std::string& address)
    {
        unsigned char buffer[sizeof(in6_addr)];
        return inet_pton(AF_INET, address.c_str(), buffer) == 1 || inet_pton(AF_INET6, address.c_str(), buffer) == 1;
    }
}

std::string ip_endpoint::toString() const
{
    const bool isV6 = address.find(':') != std::string::npos;
    return (isV6 ? "[" + address + "]" : address) + ":" + std::to_string(port);
}

result<ip_endpoint> ip_endpoint::parse(std::string_view text, std::string_view location)
{
    const auto makeError = [&] {
        return error(error_kind::InvalidSettings, "\"" + std::string(text) + "\" is not an IP number and port.",
            "Write it as 10.0.0.7:8080 or [fd00::7]:8080; host names are not looked up.", location);
    };
    const size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return makeError();
    std::string_view host = text.substr(0, colon);
    const std::string_view portText = text.substr(colon + 1);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    ip_endpoint endpoint { std::string(host), 0 };
    const auto [end, code] = std::from_chars(portText.data(), portText.data() + portText.size(), endpoint.port);
    if (code != std::errc {} || end != portText.data() + portText.size() || !isIpAddress(endpoint.address))
        return makeError();
    return endpoint;
}
}
