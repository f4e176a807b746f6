#include "execution/crash_exchange.hpp"

#include "base/hash.hpp"
#include "telemetry/log.hpp"

#include <algorithm>
#include <limits>

namespace bilberryseam::execution {

namespace {
    /// Ages in messages are those at the first sender; an event looks later by the time that the message was under way.
    constexpr milliseconds maxTransitTime { 250 };

    constexpr std::string_view logComponent = "crashes";

    /// Origin of a verdict that follows from reports of this daemon, or from those that it collected.
    constexpr std::string_view ownReports = "own";

    /// Queries about one segment within this time are one; each collector may ask.
    constexpr milliseconds queryRepeatTime { 1000 };
    constexpr size_t maxAnsweredQueries = 4096;

    /// Segments of a report that are named in the log.
    constexpr size_t maxLoggedSegments = 32;

    uint32_t toMilliseconds(time_point::duration duration)
    {
        return static_cast<uint32_t>(std::clamp<int64_t>(asMilliseconds(duration), 0, std::numeric_limits<uint32_t>::max()));
    }

    /// @return The hashes of segments, separated by commas; at most `maxLoggedSegments`.
    template <typename Items>
    std::string textOfSegments(const Items& items)
    {
        std::string text;
        for (size_t i = 0; i < std::min(items.size(), maxLoggedSegments); ++i)
            text.append(i == 0 ? "" : ",").append(textOfHash(items[i].segment));
        return text;
    }

    wire::crash_report messageOf(const policy::crash_report& report, time_point now)
    {
        wire::crash_report message { report.id, report.target, toMilliseconds(now - report.at), {} };
        for (const auto& [segment, requests] : report.segments)
            message.segments.push_back({ segment, requests });
        return message;
    }

