/// Callers of a soak: requests on new and on kept connections, and streams that are taken up again at other gateways.
#pragma once

#include "support/deployment_fixture.hpp"

#include <algorithm>
#include <charconv>
#include <list>
#include <optional>
#include <set>

namespace bilberryseam::tests {

enum class attempt_kind {
    Booking,
    Page,
    Stream,
    ResumableStream,
};

constexpr int attemptKindCount = 4;

[[nodiscard]] constexpr bool isStream(attempt_kind kind) noexcept
{
    return kind == attempt_kind::Stream || kind == attempt_kind::ResumableStream;
}

[[nodiscard]] constexpr bool mayRunTwice(attempt_kind kind) noexcept
{
    return kind == attempt_kind::Page || kind == attempt_kind::ResumableStream;
}

/// What a caller has of one stream over all its attempts.
struct stream_record {
    /// Attempt that brought the first event.
    std::string firstId;
    int lastEvent = 0;
    std::set<std::string> versions;
    unsigned returns = 0;
};

/// One request of a caller.
struct attempt {
    std::string id;
    attempt_kind kind = attempt_kind::Booking;
    size_t gateway = 0;
    bool isKept = false;
    bool hasRevocableKey = false;
    /// The prompt has a segment on which engines crash.
    bool isCrashing = false;
    /// Path before the identifier; empty for that of the kind.
    std::string prefix;
    /// Size of the whole body of a response that has no events.
    std::optional<size_t> plainBytes;
    http1::header_list headers;
    std::shared_ptr<stream_record> stream;

    /// When the caller began to send the request; the limits of the request count from here.
    time_point begunAt {};
    /// When the last byte was sent.
    time_point sentAt {};
    /// When the response to the request before it on a pipelined connection was complete; the gateway reads it from then on.
    time_point turnAt {};
    time_point endedAt {};
    std::shared_ptr<http1::client_call> call;
    http1::response_head head;
    std::string body;
    http1::call_outcome outcome = http1::call_outcome::NoResponse;
    /// How the gateway ended the connection; not set if it was still open.
    std::optional<http1::close_reason> connectionEnd;
    bool isFinished = false;
    /// The caller closed the connection by itself.
    bool hasLeft = false;

    [[nodiscard]] bool isComplete() const noexcept { return outcome == http1::call_outcome::Complete; }
};

/// @param own  Prompt segment that belongs to the request alone.
[[nodiscard]] inline http1::header_list promptHeaders(const std::string& subject, unsigned session, const std::string& own)
{
    return { { "X-Model", "m" }, { "X-Token-Counts", "160,10" }, { "X-Prompt-Prefix", "system:40," + subject + ":40,session" + std::to_string(session) + ":40," + own + ":40" } };
}

struct stream_event {
    int number = 0;
    std::string version;
};

/// @return The whole events of a response; an event that is not one of an engine has the number zero.
[[nodiscard]] inline std::vector<stream_event> eventsOf(std::string_view body)
{
    std::vector<stream_event> events;
    constexpr std::string_view prefix = "id: ";
    for (size_t end = body.find("\n\n"); end != std::string_view::npos; end = body.find("\n\n")) {
        const std::string text(body.substr(0, end + 2));
        body.remove_prefix(end + 2);
        stream_event event;
        if (text.starts_with(prefix))
            std::from_chars(text.data() + prefix.size(), text.data() + text.size(), event.number);
        if (const size_t position = text.find(" of "); position != std::string::npos)
            event.version = text.substr(position + 4, text.size() - position - 6);
        if (text != fakes::platform_engine::eventText(event.number, event.version))
            event.number = 0;
        events.push_back(std::move(event));
    }
    return events;
}

/// How long callers wait, as their requests say.
constexpr milliseconds callerDeadline { 9000 };

/// @return The request of an attempt as its caller sends it.
[[nodiscard]] inline http1::outgoing_request requestOf(const attempt& item)
{
    constexpr const char* prefixes[] { "/book/", "/page/", "/stream/", "/resume/" };
    const std::string prefix = item.prefix.empty() ? prefixes[static_cast<size_t>(item.kind)] : item.prefix;
    const bool isPage = item.kind == attempt_kind::Page;
    http1::header_list headers = item.headers;
    headers.insert(headers.end(), { { "Host", "shop.example" }, { "X-Attempt-Id", item.id }, { "X-Deadline-Ms", std::to_string(callerDeadline.count()) } });
    return { isPage ? "GET" : "POST", prefix + item.id, std::move(headers), isPage ? "" : item.id };
}

/// Sends attempts and keeps them.
class soak_callers {
public:
    soak_callers(deployment_fixture& deployment, std::function<void(attempt&)> onFinished)
        : m_deployment(deployment)
        , m_onFinished(std::move(onFinished))
    {
    }

    /// Keeps an attempt that is sent elsewhere and ends with `finish`.
    attempt& add(attempt spec) { return m_attempts.emplace_back(std::move(spec)); }

    void send(attempt spec)
    {
        attempt& item = add(std::move(spec));
        http1::client_call::callbacks callbacks;
        callbacks.onHead = [&item](const http1::response_head& head) { item.head = head; };
        callbacks.onBody = [&item](std::string_view bytes) { item.body.append(bytes); };
        callbacks.onEnd = [this, &item](http1::call_outcome outcome) {
            item.outcome = outcome;
            item.connectionEnd = item.call->trace().connectionEnd;
            finish(item);
        };
        item.begunAt = item.sentAt = monotonicNow();
        item.call = m_client.send(m_deployment.listenAddress(item.gateway), requestOf(item), { !item.isKept, milliseconds(300), callerDeadline + milliseconds(3000) }, std::move(callbacks));
    }

    /// Closes the connection of a caller that has not got its whole response.
    void leave(attempt& item)
    {
        if (item.isFinished)
            return;
        item.call.reset();
        item.hasLeft = true;
        item.outcome = http1::call_outcome::Truncated;
        finish(item);
    }

    [[nodiscard]] std::list<attempt>& attempts() noexcept { return m_attempts; }

    [[nodiscard]] bool areAllFinished() const
    {
        return std::all_of(m_attempts.begin(), m_attempts.end(), [](const auto& item) { return item.isFinished; });
    }

    void finish(attempt& item)
    {
        item.isFinished = true;
        item.endedAt = monotonicNow();
        m_onFinished(item);
    }

private:
    deployment_fixture& m_deployment;
    std::function<void(attempt&)> m_onFinished;
    http1::client m_client;
    std::list<attempt> m_attempts;
};
}
