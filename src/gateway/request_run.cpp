#include "gateway/request_run.hpp"

#include "base/hash.hpp"
#include "policy/placement.hpp"

#include <algorithm>
#include <numeric>

namespace bilberryseam::gateway {

namespace {
    constexpr std::string_view part = "request";

    constexpr unsigned statusOk = 200;
    constexpr unsigned statusBadGateway = 502;
    constexpr unsigned statusUnavailable = 503;
    constexpr unsigned statusGatewayTimeout = 504;

    /// Bytes of an answer that are collected before it is relayed, so that a broken one can be repeated.
    constexpr size_t maxBufferedBytes = 256 * 1024;

    /// Unsent bytes towards a caller at which its target is no longer read.
    constexpr size_t maxUnreadBytes = 256 * 1024;

    /// Sends of one request, with those that targets refused.
    constexpr int maxSends = 5;

    /// Results from this size on are made where they are needed.
    constexpr uint64_t bulkyResultBytes = 500 * 1000;

    /// Inputs of a stage up to this size, fetched by all its pieces, may come from anywhere.
    constexpr double movableInputBytes = 500 * 1000;

    /// Time from the arrival at a target to the first event, without reading the prompt.
    constexpr milliseconds firstEventTime { 150 };

    /// Tokens that an engine reads in a millisecond, as a planning figure.
    constexpr double readTokensPerMillisecond = 50;

    /// Part of the shared tokens that a target has to read in the mean.
    constexpr double sharedReadShare = 0.25;

    /// A prompt part counts as known at a target for this long after it was last read there.
    constexpr seconds knownPartLife { 60 };

    /// Pause before a request is placed again when no target takes it.
    constexpr milliseconds placeAgainAfter { 40 };

    /// Callers may come back after this if no target is there, or if they were only unlucky.
    constexpr milliseconds retryWithoutTargets { 1000 };
    constexpr milliseconds retryAfterBadLuck { 100 };

    /// Longest wait for a target that could take a request, as a share of the time until its deadline.
    constexpr milliseconds longestPlacing { 1500 };

    /// A target that sends nothing for so many objectives, or for so many of the pauses that are on time, is left for another.
    constexpr double silentObjectives = 1.5;
    constexpr int silentGaps = 5;
    constexpr milliseconds shortestFirstSilence { 150 };
    /// Routes may state no pauses.
    constexpr milliseconds shortestSilence { 1000 };

    /// Times that the stages of one request are run at most.
    constexpr int maxStageRuns = 3;

    /// Crashes after which a request is refused.
    constexpr uint32_t strikesToRefuse = 2;