    wire::segment_verdict messageOf(uint64_t segment, const policy::segment_verdict& verdict, time_point now)
    {
        wire::segment_verdict message { segment, {}, verdict.crashCount, toMilliseconds(now - verdict.lastCrashAt), verdict.trials, toMilliseconds(verdict.nextTrialAt - now) };
        for (const uint64_t companion : verdict.companions)
            message.companions.push_back({ companion });
        return message;
    }
}

crash_exchange::crash_exchange(metrics& metrics, std::string_view ownName, callbacks callbacks)
    : m_metrics(metrics)
    , m_ownName(hashOf(ownName))
    , m_callbacks(std::move(callbacks))
{
}

void crash_exchange::publish(const wire::message& message)
{
    m_callbacks.sendToAll(message);
    if (m_callbacks.onOwnChange)
        m_callbacks.onOwnChange(message);
}

void crash_exchange::reportCrash(uint64_t target, std::string_view targetName, std::span<const std::vector<uint64_t>> requests, time_point now)
{
    policy::crash_report report { hashOfPair(m_ownName, static_cast<uint64_t>(now.time_since_epoch().count()) ^ target), target, now, policy::suspectedSegments(requests) };
    const wire::crash_report message = messageOf(report, now);
    m_metrics.count("target_crashes_total");
    logLine(log_level::Warning, logComponent, "A target crashed while requests had not begun to respond.", { { "target", std::string(targetName) }, { "target_hash", textOfHash(target) }, { "requests", std::to_string(requests.size()) }, { "segments", textOfSegments(message.segments) } });
    if (hasCollectors())
        m_callbacks.sendToCollectors(message);
    else
        m_callbacks.sendToAll(message);
    if (m_callbacks.onOwnChange)
        m_callbacks.onOwnChange(message);
    if (role().isCollector)
        static_cast<void>(collect(std::move(report), ownReports, now));
}

bool crash_exchange::collect(policy::crash_report report, std::string_view from, time_point now)
{
    const auto segments = report.segments;
    if (!policy::addReport(m_evidence, std::move(report)))
        return false;
    if (hasCollectors()) {
        // Responses that began after the crash may have been seen before the report arrived.
        for (const auto& item : segments) {
            if (const auto beganAt = policy::findRecentSurvival(m_survivals, item.segment))
                static_cast<void>(policy::recordSurvival(m_evidence, std::span(&item.segment, 1), *beganAt));
        }
    }
    std::vector<uint64_t> due;
    const auto candidates = policy::verdictCandidates(m_evidence, segments);
    const bool mustAsk = role().hasOthers;
    for (const auto& item : segments) {
        const bool isCandidate = std::find(candidates.begin(), candidates.end(), item.segment) != candidates.end();
        if (!isCandidate || !mustAsk) {
            due.push_back(item.segment);
            continue;
        }
        if (!m_pendingVerdicts.emplace(item.segment, now + survivalQueryTime).second)
            continue;
        m_metrics.count("survival_queries_total");
        m_callbacks.sendToAll(wire::survival_query { item.segment });
        m_answeredQueries[item.segment] = now + queryRepeatTime;
    }
    announceVerdicts(policy::formVerdicts(m_evidence, due, now), from, now);
    return true;
}

void crash_exchange::announceVerdicts(std::span<const uint64_t> segments, std::string_view from, time_point now)
{
    for (const uint64_t segment : segments) {
        // Collectors form it from the same reports; this is for the others, and for those that lack some.
        if (from == ownReports)
            publish(messageOf(segment, m_evidence.verdicts.at(segment), now));
        onNewVerdict(segment, from, now);
    }
}

void crash_exchange::tick(time_point now)
{
    std::vector<uint64_t> due;
    std::erase_if(m_pendingVerdicts, [&](const auto& item) {
        const bool isDue = item.second <= now;
        if (isDue)
            due.push_back(item.first);
        return isDue;
    });
    if (!due.empty())
        announceVerdicts(policy::formVerdicts(m_evidence, due, now), ownReports, now);
    std::erase_if(m_answeredQueries, [now](const auto& item) { return item.second <= now; });
    policy::removeExpired(m_evidence, now);
}

bool crash_exchange::answerQuery(uint64_t segment, time_point now)
{
    if (m_answeredQueries.size() >= maxAnsweredQueries || !m_answeredQueries.emplace(segment, now + queryRepeatTime).second)
        return false;
    if (const auto beganAt = policy::findRecentSurvival(m_survivals, segment); beganAt && hasCollectors())
        m_callbacks.sendToCollectors(wire::segment_survival { segment, toMilliseconds(now - *beganAt) });
    return true;
}

void crash_exchange::onNewVerdict(uint64_t segment, std::string_view from, time_point now)
{
    const policy::segment_verdict& verdict = m_evidence.verdicts.at(segment);
    const wire::segment_verdict message = messageOf(segment, verdict, now);
    m_metrics.count("refused_segments_total");
    logLine(log_level::Warning, logComponent, "Requests with a prompt segment are refused because targets crashed on it.", { { "segment", textOfHash(segment) }, { "crashes", std::to_string(verdict.crashCount) }, { "only_with", textOfSegments(message.companions) }, { "from", std::string(from) } });
    m_callbacks.onVerdict(verdict.firstCrashAt);
}

void crash_exchange::recordSurvival(std::span<const uint64_t> segments, time_point beganAt, time_point now)
{
    for (const uint64_t segment : segments) {
        policy::recordRecentSurvival(m_survivals, segment, beganAt);
        const bool wasRefused = m_evidence.verdicts.contains(segment);
        const uint32_t crashCount = policy::crashCountOf(m_evidence, segment);
        if (policy::recordSurvival(m_evidence, std::span(&segment, 1), beganAt).empty())
            continue;
        // After one crash, the entries clear the many segments of the requests beside it by their own traffic.
        // Collectors ask for survivals before they form a verdict.
        if (!wasRefused && (hasCollectors() || crashCount + 1 < policy::crashesToRefuse))
            continue;
        const wire::segment_survival message { segment, toMilliseconds(now - beganAt) };
        if (!wasRefused) {
            m_callbacks.sendToAll(message);
            continue;
        }
        logLine(log_level::Warning, logComponent, "A request with a refused prompt segment did not crash its target.", { { "segment", textOfHash(segment) }, { "is_refused", m_evidence.verdicts.contains(segment) ? "true" : "false" } });
        publish(message);
    }
}

bool crash_exchange::tryStartTrial(std::span<const uint64_t> segments, milliseconds rankDelay, time_point now)
{
    if (!policy::tryStartTrial(m_evidence, segments, rankDelay, now))
        return false;
    const uint64_t segment = policy::refusedSegment(m_evidence, segments, now).value();
    const policy::segment_verdict& verdict = m_evidence.verdicts.at(segment);
    logLine(log_level::Warning, logComponent, "One request with a refused prompt segment is let through as a trial.", { { "segment", textOfHash(segment) }, { "trial", std::to_string(verdict.trials) }, { "next_trial_ms", std::to_string(asMilliseconds(verdict.nextTrialAt - now)) } });
    publish(messageOf(segment, verdict, now));
    return true;
}

milliseconds crash_exchange::timeUntilTrial(uint64_t segment, time_point now) const
{
    const auto verdict = m_evidence.verdicts.find(segment);
    const bool hasTrial = verdict != m_evidence.verdicts.end() && verdict->second.trials < policy::maxTrials;
    return hasTrial ? std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(verdict->second.nextTrialAt - now)) : milliseconds(0);
}

