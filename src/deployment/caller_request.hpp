/// What a caller asks for, decoded from its request.
#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bilberryseam::deployment {

/// A part of a prompt that other requests may share.
struct prompt_segment {
    std::string id;
    uint64_t tokens = 0;
};

/// The prompt of a request for generated tokens.
struct generation_request {
    std::string model;
    uint64_t promptTokens = 0;
    uint64_t maxOutputTokens = 0;
    /// In order; the last one belongs to the request or its session.
    std::vector<prompt_segment> segments;

    /// @return Tokens of the parts that other requests may share.
    [[nodiscard]] uint64_t sharedTokens() const noexcept
    {
        uint64_t sum = 0;
        for (size_t i = 0; i + 1 < segments.size(); ++i)
            sum += segments[i].tokens;
        return sum;
    }
};

/// A caller's request, without its bytes.
struct caller_request {
    /// Identifier of this attempt of the caller.
    std::string id;
    std::string host;
    /// How long the caller waits, from the request's arrival; zero if it does not tell.
    milliseconds deadline { 0 };
    std::string apiKey;
    std::optional<generation_request> generation;
    /// Number of pieces of each stage; zero leaves the stage out.
    std::vector<uint32_t> taskCounts;
    /// Names the inputs of stages that take no results.
    std::string taskKey;
};
}
