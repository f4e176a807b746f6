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
struct claim_client_dependencies {
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
enum class claim_outcome {
    Won,
    Answered,
    HeldElsewhere,
    KeyReused,
    NotCovered,
    LogUnavailable,
    DeadlinePassed,
};

struct claim_result {
    claim_outcome outcome = claim_outcome::LogUnavailable;
    /// For `Answered`: whether the answer is still kept, and the answer.
    bool isResponseStored = false;
    std::string response;
};

/// Keeps this side's view of the claims stream.
class claim_client {
public:
    using on_result = std::function<void(claim_result)>;

    /// @param ports   The claims stream and the clock.
    /// @param window  Age after which keys are refused.
    claim_client(claim_client_dependencies dependencies, milliseconds window);

    /// Asks for a key. The reply comes exactly once, unless `forget` comes first.
    void claim(const claim_request& request, on_result done);

    /// Gives a claim up before its reply.
    void cancel(identifier nonce);

    /// The call did not start and will not: frees its key.
    void release(identifier key, identifier nonce);

    /// The call ran: keeps its answer for repeats.
    void storeResponse(identifier key, identifier nonce, std::string_view body);

    /// Retries what failed, gives up what is late, and reads from time to time.
    void tick(time_point now);

    [[nodiscard]] bool isReady() const noexcept { return m_table.isCaughtUp; }
    /// @return False after several failures in a row, until the log answers again.
    [[nodiscard]] bool isLogAvailable() const noexcept;

    /// @return What is known of a key without asking the log.
    [[nodiscard]] policy::claim_verdict localVerdict(const claim_request& request) const
    {
        return policy::decideClaim(m_table, request.key, request.nonce, request.fingerprint, request.issuedMs);
    }

private:
    struct pending_claim {
        claim_request request;
        on_result done;
        /// Offset of the record that holds the claim; unset while the append is under way or unclear.
        std::optional<uint64_t> offset;
        /// Some append of this claim may have reached the log.
        bool mayBeInLog = false;
    };

    void enqueue(policy::claim_item item);
    void sendBatch();
    void handleAppendReply(const platform::append_reply& reply);
    void handleRefusedItem(policy::claim_item& item);
    void read();
    void handleReadReply(const platform::read_reply& reply);
    void applyRecords(const platform::read_reply& reply);
    void decidePending();
    [[nodiscard]] std::optional<claim_result> decide(const pending_claim& pendingClaim) const;
    void finish(identifier nonce, claim_result result);
    void countFailure(bool isFailure);

    claim_client_dependencies m_dependencies;
    milliseconds m_window;
    policy::claim_table m_table;
    std::map<identifier, pending_claim> m_pending;
    std::vector<policy::claim_item> m_outbox;
    std::vector<policy::claim_item> m_inFlight;
    uint32_t m_failures = 0;
    bool m_isAppending = false;
    bool m_isReading = false;
    bool m_mustReadAgain = false;
    bool m_isBackedOff = false;
    time_point m_nextReadAt {};
    time_point m_retryAt {};
};
}