bool crash_exchange::handle(const wire::message& message, std::string_view from, time_point now)
{
    bool isNew = false;
    if (const auto* report = std::get_if<wire::crash_report>(&message))
        isNew = mergeReport(*report, from, now);
    else if (const auto* verdict = std::get_if<wire::segment_verdict>(&message))
        isNew = mergeVerdict(*verdict, from, now);
    else if (const auto* survival = std::get_if<wire::segment_survival>(&message))
        isNew = mergeSurvival(*survival, from, now);
    else if (const auto* query = std::get_if<wire::survival_query>(&message))
        isNew = answerQuery(query->segment, now);
    else
        return false;
    if (isNew)
        m_callbacks.sendToAll(message);
    return true;
}

bool crash_exchange::mergeReport(const wire::crash_report& message, std::string_view from, time_point now)
{
    policy::crash_report report { message.id, message.target, now - milliseconds(message.ageMs), {} };
    for (const auto& [segment, requests] : message.segments)
        report.segments.push_back({ segment, requests });
    if (!role().isCollector)
        return false;
    const bool isNew = collect(std::move(report), from, now);
    if (isNew)
        logLine(log_level::Info, logComponent, "A peer reported a crash of a target.", { { "target_hash", textOfHash(message.target) }, { "age_ms", std::to_string(message.ageMs) }, { "segments", textOfSegments(message.segments) }, { "from", std::string(from) } });
    // Daemons that are no collectors do not need it, and the other collectors get it from its sender.
    return isNew && !hasCollectors();
}

bool crash_exchange::mergeVerdict(const wire::segment_verdict& message, std::string_view from, time_point now)
{
    const bool wasRefused = m_evidence.verdicts.contains(message.segment);
    // Otherwise a verdict that is passed on looks newer than the survival that ended it, and both circulate.
    const time_point lastCrashAt = now - milliseconds(message.lastCrashAgeMs) - maxTransitTime;
    policy::segment_verdict verdict { {}, message.crashCount, lastCrashAt, lastCrashAt, message.trials, now + milliseconds(message.nextTrialMs), {} };
    for (const auto& companion : message.companions)
        verdict.companions.push_back(companion.segment);
    if (!policy::mergeVerdict(m_evidence, message.segment, verdict, now))
        return false;
    if (!wasRefused) {
        logLine(log_level::Warning, logComponent, "A peer reported a prompt segment on which targets crashed; requests with it are refused.", { { "segment", textOfHash(message.segment) }, { "crashes", std::to_string(message.crashCount) }, { "only_with", textOfSegments(message.companions) }, { "from", std::string(from) } });
        m_callbacks.onVerdict(verdict.firstCrashAt);
    }
    return true;
}

bool crash_exchange::mergeSurvival(const wire::segment_survival& message, std::string_view from, time_point now)
{
    const bool wasRefused = m_evidence.verdicts.contains(message.segment);
    if (policy::recordSurvival(m_evidence, std::span(&message.segment, 1), now - milliseconds(message.ageMs)).empty())
        return false;
    if (wasRefused && !m_evidence.verdicts.contains(message.segment))
        logLine(log_level::Warning, logComponent, "A peer reported that a refused prompt segment does not crash targets; requests with it run again.", { { "segment", textOfHash(message.segment) }, { "from", std::string(from) } });
    return wasRefused || !hasCollectors();
}

void crash_exchange::sendAll(const std::function<void(wire::message)>& send, time_point now) const
{
    if (!role().hasOthers) {
        // Without its refuted segments, a report cannot be misread before the survivals arrive.
        for (const auto& report : policy::unrefutedReports(m_evidence))
            send(messageOf(report, now));
        for (const auto& [segment, beganAt] : m_evidence.survivals)
            send(wire::segment_survival { segment, toMilliseconds(now - beganAt) });
    }
    for (const auto& [segment, verdict] : m_evidence.verdicts)
        send(messageOf(segment, verdict, now));
}
}
