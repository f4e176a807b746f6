/// One send of a request to a target, and what the target has responded so far.
#pragma once

#include "gateway/event_stream.hpp"
#include "gateway/target_registry.hpp"
#include "http1/client.hpp"
#include "platform/ingress.hpp"

#include <algorithm>
#include <memory>
#include <optional>
#include <string>

namespace bilberryseam::gateway {

/// Destroying the attempt closes its connection, at which most targets drop the request.
struct target_attempt {
    /// Counts the attempt among the calls in flight at the target.
    /// @param cachedTokens  Prompt tokens that are presumably cached at the target.
    target_attempt(target_ptr newTarget, uint64_t promptTokens, uint64_t cachedTokens, uint64_t maxOutputTokens, time_point now);
    target_attempt(const target_attempt&) = delete;
    target_attempt& operator=(const target_attempt&) = delete;
    ~target_attempt();

    /// Records that the target has read the prompt.
    void endPrefill() noexcept;
    /// Counts the response among the streams that run at the target.
    void beginStream() noexcept;
    /// @return True for a response that may be passed on as it arrives: it is the target's own, and a success.
    [[nodiscard]] bool isRelayable() const noexcept;
    /// @return True if the head states a response of the target to this request.
    [[nodiscard]] bool isOwnResponse() const noexcept { return hasHead && response.isForRequest && response.isSealed && !response.isEncoded; }
    /// Pauses reading while the caller has too many unsent bytes. Time in which the target is not read is not its silence.
    void setReading(bool mayRead, time_point now);
    /// @return Time since the target's last byte, since the send, or since reading was resumed.
    [[nodiscard]] microseconds silenceAt(time_point now) const noexcept { return now - std::max(hasFirstByte ? lastByteAt : sentAt, resumedAt); }

    target_ptr target;
    time_point sentAt {};
    /// Software version in the target's record when the request was sent.
    std::string softwareVersion;
    /// `target_state::incarnation` when the request was sent.
    uint64_t incarnation = 0;
    /// When the request was sent, the target might have restarted since its record was written.
    bool mayBeOtherRun = false;
    /// It is known which software version writes the response, or the response begins the stream.
    bool isRunKnown = false;
    /// Whole events that are not passed on before that, and the time since which there are any, or the response is complete.
    std::string heldEvents;
    time_point heldSince {};
    /// The response is complete; nothing more arrives.
    bool isComplete = false;
    /// Time at which the results that the target fetches are released, if not at the first event.
    std::optional<time_point> inputsFetchedAt;
    time_point firstByteAt {};
    time_point lastByteAt {};
    /// Time at which reading was last resumed after a pause.
    time_point resumedAt {};
    bool isReading = true;
    http1::response_head head;
    platform::target_response response;
    bool hasHead = false;
    bool hasFirstByte = false;
    bool isRunningStream = false;
    /// Predicted time from the send to the first event, in milliseconds; empty if the prompt was not weighed.
    std::optional<double> predictedFirstEvent;
    /// The response went on for so long that the request cannot have crashed its target.
    bool hasSurvived = false;
    /// The target's present silence was recorded.
    bool isSilenceRecorded = false;
    /// The run is at a target where a run of this request was ended before, so it is at no further target.
    bool isReturn = false;
    /// Tokens of the prompt that the target has not read yet.
    uint64_t queuedTokens = 0;
    /// Those of them that are presumably not cached.
    uint64_t uncachedTokens = 0;
    /// Tokens that the target may hold for the request: the prompt and the most output.
    uint64_t contextTokens = 0;
    /// Received bytes of the body that were not passed on.
    std::string buffer;
    event_stream events;
    /// Destroyed first, so that no callback runs while the other members are destroyed.
    std::shared_ptr<http1::client_call> call;
};

using target_attempt_ptr = std::unique_ptr<target_attempt>;
}
