#include "http1/client.hpp"

#include "http1/detail/beast.hpp"

#include <algorithm>
#include <charconv>

namespace bilberryseam::http1 {

namespace {
    constexpr size_t maxAnswerHeaderBytes = 64 * 1024;
    constexpr milliseconds sweepPeriod { 500 };

    /// Idle connections are kept this long if the server does not tell its own limit; unit: milliseconds.
    constexpr milliseconds defaultIdleLifetime { 4000 };
    constexpr milliseconds maxIdleLifetime { 10000 };
    /// Taken off the server's own limit, so that a request does not meet a closing connection.
    constexpr milliseconds idleMargin { 1000 };

    std::string serialize(const outgoing_request& request, bool isClosing)
    {
        detail::http::request<detail::http::empty_body> message;
        message.version(11);
        message.method_string(request.method);
        message.target(request.target);
        for (const auto& [name, value] : request.headers)
            message.insert(name, value);
        if (!request.body.empty() || (request.method != "GET" && request.method != "HEAD" && request.method != "DELETE"))
            message.set(detail::http::field::content_length, std::to_string(request.body.size()));
        if (isClosing)
            message.insert(detail::http::field::connection, "close");
        return detail::serializeHead(message) + request.body;
    }

    milliseconds idleLifetimeOf(const header_list& headers)
    {
        const auto text = findHeader(headers, "Keep-Alive");
        if (!text)
            return defaultIdleLifetime;
        const size_t at = text->find("timeout=");
        if (at == std::string_view::npos)
            return defaultIdleLifetime;
        const std::string_view digits = text->substr(at + std::string_view("timeout=").size());
        int64_t whole = 0;
        if (std::from_chars(digits.data(), digits.data() + digits.size(), whole).ec != std::errc())
            return defaultIdleLifetime;
        return std::clamp(milliseconds(std::min<int64_t>(whole, 3600) * 1000) - idleMargin, milliseconds(0), maxIdleLifetime);
    }
}

std::string_view nameOf(call_outcome end) noexcept
{
    switch (end) {
    case call_outcome::Complete:
        return "complete";
    case call_outcome::NotSent:
        return "not_sent";
    case call_outcome::NoResponse:
        return "no_answer";
    case call_outcome::Truncated:
        return "cut";
    case call_outcome::Malformed:
        return "malformed";
    case call_outcome::TimedOut:
        return "timed_out";
    }
    return "malformed";
}

struct client_call::parsing {
    using response_parser = detail::http::response_parser<detail::http::string_body>;

    parsing(uint64_t maxBytes, bool isBodyless)
    {
        parser.header_limit(maxAnswerHeaderBytes);
        parser.body_limit(maxBytes);
        parser.eager(true);
        parser.skip(isBodyless);
    }

