/// Boost.Beast helpers shared by the HTTP/1.1 server and client.
#pragma once

#include "http1/message.hpp"

#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/status.hpp>
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

/// @return The start line, the header fields and the empty line of a message. Boost.Beast cannot hold values over 65,533 bytes.
/// @param ownFields  Replace fields of the same name in `headers`.
[[nodiscard]] std::string serializeHead(std::string_view startLine, const header_list& headers, const header_list& ownFields);

[[nodiscard]] std::string statusLine(unsigned status);

/// Passes bytes to a parser until it is done, fails or consumes no more.
/// @return The number of consumed bytes; `problem` is empty, `need_more`, or the failure.
template <typename Parser>
[[nodiscard]] size_t feed(Parser& parser, std::string_view bytes, beast::error_code& problem)
{
    size_t consumed = 0;
    while (consumed < bytes.size() && !parser.is_done()) {
        problem = {};
        size_t count = 0;
        try {
            count = parser.put(boost::asio::const_buffer(bytes.data() + consumed, bytes.size() - consumed), problem);
        } catch (const std::length_error&) {
            // The parser throws for a field that it cannot hold.
            problem = http::error::header_limit;
        }
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
