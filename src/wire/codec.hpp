/// CBOR encoding of frames and handshakes. Decoding checks every type, length and bound.
#pragma once

#include "base/result.hpp"
#include "wire/message.hpp"

#include <string>
#include <string_view>

namespace bilberryseam::wire {

/// Maximum number of messages in one frame.
constexpr size_t maxMessagesPerFrame = 4096;

/// Maximum size of a text field, in bytes.
constexpr size_t maxTextBytes = 4 * 1024 * 1024;

/// Maximum length of one list inside a message: configuration records, task inputs, result handles.
constexpr size_t maxListItems = 4096;

/// @return The frame as CBOR.
[[nodiscard]] std::string encodeFrame(const frame& value);

/// @return The frame, or `InvalidMessage` or `LimitExceeded`.
[[nodiscard]] result<frame> decodeFrame(std::string_view bytes);

[[nodiscard]] std::string encodeHello(const hello& value);
[[nodiscard]] result<hello> decodeHello(std::string_view bytes);
[[nodiscard]] std::string encodeWelcome(const welcome& value);
[[nodiscard]] result<welcome> decodeWelcome(std::string_view bytes);
}
