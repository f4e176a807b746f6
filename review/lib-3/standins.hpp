/// Stand-ins for the review's scripts: the platform's store, replicas and clients, over blocking sockets and threads.
///
/// Everything listens on loopback addresses. The program exits with 0 if the rule held, 1 if it was broken and 2 if the case could
/// not run.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <cctype>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/types.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace standins {

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline const steady::time_point startedAt = steady::now();

/// @return Milliseconds since the start of the program.
inline int64_t nowMs() { return std::chrono::duration_cast<milliseconds>(steady::now() - startedAt).count(); }
inline void sleepMs(int64_t ms) { std::this_thread::sleep_for(milliseconds(ms)); }
inline int64_t unixMs() { return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count(); }

// The record of what was sent, answered and run.

inline std::mutex recordMutex;
inline std::ofstream recordFile;

inline void openRecord(const std::string& path) { recordFile.open(path, std::ios::trunc); }

inline void note(const std::string& text)
{
    const std::lock_guard lock(recordMutex);
    char time[32];
    std::snprintf(time, sizeof time, "%8lld ms  ", static_cast<long long>(nowMs()));
    recordFile << time << text << "\n"
               << std::flush;
}

/// Ends the program; the gateways that it started end with it.
[[noreturn]] inline void finish(int code, const std::string& text)
{
    note(text);
    std::printf("%s\n", text.c_str());
    std::fflush(stdout);
    _exit(code);
}

// HTTP/1.1.

using headers = std::vector<std::pair<std::string, std::string>>;

inline std::string headerOf(const headers& list, const char* name)
{
    for (const auto& [key, value] : list) {
        if (strcasecmp(key.c_str(), name) == 0)
            return value;
    }
    return {};
}

struct message {
    std::string startLine;
    std::string method;
    std::string target;
    int status = 0;
    headers fields;
    std::string body;
    /// The message ended as its framing says.
    bool isComplete = false;
};

inline bool sendAll(int fd, const std::string& bytes)
{
    size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<size_t>(count);
    }
    return true;
}

/// Reads messages from one connection.
class reader {
public:
    explicit reader(int fd)
        : m_fd(fd)
    {
    }

    /// @param untilMs  Time of `nowMs` at which reading ends.
    std::optional<message> read(int64_t untilMs, bool isResponse, const std::function<void(const std::string&)>& onBody = {})
    {
        size_t headEnd = 0;
        while ((headEnd = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(untilMs))
                return std::nullopt;
        }
        message result;
        std::istringstream head(m_buffer.substr(0, headEnd + 2));
        m_buffer.erase(0, headEnd + 4);
        std::getline(head, result.startLine);
        if (!result.startLine.empty() && result.startLine.back() == '\r')
            result.startLine.pop_back();
        std::istringstream words(result.startLine);
        std::string first, second;
        words >> first >> second;
        if (isResponse)
            result.status = std::atoi(second.c_str());
        else {
            result.method = first;
            result.target = second;
        }
        for (std::string line; std::getline(head, line);) {
            if (!line.empty() && line.back() == '\r')
                line.pop_back();
            const size_t colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            size_t value = colon + 1;
            while (value < line.size() && line[value] == ' ')
                ++value;
            result.fields.emplace_back(line.substr(0, colon), line.substr(value));
        }
        result.isComplete = readBody(result, untilMs, isResponse, onBody);
        return result;
    }

    /// @return True if the peer sends something or closes before the time.
    bool fill(int64_t untilMs)
    {
        const int64_t left = untilMs - nowMs();
        pollfd item { m_fd, POLLIN, 0 };
        if (left <= 0 || poll(&item, 1, static_cast<int>(left)) <= 0) {
            m_isTimedOut = true;
            return false;
        }
        char block[65536];
        const ssize_t count = recv(m_fd, block, sizeof block, 0);
        if (count <= 0) {
            m_isClosed = true;
            m_isReset = count < 0;
            return false;
        }
        m_buffer.append(block, static_cast<size_t>(count));
        return true;
    }

