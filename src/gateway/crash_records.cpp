#include "gateway/crash_records.hpp"

#include "base/json_numbers.hpp"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>

namespace bilberryseam::gateway {

using nlohmann::json;

namespace {
    /// Longest list in a record, as on the wire.
    constexpr size_t maxItems = 1024;

    error invalidRecord(std::string_view key, std::string_view problem)
    {
        return { error_kind::InvalidMessage, std::string(problem), "Run the same release on all entries.", key };
    }

    json toJson(const wire::message& message)
    {
        if (const auto* report = std::get_if<wire::crash_report>(&message)) {
            json segments = json::array();
            for (const auto& [segment, requests] : report->segments)
                segments.push_back({ segment, requests });
            return { { "kind", "report" }, { "id", report->id }, { "target", report->target }, { "ageMs", report->ageMs }, { "segments", std::move(segments) } };
        }
        if (const auto* verdict = std::get_if<wire::segment_verdict>(&message)) {
            json companions = json::array();
            for (const auto& companion : verdict->companions)
                companions.push_back(companion.segment);
            return { { "kind", "verdict" }, { "segment", verdict->segment }, { "companions", std::move(companions) }, { "crashes", verdict->crashCount }, { "ageMs", verdict->lastCrashAgeMs }, { "trials", verdict->trials }, { "nextTrialMs", verdict->nextTrialMs } };
        }
        if (const auto* survival = std::get_if<wire::segment_survival>(&message))
            return { { "kind", "survival" }, { "segment", survival->segment }, { "ageMs", survival->ageMs } };
        return {};
    }

    template <typename Number>
    Number readNumber(const json& from, const char* name)
    {
        return wholeNumber<Number>(from.at(name), name);
    }

    /// @throws error (`InvalidMessage`) if the list is longer than on the wire.
    const json& readList(const json& from, const char* name)
    {
        const json& list = from.at(name);
        if (!list.is_array() || list.size() > maxItems)
            throw invalidRecord(name, "The record has no valid list of segments.");
        return list;
    }

    wire::message readReport(const json& from)
    {
        wire::crash_report report { readNumber<uint64_t>(from, "id"), readNumber<uint64_t>(from, "target"), readNumber<uint32_t>(from, "ageMs"), {} };
        for (const json& item : readList(from, "segments"))
            report.segments.push_back({ wholeNumber<uint64_t>(item.at(0), "segments"), wholeNumber<uint32_t>(item.at(1), "segments") });
        return report;
    }

    wire::message readVerdict(const json& from)
    {
        wire::segment_verdict verdict { readNumber<uint64_t>(from, "segment"), {}, readNumber<uint32_t>(from, "crashes"), readNumber<uint32_t>(from, "ageMs"), readNumber<uint32_t>(from, "trials"), readNumber<uint32_t>(from, "nextTrialMs") };
        for (const json& item : readList(from, "companions"))
            verdict.companions.push_back({ wholeNumber<uint64_t>(item, "companions") });
        return verdict;
    }

    uint32_t olderBy(uint32_t ageMs, int64_t elapsedMs)
    {
        return static_cast<uint32_t>(std::min<int64_t>(ageMs + elapsedMs, std::numeric_limits<uint32_t>::max()));
    }
}

std::string encodeCrashRecord(const crash_record& record)
{
    json document = toJson(record.content);
    if (document.is_null())
        return {};
    document["writtenAtMs"] = record.writtenAt.time_since_epoch().count();
    return document.dump();
}

result<crash_record> decodeCrashRecord(std::string_view key, std::string_view text)
{
    try {
        const json document = json::parse(text);
        const wall_time writtenAt { milliseconds(wholeNumber<int64_t>(document.at("writtenAtMs"), "writtenAtMs", 0, latestUnixMs)) };
        const std::string kind = document.at("kind");
        if (kind == "report")
            return crash_record { readReport(document), writtenAt };
        if (kind == "verdict")
            return crash_record { readVerdict(document), writtenAt };
        if (kind == "survival")
            return crash_record { wire::segment_survival { readNumber<uint64_t>(document, "segment"), readNumber<uint32_t>(document, "ageMs") }, writtenAt };
        return invalidRecord(key, "The kind of the record is unknown.");
    } catch (const json::exception& problem) {
        return invalidRecord(key, problem.what());
    } catch (const error& problem) {
        return problem;
    }
}

wire::message messageAsOf(const crash_record& record, wall_time now)
{
    const int64_t elapsedMs = std::max<int64_t>(0, (now - record.writtenAt).count());
    wire::message message = record.content;
    if (auto* report = std::get_if<wire::crash_report>(&message))
        report->ageMs = olderBy(report->ageMs, elapsedMs);
    if (auto* survival = std::get_if<wire::segment_survival>(&message))
        survival->ageMs = olderBy(survival->ageMs, elapsedMs);
    if (auto* verdict = std::get_if<wire::segment_verdict>(&message)) {
        verdict->lastCrashAgeMs = olderBy(verdict->lastCrashAgeMs, elapsedMs);
        verdict->nextTrialMs = static_cast<uint32_t>(std::max<int64_t>(0, verdict->nextTrialMs - elapsedMs));
    }
    return message;
}
}
