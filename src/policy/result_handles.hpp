/// Handles of stage results, and the tasks for which targets returned them.
///
/// Load pattern: a faulty target sends the response to an earlier call once more, where that to the next call is expected. The
/// calls of a pool carry no identifier, but a handle names one result, so it cannot be that of another task.
#pragma once

#include "base/hash.hpp"

#include <cstdint>
#include <deque>
#include <string_view>
#include <unordered_map>

namespace bilberryseam::policy {

/// Number of handles that are remembered; the oldest are forgotten first.
constexpr size_t maxResultHandles = 20000;

/// Tasks by the hash of the handle of their result.
struct result_handles {
    std::unordered_map<uint64_t, uint64_t> taskByHandle;
    /// Handles in the order in which they were added.
    std::deque<uint64_t> order;
};

/// @return Hash of a task of a request.
[[nodiscard]] inline uint64_t hashOfTask(std::string_view requestId, uint32_t stage, uint32_t index)
{
    return hashOfPair(hashOf(requestId), hashOfPair(stage, index));
}

/// @return Whether the handle is that of another task's result.
[[nodiscard]] bool isOfOtherTask(const result_handles& handles, std::string_view handle, uint64_t task);

/// Remembers that a handle was returned for a task.
void addHandle(result_handles& handles, std::string_view handle, uint64_t task);
}