    [[nodiscard]] bool isClosed() const { return m_isClosed; }
    [[nodiscard]] bool isReset() const { return m_isReset; }
    [[nodiscard]] bool isTimedOut() const { return m_isTimedOut; }
    std::string& buffer() { return m_buffer; }

private:
    bool take(message& into, size_t bytes, int64_t untilMs, const std::function<void(const std::string&)>& onBody)
    {
        while (bytes > 0) {
            if (m_buffer.empty() && !fill(untilMs))
                return false;
            const std::string part = m_buffer.substr(0, bytes);
            m_buffer.erase(0, part.size());
            bytes -= part.size();
            into.body += part;
            if (onBody)
                onBody(part);
        }
        return true;
    }

    std::optional<std::string> line(int64_t untilMs)
    {
        size_t end = 0;
        while ((end = m_buffer.find("\r\n")) == std::string::npos) {
            if (!fill(untilMs))
                return std::nullopt;
        }
        std::string text = m_buffer.substr(0, end);
        m_buffer.erase(0, end + 2);
        return text;
    }

    bool readBody(message& into, int64_t untilMs, bool isResponse, const std::function<void(const std::string&)>& onBody)
    {
        if (strcasecmp(headerOf(into.fields, "Transfer-Encoding").c_str(), "chunked") == 0) {
            for (;;) {
                const auto sizeLine = line(untilMs);
                if (!sizeLine)
                    return false;
                const size_t size = std::strtoull(sizeLine->c_str(), nullptr, 16);
                if (size == 0) {
                    for (auto trailer = line(untilMs);; trailer = line(untilMs)) {
                        if (!trailer)
                            return false;
                        if (trailer->empty())
                            return true;
                    }
                }
                if (!take(into, size, untilMs, onBody) || !line(untilMs))
                    return false;
            }
        }
        const std::string length = headerOf(into.fields, "Content-Length");
        if (!length.empty())
            return take(into, std::strtoull(length.c_str(), nullptr, 10), untilMs, onBody);
        if (!isResponse || into.status == 204 || into.status == 304)
            return true;
        while (fill(untilMs)) {
            into.body += m_buffer;
            if (onBody)
                onBody(m_buffer);
            m_buffer.clear();
        }
        return m_isClosed && !m_isReset;
    }

    int m_fd;
    std::string m_buffer;
    bool m_isClosed = false;
    bool m_isReset = false;
    bool m_isTimedOut = false;
};

inline std::string response(int status, const headers& fields, const std::string& body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " x\r\n";
    for (const auto& [name, value] : fields)
        text += name + ": " + value + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline sockaddr_in addressOf(const std::string& ip, int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

/// @return A port that nothing listened on a moment ago.
inline int freePort(const std::string& ip = "127.0.0.1")
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = addressOf(ip, 0);
    if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0)
        finish(2, "no free port");
    socklen_t length = sizeof address;
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length);
    close(fd);
    return ntohs(address.sin_port);
}

inline void resetConnection(int fd)
{
    linger option { 1, 0 };
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &option, sizeof option);
}

/// One accepted connection of a server.
struct connection {
    int fd;
    reader in;
    uint64_t number;
    explicit connection(int descriptor, uint64_t id)
        : fd(descriptor)
        , in(descriptor)
        , number(id)
    {
    }
    /// @return True if the peer has closed.
    [[nodiscard]] bool isGone() const
    {
        pollfd item { fd, POLLIN | POLLRDHUP, 0 };
        if (poll(&item, 1, 0) <= 0)
            return false;
        if (item.revents & (POLLRDHUP | POLLHUP | POLLERR))
            return true;
        char byte = 0;
        return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
    }
};

/// Accepts connections and calls the handler for each request in a thread of the connection.
class server {
public:
    /// @return False closes the connection.
    using handler = std::function<bool(connection&, const message&)>;

    server(const std::string& ip, int port, handler onRequest)
        : m_ip(ip)
        , m_port(port)
        , m_handler(std::move(onRequest))
    {
    }

