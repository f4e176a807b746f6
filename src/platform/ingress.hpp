/// Decodes callers' requests on the platform, and encodes what goes on to targets.
#pragma once

#include "deployment/caller_request.hpp"
#include "deployment/deployment.hpp"
#include "http1/message.hpp"

#include <span>

namespace bilberryseam::platform {

/// @return The request, or `InvalidRequest` with what is wrong.
[[nodiscard]] result<deployment::caller_request> decodeRequest(const http1::request_head& head);

/// What the system adds to a request for one target.
struct target_request_fields {
    /// Time that is left for the target.
    milliseconds timeLeft { 0 };
    std::string_view targetId;
    std::string_view account;
    /// Results of stages that the target takes as inputs.
    std::span<const std::string> inputs;
    /// Identifier of the last event that the caller already has; empty if none.
    std::string_view lastEventId;
};

/// @return The header fields for a target: the caller's, without those that concern one connection or that only the system may set.
[[nodiscard]] http1::header_list encodeTargetHeaders(const http1::request_head& head, const target_request_fields& fields);

/// Path at which the platform asks an entry whether it is ready for callers.
constexpr std::string_view readyPath = "/v1/ready";

/// What an answer of a target says beside its status and body.
struct target_response {
    unsigned status = 0;
    /// The answer is for the request that was sent.
    bool isForRequest = false;
    /// The target vouches for the answer.
    bool isSealed = false;
    /// The target states that it did not run the request.
    bool isNotExecuted = false;
    /// Another target has the address now.
    bool isWrongTarget = false;
    /// A result that the request needs is gone; the target did not run it.
    bool isInputMissing = false;
    /// The body is not as the target made it.
    bool isEncoded = false;
};

[[nodiscard]] target_response decodeResponse(const http1::response_head& head, std::string_view requestId);

/// @return The header fields of a target's answer for the caller.
[[nodiscard]] http1::header_list encodeCallerHeaders(const http1::response_head& head);

/// @return `Retry-After` in seconds, with fractions.
[[nodiscard]] std::pair<std::string, std::string> retryAfterHeader(milliseconds delay);

/// @return True if the target states that it did not run the request.
[[nodiscard]] bool isNotExecuted(const http1::response_head& head);

/// @return The header fields of a call of the system's own to a target.
[[nodiscard]] http1::header_list encodeInternalCallHeaders(const deployment::target& target);
}
