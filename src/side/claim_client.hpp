/// Claims idempotency keys on the platform's log and decides which call may run. Has no clock and no timers of its own.
#pragma once

#include "platform/log_client.hpp"
#include "policy/claims.hpp"

#include <functional>
#include <map>
#include <unordered_map>
#include <vector>

namespace bilberryseam::side {

/// Access to the claims stream and the wall clock.
struct claim_client_dependencies {
    std::function<void(std::string record, platform::log_client::on_append done)> append;
    std::function<void(uint64_t from, platform::log_client::on_read done)> read;
    std::function<wall_time()> wallNow;
};

/// A call's request for its idempotency key.
struct claim_request {
    identifier key;
    /// Unique to the attempt.
    identifier nonce;
    uint64_t fingerprint = 0;
    /// When the key was issued, in milliseconds since 1970.
    int64_t issuedMs = 0;
    /// Time after which the call must not start.
    time_point deadline;
};

/// Result of a claim. Only `Won` allows the call to start.
enum class claim_outcome {
    Won,
    Completed,
    HeldElsewhere,
    KeyReused,
    NotCovered,
    LogUnavailable,
    DeadlinePassed,
};

struct claim_result {
    claim_outcome outcome = claim_outcome::LogUnavailable;
    /// For `Completed`: whether the response is still stored, and the response.
    bool isResponseStored = false;
    std::string response;
};

/// Reads the claims stream and appends this side's claims, releases and responses to it.
class claim_client {
public:
    using on_result = std::function<void(claim_result)>;

    /// @param dependencies  The claims stream and the clock.
    /// @param window        Age after which keys are refused.
    claim_client(claim_client_dependencies dependencies, milliseconds window);

    /// Claims a key.
    /// @param done  Called exactly once, possibly before this returns; never if `cancel` comes first.
    void claim(const claim_request& request, on_result done);

    /// Cancels a pending claim and releases its key.
    void cancel(identifier nonce);

    /// Releases the key of a call that has not run and will not run.
    void release(identifier key, identifier nonce);

    /// Stores the response of a call that has run, for duplicate requests.
    void storeResponse(identifier key, identifier nonce, std::string_view body);

    /// Expires claims, retries failed appends and reads, and reads the stream periodically.
    void tick(time_point now);

    [[nodiscard]] bool isReady() const noexcept { return m_table.isCaughtUp; }
    /// @return False after several consecutive failures, until an append or read succeeds.
    [[nodiscard]] bool isLogAvailable() const noexcept;

    /// @return The state of a key according to the records read so far.
    [[nodiscard]] policy::claim_verdict localVerdict(const claim_request& request) const
    {
        return policy::decideClaim(m_table, request.key, request.nonce, request.fingerprint, request.issuedMs);
    }

private:
    struct pending_claim {
        claim_request request;
        on_result done;
        /// Offset of the record that holds the claim; unset while the append is in progress or its outcome is unknown.
        std::optional<uint64_t> offset;
        /// An append of this claim may have reached the log.
        bool mayBeInLog = false;
    };

    void enqueue(policy::claim_item item);
    void sendBatch();
    void handleAppendResult(const platform::append_result& result);
    void handleRefusedItem(policy::claim_item& item);
    void read();
    void handleReadResult(const platform::stream_read_result& result);
    void applyRecords(const platform::stream_read_result& result);
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
