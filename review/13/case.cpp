/// The store returns from a copy that holds the record of a replica's former start, at which it had another software version.
/// Streams of that version, whose own replica then crashes, go on at it.
#include "../lib-3/model_replica.hpp"

using namespace standins;

namespace {
constexpr int streamCount = 32;
/// Further replicas, which have the new version all the while; one of four replicas crashes.
constexpr int newerCount = 2;
/// The store is away for a moment.
constexpr int64_t awayMs = 1500;
/// The platform's pages: entries are back within about two seconds of the store's return.
constexpr int64_t writtenAgainMs = 1900;
}

int main()
{
    openRecord(std::getenv("CASE_RECORD") ? std::getenv("CASE_RECORD") : "record.txt");
    const char* const mode = std::getenv("TROUBLE");
    const bool hasOlderCopy = hasTrouble() && !(mode && std::string(mode) == "crash");
    const bool hasCrash = hasTrouble();
    store platform;
    const int storePort = freePort();
    if (!platform.listen(storePort))
        finish(2, "the store cannot listen");
    platform.put("keyed.op", "config", streamConfiguration);
    replica stays("i-stays", "v1");
    replica restarts("i-restarts", "v1");
    std::vector<std::unique_ptr<replica>> newer;
    for (int i = 0; i < newerCount; ++i)
        newer.push_back(std::make_unique<replica>("i-newer-" + std::to_string(i), "v2"));
    bool areListening = stays.start() && restarts.start();
    for (const auto& item : newer)
        areListening = item->start() && areListening;
    if (!areListening)
        finish(2, "a replica cannot listen");
    stays.writeRecord(platform);
    restarts.writeRecord(platform);
    for (const auto& item : newer)
        item->writeRecord(platform);

    gateway front("frontend-z1-1", "z1", storePort);
    front.start();
    if (!front.waitUntilReady())
        finish(2, "the gateway did not become ready");
    sleepMs(12000);

    std::atomic<bool> isOver = false;
    std::atomic<bool> isAway = false;
    std::atomic<bool> hasStayed = true;
    /// Time before which the restarted replica has not written again.
    std::atomic<int64_t> silentUntil = 0;
    std::thread hearts([&] {
        for (int64_t next = nowMs(); !isOver; sleepMs(20)) {
            if (nowMs() < next || isAway)
                continue;
            next = nowMs() + 1200;
            if (hasStayed)
                stays.writeRecord(platform);
            if (nowMs() >= silentUntil)
                restarts.writeRecord(platform);
            for (const auto& item : newer)
                item->writeRecord(platform);
        }
    });

    platform.keepCopy();
    const int64_t copyAt = nowMs();
    note("the store keeps a copy; i-stays and i-restarts have version v1");
    sleepMs(500);
    restarts.crash();
    silentUntil = nowMs() + 100000;
    sleepMs(400);
    restarts.version = "v2";
    if (!restarts.start())
        finish(2, "the replica cannot start again");
    restarts.writeRecord(platform);
    silentUntil = 0;
    note("i-restarts has started again with version v2 and has written its record");
    sleepMs(2000);

    std::vector<outcome> outcomes(streamCount);
    std::vector<std::thread> callers;
    for (int i = 0; i < streamCount; ++i) {
        callers.emplace_back([&, i] {
            client caller;
            caller.connectTo("127.0.0.1", front.frontPort);
            const std::string number = std::to_string(i);
            const headers fields { { "Host", "jepu9.example" }, { "X-Attempt-Id", "attempt-" + number }, { "X-Model", "m" }, { "X-Token-Counts", "1000,180" }, { "X-Prompt-Prefix", "a" + number + ":600,b" + number + ":400" }, { "X-Deadline-Ms", "20000" } };
            outcomes[static_cast<size_t>(i)] = caller.exchange("POST", "/cufi501/2f", fields, "prompt " + number, 21000);
        });
        sleepMs(20);
    }
    sleepMs(1200);
    note("streams at i-stays: " + std::to_string(stays.running) + ", at i-restarts: " + std::to_string(restarts.running));
    const int atStays = stays.running;

    if (hasOlderCopy) {
        platform.goAway();
        isAway = true;
        note("the store is away");
        sleepMs(awayMs);
        silentUntil = nowMs() + writtenAgainMs;
        platform.comeBackFromCopy();
        isAway = false;
        note("the store is back from a copy that is " + std::to_string(nowMs() - copyAt) + " ms old");
        sleepMs(1000);
    } else
        sleepMs(awayMs + 1000);
    if (hasCrash) {
        stays.crash();
        hasStayed = false;
        note("i-stays has crashed");
    }
    for (auto& caller : callers)
        caller.join();
    isOver = true;
    hearts.join();
    int joined = 0;
    for (int i = 0; i < streamCount; ++i) {
        const outcome& got = outcomes[static_cast<size_t>(i)];
        const std::string versions = versionsIn(got.body);
        joined += versions.find(',') != std::string::npos;
        note("attempt-" + std::to_string(i) + ": status " + std::to_string(got.status) + ", " + (got.isComplete ? "complete" : "cut") + ", events of " + versions);
    }
    front.kill(SIGTERM);
    if (atStays < 3)
        finish(2, "fewer than three streams began at the replica that stays");
    if (joined > 2)
        finish(1, "the rule was broken: " + std::to_string(joined) + " streams hold events of two software versions");
    finish(0, "the rule held: " + std::to_string(joined) + " streams hold events of two software versions");
}
