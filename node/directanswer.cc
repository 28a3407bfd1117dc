// From an endpoint back to the caller: checking and relaying answers, trying again,
// refusing.

#include <algorithm>
#include <unordered_map>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "base/jsontext.h"
#include "base/log.h"
#include "node/directrequest.h"

namespace bamboogap {

using detail::keyDigest;
using detail::kLeastRemaining;
using detail::scaled;

namespace {

// Sends of a request that no endpoint has run: each may meet a full or vanished one.
constexpr uint32_t kMostSends = 4;
// When refused callers are told to return, least and spread: a place is free again
// after the mean time of a few requests; a restarted fleet serves again when a leader
// is elected and endpoints have announced themselves; a stopping router is left at once.
struct ReturnTime
{
    Duration least;
    Duration spread;
};
constexpr ReturnTime kWhenPlaceFree { std::chrono::milliseconds(250),
                                      std::chrono::milliseconds(400) };
constexpr ReturnTime kWhenFleetReady { std::chrono::milliseconds(800),
                                       std::chrono::milliseconds(800) };
constexpr ReturnTime kAtOnce { std::chrono::milliseconds(20), std::chrono::milliseconds(80) };

// How long an answer of an endpoint that seemed to crash is looked for.
constexpr Duration kCrashMemory = std::chrono::minutes(1);

std::string millisText(Duration duration)
{
    return fmt::format("{:.1f}", std::chrono::duration<double, std::milli>(duration).count());
}

} // namespace

bool DirectRouter::onHead(ExchangeId id, int status, std::span<const HttpHeader> headers)
{
    Active &active = *active_.at(id);
    active.status = status;
    active.headers.assign(headers.begin(), headers.end());
    active.head = dialect_.readAnswer(status, headers);
    if (active.head.keepAlive)
        pool_.setKeepAlive(active.call, *active.head.keepAlive);
    // A refusal without an id may be left from an earlier request on the same connection.
    const bool own = active.head.requestId == active.caller.id;
    const bool foreign = !own
            && (!active.head.requestId.empty()
                || (active.head.notRun && pool_.isReused(active.call)));
    const bool ok = status >= 200 && status < 300;
    active.success = ok && active.head.isSigned && !active.head.encoded && own;
    const bool fromElsewhere
            = active.head.misdirected && active.head.endpointId != active.endpointId;
    if (!foreign && !fromElsewhere)
        heedEndpoint(active);
    // What claims to be a success but cannot be the endpoint's own is not read on.
    return !foreign && (!ok || active.success);
}

// What an answer says of its endpoint holds at once for this router's next requests.
void DirectRouter::heedEndpoint(const Active &active)
{
    const AnswerHead &head = active.head;
    if (!head.endpointId.empty() && head.endpointId != active.endpointId)
        return;
    const Instant now = BootClock::now();
    const auto crashed = crashed_.find({ active.endpointId, active.endpointBorn });
    if (crashed != crashed_.end() && active.sentAt > crashed->second) {
        crashed_.erase(crashed);
        sync_->reportLiving({ active.endpointId, active.endpointBorn });
    }
    if (!head.unreadable.empty()) {
        logEvent(LogLevel::Warning, "answer_header_ignored",
                 { { "request", active.caller.id },
                   { "endpoint", active.endpointId },
                   { "header", head.unreadable } });
    }
    if (head.leaving && sync_->roster().markLeaving(active.endpointId, active.endpointBorn)) {
        logEvent(LogLevel::Info, "endpoint_leaving",
                 { { "endpoint", active.endpointId },
                   { "born_ms", fmt::to_string(active.endpointBorn) },
                   { "request", active.caller.id } });
        sync_->reportLeaving({ active.endpointId, active.endpointBorn });
        onNews();
    }
    noteLimit(active, now);
    noteLoad(active, now);
    if (head.quiet) {
        board_.onBackoffRequested(active.endpoint, active.endpointBorn, *head.quiet, now);
        logEvent(LogLevel::Info, "endpoint_asked_for_quiet",
                 { { "endpoint", active.endpointId },
                   { "request", active.caller.id },
                   { "quiet_ms", fmt::to_string(toMillis(*head.quiet)) } });
        metrics_.count("bamboogap_quiet_periods_total");
    }
}

void DirectRouter::noteLimit(const Active &active, Instant now)
{
    // A rejection need not name the limit.
    if (!active.head.ratePerSecond && !active.head.isSigned)
        return;
    const LimitObservation observation { active.endpoint, active.endpointBorn,
                                         active.head.ratePerSecond, active.sentAt, now };
    if (!sync_->observeLimit(observation))
        return;
    logEvent(LogLevel::Info, "endpoint_limit",
             { { "endpoint", active.endpointId },
               { "per_second",
                 observation.perSecond ? fmt::to_string(*observation.perSecond) : "none" },
               { "request", active.caller.id } });
    metrics_.count("bamboogap_endpoint_limit_changes_total");
    board_.setRateLimits(sync_->limits(), sync_->sharePosition(), now);
}

void DirectRouter::noteAnswer(const Active &active)
{
    // The rest of a stream may be shorter than what endpoints crash after.
    if (!active.isResumed)
        answerTimes_.record(active.subjects, BootClock::now());
}

std::vector<StreamRun> DirectRouter::streamRuns() const
{
    std::unordered_map<Fingerprint, StreamRun> longest;
    for (const auto &[id, active] : active_) {
        if (active->call == 0 || !active->hadFirstByte)
            continue;
        const Duration ran = active->lastEventAt - active->firstByteAt;
        for (const Fingerprint subject : active->subjects) {
            StreamRun &run = longest[subject];
            if (ran >= run.ran)
                run = { subject, ran, active->lastEventAt };
        }
    }
    std::vector<StreamRun> runs;
    runs.reserve(longest.size());
    for (const auto &[subject, run] : longest)
        runs.push_back(run);
    return runs;
}

// The endpoint broke off before the whole answer.
void DirectRouter::noteCrash(const Active &active)
{
    if (sync_->roster().hasAnnouncedDeparture(active.endpointId, active.endpointBorn))
        return; // it has ended as planned
    const Instant now = BootClock::now();
    const Duration ran = active.hadFirstByte ? now - active.firstByteAt : Duration {};
    std::erase_if(crashed_, [now](const auto &item) { return now - item.second > kCrashMemory; });
    crashed_.try_emplace({ active.endpointId, active.endpointBorn }, now);
    logEvent(LogLevel::Info, "endpoint_broke_off",
             { { "request", active.caller.id },
               { "fingerprint", fmt::format("{:016x}", active.subjects.front()) },
               { "workspace", active.workspace },
               { "key_digest", keyDigest(active.caller.accessKey) },
               { "crash", crashName(active.endpointId, active.endpointBorn) },
               { "waited_ms", fmt::to_string(toMillis(now - active.sentAt)) },
               { "ran_ms", fmt::to_string(toMillis(ran)) } });
    for (const Fingerprint subject : active.subjects) {
        sync_->reportCrashEvidence({ subject, active.endpointId, active.endpointBorn, active.sentAt,
                                     now, subject == active.subjects.front(), ran });
    }
}

void DirectRouter::onData(ExchangeId id, std::string_view data)
{
    Active &active = *active_.at(id);
    if (!active.success || !active.isStream) {
        hold(active, data);
        return;
    }
    const size_t eventsBefore = active.events.events();
    const std::string complete = active.events.feed(data);
    if (active.events.events() > eventsBefore)
        noteEvents(active);
    if (!complete.empty())
        relay(active, complete);
    if (active.events.overlong())
        breakOff(id, active.call, "too many bytes without an event");
}

// Answers that are not streamed go on when they are whole. Beyond the bound for all of
// them the longest is given up: an endpoint that sends without end must not cost the others
// theirs.
void DirectRouter::hold(Active &active, std::string_view data)
{
    active.body += data;
    heldBytes_ += data.size();
    if (heldBytes_ <= settings_.maxHeldBytes)
        return;
    const auto longest = std::max_element(
            active_.begin(), active_.end(), [](const auto &left, const auto &right) {
                return left.second->body.size() < right.second->body.size();
            });
    dropBody(*longest->second);
    breakOff(longest->first, longest->second->call, "answers without end fill the memory");
}

void DirectRouter::dropBody(Active &active)
{
    heldBytes_ -= active.body.size();
    active.body = {};
}

// Gives up an attempt whose answer is none. Deferred: its connection may be reading now.
void DirectRouter::breakOff(ExchangeId id, CallId call, std::string_view reason)
{
    loop_.detach(kj::evalLater([this, id, call, reason]() {
                     const auto found = active_.find(id);
                     if (found == active_.end() || found->second->call != call || call == 0)
                         return;
                     pool_.cancel(call);
                     onEnd(id, CallEnd::Invalid, reason);
                 }),
                 "broken answer");
}

// The endpoint is read no faster than the caller takes its stream.
void DirectRouter::pauseForCaller(Active &active, kj::Promise<void> taken)
{
    active.paused = true;
    pool_.pause(active.call, true);
    const ExchangeId id = active.id;
    loop_.detach(taken.then(
                         [this, id]() {
                             const auto found = active_.find(id);
                             if (found == active_.end())
                                 return;
                             found->second->paused = false;
                             found->second->lastEventAt = BootClock::now();
                             if (found->second->call != 0)
                                 pool_.pause(found->second->call, false);
                         },
                         [](kj::Exception &&) {}), // the caller left, or a later part waits
                 "caller takes its stream");
}

// Only events show that the endpoint works on the request; line ends and comments may come from one
// that does not.
void DirectRouter::noteEvents(Active &active)
{
    const Instant now = BootClock::now();
    active.lastEventAt = now;
    if (!active.hadFirstByte) {
        active.hadFirstByte = true;
        active.firstByteAt = now;
        board_.onFirstToken(active.endpoint, active.unreadTokens, active.expectedMillis,
                            now - active.sentAt);
        sync_->rollouts().onFirstByte(active.rolloutAttempt, now - active.sentAt);
        sync_->roster().recordResponse(active.endpointId, now);
    }
    if (mayRunAgain(active))
        armTimer(active, attemptLimit(active));
}

void DirectRouter::relay(Active &active, std::string_view complete)
{
    if (!active.streaming) {
        const Instant now = BootClock::now();
        active.streaming = true;
        active.firstEventAt = now;
        metrics_.observe("bamboogap_first_event_seconds", {}, now - active.arrivedAt);
        auto headers = dialect_.callerHeaders(active.headers);
        if (stopping_)
            headers.push_back({ "Connection", "close" });
        server_->startStream(active.id, active.status, {}, headers);
    }
    auto taken = server_->chunk(active.id, complete);
    if (server_->isBehind(active.id))
        pauseForCaller(active, kj::mv(taken));
}

void DirectRouter::onEnd(ExchangeId id, CallEnd end, std::string_view reason)
{
    Active &active = *active_.at(id);
    active.call = 0;
    if (end == CallEnd::NotSent) {
        settle(active, Outcome::Unreachable, reason);
        tryAgain(active, Outcome::Unreachable, reason);
        return;
    }
    if (end != CallEnd::Whole) {
        ++active.runs;
        settle(active, Outcome::Broken, reason);
        // One that was still sending has not crashed.
        if (end == CallEnd::Broken)
            noteCrash(active);
        tryAgain(active, Outcome::Broken, reason);
        return;
    }
    finishWhole(active);
}

// Another endpoint that names itself has the address now. A misdirected answer without a name may
// be about the request alone, and any caller could take the endpoint away with one.
void DirectRouter::noteMoved(const Active &active)
{
    const AnswerHead &head = active.head;
    if (!head.misdirected || head.endpointId.empty() || head.endpointId == active.endpointId)
        return;
    logEvent(LogLevel::Info, "endpoint_moved",
             { { "endpoint", active.endpointId },
               { "answered_by", head.endpointId },
               { "request", active.caller.id } });
    sync_->roster().markMisdirected(active.endpointId);
    onNews();
}

// The endpoint's answer came in full.
void DirectRouter::finishWhole(Active &active)
{
    if (active.head.notRun || active.head.misdirected) {
        noteMoved(active);
        settle(active, Outcome::Rejected, active.head.misdirected ? "misdirected" : "not run");
        tryAgain(active, Outcome::Rejected, "the endpoint did not run it");
        return;
    }
    ++active.runs;
    if (!active.success || !active.isStream)
        noteAnswer(active); // a failure is an answer, too
    if (active.success && active.isStream) {
        const bool whole = !active.events.hasPartial() && active.hadFirstByte;
        settle(active, whole ? Outcome::Succeeded : Outcome::Broken, "");
        if (!whole) {
            noteCrash(active);
            tryAgain(active, Outcome::Broken, "the stream ended within an event");
            return;
        }
        noteAnswer(active);
        logEnd(active, active.status, "whole");
        server_->endStream(active.id);
        erase(active.id);
        return;
    }
    if (active.success) {
        sync_->roster().recordResponse(active.endpointId, BootClock::now());
        settle(active, Outcome::Succeeded, "");
        answerEndpoint(active);
        return;
    }
    settle(active, Outcome::Failed, "");
    tryAgain(active, Outcome::Failed, "the endpoint failed it");
}

// Books the end of an attempt.
void DirectRouter::settle(Active &active, Outcome outcome, std::string_view reason)
{
    const Instant now = BootClock::now();
    noteOutcomeInRollout(active, outcome, now);
    const bool ejected = board_.onEnded(active.endpoint, active.unreadTokens, active.hadFirstByte,
                                        outcome, now - active.sentAt, now);
    if (ejected) {
        logEvent(LogLevel::Warning, "endpoint_ejected",
                 { { "endpoint", active.endpointId },
                   { "request", active.caller.id },
                   { "reason", std::string(reason) } });
        metrics_.count("bamboogap_ejections_total");
    }
}

bool DirectRouter::takeRetry(const Active &active, Instant now)
{
    const uint32_t routers = sync_->sharers(now);
    const RetryDecision decision = retries_.at(active.service).take(routers, now);
    if (!decision.granted)
        metrics_.count("bamboogap_retries_refused_total");
    logEvent(LogLevel::Info, "retry",
             { { "request", active.caller.id },
               { "service", active.service },
               { "outcome", decision.granted ? "granted" : "refused" },
               { "used", fmt::to_string(decision.used) },
               { "allowed", fmt::format("{:.1f}", decision.allowed) },
               { "routers", fmt::to_string(routers) },
               { "up_ms", fmt::to_string(toMillis(now - startedAt_)) } });
    return decision.granted;
}

// After an attempt that brought no answer to hand on.
void DirectRouter::tryAgain(Active &active, Outcome outcome, std::string_view reason)
{
    const Instant now = BootClock::now();
    const bool notRun = outcome == Outcome::Unreachable || outcome == Outcome::Rejected;
    const bool mayRepeat = notRun ? active.sends < kMostSends
                                  : mayRunAgain(active) && active.runs < active.route->maxAttempts;
    const bool inTime = active.deadline - now >= kLeastRemaining;
    const bool quarantined = isQuarantined(active);
    bool allowed = mayRepeat && inTime && !quarantined;
    if (allowed && isAdmissionControlled(active.service, active.isEngine)) {
        active.preferred = admissionOf(active.service).secondEndpoint(active.tried, now, chance());
        allowed = active.preferred.has_value();
    }
    if (allowed && (outcome == Outcome::Unreachable || takeRetry(active, now))) {
        active.events.dropPartial();
        metrics_.count("bamboogap_retries_total");
        const auto placed = choose(active, now);
        if (placed) {
            send(active, *placed);
            return;
        }
    }
    if (active.streaming) {
        fail(active, 502, reason);
        return;
    }
    if (outcome == Outcome::Failed && active.status != 0 && mayHandOn(active)) {
        answerEndpoint(active);
        return;
    }
    if (notRun && active.runs == 0) {
        refuse(active, quarantined ? Refusal::Quarantined : Refusal::NoCapacity, reason);
        return;
    }
    fail(active, inTime ? 502 : 504, reason);
}

// Of a request that may run once, no status goes on that promises it has not run: the endpoint did
// not say so, and the caller would send it again.
bool DirectRouter::mayHandOn(const Active &active) const
{
    return mayRunAgain(active) || !active.head.promisesNotRun;
}

// Hands on the endpoint's answer as it is.
void DirectRouter::answerEndpoint(Active &active)
{
    HttpReply reply;
    reply.status = active.status;
    reply.contentType.clear();
    reply.headers = dialect_.callerHeaders(active.headers);
    if (stopping_)
        reply.headers.push_back({ "Connection", "close" });
    heldBytes_ -= active.body.size();
    reply.body = std::exchange(active.body, {});
    metrics_.observe("bamboogap_answer_seconds", {}, BootClock::now() - active.arrivedAt);
    logEnd(active, active.status, active.success ? "whole" : "endpoint_failed");
    const ExchangeId id = active.id;
    server_->reply(id, reply);
    erase(id);
}

// Until an endpoint takes requests again that asked for a back-off or named a rate limit.
Duration DirectRouter::untilEndpointTakesRequests(const Active &active) const
{
    const Instant now = BootClock::now();
    const PlacementRequest request = placementRequest(active);
    const Duration backoff = board_.backoffLeft(active.service, now, request.versions);
    const Instant turn = board_.rateLimitedUntil(request, waitingBefore(active), now);
    // Without a share here the caller may meet a router that has one.
    return turn == Instant::max() ? backoff : std::max(backoff, turn - now);
}

Duration DirectRouter::returnTime(const Active &active, Refusal refusal)
{
    ReturnTime time = refusal == Refusal::NoCapacity ? kWhenPlaceFree : kWhenFleetReady;
    if (refusal == Refusal::NoCapacity)
        time.least = std::max(time.least, untilEndpointTakesRequests(active));
    if (stopping_)
        time = kAtOnce;
    return time.least + scaled(time.spread, chance());
}

void DirectRouter::refuse(Active &active, Refusal refusal, std::string_view reason)
{
    switch (refusal) {
    case Refusal::BadRequest:
        replyOwn(active, 400, "invalid_request", reason, std::nullopt);
        return;
    case Refusal::NoRoute:
        replyOwn(active, 404, "no_route", reason, std::nullopt);
        return;
    case Refusal::BadKey:
        replyOwn(active, 401, "unknown_key", reason, std::nullopt);
        return;
    case Refusal::Quarantined:
        replyOwn(active, 503, "quarantined", reason, std::nullopt);
        return;
    case Refusal::NotReady:
    case Refusal::NoCapacity:
        replyOwn(active, 503, "no_capacity", reason, returnTime(active, refusal));
        return;
    }
}

// Ends a request whose fate is not known to be "not run".
void DirectRouter::fail(Active &active, int status, std::string_view reason)
{
    if (!active.streaming) {
        replyOwn(active, status, status == 504 ? "deadline" : "endpoint_broke_off", reason,
                 std::nullopt);
        return;
    }
    logEnd(active, status, reason);
    const ExchangeId id = active.id;
    server_->breakStream(id);
    erase(id);
}

void DirectRouter::replyOwn(Active &active, int status, std::string_view type,
                            std::string_view reason, std::optional<Duration> retryAfter)
{
    HttpReply reply;
    reply.status = status;
    reply.headers = dialect_.refusalHeaders(active.caller.id, retryAfter);
    if (stopping_)
        reply.headers.push_back({ "Connection", "close" });
    reply.body = jsonText({ { "error", { { "type", type }, { "message", reason } } } });
    logEnd(active, status, reason);
    const ExchangeId id = active.id;
    server_->reply(id, reply);
    erase(id);
}

// Of a request that has no room for its body, before the body is read.
HttpReply DirectRouter::refuseBody(const HttpRequest &head)
{
    const auto caller = dialect_.readCaller(head);
    const std::string id = caller ? caller->id : std::string();
    const Duration back = kWhenPlaceFree.least + scaled(kWhenPlaceFree.spread, chance());
    logEvent(LogLevel::Info, "answered",
             { { "request", id }, { "status", "503" }, { "reason", "no room for its body" } });
    metrics_.count("bamboogap_bodies_refused_total");
    HttpReply reply;
    reply.status = 503;
    reply.headers = dialect_.refusalHeaders(id, back);
    reply.body = nlohmann::json {
        { "error", { { "type", "no_capacity" }, { "message", "no room for the body" } } }
    }.dump();
    return reply;
}

void DirectRouter::logEnd(const Active &active, int status, std::string_view reason)
{
    const Instant now = BootClock::now();
    metrics_.count("bamboogap_answers_total",
                   fmt::format("route=\"{}\",status=\"{}\"",
                               active.route ? active.route->name : "none", status));
    logEvent(LogLevel::Info, "answered",
             { { "request", active.caller.id },
               { "route", active.route ? active.route->name : "none" },
               { "status", fmt::to_string(status) },
               { "reason", std::string(reason) },
               { "endpoint", active.endpointId },
               { "sends", fmt::to_string(active.sends) },
               { "runs", fmt::to_string(active.runs) },
               { "first_ms",
                 active.streaming ? millisText(active.firstEventAt - active.arrivedAt) : "-" },
               { "events", fmt::to_string(active.events.events()) },
               { "took_ms", millisText(now - active.arrivedAt) } });
}

} // namespace bamboogap
