/// Claims idempotency keys on the platform's log and tells which call may run. Has no clock and no timers of its own.
#pragma once

#include "platform/log_client.hpp"
#include "policy/claims.hpp"

#include <functional>
#include <map>
#include <unordered_map>
#include <vector>

namespace bilberryseam::side {

/// How the keeper reaches the claims stream and the wall clock.
struct claim_ports {
    std::function<void(std::string record, platform::log_client::on_append done)> append;
    std::function<void(uint64_t from, platform::log_client::on_read done)> read;
    std::function<wall_time()> wallNow;
};

/// A call that asks for its key.
struct claim_request {
    identifier key;
    /// Unique to the attempt.
    identifier nonce;
    uint64_t fingerprint = 0;
    /// When the key was issued, in milliseconds since 1970.
    int64_t issuedMs = 0;
    /// When the call is no longer worth starting.
    time_point deadline;
};

/// What became of a claim. Only `Won` allows the call to start.
enum class claim_end {
    Won,
    Answered,
    HeldElsewhere,
    KeyReused,
    NotCovered,
    LogUnavailable,
    DeadlinePassed,
};

struct claim_reply {
    claim_end end = claim_end::LogUnavailable;
    /// For `Answered`: whether the answer is still kept, and the answer.
    bool isAnswerKept = false;
    std::string answer;
};

/// Keeps this side's view of the claims stream.
class claim_keeper {
public:
    using on_reply = std::function<void(claim_reply)>;

    /// @param ports   The claims stream and the clock.
    /// @param window  Age after which keys are refused.
    claim_keeper(claim_ports ports, milliseconds window);

    /// Asks for a key. The reply comes exactly once, unless `forget` comes first.
    void claim(const claim_request& request, on_reply done);

    /// Gives a claim up before its reply.
    void forget(identifier nonce);

    /// The call did not start and will not: frees its key.
    void release(identifier key, identifier nonce);

    /// The call ran: keeps its answer for repeats.
    void answer(identifier key, identifier nonce, std::string_view body);

    /// Retries what failed, gives up what is late, and reads from time to time.
    void tick(time_point now);

    [[nodiscard]] bool isReady() const noexcept { return m_table.isCaughtUp; }
    /// @return False after several failures in a row, until the log answers again.
    [[nodiscard]] bool isLogAvailable() const noexcept;

    /// @return What is known of a key without asking the log.
    [[nodiscard]] policy::claim_verdict known(const claim_request& request) const
    {
        return policy::decideClaim(m_table, request.key, request.nonce, request.fingerprint, request.issuedMs);
    }

private:
    struct waiting_claim {
        claim_request request;
        on_reply done;
        /// Offset of the record that holds the claim; unset while the append is under way or unclear.
        std::optional<uint64_t> offset;
        /// Some append of this claim may have reached the log.
        bool mayBeInLog = false;
    };

    void queue(policy::claim_item item);
    void sendBatch();
    void takeAppendReply(const platform::append_result& reply);
    void takeRefusedItem(policy::claim_item& item);
    void read();
    void takeReadReply(const platform::stream_read_result& reply);
    void applyRecords(const platform::stream_read_result& reply);
    void decideWaiting();
    [[nodiscard]] std::optional<claim_reply> decide(const waiting_claim& waiting) const;
    void finish(identifier nonce, claim_reply reply);
    void countFailure(bool isFailure);

    claim_ports m_ports;
    milliseconds m_window;
    policy::claim_table m_table;
    std::map<identifier, waiting_claim> m_waiting;
    std::vector<policy::claim_item> m_outbox;
    std::vector<policy::claim_item> m_sent;
    uint32_t m_failures = 0;
    bool m_isAppending = false;
    bool m_isReading = false;
    bool m_mustReadAgain = false;
    bool m_isBackedOff = false;
    time_point m_nextRead {};
    time_point m_retryAt {};
};
}
