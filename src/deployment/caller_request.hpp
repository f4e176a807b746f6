/// A caller's request, decoded from its header fields.
#pragma once

#include "base/hash.hpp"
#include "base/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bilberryseam::deployment {

/// Largest number of tasks of all stages of one request.
constexpr uint32_t maxTasksPerRequest = 10000;

/// A section of a prompt that other requests may share.
struct prompt_segment {
    std::string id;
    uint64_t tokens = 0;
};

/// Model, prompt and token limits of a request that generates tokens.
struct generation_request {
    std::string model;
    uint64_t promptTokens = 0;
    uint64_t maxOutputTokens = 0;
    /// In prompt order; the last one is specific to the request or its session.
    std::vector<prompt_segment> segments;

    /// @return Tokens of the segments that other requests may share.
    [[nodiscard]] uint64_t sharedTokens() const noexcept
    {
        uint64_t sum = 0;
        for (size_t i = 0; i + 1 < segments.size(); ++i)
            sum += segments[i].tokens;
        return sum;
    }
};

/// @return The hash of each prompt segment that other requests may share, in prompt order.
[[nodiscard]] inline std::vector<uint64_t> sharedSegmentHashes(const generation_request& prompt)
{
    std::vector<uint64_t> hashes;
    for (size_t i = 0; i + 1 < prompt.segments.size(); ++i)
        hashes.push_back(hashOf(prompt.segments[i].id));
    return hashes;
}

/// @return The hash of each prefix of the prompt, which ends with a whole segment, in prompt order.
[[nodiscard]] inline std::vector<uint64_t> prefixHashes(const generation_request& prompt)
{
    std::vector<uint64_t> hashes;
    uint64_t hash = hashOf(prompt.model);
    for (const auto& item : prompt.segments) {
        hash = hashOf(item.id, hash);
        hashes.push_back(hash);
    }
    return hashes;
}

/// A caller's request, without its body.
struct caller_request {
    /// Identifies this attempt of the caller.
    std::string id;
    std::string host;
    /// How long the caller waits, from the request's arrival; zero if not given.
    milliseconds deadline { 0 };
    std::string apiKey;
    std::optional<generation_request> generation;
    /// Number of tasks of each stage; zero skips the stage.
    std::vector<uint32_t> taskCounts;
    /// Identifies the inputs of stages that have no input stages.
    std::string taskKey;
    /// Identifies the earlier request of the caller that brought the first event of the stream; empty if not given.
    std::string continuedRequest;
};
}
