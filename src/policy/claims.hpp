/// Claims on idempotency keys: which call of those that carry one key may run. Decided by log order alone.
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

/// Clocks of callers and sides agree at least this well.
constexpr milliseconds maxClockSkew { 30000 };

/// Longest time from a writer's stamp on a record to its place in the log; an append whose answer is lost may be
/// executed seconds later.
constexpr milliseconds maxAppendDelay { 10000 };

/// Longest answer that is kept for repeats, in bytes.
constexpr size_t maxStoredResponseBytes = 16 * 1024;

/// Most bytes of answers that are kept for repeats.
constexpr size_t maxStoredResponsesTotalBytes = 32 * 1024 * 1024;

enum class claim_operation : uint8_t {
    /// The nonce asks for the key.
    Claim,
    /// The nonce did not run and will not: the key is free again.
    Release,
    /// The nonce ran and has an answer.
    Complete,
};

/// One item of a record in the claims stream.
struct claim_item {
    claim_operation operation = claim_operation::Claim;
    identifier key;
    identifier nonce;
    /// Hash of what is asked, so that a key used for something else is noticed.
    uint64_t fingerprint = 0;
    /// For `Answer`: empty if the answer is too long to keep.
    std::string response;
    bool isResponseStored = false;
};

/// @return The items as the text of one log record.
[[nodiscard]] std::string writeClaims(const std::vector<claim_item>& items);

/// @return The items of a log record, or `InvalidMessage`.
[[nodiscard]] result<std::vector<claim_item>> readClaims(std::string_view text);

/// @return The 128-bit hash that stands for a key; keys of different accounts and stages differ.
[[nodiscard]] identifier hashOfKey(std::string_view account, std::string_view pipeline, std::string_view stage, std::string_view key);

/// What the claims stream says about one key.
struct claim_state {
    enum class status : uint8_t {
        Held,
        Free,
        Completed,
    };
    status currentStatus = status::Held;
    identifier nonce;
    uint64_t fingerprint = 0;
    int64_t appendedMs = 0;
    /// Empty unless answered and kept.
    std::string response;
    bool isResponseStored = false;
};

/// The fold over the claims stream.
struct claim_table {
    uint64_t nextOffset = 0;
    /// Set once reading has reached the end of the stream.
    bool isCaughtUp = false;
    /// Claims made before this time may be missing, in milliseconds since 1970.
    int64_t completeSinceMs = 0;
    std::unordered_map<identifier, claim_state> statesByKey;
    std::deque<std::pair<int64_t, identifier>> keysByAge;
    size_t storedResponseBytes = 0;
};

/// Applies one record.
/// @param keep  Entries that are older than this are dropped; twice the window and the skew.
void applyClaims(claim_table& table, uint64_t offset, int64_t appendedMs, const std::vector<claim_item>& items, milliseconds retention);

/// The log no longer keeps records that were not read: what they held is unknown. Their stamps are the writers', so
/// some may be later than the stamp of the first record that is kept.
void recordMissingClaims(claim_table& table, uint64_t firstOffset, int64_t firstAppendedMs);

enum class claim_verdict {
    /// No claim on the key has been read.
    Unclaimed,
    /// The nonce holds the key.
    Won,
    /// Another nonce holds the key; whether it has run is not known here.
    HeldElsewhere,
    /// A nonce ran and its answer is known.
    Completed,
    /// The key was used to ask for something else.
    KeyReused,
    /// Claims on this key may have been missed.
    NotCovered,
};

/// @param issuedMs  When the key was issued, in milliseconds since 1970.
[[nodiscard]] claim_verdict decideClaim(const claim_table& table, identifier key, identifier nonce, uint64_t fingerprint, int64_t issuedMs);
}
