#include "gateway/load_exchange.hpp"

#include "base/hash.hpp"
#include "policy/eligibility.hpp"
#include "telemetry/log.hpp"
#include "wire/codec.hpp"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <span>

namespace bilberryseam::gateway {

namespace {
    constexpr std::string_view logComponent = "load";

    /// Sums name one of the last reports; at this count, the oldest was sent before the figures lose their use.
    constexpr size_t maxSentReports = 16;

    /// A collector that has not responded to reports for this long may be frozen. Its connection shows this only later.
    constexpr milliseconds collectorResponseTime { 1000 };
    /// Pause between two empty reports to a silent collector.
    constexpr milliseconds collectorProbePause { 1000 };

    /// Time in which the weight of a send falls to half, in seconds. A small gateway sends a request every two seconds.
    constexpr double sendHalfLife = 10;

    double weightAfter(microseconds age) { return std::exp2(-asSeconds(age) / sendHalfLife); }

    std::vector<wire::load_item> toWire(const std::vector<policy::load_figures>& items)
    {
        std::vector<wire::load_item> result;
        const size_t count = std::min(items.size(), wire::maxListItems);
        result.reserve(count);
        for (const auto& item : std::span(items).first(count))
            result.push_back({ item.target, item.requests, item.prefillTokens, item.contextTokens, item.paceUs, item.paceSamples, item.runningStreams });
        return result;
    }

    wire::load_summary toWire(const policy::received_load& sum, uint64_t collector, bool isPartial, time_point now)
    {
        return { collector, isPartial, 0, static_cast<uint32_t>(std::max<int64_t>(0, asMilliseconds(now - sum.takenAt))), sum.gateways, toWire(sum.items) };
    }

    /// @return Whether the reports say the same, but for the number of samples, which decreases all the time.
    bool isSameLoad(const std::vector<policy::load_figures>& left, const std::vector<policy::load_figures>& right)
    {
        return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](policy::load_figures first, const policy::load_figures& second) {
            first.paceSamples = second.paceSamples;
            return first == second;
        });
    }
}

load_exchange::load_exchange(metrics& counters, const target_registry& targets, std::string name, bool usesTrends, callbacks callbacks)
    : m_counters(counters)
    , m_targets(targets)
    , m_name(std::move(name))
    , m_ownHash(hashOf(m_name))
    , m_usesTrends(usesTrends)
    , m_callbacks(std::move(callbacks))
    , m_nextSequence(static_cast<uint64_t>(wallNow().time_since_epoch().count()))
{
}

policy::load_figures load_exchange::figuresOf(const target_state& target, time_point now) const noexcept
{
    return { target.incarnation, target.inFlight, target.uncachedPrefillTokens, target.contextTokens, policy::meanOf(target.pace), policy::samplesOf(target.pace, now), target.runningStreams };
}

std::vector<policy::load_figures> load_exchange::ownFigures(time_point now) const
{
    std::vector<policy::load_figures> items;
    m_targets.forEach([&](const target_state& target) {
        const auto figures = figuresOf(target, now);
        if (figures.requests > 0 || figures.paceSamples > 0)
            items.push_back(policy::bounded(figures));
    });
    return items;
}

void load_exchange::tick(time_point now)
{
    if (now >= m_nextReportAt) {
        m_nextReportAt = now + policy::loadReportPeriod;
        policy::dropOldLoad(m_collected, now);
        std::erase_if(m_reporters, [now](const auto& item) { return now - item.second.reportedAt > policy::maxLoadAge; });
        report(now);
        publish(now);
        checkAge(now);
    }
    respond(now);
}

void load_exchange::report(time_point now)
{
    sent_report report { m_nextSequence, ownFigures(now) };
    const bool isChanged = m_sentReports.empty() || !isSameLoad(report.items, m_sentReports.back().items);
    if (!isChanged && now - m_reportedAt < policy::maxLoadReportPause)
        return;
    ++m_nextSequence;
    setCollector(sendReport(report, now));
    m_reportedAt = now;
    m_sentReports.push_back(std::move(report));
    if (m_sentReports.size() > maxSentReports)
        m_sentReports.pop_front();
}

