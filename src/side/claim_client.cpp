#include "side/claim_client.hpp"

namespace bilberryseam::side {

namespace {
    /// Interval between reads while no claim is pending.
    constexpr milliseconds idleReadPeriod { 1000 };

    /// Delay before a failed append or read is retried.
    constexpr milliseconds retryDelay { 100 };

    /// Consecutive failures after which the log counts as unavailable and claims are refused without an append.
    constexpr uint32_t failuresUntilUnavailable = 3;

    /// Maximum number of items in one log record.
    constexpr size_t maxBatchItems = 256;

    /// How long claim records are kept. A key that is young enough to be accepted still has its record.
    milliseconds retentionPeriod(milliseconds window)
    {
        return 2 * window + 2 * policy::maxClockSkew;
    }
}

claim_client::claim_client(claim_client_dependencies dependencies, milliseconds window)
    : m_dependencies(std::move(dependencies))
    , m_window(window)
{
}

void claim_client::claim(const claim_request& request, on_result done)
{
    pending_claim pendingClaim { request, std::move(done), std::nullopt, false };
    if (!m_table.isCaughtUp) {
        pendingClaim.done({ claim_outcome::LogUnavailable, false, "" });
        return;
    }
    const policy::claim_verdict verdict = policy::decideClaim(m_table, request.key, request.nonce, request.fingerprint, request.issuedMs);
    // Only an unclaimed key needs an append; otherwise the records read so far decide.
    if (verdict != policy::claim_verdict::Unclaimed) {
        pendingClaim.offset = 0;
        const std::optional<claim_result> result = decide(pendingClaim);
        // The holder may have stored a response or released the key since the last read. Reading now lets a retry see
        // that without waiting for the next idle read.
        if (verdict == policy::claim_verdict::HeldElsewhere)
            read();
        pendingClaim.done(result.value_or(claim_result { claim_outcome::NotCovered, false, "" }));
        return;
    }
    if (!isLogAvailable()) {
        pendingClaim.done({ claim_outcome::LogUnavailable, false, "" });
        return;
    }
    m_pending.emplace(request.nonce, std::move(pendingClaim));
    enqueue({ policy::claim_operation::Claim, request.key, request.nonce, request.fingerprint, "", false });
}

void claim_client::cancel(identifier nonce)
{
    const auto position = m_pending.find(nonce);
    if (position == m_pending.end())
        return;
    const claim_request request = position->second.request;
    m_pending.erase(position);
    release(request.key, nonce);
}

void claim_client::release(identifier key, identifier nonce)
{
    enqueue({ policy::claim_operation::Release, key, nonce, 0, "", false });
}

void claim_client::storeResponse(identifier key, identifier nonce, std::string_view body)
{
    // A response that is too long to store still completes the key; duplicate requests then get an unknown outcome.
    const bool isStored = body.size() <= policy::maxStoredResponseBytes;
    enqueue({ policy::claim_operation::Complete, key, nonce, 0, std::string(isStored ? body : std::string_view()), isStored });
}

void claim_client::enqueue(policy::claim_item item)
{
    m_outbox.push_back(std::move(item));
    if (!m_isBackedOff)
        sendBatch();
}

void claim_client::sendBatch()
{
    if (m_isAppending || m_outbox.empty())
        return;
    m_isAppending = true;
    const size_t count = std::min(m_outbox.size(), maxBatchItems);
    m_inFlight.assign(std::make_move_iterator(m_outbox.begin()), std::make_move_iterator(m_outbox.begin() + static_cast<ptrdiff_t>(count)));
    m_outbox.erase(m_outbox.begin(), m_outbox.begin() + static_cast<ptrdiff_t>(count));
    m_dependencies.append(policy::writeClaims(m_inFlight), [this](platform::append_result result) { handleAppendResult(result); });
}

void claim_client::handleAppendResult(const platform::append_result& result)
{
    m_isAppending = false;
    std::vector<policy::claim_item> items = std::exchange(m_inFlight, {});
    m_isBackedOff = result.outcome != platform::append_outcome::Appended;
    countFailure(m_isBackedOff);
    for (policy::claim_item& item : items) {
        const auto pendingClaim = m_pending.find(item.nonce);
        const bool isPending = item.operation == policy::claim_operation::Claim && pendingClaim != m_pending.end();
        switch (result.outcome) {
        case platform::append_outcome::Appended:
            if (isPending)
                pendingClaim->second.offset = result.firstOffset;
            break;
        case platform::append_outcome::Unknown:
            if (isPending)
                pendingClaim->second.mayBeInLog = true;
            // A second append of the same item has no effect, because the nonce is the same.
            if (isPending || item.operation != policy::claim_operation::Claim)
                m_outbox.push_back(std::move(item));
            break;
        case platform::append_outcome::Refused:
            handleRefusedItem(item);
            break;
        }
    }
    if (result.outcome == platform::append_outcome::Appended)
        read();
    if (!m_isBackedOff)
        sendBatch();
}

void claim_client::handleRefusedItem(policy::claim_item& item)
{
    if (item.operation != policy::claim_operation::Claim) {
        m_outbox.push_back(std::move(item));
        return;
    }
    const auto pendingClaim = m_pending.find(item.nonce);
    if (pendingClaim == m_pending.end())
        return;
    if (pendingClaim->second.mayBeInLog)
        release(item.key, item.nonce);
    finish(item.nonce, { claim_outcome::LogUnavailable, false, "" });
}

void claim_client::read()
{
    if (m_isReading) {
        m_mustReadAgain = true;
        return;
    }
    m_isReading = true;
    m_mustReadAgain = false;
    m_dependencies.read(m_table.nextOffset, [this](platform::stream_read_result result) { handleReadResult(result); });
}

void claim_client::handleReadResult(const platform::stream_read_result& result)
{
    m_isReading = false;
    countFailure(!result.isOk);
    if (!result.isOk)
        return;
    applyRecords(result);
    const bool isAtEnd = m_table.nextOffset >= result.nextOffset;
    m_table.isCaughtUp = m_table.isCaughtUp || isAtEnd;
    decidePending();
    if (!isAtEnd || m_mustReadAgain)
        read();
}

void claim_client::applyRecords(const platform::stream_read_result& result)
{
    if (result.oldestOffset > m_table.nextOffset) {
        // Without a valid timestamp on the first record, claims up to the present time may be missing.
        const bool hasTimestamp = !result.records.empty() && result.records.front().appendedMs > 0;
        const int64_t sinceMs = hasTimestamp ? result.records.front().appendedMs : m_dependencies.wallNow().time_since_epoch().count();
        policy::recordMissingClaims(m_table, result.oldestOffset, sinceMs);
    }
    for (const platform::stream_record& record : result.records) {
        if (record.offset != m_table.nextOffset)
            continue;
        const auto items = policy::readClaims(record.text);
        policy::applyClaims(m_table, record.offset, record.appendedMs, items ? items.value() : std::vector<policy::claim_item> {}, retentionPeriod(m_window));
    }
}

void claim_client::decidePending()
{
    std::vector<std::pair<identifier, claim_result>> results;
    for (const auto& [nonce, pendingClaim] : m_pending) {
        if (std::optional<claim_result> result = decide(pendingClaim))
            results.emplace_back(nonce, std::move(*result));
    }
    for (auto& [nonce, result] : results) {
        const auto position = m_pending.find(nonce);
        if (position == m_pending.end())
            continue;
        // A copy of the claim may still reach the log later; the release cancels it.
        if (result.outcome != claim_outcome::Won && position->second.mayBeInLog)
            release(position->second.request.key, nonce);
        finish(nonce, std::move(result));
    }
}

std::optional<claim_result> claim_client::decide(const pending_claim& pendingClaim) const
{
    const claim_request& request = pendingClaim.request;
    const bool isOwnRecordRead = pendingClaim.offset && m_table.nextOffset > *pendingClaim.offset;
    switch (policy::decideClaim(m_table, request.key, request.nonce, request.fingerprint, request.issuedMs)) {
    case policy::claim_verdict::Won:
        return claim_result { claim_outcome::Won, false, "" };
    case policy::claim_verdict::HeldElsewhere:
        // Until this claim's own record is read, the holder may still release the key, and this claim would then hold
        // it after having been refused.
        return isOwnRecordRead ? std::optional(claim_result { claim_outcome::HeldElsewhere, false, "" }) : std::nullopt;
    case policy::claim_verdict::KeyReused:
        return isOwnRecordRead ? std::optional(claim_result { claim_outcome::KeyReused, false, "" }) : std::nullopt;
    case policy::claim_verdict::Completed: {
        const policy::claim_state& claim = m_table.statesByKey.at(request.key);
        return claim_result { claim_outcome::Completed, claim.isResponseStored, claim.response };
    }
    case policy::claim_verdict::NotCovered:
        return isOwnRecordRead ? std::optional(claim_result { claim_outcome::NotCovered, false, "" }) : std::nullopt;
    case policy::claim_verdict::Unclaimed:
        break;
    }
    // The claim's own record was read and the key is still unclaimed: another holder claimed and released it in between.
    return isOwnRecordRead ? std::optional(claim_result { claim_outcome::HeldElsewhere, false, "" }) : std::nullopt;
}

void claim_client::finish(identifier nonce, claim_result result)
{
    auto node = m_pending.extract(nonce);
    if (!node.empty())
        node.mapped().done(std::move(result));
}

bool claim_client::isLogAvailable() const noexcept
{
    return m_failures < failuresUntilUnavailable;
}

void claim_client::countFailure(bool isFailure)
{
    m_failures = isFailure ? m_failures + 1 : 0;
    if (isLogAvailable())
        return;
    while (!m_pending.empty()) {
        const pending_claim& pendingClaim = m_pending.begin()->second;
        const identifier nonce = pendingClaim.request.nonce;
        // These calls will not start here, so their claims are released in case they reached the log.
        release(pendingClaim.request.key, nonce);
        finish(nonce, { claim_outcome::LogUnavailable, false, "" });
    }
}

void claim_client::tick(time_point now)
{
    std::vector<identifier> expiredNonces;
    for (const auto& [nonce, pendingClaim] : m_pending) {
        if (pendingClaim.request.deadline <= now)
            expiredNonces.push_back(nonce);
    }
    for (const identifier& nonce : expiredNonces) {
        const auto position = m_pending.find(nonce);
        if (position == m_pending.end())
            continue;
        release(position->second.request.key, nonce);
        finish(nonce, { claim_outcome::DeadlinePassed, false, "" });
    }
    if (now >= m_retryAt) {
        m_retryAt = now + retryDelay;
        sendBatch();
        if (!m_pending.empty() || !m_table.isCaughtUp || !isLogAvailable())
            read();
    }
    if (now >= m_nextReadAt) {
        m_nextReadAt = now + idleReadPeriod;
        read();
    }
}
}
