#include "side/claim_keeper.hpp"

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

claim_keeper::claim_keeper(claim_ports ports, milliseconds window)
    : m_ports(std::move(ports))
    , m_window(window)
{
}

void claim_keeper::claim(const claim_request& request, on_reply done)
{
    waiting_claim waiting { request, std::move(done), std::nullopt, false };
    if (!m_table.isCaughtUp) {
        waiting.done({ claim_end::LogUnavailable, false, "" });
        return;
    }
    const policy::claim_verdict verdict = policy::decideClaim(m_table, request.key, request.nonce, request.fingerprint, request.issuedMs);
    // What is known already saves the append; only an unclaimed key is worth one.
    if (verdict != policy::claim_verdict::Unclaimed) {
        waiting.offset = 0;
        const std::optional<claim_reply> known = decide(waiting);
        // The holder may have answered or released it since; whoever asks again shall not wait for the next idle read.
        if (verdict == policy::claim_verdict::HeldElsewhere)
            read();
        waiting.done(known.value_or(claim_reply { claim_end::NotCovered, false, "" }));
        return;
    }
    if (!isLogAvailable()) {
        waiting.done({ claim_end::LogUnavailable, false, "" });
        return;
    }
    m_waiting.emplace(request.nonce, std::move(waiting));
    queue({ policy::claim_step::Claim, request.key, request.nonce, request.fingerprint, "", false });
}

void claim_keeper::forget(identifier nonce)
{
    const auto found = m_waiting.find(nonce);
    if (found == m_waiting.end())
        return;
    const claim_request request = found->second.request;
    m_waiting.erase(found);
    release(request.key, nonce);
}

void claim_keeper::release(identifier key, identifier nonce)
{
    queue({ policy::claim_step::Release, key, nonce, 0, "", false });
}

void claim_keeper::answer(identifier key, identifier nonce, std::string_view body)
{
    // An answer that is too long to keep still closes the key; repeats are told that it is gone.
    const bool isKept = body.size() <= policy::maxKeptAnswerBytes;
    queue({ policy::claim_step::Answer, key, nonce, 0, std::string(isKept ? body : std::string_view()), isKept });
}

void claim_keeper::queue(policy::claim_item item)
{
    m_outbox.push_back(std::move(item));
    if (!m_isBackedOff)
        sendBatch();
}

void claim_keeper::sendBatch()
{
    if (m_isAppending || m_outbox.empty())
        return;
    m_isAppending = true;
    const size_t count = std::min(m_outbox.size(), maxBatchItems);
    m_sent.assign(std::make_move_iterator(m_outbox.begin()), std::make_move_iterator(m_outbox.begin() + static_cast<ptrdiff_t>(count)));
    m_outbox.erase(m_outbox.begin(), m_outbox.begin() + static_cast<ptrdiff_t>(count));
    m_ports.append(policy::writeClaims(m_sent), [this](platform::append_result reply) { takeAppendReply(reply); });
}

void claim_keeper::takeAppendReply(const platform::append_result& reply)
{
    m_isAppending = false;
    std::vector<policy::claim_item> items = std::exchange(m_sent, {});
    m_isBackedOff = reply.outcome != platform::append_outcome::Appended;
    countFailure(m_isBackedOff);
    for (policy::claim_item& item : items) {
        const auto waiting = m_waiting.find(item.nonce);
        const bool isAwaited = item.step == policy::claim_step::Claim && waiting != m_waiting.end();
        switch (reply.outcome) {
        case platform::append_outcome::Appended:
            if (isAwaited)
                waiting->second.offset = reply.firstOffset;
            break;
        case platform::append_outcome::Unknown:
            if (isAwaited)
                waiting->second.mayBeInLog = true;
            // Appending the same item twice changes nothing: the nonce is the same.
            if (isAwaited || item.step != policy::claim_step::Claim)
                m_outbox.push_back(std::move(item));
            break;
        case platform::append_outcome::Refused:
            takeRefusedItem(item);
            break;
        }
    }
    if (reply.outcome == platform::append_outcome::Appended)
        read();
    if (!m_isBackedOff)
        sendBatch();
}

void claim_keeper::takeRefusedItem(policy::claim_item& item)
{
    if (item.step != policy::claim_step::Claim) {
        m_outbox.push_back(std::move(item));
        return;
    }
    const auto waiting = m_waiting.find(item.nonce);
    if (waiting == m_waiting.end())
        return;
    if (waiting->second.mayBeInLog)
        release(item.key, item.nonce);
    finish(item.nonce, { claim_end::LogUnavailable, false, "" });
}

void claim_keeper::read()
{
    if (m_isReading) {
        m_mustReadAgain = true;
        return;
    }
    m_isReading = true;
    m_mustReadAgain = false;
    m_ports.read(m_table.nextOffset, [this](platform::stream_read_result reply) { takeReadReply(reply); });
}

