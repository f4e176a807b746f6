#include "gateway/target_attempt.hpp"

namespace bilberryseam::gateway {

target_attempt::target_attempt(target_ptr newTarget, uint64_t promptTokens, time_point now)
    : target(std::move(newTarget))
    , sentAt(now)
    , softwareVersion(target->listed.softwareVersion)
    , queuedTokens(promptTokens)
{
    ++target->inFlight;
    target->queuedPrefillTokens += queuedTokens;
}

target_attempt::~target_attempt()
{
    endPrefill();
    --target->inFlight;
}

void target_attempt::endPrefill() noexcept
{
    target->queuedPrefillTokens -= std::exchange(queuedTokens, 0);
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
