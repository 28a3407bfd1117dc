// From a caller to an endpoint: reading, placing and sending a request, its timers and
// its end. What comes back is in node/directanswer.cc.

#include "node/directrouter.h"

#include <algorithm>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "base/hash.h"
#include "base/log.h"
#include "node/directrequest.h"
#include "routing/chatrequest.h"

namespace bamboogap {

using detail::keyDigest;
using detail::kLeastRemaining;
using detail::scaled;

namespace {

constexpr uint32_t kLowestPriority = 9;
constexpr Duration kTick = std::chrono::milliseconds(50);
constexpr Duration kCloseIdle = std::chrono::seconds(1);
// A request waits for a cold endpoint's pace this share of its latency goal; what
// waits longer is better told when to come back.
constexpr double kWaitShare = 0.25;
// An idempotent request that was not answered after this share of its goal goes to
// another endpoint, which can then still meet the goal.
constexpr double kPlainAttemptShare = 0.6;
// With admission control an endpoint may hold a request for most of its goal, and a second attempt
// beside it would take the place of another request.
constexpr double kAdmittedAttemptShare = 1.2;
// A resumable stream without an event for this many times its goal goes on elsewhere.
constexpr double kFirstEventGoals = 3;
constexpr double kEventGapGoals = 4;
// An answer of the endpoint itself at the deadline comes before ours.
constexpr Duration kDeadlineSlack = std::chrono::milliseconds(60);
// What a router that has just started does not know yet it is told within this time as a
// rule: a request that waits so long may still meet its goal, one that is told to return does
// not.
constexpr Duration kWaitAtStart = std::chrono::milliseconds(300);
constexpr Duration kStarting = std::chrono::seconds(4);
constexpr Duration kNoRouteTimeout = std::chrono::seconds(30);

// A caller is its workspace: it may have several keys, and they are replaced.
std::vector<Fingerprint> subjectsOf(const HttpRequest &request, const CallerRequest &caller,
                                    std::string_view workspace)
{
    std::vector<Fingerprint> subjects { fingerprintOf(workspace, request.path, request.body) };
    if (caller.model.empty())
        return subjects;
    for (size_t i = 0; i + 1 < caller.prompt.size(); ++i)
        subjects.push_back(partFingerprint(caller.prompt[i].id));
    return subjects;
}

} // namespace

DirectRouter::DirectRouter(EventLoop &loop, const Dialect &dialect, DirectRouterSettings settings,
                           Metrics &metrics)
    : loop_(loop)
    , dialect_(dialect)
    , settings_(std::move(settings))
    , metrics_(metrics)
    , board_(settings_.board)
    , pool_(loop, settings_.pool)
    , random_(std::random_device {}())
{
}

DirectRouter::~DirectRouter() = default;

void DirectRouter::setServer(HttpServer *server)
{
    server_ = server;
    server->setBodyHooks({ [this](const HttpRequest &head) { return importanceOf(head); },
                           [this](const HttpRequest &head) { return refuseBody(head); } });
}

void DirectRouter::start()
{
    startedAt_ = BootClock::now();
    loop_.every(kTick, "place waiting requests", [this] { placeWaiting(); });
    loop_.every(kCloseIdle, "close idle connections", [this] {
        pool_.closeIdle();
        const Instant now = BootClock::now();
        sync_->roster().tick(now);
        onNews();
        metrics_.set("bamboogap_requests_open", {}, double(active_.size()));
        metrics_.set("bamboogap_connections_idle", {}, double(pool_.idleCount()));
        metrics_.set("bamboogap_connections_made", {}, double(pool_.connectionsMade()));
        metrics_.set("bamboogap_knowledge_age_seconds", {},
                     std::chrono::duration<double>(sync_->knowledgeAge(now)).count());
    });
}

void DirectRouter::announceStop(Instant lastCall)
{
    stopping_ = true;
    lastCall_ = lastCall;
    server_->closeIdle();
}

void DirectRouter::onNews()
{
    const Instant now = BootClock::now();
    board_.update(sync_->roster(), sync_->dataCentresOut(), sync_->table().get(), now);
    updateServingVersions(now);
    board_.setOtherUses(sync_->others());
    board_.setFleetPosition(sync_->fleet());
    board_.setRateLimits(sync_->limits(), sync_->sharePosition(), now);
    updateAdmission(now);
    if (!waiting_.empty() && isStarting(now))
        placeWaiting();
}

double DirectRouter::chance()
{
    return std::uniform_real_distribution<double>(0, 1)(random_);
}

void DirectRouter::handle(ExchangeId exchange, HttpRequest request)
{
    auto owned = std::make_unique<Active>();
    Active &active = *owned;
    active.router = this;
    active.id = exchange;
    active.request = std::move(request);
    active.arrivedAt = BootClock::now();
    active_[exchange] = std::move(owned);
    server_->onClosed(exchange, [this, exchange] { onCallerGone(exchange); });
    if (active_.count(exchange) == 0)
        return;
    if (accept(active))
        place(active);
}

// Keeps a request until something may have changed for it, at the latest until `limit`.
void DirectRouter::waitFor(Active &active, Instant limit, std::string_view reason)
{
    if (waiting_.insert(active.id).second) {
        logEvent(LogLevel::Info, "waits",
                 { { "request", active.caller.id },
                   { "reason", std::string(reason) },
                   { "most_ms", fmt::to_string(toMillis(limit - BootClock::now())) } });
    }
    armTimer(active, limit);
}

// A router that has just started is told of routes and endpoints within moments.
bool DirectRouter::isStarting(Instant now) const
{
    return now - startedAt_ < kStarting;
}

// Reads and authorizes the request; false if it was refused or waits for routes.
bool DirectRouter::accept(Active &active)
{
    auto caller = dialect_.readCaller(active.request);
    if (!caller) {
        refuse(active, Refusal::BadRequest, caller.error().message);
        return false;
    }
    active.caller = std::move(*caller);
    active.prompt = chainOf(active.caller.prompt);
    if (active.arrivedAt > lastCall_) {
        refuse(active, Refusal::NotReady, "the router stops");
        return false;
    }
    active.table = sync_->table();
    if (!active.table) {
        constexpr std::string_view kReason = "no routes are known yet";
        const Instant limit = active.arrivedAt + kWaitAtStart;
        if (!stopping_ && BootClock::now() < limit)
            waitFor(active, limit, kReason);
        else
            refuse(active, Refusal::NotReady, kReason);
        return false;
    }
    // The routes of a router that has just started may be older than those in force.
    const bool sure = sync_->isReady(active.arrivedAt);
    active.route = active.table->match(active.caller.host, active.request.pathOnly());
    if (!active.route) {
        refuse(active, sure ? Refusal::NoRoute : Refusal::NotReady,
               "no route matches host and path");
        return false;
    }
    const Route &route = *active.route;
    const Workspace *workspace = active.table->workspaceOfKey(active.caller.accessKey);
    if (active.table->requiresAccessKey() && !route.anonymous && !workspace) {
        refuse(active, sure ? Refusal::BadKey : Refusal::NotReady, "the access key is not known");
        return false;
    }
    active.priority = route.priority;
    if (workspace) {
        active.workspace = workspace->name;
        active.priority = workspace->priority.value_or(route.priority);
    }
    active.service = targetAt(route, chance()).service;
    const ServiceProfile *profile = active.table->service(active.service);
    active.isEngine = profile && profile->engine && !active.caller.model.empty();
    active.isStream = route.repeatability == Repeatability::Stream;
    active.deadline = active.arrivedAt
            + std::min(route.timeout, active.caller.remaining.value_or(kNoRouteTimeout));
    active.waitUntil = active.arrivedAt + scaled(route.latencyGoal, kWaitShare);
    active.subjects = subjectsOf(active.request, active.caller, active.workspace);
    auto retries = retries_.find(active.service);
    if (retries == retries_.end())
        retries = retries_.emplace(active.service,
                                   RetryWindow(settings_.retries,
                                               sync_->isFirstProcess() ? Instant {} : startedAt_))
                          .first;
    retries->second.onRequest(active.arrivedAt);
    return true;
}

// The priority that accept() will give the request; the lowest if it will refuse it.
uint32_t DirectRouter::importanceOf(const HttpRequest &head) const
{
    const auto caller = dialect_.readCaller(head);
    const auto table = sync_->table();
    const Route *route = caller && table ? table->match(caller->host, head.pathOnly()) : nullptr;
    if (!route)
        return kLowestPriority;
    const Workspace *workspace = table->workspaceOfKey(caller->accessKey);
    return workspace ? workspace->priority.value_or(route->priority) : route->priority;
}

std::optional<Fingerprint> DirectRouter::quarantinedSubject(const Active &active) const
{
    for (const Fingerprint subject : active.subjects) {
        if (sync_->standingOf(subject) == SuspicionStatus::Quarantined)
            return subject;
    }
    return std::nullopt;
}

// Logs which subject it is: a quarantine is released by its fingerprint.
bool DirectRouter::isQuarantined(const Active &active) const
{
    const auto subject = quarantinedSubject(active);
    if (subject) {
        logEvent(LogLevel::Info, "request_quarantined",
                 { { "request", active.caller.id },
                   { "fingerprint", fmt::format("{:016x}", *subject) },
                   { "workspace", active.workspace },
                   { "key_digest", keyDigest(active.caller.accessKey) } });
    }
    return subject.has_value();
}

PlacementRequest DirectRouter::placementRequest(const Active &active) const
{
    PlacementRequest request;
    request.service = active.service;
    if (active.isEngine) {
        request.model = active.caller.model;
        request.prompt = active.prompt;
        request.affinity = affinityKey(active.caller.prompt);
        request.promptTokens = active.caller.promptTokens;
    }
    request.dataCentre = settings_.dataCentre;
    request.excluded = &active.tried;
    request.versions = allowedVersions(active, BootClock::now()).last();
    request.preferred = active.preferred;
    return request;
}

void DirectRouter::place(Active &active)
{
    const Instant now = BootClock::now();
    if (active.deadline - now < kLeastRemaining) {
        fail(active, 504, "no time is left");
        return;
    }
    if (isQuarantined(active)) {
        waiting_.erase(active.id);
        refuse(active, Refusal::Quarantined, "endpoints crashed under this request");
        return;
    }
    if (!admit(active))
        return;
    const auto placed = choose(active, now);
    if (placed) {
        waiting_.erase(active.id);
        send(active, *placed);
        return;
    }
    const std::string_view problem = placementProblemName(placed.error());
    Instant limit {};
    if (placed.error() == PlacementProblem::Cold)
        limit = active.waitUntil;
    else if (placed.error() == PlacementProblem::NoEndpoint && isStarting(now))
        limit = active.arrivedAt + kWaitAtStart;
    else if (placed.error() == PlacementProblem::RateLimited) {
        const Instant turn
                = board_.rateLimitedUntil(placementRequest(active), waitingBefore(active), now);
        if (turn <= active.waitUntil)
            limit = turn;
    }
    if (now < limit) {
        waitFor(active, limit, problem);
        return;
    }
    waiting_.erase(active.id);
    refuse(active,
           placed.error() == PlacementProblem::NoEndpoint ? Refusal::NotReady : Refusal::NoCapacity,
           problem);
}

// Requests that wait for the same endpoints and are placed before this one.
size_t DirectRouter::waitingBefore(const Active &active) const
{
    const auto order = [](const Active &of) { return std::pair { of.priority, of.id }; };
    return std::count_if(waiting_.begin(), waiting_.end(), [&](ExchangeId id) {
        const auto found = active_.find(id);
        return found != active_.end() && found->second->service == active.service
                && order(*found->second) < order(active);
    });
}

// The most important first, then the one that came first; with admission control, the one that must
// be answered first.
void DirectRouter::placeWaiting()
{
    std::set<std::tuple<uint32_t, Instant, ExchangeId>> waiting;
    for (auto item = waiting_.begin(); item != waiting_.end();) {
        const auto found = active_.find(*item);
        if (found == active_.end()) {
            item = waiting_.erase(item);
            continue;
        }
        waiting.emplace(found->second->priority,
                        settings_.shortage ? found->second->deadline : Instant {}, *item);
        ++item;
    }
    for (const auto &[priority, deadline, id] : waiting) {
        if (const auto found = active_.find(id); found != active_.end())
            retryWaiting(*found->second);
    }
}

void DirectRouter::retryWaiting(Active &active)
{
    if (active.route || accept(active))
        place(active);
}

void DirectRouter::send(Active &active, const Placement &placement)
{
    const EndpointSelector::EndpointStatus &standing = *board_.find(placement.key);
    const Instant now = BootClock::now();
    active.endpoint = placement.key;
    active.endpointId = standing.id;
    active.endpointBorn = standing.startMillis;
    active.endpointVersion = standing.softwareVersion;
    active.tried.insert(placement.key);
    active.sentAt = now;
    active.unreadTokens = placement.uncachedTokens;
    active.expectedMillis = placement.cost;
    active.hadFirstByte = false;
    active.status = 0;
    active.headers.clear();
    active.head = {};
    active.success = false;
    dropBody(active);
    active.paused = false;
    const bool isFirst = active.sends == 0;
    ++active.sends;
    if (isAdmissionControlled(active.service, active.isEngine))
        admissionOf(active.service).onSent(placement.key, now);

    Dispatch dispatch;
    dispatch.endpointId = active.endpointId;
    dispatch.workspace = active.workspace;
    dispatch.remaining = active.deadline - now;
    if (active.isEngine)
        dispatch.priority = active.priority;
    dispatch.lastEventId = active.streaming ? active.events.lastId() : active.caller.lastEventId;
    active.isResumed = !dispatch.lastEventId.empty();
    dispatch.copyFrom = placement.copyFrom;
    PoolCall call;
    call.address = standing.address;
    call.dataCentre = standing.dataCentre;
    call.method = active.request.method;
    call.path = active.request.path;
    call.headers = dialect_.endpointHeaders(active.request, dispatch);
    call.body = active.request.body;
    call.mayRepeat = mayRunAgain(active);
    logEvent(LogLevel::Info, "placed",
             { { "request", active.caller.id },
               { "route", active.route->name },
               { "routes_version", fmt::to_string(active.table->version()) },
               { "endpoint", active.endpointId },
               { "send", fmt::to_string(active.sends) },
               { "running", fmt::to_string(placement.running) },
               { "prompt", fmt::format("{:x}", affinityKey(active.caller.prompt)) },
               { "tokens", fmt::to_string(active.caller.promptTokens) },
               { "rank", fmt::to_string(placement.rank) },
               { "uncached", fmt::to_string(placement.uncachedTokens) },
               { "copy_from", placement.copyFrom },
               { "cost_ms", fmt::format("{:.1f}", placement.cost) },
               { "candidates", fmt::to_string(placement.candidates) },
               { "knowledge_age_ms", fmt::to_string(toMillis(sync_->knowledgeAge(now))) } });
    board_.onStarted(placement.key, placementRequest(active), placement.uncachedTokens);
    noteSentInRollout(active, isFirst, now);
    const ExchangeId id = active.id;
    CallHooks hooks;
    hooks.onHead = [this, id](int status, std::span<const HttpHeader> headers) {
        return onHead(id, status, headers);
    };
    hooks.onData = [this, id](std::string_view data) { onData(id, data); };
    hooks.onEnd = [this, id](CallEnd end, std::string_view reason) { onEnd(id, end, reason); };
    active.call = pool_.start(call, std::move(hooks));
    armTimer(active, attemptLimit(active));
}

bool DirectRouter::mayRunAgain(const Active &active) const
{
    const Route &route = *active.route;
    return route.repeatability == Repeatability::Idempotent
            || (route.repeatability == Repeatability::Stream && route.resumable);
}

Instant DirectRouter::attemptLimit(const Active &active) const
{
    const Instant last = active.deadline + kDeadlineSlack;
    if (active.paused)
        return last; // the caller's pace, not the endpoint's
    const bool mayMove = mayRunAgain(active) && active.runs + 1 < active.route->maxAttempts;
    if (!mayMove)
        return last;
    const Route &route = *active.route;
    // An endpoint that crashes under an attempt that was given up crashes unseen.
    if (!active.isStream && sync_->standingOf(active.subjects.front()) == SuspicionStatus::Suspect)
        return last;
    if (!active.isStream) {
        const double share = isAdmissionControlled(active.service, active.isEngine)
                ? kAdmittedAttemptShare
                : kPlainAttemptShare;
        return std::min(last, active.sentAt + scaled(route.latencyGoal, share));
    }
    if (active.hadFirstByte)
        return std::min(last, active.lastEventAt + scaled(route.eventGapGoal, kEventGapGoals));
    return std::min(last, active.sentAt + scaled(route.latencyGoal, kFirstEventGoals));
}

void DirectRouter::armTimer(Active &active, Instant at)
{
    if (!active.timer) {
        active.timer = event_new(
                loop_.base(), -1, 0,
                [](evutil_socket_t, short, void *context) {
                    const auto *timed = static_cast<Active *>(context);
                    timed->router->onTimer(timed->id);
                },
                &active);
    }
    const int64_t micros = std::max<int64_t>(
            0,
            std::chrono::duration_cast<std::chrono::microseconds>(at - BootClock::now()).count());
    const timeval delay { micros / 1000000, micros % 1000000 };
    event_add(active.timer, &delay);
}

void DirectRouter::onTimer(ExchangeId id)
{
    const auto found = active_.find(id);
    if (found == active_.end())
        return;
    Active &active = *found->second;
    const Instant now = BootClock::now();
    if (active.call == 0) {
        placeWaiting();
        return;
    }
    if (now < attemptLimit(active)) {
        armTimer(active, attemptLimit(active)); // events came in the meantime
        return;
    }
    pool_.cancel(active.call);
    active.call = 0;
    ++active.runs;
    settle(active, Outcome::Broken, "silent");
    if (now >= active.deadline) {
        fail(active, 504, "the deadline passed");
        return;
    }
    tryAgain(active, Outcome::Broken, "silent");
}

void DirectRouter::onCallerGone(ExchangeId id)
{
    const auto found = active_.find(id);
    if (found == active_.end())
        return;
    Active &active = *found->second;
    if (active.call != 0) {
        pool_.cancel(active.call);
        settle(active, Outcome::Abandoned, "");
    }
    logEnd(active, 0, "the caller left");
    erase(id);
}

void DirectRouter::breakAll()
{
    while (!active_.empty()) {
        Active &active = *active_.begin()->second;
        if (active.call != 0)
            pool_.cancel(active.call);
        active.call = 0;
        if (active.runs == 0 && active.sends == 0)
            refuse(active, Refusal::NotReady, "the router ends");
        else
            fail(active, 502, "the router ends");
    }
}

void DirectRouter::erase(ExchangeId id)
{
    waiting_.erase(id);
    if (const auto found = active_.find(id); found != active_.end())
        removeFromAdmission(*found->second);
    active_.erase(id);
}

} // namespace bamboogap