    std::vector<uint64_t> prefixHashes(const deployment::prompt& prompt)
    {
        std::vector<uint64_t> hashes;
        uint64_t hash = hashOf(prompt.model);
        for (const auto& item : prompt.parts) {
            hash = hashOf(item.id, hash);
            hashes.push_back(hash);
        }
        return hashes;
    }
}

request_run::request_run(context& context, pool_router& pools, accepted_request request, std::function<void(request_run*)> onOver)
    : m_context(context)
    , m_pools(pools)
    , m_request(std::move(request))
    , m_onOver(std::move(onOver))
    , m_arrivedAt(m_request.exchange->arrivedAt())
    , m_deadline(m_arrivedAt + m_request.route->timeout)
{
    if (m_request.asked.deadline.count() > 0)
        m_deadline = std::min(m_deadline, m_arrivedAt + m_request.asked.deadline);
    m_context.heldBytes += m_request.exchange->body().size();
    if (const auto last = http1::findHeader(m_request.exchange->head().headers, "Last-Event-Id"))
        m_events.setLastId(*last);
}

request_run::~request_run()
{
    m_context.heldBytes -= m_request.exchange->body().size();
}

void request_run::start()
{
    const std::weak_ptr<request_run> weak = weak_from_this();
    m_request.exchange->setOnGone([weak] {
        if (const auto self = weak.lock())
            self->callerGone();
    });
    startStages();
}

void request_run::tick(time_point now)
{
    if (m_isOver)
        return;
    if (now >= m_deadline) {
        giveUp("deadline");
        return;
    }
    if (m_isWaitingForTarget && now >= m_retryAt) {
        dispatch();
        return;
    }
    if (isTargetSilent(now)) {
        policy::recordFailure(m_target->health, policy::call_failure::Failed, now);
        leaveTarget();
        answerFailed("silent", true);
    }
    if (m_call && m_request.exchange->isStarted())
        m_call->setReading(m_request.exchange->pendingBytes() < maxUnreadBytes);
}

// Stages.

void request_run::startStages()
{
    const auto& stages = m_request.route->stages;
    m_stages.assign(stages.size(), {});
    m_areInputsFreed = false;
    const bool hasPieces = std::any_of(m_request.asked.piecesOfStages.begin(), m_request.asked.piecesOfStages.end(), [](uint32_t count) { return count > 0; });
    if (stages.empty() || !hasPieces) {
        dispatch();
        return;
    }
    m_domain = domainOfBulkyResults();
    startReadyStages();
}

void request_run::restartStages(std::string_view why)
{
    const time_point now = monotonicNow();
    // One that is late already would only take the place of others.
    const bool isWorthwhile = m_stageRuns < maxStageRuns && now - m_arrivedAt < m_request.route->objective;
    const bool mayRepeat = isWorthwhile && trySpendRepeat(m_context, m_request.service, now);
    if (!mayRepeat) {
        endUnanswered(why, retryAfterBadLuck);
        return;
    }
    ++m_stageRuns;
    m_context.counters.count("stage_restarts_total", { { "reason", std::string(why) } });
    logLine(log_level::Info, part, "The stages are run again.", { { "request", m_request.asked.id }, { "reason", std::string(why) } });
    freeAll();
    startStages();
}

std::string request_run::domainOfBulkyResults() const
{
    const auto& stages = m_request.route->stages;
    const auto& counts = m_request.asked.piecesOfStages;
    double bulkyBytes = 0;
    for (size_t i = 0; i < stages.size() && i < counts.size(); ++i) {
        if (stages[i].resultBytes >= bulkyResultBytes)
            bulkyBytes += static_cast<double>(stages[i].resultBytes) * counts[i];
    }
    if (bulkyBytes == 0 || !m_request.asked.asked)
        return {};
    uint64_t sharedTokens = 0;
    const auto& parts = m_request.asked.asked->parts;
    for (size_t i = 0; i + 1 < parts.size(); ++i)
        sharedTokens += parts[i].tokens;
    const policy::placement_costs costs;
    // The target for the prompt is chosen first only if the prompt weighs more than the results.
    const bool isPromptHeavier = static_cast<double>(sharedTokens) * costs.thousandSharedTokens / 1000 > bulkyBytes * costs.inputMegabyte / 1e6;
    const target_ptr target = isPromptHeavier ? chooseTarget(monotonicNow()) : nullptr;
    return target ? target->listed.failureDomain : std::string();
}

std::map<std::string, double, std::less<>> request_run::resultBytesByDomain() const
{
    std::map<std::string, double, std::less<>> bytes;
    if (m_stages.empty())
        return bytes;
    for (const size_t index : deployment::finalStages(*m_request.route)) {
        for (const auto& handle : m_stages[index].handles) {
            const auto maker = ip_endpoint::parse(handle.substr(0, handle.find('/')));
            const target_ptr target = maker ? m_context.targets.atEndpoint(maker.value()) : nullptr;
            if (target)
                bytes[target->listed.failureDomain] += static_cast<double>(m_request.route->stages[index].resultBytes);
        }
    }
    return bytes;
}

void request_run::startReadyStages()
{
    const auto& stages = m_request.route->stages;
    // Stages without pieces are done at once, and others may be ready then.
    for (size_t i = 0; i < stages.size(); ++i) {
        const bool isEmpty = i >= m_request.asked.piecesOfStages.size() || m_request.asked.piecesOfStages[i] == 0;
        m_stages[i].isStarted = m_stages[i].isStarted || isEmpty;
    }
    const auto startAll = [&] {
        for (size_t i = 0; i < stages.size() && !m_isOver; ++i) {
            const bool isReady = std::all_of(stages[i].after.begin(), stages[i].after.end(), [this](size_t before) { return m_stages[before].isDone(); });
            if (!m_stages[i].isStarted && isReady && !mustWait(i))
                startStage(i);
        }
    };
    startAll();
    // Bulky results that waited for the others may be made now.
    startAll();
    const bool isAllDone = std::all_of(m_stages.begin(), m_stages.end(), [](const auto& item) { return item.isDone(); });
    if (isAllDone && !m_isOver)
        dispatch();
}

bool request_run::mustWait(size_t index) const
{
    const auto& stages = m_request.route->stages;
    const auto last = deployment::finalStages(*m_request.route);
    const bool isFinal = std::find(last.begin(), last.end(), index) != last.end();
    if (stages[index].resultBytes < bulkyResultBytes || !isFinal)
        return false;
    // Bulky results would take memory while the other stages go on: they are made beside the last of these.
    for (size_t i = 0; i < stages.size(); ++i) {
        if (stages[i].resultBytes < bulkyResultBytes && !m_stages[i].isStarted)
            return true;
    }
    return false;
}

void request_run::startStage(size_t index)
{
    const deployment::stage& stage = m_request.route->stages[index];
    stage_progress& progress = m_stages[index];
    const auto& counts = m_request.asked.piecesOfStages;
    const uint32_t count = index < counts.size() ? counts[index] : 0;
    progress.isStarted = true;
    progress.startedAt = monotonicNow();
    progress.missing = count;
    progress.handles.resize(count);
    if (count == 0)
        return;
    const auto job = std::make_shared<stage_job>();
    double inputBytes = 0;
    for (const size_t before : stage.after) {
        const auto& handles = m_stages[before].handles;
        job->inputs.insert(job->inputs.end(), handles.begin(), handles.end());
        inputBytes += static_cast<double>(m_request.route->stages[before].resultBytes * handles.size());
    }
    job->requestId = m_request.asked.id;
    job->service = stage.service;
    job->stage = static_cast<uint32_t>(index);
    job->count = count;
    job->ended.resize(count);
    job->key = m_request.asked.pieceKey;
    job->resultBytes = static_cast<double>(stage.resultBytes);
    job->latestStart = m_arrivedAt + m_request.route->objective - remainingTime(index);
    job->deadline = m_deadline;
    job->rank = static_cast<uint32_t>(std::clamp(m_request.rank, 0, 9));
    if (stage.resultBytes >= bulkyResultBytes)
        job->boundTo = m_domain;
    // Each piece fetches all inputs.
    job->preferred = domainOfInputs(job->inputs, inputBytes * count);
    const std::weak_ptr<request_run> weak = weak_from_this();
    job->onEnd = [weak, index](uint32_t piece, const piece_outcome& outcome) {
        if (const auto self = weak.lock())
            self->pieceEnded(index, piece, outcome);
    };
    progress.job = job;
    m_pools.run(job);
}

std::string request_run::domainOfInputs(const std::vector<std::string>& inputs, double inputBytes) const
{
    if (inputs.empty() || inputBytes < movableInputBytes)
        return {};
    std::map<std::string, size_t> counts;
    for (const auto& handle : inputs) {
        const auto maker = ip_endpoint::parse(handle.substr(0, handle.find('/')));
        const target_ptr target = maker ? m_context.targets.atEndpoint(maker.value()) : nullptr;
        if (target)
            ++counts[target->listed.failureDomain];
    }
    const auto most = std::max_element(counts.begin(), counts.end(), [](const auto& left, const auto& right) { return left.second < right.second; });
    return most == counts.end() ? std::string() : most->first;
}

milliseconds request_run::remainingTime(size_t fromStage) const
{
    const auto& stages = m_request.route->stages;
    milliseconds sum { 0 };
    size_t last = fromStage;
    for (size_t i = fromStage; i < stages.size(); ++i) {
        const bool isInChain = i == fromStage || std::find(stages[i].after.begin(), stages[i].after.end(), last) != stages[i].after.end();
        const auto found = m_request.configuration->services.find(stages[i].service);
        if (!isInChain || found == m_request.configuration->services.end() || !found->second.pool)
            continue;
        last = i;
        sum += found->second.pool->timeOf(static_cast<size_t>(found->second.pool->batch));
    }
    double tokens = 0;
    if (const auto& prompt = m_request.asked.asked; prompt && !prompt->parts.empty()) {
        const double own = static_cast<double>(prompt->parts.back().tokens);
        tokens = own + sharedReadShare * (static_cast<double>(prompt->promptTokens) - own);
    }
    return sum + firstEventTime + milliseconds(static_cast<int64_t>(tokens / readTokensPerMillisecond));
}

void request_run::pieceEnded(size_t stage, uint32_t piece, const piece_outcome& outcome)
{
    if (m_isOver)
        return;
    if (outcome.handle.empty()) {
        logLine(log_level::Info, part, "A piece has no result.", { { "request", m_request.asked.id }, { "stage", std::to_string(stage) }, { "piece", std::to_string(piece) }, { "reason", std::string(platform::nameOf(outcome.failure)) } });
        if (outcome.failure == platform::piece_failure::Late)
            endUnanswered("stage_late", retryAfterBadLuck);
        else
            restartStages(platform::nameOf(outcome.failure));
        return;
    }
    stage_progress& progress = m_stages[stage];
    progress.handles[piece] = outcome.handle;
    if (--progress.missing > 0)
        return;
    logLine(log_level::Info, part, "A stage is done.", { { "request", m_request.asked.id }, { "stage", std::to_string(stage) }, { "service", m_request.route->stages[stage].service }, { "pieces", std::to_string(progress.handles.size()) }, { "took_ms", std::to_string(asMilliseconds(monotonicNow() - progress.startedAt)) } });
    for (const size_t before : m_request.route->stages[stage].after) {
        const auto& stages = m_request.route->stages;
        const bool isTakenLater = [&] {
            for (size_t i = 0; i < stages.size(); ++i) {
                const bool takes = std::find(stages[i].after.begin(), stages[i].after.end(), before) != stages[i].after.end();
                if (takes && !m_stages[i].isDone())
                    return true;
            }
            return false;
        }();
        if (!isTakenLater)
            freeStage(before);
    }
    startReadyStages();
}

void request_run::freeStage(size_t index)
{
    std::vector<std::string> handles;
    for (auto& handle : m_stages[index].handles) {
        if (!handle.empty())
            handles.push_back(std::exchange(handle, {}));
    }
    if (!handles.empty())
        m_pools.free(m_request.route->stages[index].service, handles);
}

void request_run::freeAll()
{
    m_areInputsFreed = !m_stages.empty();
    for (size_t i = 0; i < m_stages.size(); ++i) {
        if (m_stages[i].job && !m_stages[i].isDone())
            m_pools.drop(m_stages[i].job);
        freeStage(i);
    }
}

// Attempts.

target_ptr request_run::chooseTarget(time_point now) const
{
    const auto& listed = m_context.targets.ofService(m_request.service);
    policy::placement_request wanted;
    std::vector<uint64_t> hashes;
    if (m_request.asked.asked) {
        hashes = prefixHashes(*m_request.asked.asked);
        // The last part belongs to the request itself.
        if (!hashes.empty())
            hashes.pop_back();
        for (size_t i = 0; i < hashes.size(); ++i)
            wanted.sharedTokens += m_request.asked.asked->parts[i].tokens;
        wanted.prefixHash = hashes.empty() ? 0 : hashes.back();
    }
    const auto inputBytes = resultBytesByDomain();
    const double allInputBytes = std::accumulate(inputBytes.begin(), inputBytes.end(), 0.0, [](double sum, const auto& item) { return sum + item.second; });
    std::vector<policy::placement_candidate> candidates;
    candidates.reserve(listed.size());
    for (const auto& target : listed) {
        policy::placement_candidate candidate;
        candidate.hash = target->hash;
        const bool wasTried = std::find(m_tried.begin(), m_tried.end(), target->listed.id) != m_tried.end();
        candidate.isUsable = target->mayGetWork(now) && !wasTried;
        candidate.isOwnDomain = target->listed.failureDomain == m_context.settings.failureDomain;
        const auto inputsThere = inputBytes.find(target->listed.failureDomain);
        candidate.inputBytesElsewhere = allInputBytes - (inputsThere == inputBytes.end() ? 0 : inputsThere->second);
        const auto region = m_context.settings.regions.find(target->listed.failureDomain);
        candidate.isOwnRegion = region != m_context.settings.regions.end() && region->second == m_context.settings.region;
        candidate.inFlight = target->inFlight;
        candidate.slots = static_cast<uint32_t>(std::max(1, target->listed.slots));
        candidate.unreadTokens = target->unreadTokens;
        candidate.penalty = policy::penaltyOf(target->health);
        for (size_t i = 0; i < hashes.size(); ++i) {
            const auto found = target->readParts.find(hashes[i]);
            if (found == target->readParts.end() || now - found->second > knownPartLife)
                break;
            candidate.knownTokens += m_request.asked.asked->parts[i].tokens;
        }
        candidates.push_back(candidate);
    }
    const auto chosen = policy::chooseTarget(candidates, wanted, {});
    return chosen ? listed[*chosen] : nullptr;
}

void request_run::dispatch()
{
    const time_point now = monotonicNow();
    m_isWaitingForTarget = false;
    if (m_areInputsFreed) {
        restartStages("inputs_freed");
        return;
    }
    const target_ptr target = chooseTarget(now);
    if (target) {
        send(target);
        return;
    }
    const bool hasListed = !m_context.targets.ofService(m_request.service).empty();
    const bool mayWait = hasListed && m_sends < maxSends && now - m_arrivedAt < longestPlacing && !m_request.exchange->isStarted();
    if (!mayWait) {
        answerFailed("no_target", false);
        return;
    }
    m_tried.clear();
    m_isWaitingForTarget = true;
    m_retryAt = now + placeAgainAfter;
}

void request_run::send(const target_ptr& target)
{
    const time_point now = monotonicNow();
    std::vector<std::string> inputs;
    for (const size_t index : deployment::finalStages(*m_request.route))
        inputs.insert(inputs.end(), m_stages[index].handles.begin(), m_stages[index].handles.end());
    platform::target_call call;
    call.left = std::chrono::duration_cast<milliseconds>(m_deadline - now);
    call.targetId = target->listed.id;
    call.account = m_request.account;
    call.inputs = inputs;
    const bool isResumed = m_request.exchange->isStarted();
    if (isResumed)
        call.lastEventId = m_events.lastId();
    const http1::request_head& head = m_request.exchange->head();
    const http1::outgoing_request request { head.method, head.target, platform::encodeTargetHeaders(head, call), m_request.exchange->body() };

    m_target = target;
    m_sentAt = now;
    m_hasHead = false;
    m_hasFirstByte = false;
    m_events.restart();
    m_buffer.clear();
    ++m_sends;
    ++m_runs;
    ++target->inFlight;
    m_sentTokens = 0;
    if (m_request.asked.asked) {
        m_sentTokens = m_request.asked.asked->promptTokens;
        target->unreadTokens += m_sentTokens;
    }
    m_tried.push_back(target->listed.id);

    http1::client_call::callbacks calls;
    calls.onHead = [this](const http1::answer_head& came) { headCame(came); };
    calls.onBody = [this](std::string_view bytes) { bytesCame(bytes); };
    calls.onEnd = [this](http1::call_end end) { attemptEnded(end); };
    const bool isOnNewConnection = !m_request.route->isRepeatable();
    m_call = m_context.client.send(target->listed.endpoint, request, { isOnNewConnection }, std::move(calls));
    m_context.counters.count("sends_total", { { "service", m_request.service } });
    logLine(log_level::Info, part, "Sent.", { { "request", m_request.asked.id }, { "target", target->listed.id }, { "send", std::to_string(m_sends) }, { "left_ms", std::to_string(call.left.count()) }, { "listed_ms_ago", std::to_string(asMilliseconds(now - target->listedAt)) }, { "in_flight", std::to_string(target->inFlight) } });
}

void request_run::headCame(const http1::answer_head& head)
{
    m_hasHead = true;
    m_head = head;
    m_answer = platform::decodeAnswer(head, m_request.asked.id);
}

void request_run::bytesCame(std::string_view bytes)
{
    const auto keep = shared_from_this();
    m_lastByteAt = monotonicNow();
    if (!m_hasFirstByte) {
        m_hasFirstByte = true;
        const time_point now = monotonicNow();
        m_target->unreadTokens -= std::exchange(m_sentTokens, 0);
        if (m_request.asked.asked && m_answer.status == statusOk) {
            for (const uint64_t hash : prefixHashes(*m_request.asked.asked))
                m_target->readParts[hash] = now;
            // The target has fetched its inputs; memory for results is scarce.
            freeAll();
        }
    }
    const bool isGood = m_answer.status == statusOk && m_answer.isForRequest && m_answer.isSealed && !m_answer.isEncoded;
    if (!isStream() || !isGood) {
        m_buffer.append(bytes);
        if (m_buffer.size() > maxBufferedBytes && isGood)
            startRelay();
        return;
    }
    if (!m_request.route->isResumable) {
        startRelay();
        relay(bytes);
        return;
    }
    std::string whole;
    const auto state = m_events.take(bytes, whole);
    if (!whole.empty()) {
        startRelay();
        relay(whole);
    }
    if (state == event_stream::state::Gap) {
        leaveTarget();
        answerFailed("gap", true);
    }
}

void request_run::startRelay()
{
    if (m_request.exchange->isStarted())
        return;
    m_context.counters.observeSeconds("first_byte_seconds", { { "route", m_request.route->name } }, asSeconds(monotonicNow() - m_arrivedAt));
    m_request.exchange->startChunked(m_answer.status, platform::callerHeaders(m_head));
    relay(std::exchange(m_buffer, {}));
}

void request_run::relay(std::string_view bytes)
{
    m_request.exchange->writeChunk(bytes);
    if (m_request.exchange->pendingBytes() >= maxUnreadBytes && m_call)
        m_call->setReading(false);
}

bool request_run::isTargetSilent(time_point now) const
{
    const auto& route = *m_request.route;
    if (!m_call || !route.isRepeatable() || m_runs >= route.maxAttempts)
        return false;
    if (m_request.exchange->isStarted())
        return m_request.exchange->pendingBytes() == 0 && now - m_lastByteAt > std::max<microseconds>(shortestSilence, route.gapObjective * silentGaps);
    return !m_hasFirstByte && now - m_sentAt > shortestFirstSilence && asSeconds(now - m_sentAt) > asSeconds(route.objective) * silentObjectives;
}

void request_run::leaveTarget()
{
    m_call.reset();
    if (!m_target)
        return;
    m_target->unreadTokens -= std::exchange(m_sentTokens, 0);
    --m_target->inFlight;
    m_target.reset();
}

void request_run::attemptEnded(http1::call_end end)
{
    const auto keep = shared_from_this();
    const time_point now = monotonicNow();
    const target_ptr target = m_target;
    leaveTarget();
    if (m_isOver)
        return;
    if (end == http1::call_end::NotSent) {
        policy::recordFailure(target->health, policy::call_failure::Unreachable, now);
        --m_runs;
        answerFailed("unreachable", false);
        return;
    }
    if (m_hasHead && m_answer.isNotRun && end == http1::call_end::Complete) {
        target->isReplaced = target->isReplaced || m_answer.isWrongTarget;
        policy::recordFailure(target->health, policy::call_failure::Full, now);
        --m_runs;
        answerFailed(m_answer.isWrongTarget ? "wrong_target" : "target_full", false);
        return;
    }
    const bool isOwnAnswer = m_hasHead && m_answer.isForRequest && m_answer.isSealed && !m_answer.isEncoded;
    if (end != http1::call_end::Complete || !isOwnAnswer) {
        const bool isCrash = end == http1::call_end::NoAnswer || end == http1::call_end::Cut;
        policy::recordFailure(target->health, policy::call_failure::Failed, now);
        if (isCrash)
            strike(now);
        answerFailed(end != http1::call_end::Complete ? nameOf(end) : "not_own_answer", true);
        return;
    }
    const bool isServerFailure = m_answer.status >= 500;
    if (isServerFailure)
        policy::recordFailure(target->health, policy::call_failure::Failed, now);
    else
        policy::recordSuccess(target->health, 1, now);
    policy::absolve(m_context.suspicions, m_request.fingerprint);
    const bool isTruncatedEvent = isStream() && m_request.route->isResumable && m_answer.status == statusOk && !m_events.isAtBoundary();
    if (isTruncatedEvent || (isServerFailure && m_request.exchange->isStarted())) {
        answerFailed("half_event", true);
        return;
    }
    const bool mayRepeat = m_request.route->isRepeatable() && m_runs < m_request.route->maxAttempts && !m_request.exchange->isStarted();
    if (isServerFailure && mayRepeat && trySpendRepeat(m_context, m_request.service, now)) {
        m_context.counters.count("repeats_total", { { "reason", "server_failure" } });
        dispatch();
        return;
    }
    completeAnswer();
}

void request_run::strike(time_point now)
{
    policy::suspicion held = policy::strike(m_context.suspicions, m_request.fingerprint, false, now);
    if (held.strikes >= strikesToRefuse)
        held = policy::strike(m_context.suspicions, m_request.fingerprint, true, now);
    m_pools.tellSuspicion(m_request.fingerprint, held, now);
}

void request_run::completeAnswer()
{
    const bool isPromise = m_answer.status == statusUnavailable || m_answer.status == 429 || m_answer.status == 408;
    if (isPromise) {
        // It ran: the status would promise that it did not.
        failed(statusBadGateway, "target_failed");
        return;
    }
    if (m_request.exchange->isStarted())
        m_request.exchange->finishChunked();
    else
        m_request.exchange->respond(m_answer.status, platform::callerHeaders(m_head), m_buffer);
    over("answered", "", m_answer.status);
}

void request_run::answerFailed(std::string_view why, bool mayHaveRun)
{
    const time_point now = monotonicNow();
    m_mayHaveRun = m_mayHaveRun || mayHaveRun;
    const auto& route = *m_request.route;
    const bool mayRepeat = !m_mayHaveRun || (route.isRepeatable() && m_runs < route.maxAttempts);
    const bool isInTime = now < m_deadline;
    logLine(log_level::Info, part, "Attempt failed.", { { "request", m_request.asked.id }, { "reason", std::string(why) }, { "may_have_run", m_mayHaveRun ? "true" : "false" }, { "after_ms", std::to_string(m_sends == 0 ? 0 : asMilliseconds(now - m_sentAt)) } });
    const bool isTargetLeft = why != "no_target";
    if (mayRepeat && isInTime && isTargetLeft && m_sends < maxSends && (m_sends == 0 || trySpendRepeat(m_context, m_request.service, now))) {
        m_context.counters.count("repeats_total", { { "reason", std::string(why) } });
        dispatch();
        return;
    }
    endUnanswered(why, isTargetLeft ? retryAfterBadLuck : retryWithoutTargets);
}

// Ends.

void request_run::endUnanswered(std::string_view reason, milliseconds retryAfter)
{
    if (m_request.exchange->isStarted()) {
        m_request.exchange->cut();
        over("cut", reason, 0);
    } else if (m_mayHaveRun)
        failed(statusBadGateway, reason);
    else
        refuse(reason, retryAfter);
}

void request_run::refuse(std::string_view reason, milliseconds retryAfter)
{
    m_request.exchange->respond(statusUnavailable, { platform::retryAfterHeader(retryAfter) }, {});
    over("refused", reason, statusUnavailable);
}

void request_run::failed(unsigned status, std::string_view reason)
{
    m_request.exchange->respond(status, {}, {});
    over("failed", reason, status);
}

void request_run::giveUp(std::string_view reason)
{
    const bool wasSent = m_mayHaveRun || m_call;
    leaveTarget();
    if (m_request.exchange->isStarted()) {
        m_request.exchange->cut();
        over("cut", reason, 0);
    } else if (wasSent)
        failed(statusGatewayTimeout, reason);
    else
        refuse(reason, retryAfterBadLuck);
}

void request_run::callerGone()
{
    const auto keep = shared_from_this();
    leaveTarget();
    over("caller_gone", "", 0);
}

void request_run::over(std::string_view outcome, std::string_view reason, unsigned status)
{
    if (std::exchange(m_isOver, true))
        return;
    freeAll();
    const auto took = monotonicNow() - m_arrivedAt;
    m_context.counters.count("requests_total", { { "outcome", std::string(outcome) }, { "reason", std::string(reason) } });
    m_context.counters.observeSeconds("request_seconds", { { "outcome", std::string(outcome) } }, asSeconds(took));
    logLine(log_level::Info, part, "Over.", { { "request", m_request.asked.id }, { "outcome", std::string(outcome) }, { "reason", std::string(reason) }, { "status", std::to_string(status) }, { "sends", std::to_string(m_sends) }, { "took_ms", std::to_string(asMilliseconds(took)) } });
    m_onOver(this);
}
}
