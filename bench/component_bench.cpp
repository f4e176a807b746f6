/// Measures how memory and time of single components grow with their size; prints one line of JSON for each data point.
#include "base/time.hpp"
#include "configuration/configuration.hpp"
#include "policy/policy.hpp"
#include "wire/codec.hpp"

#include <iostream>
#include <malloc.h>

using namespace bilberryseam;
using nlohmann::json;

namespace {
size_t heapBytes()
{
    return mallinfo2().uordblks;
}

void print(const json& point)
{
    std::cout << point.dump() << std::endl;
}

template <typename Function>
double secondsOf(Function function)
{
    const time_point start = monotonicNow();
    function();
    return asSeconds(monotonicNow() - start);
}

json targetNote(size_t first, size_t count)
{
    json targets = json::array();
    for (size_t i = first; i < first + count; ++i) {
        const std::string name = "language-model-" + std::to_string(i);
        targets.push_back({ { "name", name }, { "service", "model-" + std::to_string(i % 6) }, { "instance", "instance-" + std::to_string(i / 6) }, { "region", "region-" + std::to_string(i % 5) },
            { "failureDomain", "domain-" + std::to_string(i % 20) }, { "side", "10.0.0.1:9000" }, { "address", "127.0.0.1:8000" }, { "capacity", 8 } });
    }
    return { { "schema", 1 }, { "note", "targets-" + std::to_string(first) }, { "added", { { "targets", targets } } } };
}

void applyNote(configuration::state& state, const json& note)
{
    if (configuration::applyRecord(state, { state.nextOffset, 0, note.dump() }) != configuration::fold_step::Applied || !state.verdicts.at(note["note"]).isAccepted)
        std::cerr << "rejected: " << state.verdicts.at(note["note"]).reason << "\n";
}

void measureFold(size_t targetCount, size_t accountCount)
{
    const size_t before = heapBytes();
    configuration::state state;
    json first { { "schema", 1 }, { "note", "first" }, { "added", { { "services", json::array() }, { "accounts", json::array() } } } };
    for (int i = 0; i < 6; ++i)
        first["added"]["services"].push_back({ { "name", "model-" + std::to_string(i) }, { "kind", "engine" } });
    for (size_t i = 0; i < accountCount; ++i)
        first["added"]["accounts"].push_back({ { "name", "account-" + std::to_string(i) }, { "weight", 2 } });
    const double seconds = secondsOf([&] {
        applyNote(state, first);
        for (size_t i = 0; i < targetCount; i += 1000)
            applyNote(state, targetNote(i, std::min<size_t>(1000, targetCount - i)));
    });
    const size_t after = heapBytes();
    const double oneNote = secondsOf([&] {
        for (int i = 0; i < 100; ++i) {
            const uint64_t basedOn = state.of<configuration::account>().at("account-0").revision;
            applyNote(state, { { "schema", 1 }, { "note", "n" + std::to_string(i) }, { "changed", { { "accounts", { { { "name", "account-0" }, { "basedOn", basedOn }, { "weight", i + 1 } } } } } } });
        }
    }) / 100;
    std::string snapshot;
    const double snapshotSeconds = secondsOf([&] { snapshot = configuration::writeSnapshot(state); });
    print({ { "bench", "fold" }, { "targets", targetCount }, { "accounts", accountCount }, { "foldSeconds", seconds }, { "heapBytes", after - before }, { "oneNoteMicroseconds", 1e6 * oneNote }, { "snapshotBytes", snapshot.size() }, { "snapshotSeconds", snapshotSeconds } });
}

void measureRouting(size_t count)
{
    std::mt19937_64 random(1);
    std::vector<policy::routing_candidate> choices(count);
    for (size_t i = 0; i < count; ++i) {
        choices[i].isInOwnRegion = i % 5 == 0;
        choices[i].reportedLoad = static_cast<uint32_t>(random() % 8);
        choices[i].capacity = 8;
    }
    constexpr int rounds = 2000;
    size_t sum = 0;
    const double seconds = secondsOf([&] {
        for (int i = 0; i < rounds; ++i)
            sum += *policy::chooseByCost(choices, { 1000, 0, 0.5 }, { 1, 1 }, random);
    });
    print({ { "bench", "routing" }, { "candidates", count }, { "microseconds", 1e6 * seconds / rounds }, { "check", sum % 7 } });
}

void measureClaims(size_t count)
{
    const size_t before = heapBytes();
    policy::claim_table table;
    const std::string storedResponse = R"({"confirmed":true,"seat":12})";
    const double seconds = secondsOf([&] {
        for (uint64_t i = 0; i < count; ++i) {
            const std::string record = policy::writeClaims({ { policy::claim_operation::Claim, { 1, i }, { 2, i }, 7, "", false }, { policy::claim_operation::Complete, { 1, i }, { 2, i }, 0, storedResponse, true } });
            policy::applyClaims(table, i, 0, policy::readClaims(record).value(), milliseconds(1000000));
        }
    });
    print({ { "bench", "claims" }, { "entries", count }, { "heapBytes", heapBytes() - before }, { "microsecondsEach", 1e6 * seconds / static_cast<double>(count) } });
}

/// Crashes beside hostile traffic: each report has 32 requests with so many segments that no other has.
/// @param repeats  Every report has the same segments, so that all of them are candidates for a verdict.
void measureCrashEvidence(size_t segmentsPerRequest, bool repeats)
{
    constexpr size_t reports = 300;
    const size_t before = heapBytes();
    policy::crash_evidence evidence;
    uint64_t next = 1;
    double longestMerge = 0;
    time_point now {};
    for (size_t i = 0; i < reports; ++i) {
        std::vector<std::vector<uint64_t>> requests(policy::maxReportedRequests);
        if (repeats)
            next = 1;
        for (auto& request : requests) {
            for (size_t k = 0; k < segmentsPerRequest; ++k)
                request.push_back(next++);
        }
        now += seconds(1);
        longestMerge = std::max(longestMerge, secondsOf([&] { static_cast<void>(policy::mergeReport(evidence, { i + 1, i + 1, now, policy::suspectedSegments(requests) }, now)); }));
    }
    std::vector<uint64_t> request;
    for (size_t k = 0; k < segmentsPerRequest; ++k)
        request.push_back(next++);
    constexpr int rounds = 2000;
    size_t refused = 0;
    const double check = secondsOf([&] {
        for (int i = 0; i < rounds; ++i)
            refused += policy::refusedSegment(evidence, request, now) ? 1 : 0;
    });
    const double survival = secondsOf([&] {
        for (int i = 0; i < rounds; ++i)
            static_cast<void>(policy::recordSurvival(evidence, request, now));
    });
    print({ { "bench", "crash_evidence" }, { "segmentsPerRequest", segmentsPerRequest }, { "repeats", repeats }, { "reports", evidence.reports.size() }, { "verdicts", evidence.verdicts.size() }, { "heapBytes", heapBytes() - before }, { "longestMergeMilliseconds", 1e3 * longestMerge }, { "checkMicroseconds", 1e6 * check / rounds }, { "survivalMicroseconds", 1e6 * survival / rounds }, { "check", refused } });
}

void measureCodec(size_t messagesPerFrame)
{
    wire::frame frame { 1, 1, false, {} };
    for (size_t i = 0; i < messagesPerFrame; ++i)
        frame.messages.push_back(wire::call_output { { 1, i }, { 2, i }, 7, "word " });
    constexpr int rounds = 2000;
    size_t bytes = 0;
    const double encode = secondsOf([&] {
        for (int i = 0; i < rounds; ++i)
            bytes = wire::encodeFrame(frame).size();
    });
    const std::string encoded = wire::encodeFrame(frame);
    const double decode = secondsOf([&] {
        for (int i = 0; i < rounds; ++i)
            static_cast<void>(wire::decodeFrame(encoded));
    });
    const double each = 1e6 / rounds / static_cast<double>(messagesPerFrame);
    print({ { "bench", "codec" }, { "messagesPerFrame", messagesPerFrame }, { "bytesPerFrame", bytes }, { "encodeMicrosecondsEach", encode * each }, { "decodeMicrosecondsEach", decode * each } });
}
}

int main()
{
    for (const size_t targets : { 1000, 2500, 5000, 10000 })
        measureFold(targets, 490);
    for (const size_t accounts : { 50, 125, 250, 490 })
        measureFold(1000, accounts);
    for (const size_t candidates : { 16, 64, 256, 1667 })
        measureRouting(candidates);
    for (const size_t entries : { 10000, 25000, 50000, 100000 })
        measureClaims(entries);
    for (const size_t segments : { 4, 20, 100 }) {
        for (const bool repeats : { false, true })
            measureCrashEvidence(segments, repeats);
    }
    for (const size_t messages : { 1, 4, 16, 64 })
        measureCodec(messages);
}
