/// Two software versions, which are named by the digests of their images, serve side by side. When a replica of one crashes, its
/// streams go on at replicas of the other.
#include "../lib-3/model_replica.hpp"

using namespace standins;

namespace {
constexpr int streamCount = 32;
/// Replicas of the newer version; one of four replicas crashes.
constexpr int newerCount = 3;

const char* const firstDigest = "sha256:9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08";
const char* const secondDigest = "sha256:60303ae22b998861bce3b28f33eec1be758a213c86c93c076dbe9f558c11c752";
}

int main()
{
    openRecord(std::getenv("CASE_RECORD") ? std::getenv("CASE_RECORD") : "record.txt");
    const char* const mode = std::getenv("TROUBLE");
    // Shows that the length of the names makes the difference.
    const bool isShort = mode && std::string(mode) == "short";
    store platform;
    const int storePort = freePort();
    if (!platform.listen(storePort))
        finish(2, "the store cannot listen");
    platform.put("keyed.op", "config", streamConfiguration);
    replica first("i-first", isShort ? "v1" : firstDigest);
    std::vector<std::unique_ptr<replica>> newer;
    for (int i = 0; i < newerCount; ++i)
        newer.push_back(std::make_unique<replica>("i-newer-" + std::to_string(i), isShort ? "v2" : secondDigest));
    bool areListening = first.start();
    for (const auto& item : newer)
        areListening = item->start() && areListening;
    if (!areListening)
        finish(2, "a replica cannot listen");
    const auto writeRecords = [&](bool isFirstUp) {
        if (isFirstUp)
            first.writeRecord(platform);
        for (const auto& item : newer)
            item->writeRecord(platform);
    };
    writeRecords(true);
    gateway front("frontend-z1-1", "z1", storePort);
    front.start();
    if (!front.waitUntilReady())
        finish(2, "the gateway did not become ready");
    std::atomic<bool> isOver = false;
    std::atomic<bool> isFirstUp = true;
    std::thread hearts([&] {
        for (int64_t next = nowMs(); !isOver; sleepMs(20)) {
            if (nowMs() < next)
                continue;
            next = nowMs() + 1200;
            writeRecords(isFirstUp);
        }
    });
    sleepMs(12000);

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
    sleepMs(3000);
    const int atFirst = first.running;
    note("streams at i-first: " + std::to_string(first.running));
    if (hasTrouble()) {
        isFirstUp = false;
        first.crash();
        note("i-first has crashed");
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
    if (atFirst < 3)
        finish(2, "fewer than three streams began at the replica that crashes");
    if (joined > 2)
        finish(1, "the rule was broken: " + std::to_string(joined) + " streams hold events of two software versions");
    finish(0, "the rule held: " + std::to_string(joined) + " streams hold events of two software versions");
}
