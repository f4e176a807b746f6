/// Model replicas of one service that respond with streams of events, for the review's scripts.
#pragma once

#include "standins.hpp"

namespace standins {

/// Tokens in one event, and the time between two events.
constexpr int eventTokens = 3;
constexpr int64_t eventMs = 200;

/// One service of model replicas with a resumable route.
inline const char* const streamConfiguration = R"({"version":1,"routes":[{"name":"r-1","host":"jepu9.example","path_prefix":"/cufi501/","kind":"streaming","timeout_ms":20000,"target_latency_ms":1900,"priority":0,"service":"huvo11a","max_attempts":2,"stages":[],"public":true,"sticky":true,"resumable":true,"gap_aim_ms":250}],"services":[{"name":"huvo11a","health_path":"/healthz","max_conns":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kv_capacity_tokens":566282,"kv_token_bytes":35136,"link_mbps":740000.0,"moves":true,"backups":true,"stride":3,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";

/// A model replica. It runs one start at a time, at one address and under one id.
struct replica {
    std::string id;
    int port = freePort();
    std::string version;
    int64_t born = unixMs();
    std::atomic<int> sequence = 0;
    std::unique_ptr<server> listener;
    std::atomic<int> running = 0;

    replica(std::string name, std::string firstVersion)
        : id(std::move(name))
        , version(std::move(firstVersion))
    {
    }

    bool start()
    {
        born = unixMs();
        listener = std::make_unique<server>("127.0.0.1", port, [this, runs = version](connection& peer, const message& request) { return handle(peer, request, runs); });
        return listener->start();
    }

    /// The process ends: connections are reset and the port is closed.
    void crash()
    {
        // Threads of its connections still use it.
        listener.release()->kill();
    }

    void writeRecord(store& platform)
    {
        platform.put("keyed.servers", id, R"({"service":"huvo11a","address":"127.0.0.1:)" + std::to_string(port) + R"(","zone":"z1","version":")" + version + R"(","slots":64,"state":"ready","cold_left_ms":0,"stage":"colocated","models":[{"name":"m","version":1,"adapters":[]}],"born":)" + std::to_string(born) + R"(,"seq":)" + std::to_string(++sequence) + "}");
    }

    bool handle(connection& peer, const message& request, const std::string& runs)
    {
        const std::string attempt = headerOf(request.fields, "X-Attempt-Id");
        if (request.method == "GET")
            return sendAll(peer.fd, response(200, { { "X-Replica-Id", id } }, ""));
        if (headerOf(request.fields, "X-Expect-Instance") != id)
            return sendAll(peer.fd, response(421, { { "X-Not-Executed", "1" } }, ""));
        const int last = std::atoi(headerOf(request.fields, "Last-Event-Id").c_str());
        const std::string tokens = headerOf(request.fields, "X-Token-Counts");
        const int eventCount = std::atoi(tokens.substr(tokens.find(',') + 1).c_str()) / eventTokens;
        note(id + " of version " + runs + " runs " + attempt + " after event " + std::to_string(last));
        ++running;
        sleepMs(100);
        bool isOpen = sendAll(peer.fd, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: " + attempt + "\r\nX-Response-Seal: seal-" + id + "\r\nX-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int event = last + 1; event <= eventCount && isOpen; ++event) {
            const std::string text = "id: " + std::to_string(event) + "\ndata: " + runs + " " + attempt + " " + std::to_string(event) + "\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", text.size());
            isOpen = sendAll(peer.fd, size + text + "\r\n");
            sleepMs(eventMs);
            isOpen = isOpen && !peer.isGone();
        }
        --running;
        return isOpen && sendAll(peer.fd, "0\r\n\r\n");
    }
};

/// @return The software versions whose events a client holds, in the order of their first events.
inline std::string versionsIn(const std::string& body)
{
    std::string versions;
    for (size_t position = body.find("data: "); position != std::string::npos; position = body.find("data: ", position + 1)) {
        const std::string version = body.substr(position + 6, body.find(' ', position + 6) - position - 6);
        if (versions.size() < version.size() || versions.substr(versions.size() - version.size()) != version)
            versions += (versions.empty() ? "" : ", then ") + version;
    }
    return versions;
}
}