    bool start()
    {
        m_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in address = addressOf(m_ip, m_port);
        if (bind(m_fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || listen(m_fd, 512) != 0)
            return false;
        m_isRunning = true;
        m_acceptor = std::thread([this, fd = m_fd] { accept(fd); });
        m_acceptor.detach();
        return true;
    }

    /// Closes the port and resets all connections, as if the process had been killed.
    void kill()
    {
        m_isRunning = false;
        shutdown(m_fd, SHUT_RDWR);
        close(m_fd);
        const std::lock_guard lock(m_mutex);
        for (const int fd : m_open) {
            resetConnection(fd);
            shutdown(fd, SHUT_RDWR);
        }
    }

    [[nodiscard]] std::string endpoint() const { return m_ip + ":" + std::to_string(m_port); }

private:
    void accept(int listener)
    {
        for (;;) {
            const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                return;
            const int on = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            {
                const std::lock_guard lock(m_mutex);
                m_open.insert(fd);
            }
            std::thread([this, fd, number = ++m_accepted] { serve(fd, number); }).detach();
        }
    }

    void serve(int fd, uint64_t number)
    {
        connection peer(fd, number);
        while (m_isRunning) {
            const auto request = peer.in.read(nowMs() + 600000, false);
            if (!request || !request->isComplete || !m_handler(peer, *request))
                break;
        }
        const std::lock_guard lock(m_mutex);
        m_open.erase(fd);
        close(fd);
    }

    std::string m_ip;
    int m_port;
    handler m_handler;
    int m_fd = -1;
    std::atomic<bool> m_isRunning = false;
    std::atomic<uint64_t> m_accepted = 0;
    std::thread m_acceptor;
    std::mutex m_mutex;
    std::set<int> m_open;
};

// The platform's store.

inline std::string bigEndian(uint64_t number, size_t bytes)
{
    std::string text;
    for (size_t i = 0; i < bytes; ++i)
        text.push_back(static_cast<char>(number >> (8 * (bytes - 1 - i)) & 0xff));
    return text;
}

inline std::string base64(const std::string& text)
{
    static const char* const alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (size_t i = 0; i < text.size(); i += 3) {
        uint32_t block = 0;
        for (size_t j = 0; j < 3; ++j)
            block = block << 8 | (i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0);
        for (size_t j = 0; j < 4; ++j)
            out.push_back(i + j > text.size() ? '=' : alphabet[block >> (18 - 6 * j) & 63]);
    }
    return out;
}

inline std::string queryOf(const std::string& target, const std::string& name)
{
    const size_t mark = target.find('?');
    const std::string query = mark == std::string::npos ? "" : "&" + target.substr(mark + 1) + "&";
    const size_t start = query.find("&" + name + "=");
    if (start == std::string::npos)
        return {};
    const size_t value = start + name.size() + 2;
    std::string text = query.substr(value, query.find('&', value) - value);
    std::string plain;
    for (size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            plain.push_back(static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16)));
            i += 2;
        } else
            plain.push_back(text[i]);
    }
    return plain;
}

/// The platform's store: a log with keyed topics, one partition each. Several ports may lead to one store.
class store {
public:
    struct topic {
        uint64_t first = 0;
        std::deque<std::string> records;
        std::map<std::string, std::pair<std::string, uint64_t>> newest;
        [[nodiscard]] uint64_t end() const { return first + records.size(); }
    };

    /// Called after a read of the operator's topic was answered, with the port number and the offset of the next record.
    std::function<void(int port, const std::string& topic, uint64_t end)> onRead;

    explicit store(int64_t latencyMs = 4)
        : m_latencyMs(latencyMs)
    {
    }

    /// @param port  Each gateway may have a port of its own.
    bool listen(int port)
    {
        m_servers.push_back(std::make_unique<server>("127.0.0.1", port, [this, port](connection& peer, const message& request) { return handle(peer, request, port); }));
        return m_servers.back()->start();
    }

    /// Writes a key as the operator or a replica does; an empty value removes it.
    void put(const std::string& name, const std::string& key, const std::string& value)
    {
        const std::lock_guard lock(m_mutex);
        append(m_topics[name], name, bigEndian(key.size(), 1) + key + value);
        m_changed.notify_all();
    }

