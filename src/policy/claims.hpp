/// Claims on idempotency keys: decides which of the calls with one key may run, by log order alone.
#pragma once

#include "base/identifier.hpp"
#include "base/result.hpp"
#include "base/time.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bilberryseam::policy {

/// Assumed limit on the clock difference between callers and sides.
constexpr milliseconds maxClockSkew { 30000 };

/// Longest time between a writer's timestamp on a record and its append to the log. The log may execute an append
/// seconds after its response was lost.
constexpr milliseconds maxAppendDelay { 10000 };

/// Longest response that is stored for duplicate requests, in bytes.
constexpr size_t maxStoredResponseBytes = 16 * 1024;

/// Most bytes of all responses that are stored for duplicate requests.
constexpr size_t maxStoredResponsesTotalBytes = 32 * 1024 * 1024;

enum class claim_operation : uint8_t {
    /// The nonce claims the key.
    Claim,
    /// The nonce's call has not run and will not run; frees the key.
    Release,
    /// The nonce's call has run and has a response.
    Complete,
};

/// One item of a record in the claims stream.
struct claim_item {
    claim_operation operation = claim_operation::Claim;
    identifier key;
    identifier nonce;
    /// Hash of the request, to detect that a key is reused for a different one.
    uint64_t fingerprint = 0;
    /// For `Complete`: the response; empty if it is too long to store.
    std::string response;
    bool isResponseStored = false;
};

/// @return The items, serialized as one log record.
[[nodiscard]] std::string writeClaims(const std::vector<claim_item>& items);

/// @return The items of a log record, or `InvalidMessage`.
[[nodiscard]] result<std::vector<claim_item>> readClaims(std::string_view text);

/// @return The 128-bit hash that identifies a key; it differs between accounts, pipelines and stages.
[[nodiscard]] identifier hashOfKey(std::string_view account, std::string_view pipeline, std::string_view stage, std::string_view key);

/// State of one key after the records read from the claims stream.
struct claim_state {
    enum class status : uint8_t {
        Held,
        Free,
        Completed,
    };
    status currentStatus = status::Held;
    identifier nonce;
    uint64_t fingerprint = 0;
    /// Timestamp of the record that created this state, in milliseconds since 1970.
    int64_t appendedMs = 0;
    /// Empty unless completed and stored.
    std::string response;
    bool isResponseStored = false;
};

/// The fold over the claims stream.
struct claim_table {
    uint64_t nextOffset = 0;
    /// The reader has reached the end of the stream.
    bool isCaughtUp = false;
    /// Claims made before this time may be missing from the table, in milliseconds since 1970; zero if none are.
    int64_t completeSinceMs = 0;
    std::unordered_map<identifier, claim_state> statesByKey;
    /// Keys with the timestamps of their records, in log order.
    std::deque<std::pair<int64_t, identifier>> keysInLogOrder;
    size_t storedResponseBytes = 0;
};

/// Applies one record.
/// @param retention  States older than this are removed; twice the sum of idempotency window and clock skew.
void applyClaims(claim_table& table, uint64_t offset, int64_t appendedMs, const std::vector<claim_item>& items, milliseconds retention);

/// Records that the log was trimmed beyond the last record read, so some claims are unknown. Timestamps are set by the
/// writers, so a trimmed record may have a later timestamp than the first record that remains.
void recordMissingClaims(claim_table& table, uint64_t firstOffset, int64_t firstAppendedMs);

enum class claim_verdict {
    /// No claim on the key has been read.
    Unclaimed,
    /// The nonce holds the key; its call may run.
    Won,
    /// Another nonce holds the key; it is unknown whether its call has run.
    HeldElsewhere,
    /// A call with the key has run; its response may be stored.
    Completed,
    /// The key was used for a different request.
    KeyReused,
    /// The table may lack claims on this key.
    NotCovered,
};

/// @param issuedMs  When the key was issued, in milliseconds since 1970.
[[nodiscard]] claim_verdict decideClaim(const claim_table& table, identifier key, identifier nonce, uint64_t fingerprint, int64_t issuedMs);
}
