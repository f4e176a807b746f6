/// While a release is under way, all gateways are killed and the store returns from a copy made before the release. Callers take
/// their streams up again; those that the newer software version began go on at the former one.
#include "../lib-3/model_replica.hpp"

using namespace standins;

namespace {
constexpr int streamCount = 24;
/// The store is away for a moment.
constexpr int64_t awayMs = 1000;
/// "A process that exits or is killed is restarted after a short delay".
constexpr int64_t restartMs = 400;
/// The platform's pages: entries are back within about two seconds of the store's return.
constexpr int64_t writtenAgainMs = 1900;
/// Most tries of a client for one stream.
constexpr int maxTries = 4;

struct stream {
    std::string firstAttempt;
    std::string body;
    bool isComplete = false;
    int taken = 0;
};

/// Keeps the whole events of a stream.
void dropIncompleteEvent(std::string& body)
{
    const size_t end = body.rfind("\n\n");
    body.resize(end == std::string::npos ? 0 : end + 2);
}

std::string lastIdOf(const std::string& body)
{
    const size_t position = body.rfind("id: ");
    return position == std::string::npos ? std::string() : body.substr(position + 4, body.find('\n', position) - position - 4);
}
}

int main()
{
    openRecord(std::getenv("CASE_RECORD") ? std::getenv("CASE_RECORD") : "record.txt");
    const std::string mode = std::getenv("TROUBLE") ? std::getenv("TROUBLE") : "1";
    const bool isKilled = mode != "0" && mode != "drill";
    const bool isDrilled = mode != "0" && mode != "kill";
    store platform;
    const int storePort = freePort();
    if (!platform.listen(storePort))
        finish(2, "the store cannot listen");
    platform.put("keyed.op", "config", streamConfiguration);
    std::vector<std::unique_ptr<replica>> replicas;
    for (const char* name : { "i-old-0", "i-old-1", "i-new-0", "i-new-1" })
        replicas.push_back(std::make_unique<replica>(name, std::string(name).find("old") != std::string::npos ? "v1" : "v2"));
    for (size_t i = 0; i < 2; ++i) {
        if (!replicas[i]->start())
            finish(2, "a replica cannot listen");
        replicas[i]->writeRecord(platform);
    }
    std::vector<std::unique_ptr<gateway>> gateways;
    for (const char* zone : { "z1", "z2" })
        gateways.push_back(std::make_unique<gateway>(std::string("frontend-") + zone, zone, storePort));
    for (const auto& item : gateways)
        item->start();
    for (const auto& item : gateways) {
        if (!item->waitUntilReady())
            finish(2, "a gateway did not become ready");
    }
    std::atomic<bool> isOver = false;
    std::atomic<bool> isAway = false;
    std::atomic<size_t> listedCount = 2;
    /// Time before which the new replicas do not write again.
    std::atomic<int64_t> silentUntil = 0;
    std::thread hearts([&] {
        for (int64_t next = nowMs(); !isOver; sleepMs(20)) {
            if (nowMs() < next || isAway)
                continue;
            next = nowMs() + 1200;
            for (size_t i = 0; i < listedCount; ++i) {
                if (i < 2 || nowMs() >= silentUntil)
                    replicas[i]->writeRecord(platform);
            }
        }
    });
    sleepMs(4000);
    platform.keepCopy();
    const int64_t copyAt = nowMs();
    note("the store keeps a copy; all replicas have version v1");
    sleepMs(500);
    for (size_t i = 2; i < 4; ++i) {
        if (!replicas[i]->start())
            finish(2, "a replica cannot listen");
        replicas[i]->writeRecord(platform);
    }
    listedCount = 4;
    note("two replicas of version v2 join");
    sleepMs(1500);

    // The platform's address: it forwards connections to gateways that have said that they are ready.
    std::array<std::atomic<bool>, 2> isReady { true, true };
    std::thread entry([&] {
        while (!isOver) {
            for (size_t i = 0; i < 2; ++i) {
                client probe;
                isReady[i] = probe.connectTo("127.0.0.1", gateways[i]->readyPort) && probe.exchange("GET", "/v1/ready", { { "Host", "ready" } }, "", 500).status == 200;
            }
            sleepMs(200);
        }
    });
    std::atomic<int> number = 0;
    std::vector<stream> streams(streamCount);
    std::vector<std::thread> callers;
    for (int i = 0; i < streamCount; ++i) {
        callers.emplace_back([&, i] {
            stream& own = streams[static_cast<size_t>(i)];
            const int64_t deadline = nowMs() + 20000;
            for (int tries = 0; tries < maxTries && !own.isComplete && nowMs() < deadline;) {
                const size_t chosen = (static_cast<size_t>(i) + static_cast<size_t>(tries)) % 2;
                client caller;
                if (!isReady[chosen] || !caller.connectTo("127.0.0.1", gateways[chosen]->frontPort)) {
                    sleepMs(50);
                    continue;
                }
                const std::string attempt = "attempt-" + std::to_string(i) + "-" + std::to_string(tries++);
                headers fields { { "Host", "jepu9.example" }, { "X-Attempt-Id", attempt }, { "X-Model", "m" }, { "X-Token-Counts", "1000,180" }, { "X-Prompt-Prefix", "a" + std::to_string(i) + ":600,b" + std::to_string(i) + ":400" }, { "X-Deadline-Ms", std::to_string(deadline - nowMs()) } };
                if (own.body.empty())
                    own.firstAttempt = attempt;
                else {
                    fields.emplace_back("Last-Event-Id", lastIdOf(own.body));
                    fields.emplace_back("Resumes", own.firstAttempt);
                }
                const auto result = caller.exchange("POST", "/cufi501/2f", fields, "prompt " + std::to_string(i), deadline - nowMs());
                note(attempt + ": status " + std::to_string(result.status) + ", " + (result.isComplete ? "complete" : "cut") + ", events of " + versionsIn(result.body));
                if (result.status == 200) {
                    own.taken += !own.body.empty() && !result.body.empty();
                    own.body += result.body;
                    own.isComplete = result.isComplete;
                    dropIncompleteEvent(own.body);
                }
                const std::string retryAfter = headerOf(result.fields, "Retry-After");
                sleepMs(retryAfter.empty() ? 50 : static_cast<int64_t>(std::atof(retryAfter.c_str()) * 1000));
            }
        });
        sleepMs(20);
    }
    sleepMs(2000);
    int atNew = 0;
    for (size_t i = 2; i < 4; ++i)
        atNew += replicas[i]->running;
    note("streams at replicas of v2: " + std::to_string(atNew));
    if (isDrilled) {
        platform.goAway();
        isAway = true;
        note("the store is away");
    }
    if (isKilled) {
        for (const auto& item : gateways)
            item->kill(SIGKILL);
        note("all gateways are killed");
        sleepMs(restartMs);
        for (const auto& item : gateways)
            item->start();
        note("all gateways have started again");
    } else
        sleepMs(restartMs);
    sleepMs(awayMs - restartMs);
    if (isDrilled) {
        silentUntil = nowMs() + writtenAgainMs;
        platform.comeBackFromCopy();
        isAway = false;
        note("the store is back from a copy that is " + std::to_string(nowMs() - copyAt) + " ms old");
    }
    for (auto& caller : callers)
        caller.join();
    isOver = true;
    hearts.join();
    entry.join();
    int joined = 0;
    int taken = 0;
    for (const stream& item : streams) {
        joined += versionsIn(item.body).find(',') != std::string::npos;
        taken += item.taken > 0;
    }
    for (const auto& item : gateways)
        item->kill(SIGTERM);
    note(std::to_string(taken) + " streams were taken up again");
    if (atNew < 3)
        finish(2, "fewer than three streams began at the newer version");
    if (joined > 2)
        finish(1, "the rule was broken: " + std::to_string(joined) + " streams hold events of two software versions");
    finish(0, "the rule held: " + std::to_string(joined) + " streams hold events of two software versions");
}