void claim_keeper::takeReadReply(const platform::stream_read_result& reply)
{
    m_isReading = false;
    countFailure(!reply.isOk);
    if (!reply.isOk)
        return;
    applyRecords(reply);
    const bool isAtEnd = m_table.nextOffset >= reply.nextOffset;
    m_table.isCaughtUp = m_table.isCaughtUp || isAtEnd;
    decideWaiting();
    if (!isAtEnd || m_mustReadAgain)
        read();
}

void claim_keeper::applyRecords(const platform::stream_read_result& reply)
{
    if (reply.oldestOffset > m_table.nextOffset) {
        // A record without a readable stamp says nothing about those before it.
        const bool isStamped = !reply.records.empty() && reply.records.front().appendedMs > 0;
        const int64_t sinceMs = isStamped ? reply.records.front().appendedMs : m_ports.wallNow().time_since_epoch().count();
        policy::noteMissingClaims(m_table, reply.oldestOffset, sinceMs);
    }
    for (const platform::stream_record& record : reply.records) {
        if (record.offset != m_table.nextOffset)
            continue;
        const auto items = policy::readClaims(record.text);
        policy::applyClaims(m_table, record.offset, record.appendedMs, items ? items.value() : std::vector<policy::claim_item> {}, keepTime(m_window));
    }
}

void claim_keeper::decideWaiting()
{
    std::vector<std::pair<identifier, claim_reply>> decided;
    for (const auto& [nonce, waiting] : m_waiting) {
        if (std::optional<claim_reply> reply = decide(waiting))
            decided.emplace_back(nonce, std::move(*reply));
    }
    for (auto& [nonce, reply] : decided) {
        const auto found = m_waiting.find(nonce);
        if (found == m_waiting.end())
            continue;
        // A copy of the claim may still arrive late; the release makes it harmless.
        if (reply.end != claim_end::Won && found->second.mayBeInLog)
            release(found->second.request.key, nonce);
        finish(nonce, std::move(reply));
    }
}

std::optional<claim_reply> claim_keeper::decide(const waiting_claim& waiting) const
{
    const claim_request& request = waiting.request;
    const bool isRead = waiting.offset && m_table.nextOffset > *waiting.offset;
    switch (policy::decideClaim(m_table, request.key, request.nonce, request.fingerprint, request.issuedMs)) {
    case policy::claim_verdict::Won:
        return claim_reply { claim_end::Won, false, "" };
    case policy::claim_verdict::HeldElsewhere:
        // Before the own record is read, the holder may still release, and the own claim would hold the key unnoticed.
        return isRead ? std::optional(claim_reply { claim_end::HeldElsewhere, false, "" }) : std::nullopt;
    case policy::claim_verdict::KeyReused:
        return isRead ? std::optional(claim_reply { claim_end::KeyReused, false, "" }) : std::nullopt;
    case policy::claim_verdict::Answered: {
        const policy::claim_entry& entry = m_table.entries.at(request.key);
        return claim_reply { claim_end::Answered, entry.isAnswerKept, entry.answer };
    }
    case policy::claim_verdict::NotCovered:
        return isRead ? std::optional(claim_reply { claim_end::NotCovered, false, "" }) : std::nullopt;
    case policy::claim_verdict::Unclaimed:
        break;
    }
    // Read past the own record and still unclaimed: another holder came and released in between.
    return isRead ? std::optional(claim_reply { claim_end::HeldElsewhere, false, "" }) : std::nullopt;
}

void claim_keeper::finish(identifier nonce, claim_reply reply)
{
    auto node = m_waiting.extract(nonce);
    if (!node.empty())
        node.mapped().done(std::move(reply));
}

bool claim_keeper::isLogAvailable() const noexcept
{
    return m_failures < failuresUntilUnavailable;
}

void claim_keeper::countFailure(bool isFailure)
{
    m_failures = isFailure ? m_failures + 1 : 0;
    if (isLogAvailable())
        return;
    while (!m_waiting.empty()) {
        const waiting_claim& waiting = m_waiting.begin()->second;
        const identifier nonce = waiting.request.nonce;
        // None of these will start here, whether or not their claims reached the log.
        release(waiting.request.key, nonce);
        finish(nonce, { claim_end::LogUnavailable, false, "" });
    }
}

void claim_keeper::tick(time_point now)
{
    std::vector<identifier> late;
    for (const auto& [nonce, waiting] : m_waiting) {
        if (waiting.request.deadline <= now)
            late.push_back(nonce);
    }
    for (const identifier& nonce : late) {
        const auto found = m_waiting.find(nonce);
        if (found == m_waiting.end())
            continue;
        release(found->second.request.key, nonce);
        finish(nonce, { claim_end::DeadlinePassed, false, "" });
    }
    if (now >= m_retryAt) {
        m_retryAt = now + retryPause;
        sendBatch();
        if (!m_waiting.empty() || !m_table.isCaughtUp || !isLogAvailable())
            read();
    }
    if (now >= m_nextRead) {
        m_nextRead = now + idleReadPeriod;
        read();
    }
}
}