    /// Answers nothing and closes all connections until `comeBack`.
    void goAway()
    {
        const std::lock_guard lock(m_mutex);
        m_isAway = true;
        m_changed.notify_all();
    }

    void comeBack()
    {
        const std::lock_guard lock(m_mutex);
        m_isAway = false;
    }

    /// Keeps a copy of what the store holds.
    void keepCopy()
    {
        const std::lock_guard lock(m_mutex);
        m_copy = m_topics;
    }

    /// Returns from the copy; the era rises by one.
    void comeBackFromCopy()
    {
        const std::lock_guard lock(m_mutex);
        m_topics = m_copy;
        ++m_era;
        m_isAway = false;
    }

    /// Loses the answers to the next appends of the system's own topics, which are done.
    void loseAppendAnswers(bool isLosing) { m_isLosingAppendAnswers = isLosing; }

    [[nodiscard]] std::string newest(const std::string& name, const std::string& key)
    {
        const std::lock_guard lock(m_mutex);
        const auto position = m_topics[name].newest.find(key);
        return position == m_topics[name].newest.end() ? "" : position->second.first;
    }

private:
    static void append(topic& into, const std::string& name, const std::string& record)
    {
        if (name.rfind("keyed.", 0) == 0 && !record.empty()) {
            const size_t keyBytes = static_cast<unsigned char>(record[0]);
            const std::string key = record.substr(1, keyBytes);
            const std::string value = record.size() > 1 + keyBytes ? record.substr(1 + keyBytes) : "";
            if (value.empty())
                into.newest.erase(key);
            else
                into.newest[key] = { value, into.end() };
        }
        into.records.push_back(record);
    }

    std::string answer(int status, const std::string& body) { return response(status, { { "Store-Era", std::to_string(m_era) } }, body); }

    bool handle(connection& peer, const message& request, int port)
    {
        sleepMs(m_latencyMs);
        const std::string path = request.target.substr(0, request.target.find('?'));
        const std::string name = queryOf(request.target, "topic");
        std::unique_lock lock(m_mutex);
        if (m_isAway)
            return false;
        std::string bytes;
        if (path == "/v1/log-append")
            bytes = appendCall(request, name);
        else if (path == "/v1/log-newest")
            bytes = newestCall(request, name);
        else if (path == "/v1/log-read") {
            const uint64_t from = std::strtoull(queryOf(request.target, "from").c_str(), nullptr, 10);
            const int64_t wait = std::atoll(queryOf(request.target, "wait_ms").c_str());
            const uint64_t era = m_era;
            m_changed.wait_for(lock, milliseconds(wait), [&] { return m_isAway || m_era != era || from > m_topics[name].end() || m_topics[name].end() > from; });
            if (m_isAway || m_era != era)
                return false;
            bytes = readCall(request, name, from);
        } else
            bytes = answer(404, "");
        const uint64_t end = m_topics[name].end();
        lock.unlock();
        if (bytes.empty() || !sendAll(peer.fd, bytes))
            return false;
        if (onRead && path != "/v1/log-append")
            onRead(port, name, end);
        return true;
    }

    std::string appendCall(const message& request, const std::string& name)
    {
        if (name == "keyed.op" || name == "keyed.servers")
            return answer(403, "{}");
        topic& into = m_topics[name];
        const uint64_t offset = into.end();
        std::string_view body = request.body;
        while (body.size() >= 4) {
            size_t length = 0;
            for (size_t i = 0; i < 4; ++i)
                length = length << 8 | static_cast<unsigned char>(body[i]);
            body.remove_prefix(4);
            append(into, name, std::string(body.substr(0, length)));
            body.remove_prefix(std::min(length, body.size()));
        }
        m_changed.notify_all();
        if (m_isLosingAppendAnswers)
            return {};
        return answer(200, "{\"offset\":" + std::to_string(offset) + ",\"end\":" + std::to_string(into.end()) + "}");
    }

