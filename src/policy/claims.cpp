#include "policy/claims.hpp"
#include "base/json_text.hpp"

#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace bilberryseam::policy {

using nlohmann::json;

namespace {
    claim_item itemFromJson(const json& document)
    {
        const auto operation = document.at(0).get<uint64_t>();
        if (operation > static_cast<uint64_t>(claim_operation::Complete))
            throw error(error_kind::InvalidMessage, "A claim has an unknown operation.", "Run the same release on all sides.");
        return { static_cast<claim_operation>(operation), identifier::parse(document.at(1).get<std::string>()).value(), identifier::parse(document.at(2).get<std::string>()).value(),
            document.at(3).get<uint64_t>(), document.at(4).get<std::string>(), document.at(5).get<bool>() };
    }

    void removeResponse(claim_table& table, claim_state& state)
    {
        table.storedResponseBytes -= state.response.size();
        state.response.clear();
        state.response.shrink_to_fit();
        state.isResponseStored = false;
    }

    void applyClaim(claim_table& table, const claim_item& item, int64_t appendedMs)
    {
        const auto [it, isNew] = table.statesByKey.try_emplace(item.key);
        claim_state& state = it->second;
        // A released nonce stays released, even if its claim is appended after its release.
        const bool isFree = isNew || (state.currentStatus == claim_state::status::Free && state.nonce != item.nonce);
        if (!isFree)
            return;
        state = { claim_state::status::Held, item.nonce, item.fingerprint, appendedMs, "", false };
        table.keysInLogOrder.emplace_back(appendedMs, item.key);
    }

    void applyRelease(claim_table& table, const claim_item& item, int64_t appendedMs)
    {
        const auto [it, isNew] = table.statesByKey.try_emplace(item.key);
        claim_state& state = it->second;
        if (isNew) {
            state = { claim_state::status::Free, item.nonce, item.fingerprint, appendedMs, "", false };
            table.keysInLogOrder.emplace_back(appendedMs, item.key);
            return;
        }
        if (state.nonce == item.nonce && state.currentStatus == claim_state::status::Held)
            state.currentStatus = claim_state::status::Free;
    }

    void applyCompletion(claim_table& table, const claim_item& item)
    {
        const auto it = table.statesByKey.find(item.key);
        if (it == table.statesByKey.end() || it->second.nonce != item.nonce || it->second.currentStatus != claim_state::status::Held)
            return;
        claim_state& state = it->second;
        state.currentStatus = claim_state::status::Completed;
        state.response = item.response;
        state.isResponseStored = item.isResponseStored;
        table.storedResponseBytes += state.response.size();
    }

    void removeExpired(claim_table& table, int64_t beforeMs)
    {
        while (!table.keysInLogOrder.empty() && table.keysInLogOrder.front().first < beforeMs) {
            const auto [atMs, key] = table.keysInLogOrder.front();
            table.keysInLogOrder.pop_front();
            const auto it = table.statesByKey.find(key);
            if (it == table.statesByKey.end() || it->second.appendedMs != atMs)
                continue;
            removeResponse(table, it->second);
            table.statesByKey.erase(it);
        }
    }

    void limitStoredResponses(claim_table& table)
    {
        for (auto next = table.keysInLogOrder.begin(); table.storedResponseBytes > maxStoredResponsesTotalBytes && next != table.keysInLogOrder.end(); ++next) {
            if (const auto it = table.statesByKey.find(next->second); it != table.statesByKey.end())
                removeResponse(table, it->second);
        }
    }
}

std::string writeClaims(const std::vector<claim_item>& items)
{
    json list = json::array();
    for (const claim_item& item : items)
        list.push_back(json::array({ static_cast<uint64_t>(item.operation), item.key.toString(), item.nonce.toString(), item.fingerprint, item.response, item.isResponseStored }));
    return dumpText(list);
}

result<std::vector<claim_item>> readClaims(std::string_view text)
{
    try {
        const json list = json::parse(text);
        std::vector<claim_item> items;
        for (const json& item : list)
            items.push_back(itemFromJson(item));
        return items;
    } catch (const error& problem) {
        return problem;
    } catch (const json::exception&) {
        return error(error_kind::InvalidMessage, "A record of the claims stream is malformed.", "Allow only sides to append to this stream.");
    }
}

identifier hashOfKey(std::string_view account, std::string_view pipeline, std::string_view stage, std::string_view key)
{
    // A line break separates the parts; the first three cannot contain one.
    std::string text;
    for (const std::string_view part : { account, pipeline, stage, key })
        text.append(part).push_back('\n');
    const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
    return { hash.high64, hash.low64 };
}

void applyClaims(claim_table& table, uint64_t offset, int64_t appendedMs, const std::vector<claim_item>& items, milliseconds retention)
{
    table.nextOffset = offset + 1;
    for (const claim_item& item : items) {
        switch (item.operation) {
        case claim_operation::Claim:
            applyClaim(table, item, appendedMs);
            break;
        case claim_operation::Release:
            applyRelease(table, item, appendedMs);
            break;
        case claim_operation::Complete:
            applyCompletion(table, item);
            break;
        }
    }
    removeExpired(table, appendedMs - retention.count());
    limitStoredResponses(table);
}

void recordMissingClaims(claim_table& table, uint64_t firstOffset, int64_t firstAppendedMs)
{
    table.nextOffset = firstOffset;
    table.completeSinceMs = std::max(table.completeSinceMs, firstAppendedMs + (maxClockSkew + maxAppendDelay).count());
}

claim_verdict decideClaim(const claim_table& table, identifier key, identifier nonce, uint64_t fingerprint, int64_t issuedMs)
{
    const auto it = table.statesByKey.find(key);
    const bool isOwn = it != table.statesByKey.end() && it->second.nonce == nonce && it->second.currentStatus == claim_state::status::Held;
    const bool isCovered = table.isCaughtUp && (table.completeSinceMs == 0 || issuedMs - maxClockSkew.count() > table.completeSinceMs);
    if (!isCovered)
        return claim_verdict::NotCovered;
    if (it == table.statesByKey.end() || it->second.currentStatus == claim_state::status::Free)
        return claim_verdict::Unclaimed;
    if (isOwn)
        return claim_verdict::Won;
    if (it->second.fingerprint != fingerprint)
        return claim_verdict::KeyReused;
    return it->second.currentStatus == claim_state::status::Completed ? claim_verdict::Completed : claim_verdict::HeldElsewhere;
}
}
