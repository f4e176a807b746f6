#include "gateway/target_attempt.hpp"

namespace bilberryseam::gateway {

target_attempt::target_attempt(target_ptr newTarget, uint64_t promptTokens, uint64_t cachedTokens, uint64_t maxOutputTokens, time_point now)
    : target(std::move(newTarget))
    , sentAt(now)
    , softwareVersion(target->listed.softwareVersion)
    , incarnation(target->listed.startedAtMs > 0 ? target->incarnation : 0)
    , mayBeOtherRun(target->mayHaveRestarted(now) || target->mayHaveMissedRestart(now))
    , queuedTokens(promptTokens)
    , uncachedTokens(promptTokens - std::min(promptTokens, cachedTokens))
    , contextTokens(promptTokens + maxOutputTokens)
{
    ++target->inFlight;
    target->queuedPrefillTokens += queuedTokens;
    target->uncachedPrefillTokens += uncachedTokens;
    target->contextTokens += contextTokens;
}

target_attempt::~target_attempt()
{
    endPrefill();
    target->contextTokens -= contextTokens;
    target->runningStreams -= isRunningStream ? 1 : 0;
    --target->inFlight;
}

void target_attempt::endPrefill() noexcept
{
    target->uncachedPrefillTokens -= std::exchange(uncachedTokens, 0);
    target->queuedPrefillTokens -= std::exchange(queuedTokens, 0);
}

void target_attempt::beginStream() noexcept
{
    if (!std::exchange(isRunningStream, true))
        ++target->runningStreams;
}

void target_attempt::setReading(bool mayRead, time_point now)
{
    if (mayRead && !isReading)
        resumedAt = now;
    isReading = mayRead;
    call->setReading(mayRead);
}

bool target_attempt::isRelayable() const noexcept
{
    return isOwnResponse() && response.status == http1::statusOk;
}
}