    response_parser parser;
    std::string in;
    response_head head;
};

client_call::client_call(client& owner, ip_endpoint server, callbacks calls)
    : m_owner(&owner)
    , m_server(std::move(server))
    , m_calls(std::make_shared<callbacks>(std::move(calls)))
{
}

void client_call::abandon() noexcept
{
    m_isOver = true;
    m_connectTimer.stop();
    m_timer.stop();
    if (m_stream)
        m_stream->close();
    m_calls = std::make_shared<callbacks>();
}

void client_call::setReading(bool isReading)
{
    if (m_stream && !m_isOver)
        m_stream->setReading(isReading);
}

void client_call::start(const outgoing_request& request, const call_options& options, std::shared_ptr<tcp_stream> reused)
{
    m_options = options;
    m_isReused = static_cast<bool>(reused);
    m_isHeadRequest = request.method == "HEAD";
    m_parsing = std::make_unique<parsing>(options.maxResponseBytes, m_isHeadRequest);
    m_stream = reused ? std::move(reused) : tcp_stream::connectTo(m_server);
    attach();
    if (!m_isReused)
        m_connectTimer.startOnce(options.connectTimeout, [this] { finish(call_outcome::NotSent); });
    if (options.timeout.count() > 0)
        m_timer.startOnce(options.timeout, [this] { finish(m_stream->hasSent() || m_isReused ? call_outcome::TimedOut : call_outcome::NotSent); });
    m_stream->write(serialize(request, options.isOnNewConnection));
}

void client_call::attach()
{
    const std::weak_ptr<client_call> weak = weak_from_this();
    tcp_stream::callbacks calls;
    calls.onConnected = [weak] {
        if (const auto self = weak.lock())
            self->m_connectTimer.stop();
    };
    calls.onBytes = [weak](std::string_view bytes) {
        if (const auto self = weak.lock())
            self->take(bytes);
    };
    calls.onEnd = [weak](close_reason how) {
        if (const auto self = weak.lock())
            self->connectionEnded(how);
    };
    m_stream->setCallbacks(std::move(calls));
}

void client_call::take(std::string_view bytes)
{
    if (m_isOver)
        return;
    m_hasAnswerBytes = true;
    parsing& state = *m_parsing;
    state.in.append(bytes);
    for (;;) {
        detail::beast::error_code problem;
        state.in.erase(0, detail::feed(state.parser, state.in, problem));
        if (problem && problem != detail::http::error::need_more) {
            finish(call_outcome::Malformed);
            return;
        }
        const bool isInterim = state.parser.is_header_done() && state.parser.get().result_int() / 100 == 1;
        if (!isInterim)
            break;
        std::string rest = std::move(state.in);
        m_parsing = std::make_unique<parsing>(m_options.maxResponseBytes, m_isHeadRequest);
        m_parsing->in = std::move(rest);
        if (m_parsing->in.empty())
            return;
        take({});
        return;
    }
    if (state.parser.is_header_done() && !m_isHeadDone) {
        m_isHeadDone = true;
        state.head = { state.parser.get().result_int(), detail::headersOf(state.parser.get()) };
        if (const auto calls = m_calls; calls->onHead)
            calls->onHead(state.head);
    }
    if (m_isOver)
        return;
    harvestBody();
    if (!m_isOver && state.parser.is_done())
        answerDone(!state.in.empty());
}

void client_call::harvestBody()
{
    auto& body = m_parsing->parser.get().body();
    if (body.empty())
        return;
    const std::string taken = std::move(body);
    body.clear();
    if (const auto calls = m_calls; calls->onBody)
        calls->onBody(taken);
}

void client_call::answerDone(bool hasExtraBytes)
{
    parsing& state = *m_parsing;
    const bool isReusable = state.parser.keep_alive() && !state.parser.need_eof() && !hasExtraBytes && !m_options.isOnNewConnection && m_stream->pendingBytes() == 0;
    const milliseconds lifetime = isReusable ? idleLifetimeOf(state.head.headers) : milliseconds(0);
    if (lifetime.count() > 0) {
        m_stream->setReading(true);
        m_owner->keepIdle(m_server, m_stream, lifetime);
        m_stream.reset();
    }
    finish(call_outcome::Complete);
}

void client_call::connectionEnded(close_reason how)
{
    if (how == close_reason::ConnectFailed) {
        finish(call_outcome::NotSent);
        return;
    }
    if (!m_hasAnswerBytes) {
        finish(call_outcome::NoResponse);
        return;
    }
    detail::beast::error_code problem;
    const bool isEndedByClose = how == close_reason::Closed && m_isHeadDone && m_parsing->parser.need_eof();
    if (isEndedByClose) {
        m_parsing->parser.put_eof(problem);
        if (!problem && m_parsing->parser.is_done()) {
            harvestBody();
            finish(call_outcome::Complete);
            return;
        }
    }
    finish(call_outcome::Truncated);
}

void client_call::finish(call_outcome end)
{
    if (m_isOver)
        return;
    const auto keep = shared_from_this();
    m_isOver = true;
    m_connectTimer.stop();
    m_timer.stop();
    if (m_stream)
        m_stream->close();
    const auto calls = std::exchange(m_calls, std::make_shared<callbacks>());
    if (calls->onEnd)
        calls->onEnd(end);
}

client::client()
{
    m_sweep.startEvery(sweepPeriod, [this] { sweep(); });
}

client::~client() = default;

std::shared_ptr<client_call> client::send(const ip_endpoint& server, const outgoing_request& request, const call_options& options, client_call::callbacks calls)
{
    const auto made = std::make_shared<client_call>(*this, server, std::move(calls));
    std::shared_ptr<tcp_stream> reused = options.isOnNewConnection ? nullptr : takeIdle(server);
    if (!reused)
        ++m_opened;
    made->start(request, options, std::move(reused));
    return std::shared_ptr<client_call>(made.get(), [made](client_call*) { made->abandon(); });
}

std::shared_ptr<tcp_stream> client::takeIdle(const ip_endpoint& server)
{
    const auto found = m_idle.find(server);
    if (found == m_idle.end())
        return nullptr;
    const time_point now = monotonicNow();
    while (!found->second.empty()) {
        idle_connection last = std::move(found->second.back());
        found->second.pop_back();
        if (last.stream->isOpen() && last.expiresAt > now)
            return last.stream;
    }
    return nullptr;
}

void client::keepIdle(const ip_endpoint& server, std::shared_ptr<tcp_stream> stream, milliseconds lifetime)
{
    // Whatever comes on an idle connection belongs to no request.
    tcp_stream* const raw = stream.get();
    tcp_stream::callbacks calls;
    calls.onBytes = [raw](std::string_view) { raw->close(); };
    stream->setCallbacks(std::move(calls));
    m_idle[server].push_back({ std::move(stream), monotonicNow() + lifetime });
}

void client::closeIdleConnections(const ip_endpoint& server)
{
    m_idle.erase(server);
}

void client::sweep()
{
    const time_point now = monotonicNow();
    for (auto& [server, connections] : m_idle)
        std::erase_if(connections, [now](const auto& item) { return !item.stream->isOpen() || item.expiresAt <= now; });
    std::erase_if(m_idle, [](const auto& item) { return item.second.empty(); });
}
}
