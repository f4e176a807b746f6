/// The memory that clients may have a process hold: who gets more of it, and which connection yields under pressure.
#pragma once

#include "base/time.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace bilberryseam::policy {

/// What the bytes are that a connection holds.
enum class memory_use {
    /// A request, or a message, that has not been received whole.
    Receiving,
    /// A whole request until its response is complete, with its copies on the way to a target.
    Held,
    /// Bytes received behind a request that has no complete response.
    ReadAhead,
    /// Bytes of responses that the client has not taken.
    Unsent,
    /// Bytes that the kernel keeps because reading is paused.
    Unread,
};

constexpr size_t memoryUseCount = 5;

/// @return The name used in metrics.
[[nodiscard]] std::string_view nameOf(memory_use use) noexcept;

struct client_memory_limits {
    /// Bytes of all connections of the process.
    size_t total = 48 * 1024 * 1024;
    /// Bytes of the largest request, including its copies. It is granted also if it exceeds the part of `total` that large requests
    /// may use, as long as nobody else holds much.
    size_t largestRequest = 8 * 1024 * 1024;
};

/// Memory of a request apart from its bytes.
constexpr size_t requestOverheadBytes = 16 * 1024;

/// A request that holds no more than this may use the part of the memory that larger ones leave free.
constexpr size_t smallRequestBytes = 64 * 1024;

/// Share of the memory that only small requests may use.
constexpr double smallRequestShare = 0.25;

/// Share of the memory for responses that clients have not taken.
constexpr double unsentShare = 0.5;

/// Share of the memory for bytes behind unfinished requests, also if the kernel keeps them.
constexpr double readAheadShare = 0.25;

/// Share of the memory for what the kernel has received and the process has not read.
constexpr double receiveBufferShare = 0.125;

/// A connection counts as making progress while this many bytes arrive or leave.
constexpr size_t progressBytes = 16 * 1024;

/// @return Bytes of a request of the largest allowed size.
/// @param copies  Number of times that its body is held.
[[nodiscard]] constexpr size_t bytesOfLargestRequest(size_t headerBytes, size_t bodyBytes, size_t copies) noexcept
{
    return requestOverheadBytes + headerBytes + copies * bodyBytes;
}

/// What one connection holds.
struct memory_holder {
    std::array<size_t, memoryUseCount> bytes {};
    /// When the request began, or when the last `progressBytes` were complete.
    time_point progressAt {};
    /// The connection can yield: what it holds has not been passed on, or its client does not take it.
    bool canYield = false;

    [[nodiscard]] size_t total() const noexcept;
};

using holder_id = uint64_t;

/// All connections that hold bytes.
struct client_memory {
    client_memory_limits limits;
    std::map<holder_id, memory_holder> holders;
    std::array<size_t, memoryUseCount> bytes {};

    [[nodiscard]] size_t total() const noexcept;
    [[nodiscard]] size_t bytesOf(memory_use use) const noexcept { return bytes[static_cast<size_t>(use)]; }
};

/// Sets what a connection holds, whether it fits or not; adds the connection if it is new.
void setHeld(client_memory& memory, holder_id id, memory_use use, size_t bytes);

/// Removes a connection with all that it holds.
void removeHolder(client_memory& memory, holder_id id) noexcept;

/// Whether a connection may hold more.
struct growth_decision {
    bool isGranted = false;
    /// Connections that yield first; empty unless granted.
    std::vector<holder_id> yielding;
};

/// Decides whether a connection may hold `bytes` for a use instead of what it holds for it now. Under pressure, the unfinished
/// request that has held most for the longest time without progress yields, which may be the one that grows.
/// @return The decision; nothing is changed.
[[nodiscard]] growth_decision decideGrowth(const client_memory& memory, holder_id id, memory_use use, size_t bytes, time_point now);

/// Default for the part of a response that one connection may hold when all memory is free, and the part when none is.
constexpr size_t maxUnsentBytes = 256 * 1024;
constexpr size_t minUnsentBytes = 8 * 1024;

/// @param largest  Limit while there is enough memory.
/// @return Bytes of a response that one connection may hold: the fewer are left for all, the fewer for each.
[[nodiscard]] size_t unsentLimit(const client_memory& memory, size_t largest = maxUnsentBytes) noexcept;

/// What one connection may hold behind an unfinished request when all memory is free, and when none is.
constexpr size_t maxReadAheadBytes = 16 * 1024;
constexpr size_t minReadAheadBytes = 1024;

/// @return Bytes behind an unfinished request that one connection may hold.
[[nodiscard]] size_t readAheadLimit(const client_memory& memory) noexcept;

/// Largest receive buffer that the kernel keeps for one connection: several of the largest segments, which have 64 KiB on loopback,
/// since TCP opens a closed window only for a whole one.
constexpr size_t maxReceiveBufferBytes = 128 * 1024;

/// @param connections  Number of open connections of the server.
/// @return Bytes that the kernel may receive for a further one before they are read: the more there are, the fewer.
[[nodiscard]] size_t receiveBufferLimit(const client_memory& memory, size_t connections) noexcept;

/// Memory of a session of another process, apart from its messages.
constexpr size_t sessionBytes = 10 * 1024;

/// Share of the memory for sessions.
constexpr double sessionShare = 0.5;

/// @return Number of sessions that one server may keep, so that sessions leave memory for requests.
[[nodiscard]] size_t maxSessions(const client_memory& memory) noexcept;

/// @param backlogs  Unacknowledged bytes of each session of one server; they count as unsent.
/// @return Indices of the sessions that end, the largest first, so that unsent bytes stay within their share.
[[nodiscard]] std::vector<size_t> yieldingBacklogs(const client_memory& memory, std::span<const size_t> backlogs);

/// What an open connection does, as far as it matters when there are too many.
struct open_connection {
    enum class activity {
        /// A request is being received, or none has been yet.
        Waiting,
        /// A request has been answered, and none has followed.
        Kept,
        /// A request has no complete response.
        Busy,
    };
    activity state = activity::Waiting;
    /// Beginning of the state, or of the last progress of the request.
    time_point since {};
};

/// A connection does not yield its place sooner.
constexpr milliseconds minConnectionAge { 500 };

/// @return Indices of at most `count` connections that yield their places to new ones, the longest without progress first; those
/// that have brought a request come last.
[[nodiscard]] std::vector<size_t> yieldingConnections(std::span<const open_connection> connections, size_t count, time_point now);
}
