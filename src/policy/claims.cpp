#include "policy/claims.hpp"
#include "base/json_text.hpp"

#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace bilberryseam::policy {

using nlohmann::json;

namespace {
    claim_item itemFromJson(const json& document)
    {
        const auto step = document.at(0).get<uint64_t>();
        if (step > static_cast<uint64_t>(claim_step::Answer))
            throw error(error_kind::InvalidMessage, "A claim has an unknown step.", "Run the same release everywhere.");
        return { static_cast<claim_step>(step), identifier::parse(document.at(1).get<std::string>()).value(), identifier::parse(document.at(2).get<std::string>()).value(),
            document.at(3).get<uint64_t>(), document.at(4).get<std::string>(), document.at(5).get<bool>() };
    }

    void dropAnswer(claim_table& table, claim_entry& entry)
    {
        table.answerBytes -= entry.answer.size();
        entry.answer.clear();
        entry.answer.shrink_to_fit();
        entry.isAnswerKept = false;
    }

    void applyClaim(claim_table& table, const claim_item& item, int64_t appendedMs)
    {
        const auto [found, isNew] = table.entries.try_emplace(item.key);
        claim_entry& entry = found->second;
        // A nonce that was released stays released, even if its claim arrives late.
        const bool isFree = isNew || (entry.state == claim_entry::status::Free && entry.nonce != item.nonce);
        if (!isFree)
            return;
        entry = { claim_entry::status::Held, item.nonce, item.fingerprint, appendedMs, "", false };
        table.order.emplace_back(appendedMs, item.key);
    }

    void applyRelease(claim_table& table, const claim_item& item, int64_t appendedMs)
    {
        const auto [found, isNew] = table.entries.try_emplace(item.key);
        claim_entry& entry = found->second;
        if (isNew) {
            entry = { claim_entry::status::Free, item.nonce, item.fingerprint, appendedMs, "", false };
            table.order.emplace_back(appendedMs, item.key);
            return;
        }
        if (entry.nonce == item.nonce && entry.state == claim_entry::status::Held)
            entry.state = claim_entry::status::Free;
    }

    void applyAnswer(claim_table& table, const claim_item& item)
    {
        const auto found = table.entries.find(item.key);
        if (found == table.entries.end() || found->second.nonce != item.nonce || found->second.state != claim_entry::status::Held)
            return;
        claim_entry& entry = found->second;
        entry.state = claim_entry::status::Answered;
        entry.answer = item.answer;
        entry.isAnswerKept = item.isAnswerKept;
        table.answerBytes += entry.answer.size();
    }

    void dropOld(claim_table& table, int64_t beforeMs)
    {
        while (!table.order.empty() && table.order.front().first < beforeMs) {
            const auto [atMs, key] = table.order.front();
            table.order.pop_front();
            const auto found = table.entries.find(key);
            if (found == table.entries.end() || found->second.atMs != atMs)
                continue;
            dropAnswer(table, found->second);
            table.entries.erase(found);
        }
    }

    void boundAnswers(claim_table& table)
    {
        for (auto next = table.order.begin(); table.answerBytes > maxKeptAnswersBytes && next != table.order.end(); ++next) {
            if (const auto found = table.entries.find(next->second); found != table.entries.end())
                dropAnswer(table, found->second);
        }
    }
}

std::string writeClaims(const std::vector<claim_item>& items)
{
    json list = json::array();
    for (const claim_item& item : items)
        list.push_back(json::array({ static_cast<uint64_t>(item.step), item.key.toString(), item.nonce.toString(), item.fingerprint, item.answer, item.isAnswerKept }));
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
        return error(error_kind::InvalidMessage, "A record of the claims stream is malformed.", "Let nothing but sides append to this stream.");
    }
}

identifier hashOfKey(std::string_view account, std::string_view pipeline, std::string_view stage, std::string_view key)
{
    // None of the first three can hold a line break.
    std::string whole;
    for (const std::string_view part : { account, pipeline, stage, key })
        whole.append(part).push_back('\n');
    const XXH128_hash_t hash = XXH3_128bits(whole.data(), whole.size());
    return { hash.high64, hash.low64 };
}

void applyClaims(claim_table& table, uint64_t offset, int64_t appendedMs, const std::vector<claim_item>& items, milliseconds keep)
{
    table.nextOffset = offset + 1;
    for (const claim_item& item : items) {
        switch (item.step) {
        case claim_step::Claim:
            applyClaim(table, item, appendedMs);
            break;
        case claim_step::Release:
            applyRelease(table, item, appendedMs);
            break;
        case claim_step::Answer:
            applyAnswer(table, item);
            break;
        }
    }
    dropOld(table, appendedMs - keep.count());
    boundAnswers(table);
}

void noteMissingClaims(claim_table& table, uint64_t firstOffset, int64_t firstAppendedMs)
{
    table.nextOffset = firstOffset;
    table.completeSinceMs = std::max(table.completeSinceMs, firstAppendedMs + (maxClockSkew + maxAppendDelay).count());
}

claim_verdict decideClaim(const claim_table& table, identifier key, identifier nonce, uint64_t fingerprint, int64_t issuedMs)
{
    const auto found = table.entries.find(key);
    const bool isOwn = found != table.entries.end() && found->second.nonce == nonce && found->second.state == claim_entry::status::Held;
    const bool isCovered = table.isCaughtUp && (table.completeSinceMs == 0 || issuedMs - maxClockSkew.count() > table.completeSinceMs);
    if (!isCovered)
        return claim_verdict::NotCovered;
    if (found == table.entries.end() || found->second.state == claim_entry::status::Free)
        return claim_verdict::Unclaimed;
    if (isOwn)
        return claim_verdict::Won;
    if (found->second.fingerprint != fingerprint)
        return claim_verdict::KeyReused;
    return found->second.state == claim_entry::status::Answered ? claim_verdict::Answered : claim_verdict::HeldElsewhere;
}
}
