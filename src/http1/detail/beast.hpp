/// Boost.Beast helpers shared by the HTTP/1.1 server and client.
#pragma once

#include "http1/message.hpp"

#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>

namespace bilberryseam::http1::detail {

namespace beast = boost::beast;
namespace http = boost::beast::http;

/// @return The header fields of a parsed message.
template <typename Message>
[[nodiscard]] header_list headersOf(const Message& message)
{
    header_list headers;
    for (const auto& field : message.base())
        headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    return headers;
}

/// @return The serialized start line and header fields of a message.
template <bool IsRequest>
[[nodiscard]] std::string serializeHead(http::message<IsRequest, http::empty_body>& message)
{
    http::serializer<IsRequest, http::empty_body> serializer(message);
    serializer.split(true);
    std::string bytes;
    beast::error_code problem;
    serializer.next(problem, [&](beast::error_code&, const auto& buffers) { bytes = beast::buffers_to_string(buffers); });
    return bytes;
}

/// Passes bytes to a parser until it is done, fails or consumes no more.
/// @return The number of consumed bytes; `problem` is empty, `need_more`, or the failure.
template <typename Parser>
[[nodiscard]] size_t feed(Parser& parser, std::string_view bytes, beast::error_code& problem)
{
    size_t consumed = 0;
    while (consumed < bytes.size() && !parser.is_done()) {
        problem = {};
        const size_t count = parser.put(boost::asio::const_buffer(bytes.data() + consumed, bytes.size() - consumed), problem);
        consumed += count;
        if (problem || count == 0)
            break;
    }
    return consumed;
}

/// Passes bytes to a parser, behind those that it has not consumed before.
/// @param unconsumed  Receives the bytes that remain; occupies no memory if there are none.
template <typename Parser>
void feedBuffered(Parser& parser, std::string& unconsumed, std::string_view bytes, beast::error_code& problem)
{
    if (unconsumed.empty()) {
        unconsumed.assign(bytes.substr(feed(parser, bytes, problem)));
        return;
    }
    unconsumed.append(bytes);
    unconsumed.erase(0, feed(parser, unconsumed, problem));
    if (unconsumed.empty())
        std::string().swap(unconsumed);
}
}
