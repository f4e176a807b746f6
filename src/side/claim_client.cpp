#include "side/claim_client.hpp"

namespace bilberryseam::side {

namespace {
    /// Pause between reads while nothing is being claimed.
    constexpr milliseconds idleReadPeriod { 1000 };

    /// Pause before a failed append or read is tried again.
    constexpr milliseconds retryPause { 100 };

    /// Failures in a row after which the log counts as unavailable and claims are refused at once.
    constexpr uint32_t failuresUntilUnavailable = 3;

    /// Most items in one log record.
    constexpr size_t maxBatchItems = 256;

    /// How long entries are kept: no key that the window lets through can have lost its entry.
    milliseconds keepTime(milliseconds window)
    {
        return 2 * window + 2 * policy::maxClockSkew;
    }
}

claim_client::claim_client(claim_client_dependencies ports, milliseconds window)
    : m_dependencies(std::move(ports))
    , m_window(window)
{
}

void claim_client::claim(const claim_request& request, on_result done)
{
    pending_claim waiting { request, std::move(done), std::nullopt, false };
    if (!m_table.isCaughtUp) {
        waiting.done({ claim_outcome::LogUnavailable, false, "" });
        return;
    }
    const policy::claim_verdict verdict = policy::decideClaim(m_table, request.key, request.nonce, request.fingerprint, request.issuedMs);
    // What is known already saves the append; only an unclaimed key is worth one.
    if (verdict != policy::claim_verdict::Unclaimed) {
        waiting.offset = 0;
        const std::optional<claim_result> known = decide(waiting);
        // The holder may have answered or released it since; whoever asks again shall not wait for the next idle read.
        if (verdict == policy::claim_verdict::HeldElsewhere)
            read();
        waiting.done(known.value_or(claim_result { claim_outcome::NotCovered, false, "" }));
        return;
    }
    if (!isLogAvailable()) {
        waiting.done({ claim_outcome::LogUnavailable, false, "" });
        return;
    }
    m_pending.emplace(request.nonce, std::move(waiting));
    enqueue({ policy::claim_operation::Claim, request.key, request.nonce, request.fingerprint, "", false });
}

void claim_client::cancel(identifier nonce)
{
    const auto found = m_pending.find(nonce);
    if (found == m_pending.end())
        return;
    const claim_request request = found->second.request;
    m_pending.erase(found);
    release(request.key, nonce);
}

void claim_client::release(identifier key, identifier nonce)
{
    enqueue({ policy::claim_operation::Release, key, nonce, 0, "", false });
}

void claim_client::storeResponse(identifier key, identifier nonce, std::string_view body)
{
    // An answer that is too long to keep still closes the key; repeats are told that it is gone.
    const bool isKept = body.size() <= policy::maxStoredResponseBytes;
    enqueue({ policy::claim_operation::Complete, key, nonce, 0, std::string(isKept ? body : std::string_view()), isKept });
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
    m_dependencies.append(policy::writeClaims(m_inFlight), [this](platform::append_result reply) { handleAppendReply(reply); });
}

void claim_client::handleAppendReply(const platform::append_result& reply)
{
    m_isAppending = false;
    std::vector<policy::claim_item> items = std::exchange(m_inFlight, {});
    m_isBackedOff = reply.outcome != platform::append_outcome::Appended;
    countFailure(m_isBackedOff);
    for (policy::claim_item& item : items) {
        const auto waiting = m_pending.find(item.nonce);
        const bool isAwaited = item.operation == policy::claim_operation::Claim && waiting != m_pending.end();
        switch (reply.outcome) {
        case platform::append_outcome::Appended:
            if (isAwaited)
                waiting->second.offset = reply.firstOffset;
            break;
        case platform::append_outcome::Unknown:
            if (isAwaited)
                waiting->second.mayBeInLog = true;
            // Appending the same item twice changes nothing: the nonce is the same.
            if (isAwaited || item.operation != policy::claim_operation::Claim)
                m_outbox.push_back(std::move(item));
            break;
        case platform::append_outcome::Refused:
            handleRefusedItem(item);
            break;
        }
    }
    if (reply.outcome == platform::append_outcome::Appended)
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
    const auto waiting = m_pending.find(item.nonce);
    if (waiting == m_pending.end())
        return;
    if (waiting->second.mayBeInLog)
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
    m_dependencies.read(m_table.nextOffset, [this](platform::stream_read_result reply) { handleReadReply(reply); });
}

void claim_client::handleReadReply(const platform::stream_read_result& reply)
{
    m_isReading = false;
    countFailure(!reply.isOk);
    if (!reply.isOk)
        return;
    applyRecords(reply);
    const bool isAtEnd = m_table.nextOffset >= reply.nextOffset;
    m_table.isCaughtUp = m_table.isCaughtUp || isAtEnd;
    decidePending();
    if (!isAtEnd || m_mustReadAgain)
        read();
}

void claim_client::applyRecords(const platform::stream_read_result& reply)
{
    if (reply.oldestOffset > m_table.nextOffset) {
        // A record without a readable stamp says nothing about those before it.
        const bool isStamped = !reply.records.empty() && reply.records.front().appendedMs > 0;
        const int64_t sinceMs = isStamped ? reply.records.front().appendedMs : m_dependencies.wallNow().time_since_epoch().count();
        policy::recordMissingClaims(m_table, reply.oldestOffset, sinceMs);
    }
    for (const platform::stream_record& record : reply.records) {
        if (record.offset != m_table.nextOffset)
            continue;
        const auto items = policy::readClaims(record.text);
        policy::applyClaims(m_table, record.offset, record.appendedMs, items ? items.value() : std::vector<policy::claim_item> {}, keepTime(m_window));
    }
}

void claim_client::decidePending()
{
    std::vector<std::pair<identifier, claim_result>> decided;
    for (const auto& [nonce, waiting] : m_pending) {
        if (std::optional<claim_result> reply = decide(waiting))
            decided.emplace_back(nonce, std::move(*reply));
    }
    for (auto& [nonce, reply] : decided) {
        const auto found = m_pending.find(nonce);
        if (found == m_pending.end())
            continue;
        // A copy of the claim may still arrive late; the release makes it harmless.
        if (reply.outcome != claim_outcome::Won && found->second.mayBeInLog)
            release(found->second.request.key, nonce);
        finish(nonce, std::move(reply));
    }
}

std::optional<claim_result> claim_client::decide(const pending_claim& waiting) const
{
    const claim_request& request = waiting.request;
    const bool isRead = waiting.offset && m_table.nextOffset > *waiting.offset;
    switch (policy::decideClaim(m_table, request.key, request.nonce, request.fingerprint, request.issuedMs)) {
    case policy::claim_verdict::Won:
        return claim_result { claim_outcome::Won, false, "" };
    case policy::claim_verdict::HeldElsewhere:
        // Before the own record is read, the holder may still release, and the own claim would hold the key unnoticed.
        return isRead ? std::optional(claim_result { claim_outcome::HeldElsewhere, false, "" }) : std::nullopt;
    case policy::claim_verdict::KeyReused:
        return isRead ? std::optional(claim_result { claim_outcome::KeyReused, false, "" }) : std::nullopt;
    case policy::claim_verdict::Completed: {
        const policy::claim_state& entry = m_table.statesByKey.at(request.key);
        return claim_result { claim_outcome::Answered, entry.isResponseStored, entry.response };
    }
    case policy::claim_verdict::NotCovered:
        return isRead ? std::optional(claim_result { claim_outcome::NotCovered, false, "" }) : std::nullopt;
    case policy::claim_verdict::Unclaimed:
        break;
    }
    // Read past the own record and still unclaimed: another holder came and released in between.
    return isRead ? std::optional(claim_result { claim_outcome::HeldElsewhere, false, "" }) : std::nullopt;
}

void claim_client::finish(identifier nonce, claim_result reply)
{
    auto node = m_pending.extract(nonce);
    if (!node.empty())
        node.mapped().done(std::move(reply));
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
        const pending_claim& waiting = m_pending.begin()->second;
        const identifier nonce = waiting.request.nonce;
        // None of these will start here, whether or not their claims reached the log.
        release(waiting.request.key, nonce);
        finish(nonce, { claim_outcome::LogUnavailable, false, "" });
    }
}

void claim_client::tick(time_point now)
{
    std::vector<identifier> late;
    for (const auto& [nonce, waiting] : m_pending) {
        if (waiting.request.deadline <= now)
            late.push_back(nonce);
    }
    for (const identifier& nonce : late) {
        const auto found = m_pending.find(nonce);
        if (found == m_pending.end())
            continue;
        release(found->second.request.key, nonce);
        finish(nonce, { claim_outcome::DeadlinePassed, false, "" });
    }
    if (now >= m_retryAt) {
        m_retryAt = now + retryPause;
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