std::string load_exchange::sendReport(const sent_report& report, time_point now)
{
    std::string chosen;
    for (const auto& name : m_callbacks.collectors()) {
        collector_state& state = m_collectors[name];
        if (name == m_name) {
            if (chosen.empty()) {
                policy::applyReport(m_collected, m_ownHash, { report.sequence, now, 1, report.items });
                chosen = name;
            }
            continue;
        }
        if (state.waitingSince != time_point() && now - state.waitingSince > collectorResponseTime)
            state.isSilent = true;
        if (!chosen.empty())
            continue;
        if (state.isSilent) {
            if (now - state.probedAt >= collectorProbePause) {
                state.probedAt = now;
                static_cast<void>(m_callbacks.send(name, wire::load_report { m_ownHash, report.sequence, {} }));
            }
            continue;
        }
        if (!m_callbacks.send(name, wire::load_report { m_ownHash, report.sequence, toWire(report.items) })) {
            state = {};
            continue;
        }
        if (state.waitingSince == time_point())
            state.waitingSince = now;
        chosen = name;
    }
    return chosen;
}

void load_exchange::setCollector(const std::string& collector)
{
    if (collector == m_collector)
        return;
    logLine(log_level::Info, logComponent, collector.empty() ? "No collector of the load of targets is reachable; targets are chosen by the own view." : "The load of targets is reported to a collector.", { { "collector", collector }, { "before", m_collector } });
    // The former collector must not count what the new one counts.
    if (m_collector == m_name)
        m_collected.reports.erase(m_ownHash);
    else if (!m_collector.empty())
        static_cast<void>(m_callbacks.send(m_collector, wire::load_report { m_ownHash, m_nextSequence++, {} }));
    m_collector = collector;
    m_counters.count("load_collector_changes_total");
}

void load_exchange::publish(time_point now)
{
    if (m_collected.reports.empty())
        return;
    const auto reports = policy::sumOfReports(m_collected, now);
    const wire::load_summary partialSum = toWire(reports, m_ownHash, true, now);
    for (const auto& name : m_callbacks.otherCollectors())
        m_counters.count("load_messages_total", { { "kind", "partial_sum" } }, m_callbacks.send(name, partialSum) ? 1 : 0);
    if (m_collector == m_name && !m_sentReports.empty())
        takeSummary(m_name, m_sentReports.back().sequence, policy::sumOfAll(m_collected, reports, now), now);
}

void load_exchange::respond(time_point now)
{
    const auto isDue = [now](const reporter& sender) { return sender.isUnanswered || now - sender.answeredAt >= policy::loadReportPeriod; };
    if (std::none_of(m_reporters.begin(), m_reporters.end(), [&](const auto& item) { return isDue(item.second); }))
        return;
    wire::load_summary summary = toWire(policy::sumOfAll(m_collected, policy::sumOfReports(m_collected, now), now), m_ownHash, false, now);
    for (auto& [hash, sender] : m_reporters) {
        if (!isDue(sender))
            continue;
        sender.isUnanswered = false;
        sender.answeredAt = now;
        summary.sequence = sender.sequence;
        sender.reply(summary);
        m_counters.count("load_messages_total", { { "kind", "sum" } });
    }
}

void load_exchange::takeSummary(std::string_view collector, uint64_t sequence, const policy::received_load& sum, time_point now)
{
    const auto own = std::find_if(m_sentReports.begin(), m_sentReports.end(), [sequence](const auto& report) { return report.sequence == sequence; });
    const bool isContained = own != m_sentReports.end();
    policy::applySummary(m_view, sum, isContained ? std::span<const policy::load_figures>(own->items) : std::span<const policy::load_figures>());
    updateTrends(sum, now);
    m_counters.count("load_sums_total", { { "collector", collector == m_name ? "own" : "other" } });
    m_counters.set("load_entries_counted", {}, sum.gateways);
    m_counters.set("load_age_seconds", {}, asSeconds(now - sum.takenAt));
}

