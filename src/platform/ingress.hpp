/// Decodes the header fields of callers' requests and targets' responses, and encodes those that are forwarded.
#pragma once

#include "deployment/caller_request.hpp"
#include "deployment/deployment.hpp"
#include "http1/message.hpp"

#include <span>

namespace bilberryseam::platform {

/// @return The request, or `InvalidRequest` if it lacks a required header field or has a malformed or duplicate one.
[[nodiscard]] result<deployment::caller_request> decodeRequest(const http1::request_head& head);

/// A request as an operator describes it. Empty values are not given.
struct request_description {
    std::string id;
    std::string host;
    std::string path;
    std::string apiKey;
    std::string model;
    /// Number of prompt tokens, then the largest number of output tokens.
    std::string tokenCounts;
    /// Segments of the prompt as `ID:TOKENS`, separated by commas.
    std::string promptSegments;
    /// Number of tasks of each stage, separated by commas.
    std::string taskCounts;
};

/// @return The head with which a caller would send the request.
[[nodiscard]] http1::request_head encodeRequest(const request_description& description);

/// Values that the gateway adds to a request for one target.
struct target_request_fields {
    /// Time until the request's deadline.
    milliseconds timeLeft { 0 };
    std::string_view targetId;
    std::string_view account;
    /// Handles of the stage results that the target takes as inputs.
    std::span<const std::string> inputs;
    /// Identifier of the last event that the caller has received; empty if none.
    std::string_view lastEventId;
};

/// @return The caller's header fields without hop-by-hop fields and fields that callers must not set, and the given values.
[[nodiscard]] http1::header_list encodeTargetHeaders(const http1::request_head& head, const target_request_fields& fields);

/// Path of the platform's readiness check of a gateway.
constexpr std::string_view readyPath = "/v1/ready";

/// Status and decoded header fields of a target's response.
struct target_response {
    unsigned status = 0;
    /// The response carries the identifier of the request that was sent.
    bool isForRequest = false;
    /// The target confirms with a seal that it produced the response.
    bool isSealed = false;
    /// The target states that it did not execute the request.
    bool isNotExecuted = false;
    /// The address now belongs to another target.
    bool isWrongTarget = false;
    /// An input of the request no longer exists, so the target did not execute it.
    bool isInputMissing = false;
    /// The response has a content encoding, so its body may not be the bytes that the target produced.
    bool isEncoded = false;
};

[[nodiscard]] target_response decodeResponse(const http1::response_head& head, std::string_view requestId);

/// @return The header fields of a target's response for the caller, without hop-by-hop fields.
[[nodiscard]] http1::header_list encodeCallerHeaders(const http1::response_head& head);

/// @return A `Retry-After` header field in seconds with two decimals.
[[nodiscard]] std::pair<std::string, std::string> retryAfterHeader(milliseconds delay);

/// What a response says of the requests a second that its target takes from all entries together.
struct stated_limit {
    /// The field's value; not set if the response has none.
    std::optional<std::string_view> text;
    /// Requests a second; not set if the response states none, or not exactly one number that is at least zero.
    std::optional<double> perSecond;
};

[[nodiscard]] stated_limit decodeLimit(const http1::response_head& head);

/// What a response says of the time for which its target is still cold.
struct stated_cold {
    /// The field's value, cut to a length that may be logged; not set if the response has none.
    std::optional<std::string> text;
    /// Not set if the response states none, or not exactly one number that is at least zero. At most `longestColdTime`.
    std::optional<milliseconds> left;
    /// The stated time is longer than `longestColdTime`.
    bool isTooLong = false;
};

/// Reads the cold time from any response but a misdirected one, which another target answered.
[[nodiscard]] stated_cold decodeCold(const http1::response_head& head);

/// Largest value of a figure of `replica_load` that is plausible.
constexpr uint32_t maxReplicaFigure = 10000;

/// What a response says of the load of its target.
struct replica_load {
    /// The field's value, cut to a length that may be logged; not set if the response has none.
    std::optional<std::string> text;
    /// False if the field is missing, occurs more than once, or is not three or four whole numbers of at most `maxReplicaFigure`
    /// of which the third and the fourth are positive.
    bool isValid = false;
    uint32_t running = 0;
    uint32_t waiting = 0;
    uint32_t slots = 0;
    /// How long work takes there now; 100 is usual.
    uint32_t workPercent = 100;
};

/// Reads the load from any response but a misdirected one, which another target answered.
[[nodiscard]] replica_load decodeLoad(const http1::response_head& head);

/// @return True if the target that responded states that it leaves and wants no new requests.
[[nodiscard]] bool isLeaving(const http1::response_head& head);

/// Longest pause that a target may ask for. One that wants no requests for longer is taken out of the target list, and a
/// mistaken value must not keep a target out for good.
constexpr milliseconds longestPause { 3600000 };

/// What a response says of the time for which its target wants no requests.
struct stated_pause {
    /// The values of all `Retry-After` fields as they were received, cut to a length that may be logged.
    std::string text;
    /// Not set if the response asks for no pause.
    std::optional<milliseconds> length;
    /// Why the text is not taken as it is; empty if it is.
    std::string_view problem;
};

/// Reads the pause from a refusal with 503, whether or not it states that the request was not executed: the time concerns the
/// target and not the request. A 429 concerns one caller, and a misdirected request was answered by another target.
[[nodiscard]] stated_pause decodePause(const http1::response_head& head);

/// @return True if the target states that it did not execute the request.
[[nodiscard]] bool isNotExecuted(const http1::response_head& head);

/// @return The header fields of a batch or release call to a target.
[[nodiscard]] http1::header_list encodeInternalCallHeaders(const deployment::target& target);
}