    std::string newestCall(const message& request, const std::string& name)
    {
        const topic& from = m_topics[name];
        std::string items;
        size_t count = 0;
        auto item = from.newest.upper_bound(queryOf(request.target, "after"));
        for (; item != from.newest.end() && count < 500; ++item, ++count)
            items += (count ? "," : "") + ("{\"key\":\"" + item->first + "\",\"value\":\"" + base64(item->second.first) + "\",\"offset\":" + std::to_string(item->second.second) + "}");
        return answer(200, "{\"items\":[" + items + "],\"has_more\":" + (item != from.newest.end() ? "true" : "false") + ",\"end\":" + std::to_string(from.end()) + "}");
    }

    std::string readCall(const message& request, const std::string& name, uint64_t from)
    {
        const topic& source = m_topics[name];
        if (from < source.first || from > source.end())
            return answer(410, "{\"first\":" + std::to_string(source.first) + "}");
        const std::string kib = queryOf(request.target, "max_kb");
        const size_t most = (kib.empty() ? 1024 : std::strtoull(kib.c_str(), nullptr, 10)) * 1024;
        std::string body = bigEndian(source.end(), 8) + bigEndian(source.first, 8);
        for (uint64_t offset = from; offset < source.end() && body.size() < most; ++offset) {
            const std::string& record = source.records[offset - source.first];
            body += bigEndian(record.size(), 4) + record;
        }
        return answer(200, body);
    }

    int64_t m_latencyMs;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, topic> m_topics;
    std::map<std::string, topic> m_copy;
    uint64_t m_era = 1;
    bool m_isAway = false;
    std::atomic<bool> m_isLosingAppendAnswers = false;
    std::vector<std::unique_ptr<server>> m_servers;
};

// Clients.

/// What a client saw of one request.
struct outcome {
    int status = 0;
    headers fields;
    std::string body;
    bool isComplete = false;
    bool isReset = false;
    bool isConnected = false;
    int64_t sentAt = 0;
    int64_t endedAt = 0;
};

/// One connection of a client.
class client {
public:
    ~client() { disconnect(); }

    bool connectTo(const std::string& ip, int port, int64_t timeoutMs = 1000)
    {
        disconnect();
        m_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        sockaddr_in address = addressOf(ip, port);
        if (connect(m_fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
            pollfd item { m_fd, POLLOUT, 0 };
            int problem = 0;
            socklen_t length = sizeof problem;
            if (poll(&item, 1, static_cast<int>(timeoutMs)) <= 0 || getsockopt(m_fd, SOL_SOCKET, SO_ERROR, &problem, &length) != 0 || problem != 0) {
                disconnect();
                return false;
            }
        }
        fcntl(m_fd, F_SETFL, fcntl(m_fd, F_GETFL) & ~O_NONBLOCK);
        const int on = 1;
        setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        m_reader = std::make_unique<reader>(m_fd);
        return true;
    }

    void disconnect()
    {
        if (m_fd >= 0)
            close(m_fd);
        m_fd = -1;
    }

    [[nodiscard]] int fd() const { return m_fd; }
    [[nodiscard]] reader& in() { return *m_reader; }

    outcome exchange(const std::string& method, const std::string& path, const headers& fields, const std::string& body, int64_t timeoutMs, const std::function<void(const std::string&)>& onBody = {})
    {
        outcome result;
        result.sentAt = nowMs();
        std::string text = method + " " + path + " HTTP/1.1\r\n";
        for (const auto& [name, value] : fields)
            text += name + ": " + value + "\r\n";
        if (!body.empty() || method == "POST")
            text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
        result.isConnected = m_fd >= 0;
        if (m_fd >= 0 && sendAll(m_fd, text + "\r\n" + body)) {
            if (const auto got = m_reader->read(nowMs() + timeoutMs, true, onBody)) {
                result.status = got->status;
                result.fields = got->fields;
                result.body = got->body;
                result.isComplete = got->isComplete;
            }
            result.isReset = m_reader->isReset();
        }
        result.endedAt = nowMs();
        if (!result.isComplete || strcasecmp(headerOf(result.fields, "Connection").c_str(), "close") == 0)
            disconnect();
        return result;
    }

private:
    int m_fd = -1;
    std::unique_ptr<reader> m_reader;
};

// Processes.

/// The gateway as the deploy file starts it, with the settings that its template gives for a small deployment.
class gateway {
public:
    int frontPort = freePort();
    int readyPort = freePort();
    int peerPort = freePort();