bool load_exchange::handle(const wire::message& message, std::string_view from, const std::function<void(wire::message)>& reply, time_point now)
{
    if (const auto* report = std::get_if<wire::load_report>(&message))
        handleReport(*report, reply, now);
    else if (const auto* summary = std::get_if<wire::load_summary>(&message))
        handleSummary(*summary, from, now);
    else
        return false;
    return true;
}

std::vector<policy::load_figures> load_exchange::fromWire(const std::vector<wire::load_item>& items, uint64_t sender)
{
    std::vector<policy::load_figures> result;
    result.reserve(items.size());
    for (const auto& item : items) {
        const policy::load_figures stated { item.target, item.requests, item.prefillTokens, item.contextTokens, item.paceUs, item.paceSamples, item.runningStreams };
        result.push_back(policy::bounded(stated));
        if (result.back() == stated)
            continue;
        m_counters.count("load_values_bounded_total");
        if (!std::exchange(m_areBoundsReported, true))
            logLine(log_level::Warning, logComponent, "A report of the load of targets contains an implausible value, which is bounded; further ones are only counted.", { { "sender", textOfHash(sender) }, { "target", textOfHash(item.target) } });
    }
    return result;
}

void load_exchange::handleReport(const wire::load_report& report, const std::function<void(wire::message)>& reply, time_point now)
{
    policy::applyReport(m_collected, report.sender, { report.sequence, now, 1, fromWire(report.items, report.sender) });
    reporter& sender = m_reporters[report.sender];
    if (report.sequence >= sender.sequence)
        sender = { reply, report.sequence, now, sender.answeredAt, true };
}

void load_exchange::handleSummary(const wire::load_summary& summary, std::string_view from, time_point now)
{
    const auto age = std::min<milliseconds>(milliseconds(summary.ageMs), policy::maxLoadAge);
    policy::received_load sum { summary.sequence, now - age, std::max<uint32_t>(1, summary.gateways), fromWire(summary.items, summary.collector) };
    if (summary.isPartial) {
        policy::applySum(m_collected, summary.collector, std::move(sum));
        return;
    }
    if (const auto position = m_collectors.find(from); position != m_collectors.end())
        position->second = {};
    if (from == m_collector)
        takeSummary(from, summary.sequence, sum, now);
}

bool load_exchange::isUsable(std::string_view service, time_point now) const noexcept
{
    if (!policy::isUsable(m_view, now) || !m_usesTrends)
        return policy::isUsable(m_view, now);
    const auto position = m_services.find(service);
    return position != m_services.end() && policy::isConsistent(position->second.trend);
}

std::vector<policy::target_load> load_exchange::loadsOf(std::string_view service, std::span<const target_ptr> targets, time_point now) const
{
    const auto state = m_services.find(service);
    std::vector<policy::target_load> loads;
    loads.reserve(targets.size());
    for (const auto& target : targets) {
        auto& load = loads.emplace_back(policy::loadNow(m_view, figuresOf(*target, now), now));
        if (state != m_services.end())
            load.usualRequests = !m_usesTrends ? 0 : policy::usualRequestsOf(state->second.trend, target->incarnation);
    }
    return loads;
}

uint64_t load_exchange::heldTokensOf(const target_state& target, uint64_t memoryTokens, time_point now)
{
    if (!isUsable(target.listed.service, now))
        return target.contextTokens;
    const auto ofAll = static_cast<uint64_t>(policy::loadNow(m_view, figuresOf(target, now), now).contextTokens);
    const uint64_t held = policy::plausibleHeldTokens(ofAll, target.contextTokens, memoryTokens);
    if (held < ofAll) {
        m_counters.count("load_memory_ignored_total");
        if (!std::exchange(m_isMemoryReported, true))
            logLine(log_level::Warning, logComponent, "All entries together state more tokens at a target than it can hold; the own ones are counted there.", { { "target", target.listed.id }, { "tokens", std::to_string(ofAll) }, { "own", std::to_string(target.contextTokens) }, { "memory", std::to_string(memoryTokens) }, { "age_ms", std::to_string(asMilliseconds(now - m_view.takenAt)) } });
    }
    return held;
}

double load_exchange::prefixShare(std::string_view service, uint64_t prefixHash, time_point now) const noexcept
{
    const auto position = m_services.find(service);
    return position == m_services.end() ? 0 : policy::prefixShareOf(position->second.sends, prefixHash, now);
}

double load_exchange::rateOf(const send_rate& rate, time_point now) noexcept
{
    return rate.weight * weightAfter(now - rate.updatedAt) * std::numbers::ln2 / sendHalfLife;
}

double load_exchange::unseenSends(std::string_view service, time_point now) const noexcept
{
    const auto position = m_services.find(service);
    if (position == m_services.end() || !policy::isUsable(m_view, now))
        return 0;
    return rateOf(position->second.rate, now) * m_view.gateways * asSeconds(now - m_view.takenAt);
}

void load_exchange::recordSend(const std::string& service, uint64_t prefixHash, const std::string& request, const target_state& target, const std::optional<policy::load_choice>& choice, time_point now)
{
    service_state& state = m_services[service];
    state.rate.weight = state.rate.weight * weightAfter(now - state.rate.updatedAt) + 1;
    state.rate.updatedAt = now;
    policy::recordSend(state.sends, prefixHash, now);
    if (!choice) {
        m_counters.count("load_placements_total", { { "view", "own" }, { "kind", "own_costs" } });
        return;
    }
    m_counters.count("load_placements_total", { { "view", "shared" }, { "kind", choice->isForPrefix ? "prefix" : "least_loaded" } });
    logLine(log_level::Info, logComponent, "The target was chosen by its load.", { { "request", request }, { "target", target.listed.id }, { "kind", choice->isForPrefix ? "prefix" : "least_loaded" }, { "load_ms", std::to_string(std::lround(choice->loadMilliseconds)) }, { "mean_ms", std::to_string(std::lround(choice->meanMilliseconds)) }, { "cached_tokens", std::to_string(choice->cachedTokens) }, { "age_ms", std::to_string(asMilliseconds(now - m_view.takenAt)) } });
}

void load_exchange::updateTrends(const policy::received_load& sum, time_point now)
{
    m_targets.forEachService([&](const std::string& service, std::span<const target_ptr> targets) {
        std::vector<uint64_t> incarnations;
        incarnations.reserve(targets.size());
        std::transform(targets.begin(), targets.end(), std::back_inserter(incarnations), [](const auto& target) { return target->incarnation; });
        service_state& state = m_services[service];
        const double sends = rateOf(state.rate, now) * sum.gateways;
        policy::recordSum(state.trend, sum.items, sum.gateways, incarnations, sends, now);
        const bool isConsistent = policy::isConsistent(state.trend);
        if (isConsistent == std::exchange(state.isConsistent, isConsistent))
            return;
        m_counters.set("load_consistent", { { "service", service } }, isConsistent ? 1 : 0);
        if (!isConsistent)
            logLine(log_level::Warning, logComponent, "The sums of the load of a service change faster than requests can arrive and end; its targets are chosen by the own view.", { { "service", service }, { "risen", std::to_string(std::lround(state.trend.risen)) }, { "fallen", std::to_string(std::lround(state.trend.fallen)) }, { "possible", std::to_string(std::lround(state.trend.possible)) }, { "collector", m_collector } });
        else if (std::exchange(state.isReported, true))
            logLine(log_level::Info, logComponent, "The sums of the load of a service are consistent again.", { { "service", service } });
    });
}

void load_exchange::checkAge(time_point now)
{
    const bool isUsable = policy::isUsable(m_view, now);
    if (isUsable == std::exchange(m_wasUsable, isUsable))
        return;
    m_counters.set("load_shared", {}, isUsable ? 1 : 0);
    if (isUsable)
        logLine(log_level::Info, logComponent, "The load of all entries is known.", { { "entries", std::to_string(m_view.gateways + 1) } });
    else
        logLine(log_level::Warning, logComponent, "The load of all entries is older than its use; targets are chosen by the own view.", { { "collector", m_collector } });
}
}