    gateway(std::string name, std::string zone, int storePort)
        : m_name(std::move(name))
        , m_zone(std::move(zone))
        , m_storePort(storePort)
    {
    }
    ~gateway() { kill(SIGKILL); }

    void writeSettings() const
    {
        std::ofstream file(path());
        file << "{\n    \"name\": \"" << m_name << "\",\n    \"region\": \"region-" << m_zone << "\",\n    \"failureDomain\": \"" << m_zone
             << "\",\n    \"listen\": \"127.0.0.1:" << frontPort << "\",\n    \"operatorListen\": \"127.0.0.1:" << readyPort << "\",\n    \"peerListen\": \"127.0.0.1:" << peerPort
             << "\",\n    \"processorShare\": 0.19,\n    \"store\": \"127.0.0.1:" << m_storePort
             << "\",\n    \"loadSharing\": true,\n    \"preferredDomainWaitMs\": 150,\n    \"poolReports\": true,\n    \"limits\": { \"machineMemoryMb\": 260 },\n"
             << "    \"regions\": { \"z1\": \"region-z1\", \"z2\": \"region-z2\", \"z3\": \"region-z3\" },\n"
             << "    \"bounds\": { \"revocationMs\": 5000, \"configurationMs\": 2500, \"leavingMs\": 2500, \"stopSeconds\": 8, \"retryRatio\": 0.2, \"retrySlack\": 54, \"retryWindowSeconds\": 10 }\n}\n";
    }

    void start()
    {
        writeSettings();
        m_pid = fork();
        if (m_pid == 0) {
            // The gateway ends with the script, however that ends.
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int log = open((folder() + "/" + m_name + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(log, 1);
            dup2(log, 2);
            const std::string settings = path();
            execl("target/bin/bilberryseam-gateway", "target/bin/bilberryseam-gateway", "--settings", settings.c_str(), "--log-format", "json", nullptr);
            _exit(127);
        }
    }

    bool waitUntilReady(int64_t timeoutMs = 15000) const
    {
        const int64_t until = nowMs() + timeoutMs;
        while (nowMs() < until) {
            client probe;
            if (probe.connectTo("127.0.0.1", readyPort) && probe.exchange("GET", "/v1/ready", { { "Host", "ready" } }, "", 1000).status == 200)
                return true;
            sleepMs(50);
        }
        return false;
    }

    /// @return True if the process has ended by itself or by a signal.
    bool hasEnded()
    {
        if (m_pid <= 0)
            return true;
        if (waitpid(m_pid, &m_status, WNOHANG) != m_pid)
            return false;
        m_pid = -1;
        return true;
    }

    void signal(int number) const
    {
        if (m_pid > 0)
            ::kill(m_pid, number);
    }

    void kill(int number)
    {
        if (m_pid <= 0)
            return;
        ::kill(m_pid, number);
        waitpid(m_pid, &m_status, 0);
        m_pid = -1;
    }

    [[nodiscard]] int endStatus() const { return m_status; }
    [[nodiscard]] pid_t pid() const { return m_pid; }
    [[nodiscard]] const std::string& name() const { return m_name; }

    static std::string folder()
    {
        const char* name = std::getenv("CASE_TMP");
        return name ? name : "/tmp";
    }

private:
    [[nodiscard]] std::string path() const { return folder() + "/" + m_name + ".json"; }

    std::string m_name;
    std::string m_zone;
    int m_storePort;
    pid_t m_pid = -1;
    int m_status = 0;
};

/// @return False if the script asks for the run without the disruption.
inline bool hasTrouble()
{
    const char* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}
}
