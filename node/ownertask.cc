// Admits and runs requests at the owner.

#include "node/ownertask.h"

#include <algorithm>
#include <set>

#include <fmt/format.h>
#include <kj/debug.h>

#include "base/hash.h"
#include "base/log.h"
#include "node/convert.h"

namespace bamboogap {

namespace {

constexpr Duration kStrikeLimit = std::chrono::seconds(5);
// A failure is not held back longer than this for its strikes.
constexpr Duration kStrikeWait = std::chrono::milliseconds(500);
// By then an endpoint that crashed has come back as a new incarnation or gone.
constexpr Duration kCrashReview = std::chrono::seconds(6);
constexpr Duration kResumePause = std::chrono::milliseconds(100);
constexpr Duration kRetryAfterFailure = std::chrono::seconds(1);
constexpr int kHttpTooManyRequests = 429;
constexpr int kHttpServerError = 500;

Error endpointError(EndpointResult result, const std::string &problem)
{
    switch (result) {
    case EndpointResult::NotSent:
        return { ErrorKind::ConnectFailed, problem, "come back shortly" };
    case EndpointResult::Foreign:
    case EndpointResult::Broken:
    case EndpointResult::Whole:
        break;
    }
    return { ErrorKind::BrokenAnswer, problem, "send the request again if it may be repeated" };
}

} // namespace

// One request from its arrival to its outcome.
struct OwnerTask::Run
{
    RunId id = 0; // also its id in the admission
    ForwardCall call;
    wire::AnswerSink::Client sink = nullptr;
    std::string endpoint; // where it runs
    bool admitted = false;
    bool finished = false;
    Instant arrived {};
    Instant started {};
    kj::Own<kj::PromiseFulfiller<AdmissionResult>> waiting;
    // The answer.
    int status = 0;
    std::string contentType;
    bool streaming = false; // parts are handed on as they come
    bool firstSeen = false;
    bool headSent = false;
    std::string body; // of an answer that is not streamed
    EventStream events;
};

OwnerTask::OwnerTask(EventLoop &loop, const Settings &settings, MemberTask &members,
                     ControlClient &control, Metrics &metrics)
    : loop_(loop)
    , settings_(settings)
    , members_(members)
    , control_(control)
    , metrics_(metrics)
    , board_(settings.routing.loadMultiple)
    , admission_(settings.routing.admission, &board_,
                 [this](std::string_view endpoint) { return obstacleTo(endpoint); })
    , affinity_(settings.routing.rememberedChats)
{
}

void OwnerTask::start()
{
    // Ramps and backoffs end without news, so waiting work is looked at often.
    loop_.every(std::chrono::milliseconds(50), "owner", [this] {
        if (admission_.waitingCount() > 0)
            advance();
    });
}

void OwnerTask::onNews(const MemberUpdate &news, const ReportedLoads &reported)
{
    if (news.endpoints || news.lists || news.view || news.ownership)
        followEndpoints();
    followLoads(reported);
    advance();
}

void OwnerTask::followEndpoints()
{
    Member &member = members_.member();
    for (auto item = endpointNames_.begin(); item != endpointNames_.end();) {
        const std::string id = item->second;
        if (member.endpoints().count(id)) {
            ++item;
            continue;
        }
        board_.remove(id);
        admission_.removeEndpoint(id);
        item = endpointNames_.erase(item);
    }
    modelPools_.clear();
    poolNames_.clear();
    for (const auto &[id, endpoint] : member.endpoints()) {
        const Announcement &announcement = endpoint.announcement;
        const std::string pool = announcement.poolName();
        endpointNames_[endpointKey(id)] = id;
        poolNames_[hashBytes(pool)] = pool;
        for (const Offer &offer : announcement.offers)
            modelPools_[offer.model].insert(pool);
        board_.set(id, pool, announcement.capacity, member.usable(id).has_value());
        if (member.owned().count(id))
            admission_.setEndpoint(announcement, endpoint.load.slowStartLimit);
        else
            admission_.removeEndpoint(id);
    }
}

void OwnerTask::followLoads(const ReportedLoads &reported)
{
    Member &member = members_.member();
    std::map<EndpointKey, uint16_t> own;
    for (const OwnLoad &load : reported.loads)
        own[load.key] = load.running;
    for (const auto &[key, id] : endpointNames_) {
        const auto known = member.endpoints().find(id);
        if (known == member.endpoints().end())
            continue;
        const SlotLoad &load = known->second.load;
        const auto ownThen = own.find(key);
        const uint32_t mine = ownThen == own.end() ? 0 : ownThen->second;
        board_.setOthersRunning(id, load.running > mine ? load.running - mine : 0);
        if (member.owned().count(id) == 0)
            board_.setSlowStartLimit(id, load.slowStartLimit);
    }
    for (const PoolLoad &load : member.pools()) {
        const auto pool = poolNames_.find(load.pool);
        if (pool != poolNames_.end())
            board_.setPoolSample(pool->second, load.running);
    }
}

std::vector<std::string> OwnerTask::poolsOfModel(const std::string &model) const
{
    const auto found = modelPools_.find(model);
    if (found == modelPools_.end())
        return {};
    return { found->second.begin(), found->second.end() };
}

std::vector<std::string> OwnerTask::poolsOfService(const std::string &service) const
{
    return { "service/" + service };
}

ReportedLoads OwnerTask::loads()
{
    members_.holdsLease();
    return { admission_.loads(members_.member().owned()), board_.ownPools() };
}

std::optional<std::string> OwnerTask::obstacleTo(std::string_view endpoint)
{
    Member &member = members_.member();
    if (!member.holdsLease(BootClock::now()))
        return "no lease";
    if (!member.owns(endpoint, BootClock::now()))
        return "owned by another router";
    const auto usable = member.usable(endpoint);
    if (!usable)
        return usable.error();
    return std::nullopt;
}

kj::Promise<ForwardOutcome> OwnerTask::forward(ForwardCall call, wire::AnswerSink::Client sink)
{
    auto run = std::make_shared<Run>();
    run->id = ++lastRun_;
    run->call = std::move(call);
    run->sink = kj::mv(sink);
    run->arrived = BootClock::now();
    if (members_.member().suspicionStatusOf(run->call.fingerprint)
        == SuspicionStatus::Quarantined) {
        ForwardOutcome outcome;
        outcome.problem = { ErrorKind::Quarantined, "endpoints crashed under this request",
                            "change the request; operators can release it" };
        return outcome;
    }
    if (run->call.isHome) {
        const std::vector<std::string> places = placesOf(run->call);
        if (!places.empty() && places.front() != run->call.endpoint) {
            ForwardOutcome outcome;
            outcome.movedTo = places;
            outcome.problem = { ErrorKind::NoCapacity, "the chat ran elsewhere since",
                                "ask the owners of those endpoints" };
            return outcome;
        }
    }
    runs_[run->id] = run;
    auto outcome = admit(run);
    // Whatever ends the promise, also a caller that went away, ends the run.
    return outcome.attach(kj::defer([this, run]() {
        finish(*run, {});
        runs_.erase(run->id);
    }));
}

// Where the chat ran, newest first, as far as those endpoints may still be used.
// Empty if it never ran elsewhere than at its first choice.
std::vector<std::string> OwnerTask::placesOf(const ForwardCall &call)
{
    std::vector<std::string> places;
    for (const EndpointKey key : affinity_.find(call.chat)) {
        const auto name = endpointNames_.find(key);
        if (name != endpointNames_.end() && members_.member().usable(name->second))
            places.push_back(name->second);
    }
    return places;
}

// Chats that never went elsewhere take no memory.
void OwnerTask::chatMoved(ChatKey chat, std::string_view home, std::string_view endpoint)
{
    if (!members_.member().owns(home, BootClock::now()))
        return;
    if (affinity_.find(chat).empty()) {
        if (endpoint == home)
            return;
        affinity_.record(chat, endpointKey(home));
    }
    affinity_.record(chat, endpointKey(endpoint));
}

kj::Promise<ForwardOutcome> OwnerTask::admit(std::shared_ptr<Run> run)
{
    const ForwardCall &call = run->call;
    AdmissionRequest ask;
    ask.queueEntry
            = { run->id, call.workspace, call.share, call.priority, call.startBy, run->arrived };
    ask.endpoint = call.endpoint;
    ask.fingerprint = call.fingerprint;
    ask.suspect = members_.member().suspicionStatusOf(call.fingerprint) == SuspicionStatus::Suspect;
    ask.mayWait = call.mayWait;
    ask.acceptsEndpoint = [this, run](std::string_view endpoint) {
        const auto usable = members_.member().usable(endpoint);
        if (!usable)
            return false;
        const Announcement &announcement = (*usable)->announcement;
        if (run->call.kind == ForwardKind::Service)
            return announcement.service == run->call.service;
        Allowance use = run->call.use;
        use.endpoint = endpoint;
        return announcement.offersModel(use.model)
                && members_.member().lists().allows(run->call.workspace, use);
    };
    const AdmissionResult admitted = admission_.admit(ask, run->arrived);
    switch (admitted.decision) {
    case AdmissionDecision::Run:
        run->admitted = true;
        run->endpoint = call.endpoint;
        return execute(run);
    case AdmissionDecision::Reject:
        return refusal(*run, admitted);
    case AdmissionDecision::Wait:
        break;
    }
    metrics_.count("bamboogap_waited_total",
                   fmt::format("priority=\"{}\"", priorityName(call.priority)));
    auto paf = kj::newPromiseAndFulfiller<AdmissionResult>();
    run->waiting = kj::mv(paf.fulfiller);
    scheduleExpiry();
    advance(); // gives up what this one has displaced
    return paf.promise.then([this, run](AdmissionResult later) -> kj::Promise<ForwardOutcome> {
        if (later.decision != AdmissionDecision::Run)
            return refusal(*run, later);
        return execute(run);
    });
}

ForwardOutcome OwnerTask::refusal(const Run &run, const AdmissionResult &refused) const
{
    ForwardOutcome outcome;
    outcome.result = ForwardResult::NotRun;
    outcome.endpoint = run.call.endpoint;
    outcome.problem = { refused.kind, refused.reason, "come back after the time given" };
    outcome.retryAfter = refused.retryAfter;
    outcome.waited = BootClock::now() - run.arrived;
    return outcome;
}

kj::Promise<ForwardOutcome> OwnerTask::execute(std::shared_ptr<Run> run)
{
    run->started = BootClock::now();
    // The last look before the first byte.
    if (const auto obstacle = obstacleTo(run->endpoint)) {
        finish(*run, {});
        return refusal(
                *run,
                { AdmissionDecision::Reject, *obstacle, ErrorKind::NoLease, kRetryAfterFailure });
    }
    return callOnce(run, false)
            .then([this, run](EndpointOutcome outcome) -> kj::Promise<EndpointOutcome> {
                const auto known = members_.member().endpoints().find(run->endpoint);
                const bool resumable = outcome.result == EndpointResult::Broken && run->streaming
                        && run->headSent && known != members_.member().endpoints().end()
                        && known->second.announcement.resumes;
                if (!resumable)
                    return outcome;
                return loop_.sleep(kResumePause).then([this, run]() {
                    run->events.dropPartial();
                    return callOnce(run, true).then([](EndpointOutcome resumed) {
                        // The request itself has been sent before.
                        if (resumed.result == EndpointResult::NotSent)
                            resumed.result = EndpointResult::Broken;
                        return resumed;
                    });
                });
            })
            .then([this, run](EndpointOutcome outcome) {
                return conclude(run, std::move(outcome));
            });
}

kj::Promise<EndpointOutcome> OwnerTask::callOnce(std::shared_ptr<Run> run, bool resume)
{
    const auto known = members_.member().endpoints().find(run->endpoint);
    if (known == members_.member().endpoints().end())
        return EndpointOutcome { EndpointResult::NotSent, 0, {}, "the endpoint has gone" };
    const ForwardCall &call = run->call;
    EndpointRequest request;
    request.address = known->second.announcement.address;
    request.method = call.method;
    request.path = call.path;
    request.headers = call.headers;
    request.headers.push_back(
            { "X-Fencing-Number", fmt::to_string(members_.member().view().epoch) });
    request.headers.push_back({ "X-Priority", std::string(priorityName(call.priority)) });
    request.body = call.body;
    request.requestId = fmt::format("{:016x}", call.id);
    request.mustEcho = known->second.announcement.echoesRequestId;
    request.maySend
            = [this, endpoint = run->endpoint]() { return !obstacleTo(endpoint).has_value(); };
    if (resume) {
        request.method = "POST";
        request.path = "/v1/resume";
        request.body = fmt::format(R"({{"request_id":"{}","from_event":{}}})", request.requestId,
                                   run->events.events());
        logEvent(LogLevel::Info, "stream_resumed",
                 { { "request", request.requestId },
                   { "endpoint", run->endpoint },
                   { "from_event", fmt::to_string(run->events.events()) } });
    }
    return callEndpoint(
            loop_, settings_.endpoint, std::move(request),
            [run](int status, std::string_view contentType) {
                run->status = status;
                run->contentType = contentType;
                run->streaming = run->call.stream && status == 200
                        && contentType.substr(0, 17) == "text/event-stream";
            },
            [this, run](std::string_view data) { return onPart(*run, data); });
}

// Takes a part of the endpoint's answer.
kj::Promise<void> OwnerTask::onPart(Run &run, std::string_view data)
{
    if (!run.streaming) {
        run.body += data;
        if (run.body.size() > settings_.endpoint.maxAnswerBytes)
            return KJ_EXCEPTION(FAILED, "the endpoint's answer is too long");
        return kj::READY_NOW;
    }
    const std::string whole = run.events.feed(data);
    if (run.events.overlong())
        return KJ_EXCEPTION(FAILED, "the endpoint sent an event that is too long");
    if (whole.empty())
        return kj::READY_NOW;
    if (!run.firstSeen) {
        run.firstSeen = true;
        const Duration latency = BootClock::now() - run.started;
        admission_.onFirstToken(run.id, latency);
        metrics_.observe("bamboogap_first_token_seconds", "", latency);
    }
    if (!run.headSent) {
        run.headSent = true;
        auto head = run.sink.headRequest();
        head.setStatus(run.status);
        head.setContentType(run.contentType);
        loop_.detach(head.send().ignoreResult().catch_([](kj::Exception &&) {}), "head");
    }
    auto chunk = run.sink.chunkRequest();
    chunk.setData(toData(whole));
    return chunk.send();
}

kj::Promise<ForwardOutcome> OwnerTask::conclude(std::shared_ptr<Run> run, EndpointOutcome outcome)
{
    ForwardOutcome result;
    result.endpoint = run->endpoint;
    result.waited = run->started - run->arrived;
    const bool refusedByEndpoint = run->call.kind == ForwardKind::Chat
            && (outcome.status == kHttpTooManyRequests || outcome.status >= kHttpServerError);
    const bool whole = outcome.result == EndpointResult::Whole
            && (!run->streaming || run->events.finished());
    if (whole && !refusedByEndpoint) {
        FinishReport report;
        report.completed = true;
        finish(*run, report);
        if (members_.member().suspicionStatusOf(run->call.fingerprint)
            == SuspicionStatus::Suspect) {
            loop_.detach(control_.command(ClearSuspectCommand { run->call.fingerprint, false },
                                          kStrikeLimit)
                                 .ignoreResult(),
                         "absolve");
        }
        metrics_.observe("bamboogap_endpoint_seconds",
                         run->call.kind == ForwardKind::Chat ? "kind=\"chat\"" : "kind=\"service\"",
                         BootClock::now() - run->started);
        result.result = ForwardResult::Complete;
        return handOver(run).then([result]() { return result; });
    }
    FinishReport report;
    report.connectFailed = outcome.result == EndpointResult::NotSent;
    report.crashed = outcome.result == EndpointResult::Broken
            && outcome.problem != "the endpoint fell silent";
    auto struck = finish(*run, report);
    result.result = report.connectFailed ? ForwardResult::NotRun : ForwardResult::Failed;
    result.crashed = report.crashed;
    result.retryAfter = kRetryAfterFailure;
    if (refusedByEndpoint && outcome.result == EndpointResult::Whole) {
        result.problem
                = { ErrorKind::NoCapacity, fmt::format("the endpoint answered {}", outcome.status),
                    "come back after the time given" };
    } else if (outcome.result == EndpointResult::Whole) {
        result.problem = { ErrorKind::BrokenAnswer, "the stream ended before its final event",
                           "send the request again if it may be repeated" };
    } else {
        result.problem = endpointError(outcome.result, outcome.problem);
    }
    if (struck.empty())
        return result;
    return reportCrash(std::move(struck), run->endpoint).then([result]() { return result; });
}

// Gives the rest of the answer to the entry router; done when it has taken all.
kj::Promise<void> OwnerTask::handOver(std::shared_ptr<Run> run)
{
    kj::Promise<void> given = kj::READY_NOW;
    if (!run->streaming) {
        auto head = run->sink.headRequest();
        head.setStatus(run->status);
        head.setContentType(run->contentType);
        auto chunk = run->sink.chunkRequest();
        chunk.setData(toData(run->body));
        given = head.send().ignoreResult().then(
                [chunk = kj::mv(chunk)]() mutable { return chunk.send(); });
    }
    return given.then([run]() { return run->sink.endRequest().send().ignoreResult(); });
}

// Ends the run in the admission, once; a waiting one is taken from the queue.
// Returns the requests that a crash strikes.
std::vector<Fingerprint> OwnerTask::finish(Run &run, const FinishReport &report)
{
    if (run.finished)
        return {};
    run.finished = true;
    if (!run.admitted) {
        admission_.cancelWaiting(run.id);
        return {};
    }
    auto struck = admission_.finish(run.id, report, BootClock::now());
    // Waiting work starts outside of the callback that ended this one.
    loop_.detach(kj::evalLater([this]() { advance(); }), "advance");
    return struck;
}

// Commits the strikes of a crash. The caller learns of the failure when they
// are in force, a few milliseconds later, so that its next try is refused by
// every router if this was the second crash.
kj::Promise<void> OwnerTask::reportCrash(std::vector<Fingerprint> struck, std::string endpoint)
{
    const auto known = members_.member().endpoints().find(endpoint);
    const uint64_t incarnation = known == members_.member().endpoints().end()
            ? 0
            : known->second.announcement.incarnation;
    logEvent(LogLevel::Warning, "endpoint_crashed",
             { { "endpoint", endpoint },
               { "incarnation", fmt::to_string(incarnation) },
               { "requests", fmt::to_string(struck.size()) } });
    metrics_.count("bamboogap_endpoint_crashes_total");
    loop_.detach(loop_.sleep(kCrashReview).then([this, endpoint, incarnation]() {
        reviewCrash(endpoint, incarnation);
    }),
                 "crash review");
    const std::string crash = fmt::format("{}#{}", endpoint, incarnation);
    auto committed
            = control_.command(RecordCrashCommand { std::move(struck), crash, wallClockMillis() },
                               kStrikeLimit)
                      .ignoreResult();
    auto shared = committed.fork();
    auto waited = shared.addBranch().exclusiveJoin(loop_.sleep(kStrikeWait));
    loop_.detach(shared.addBranch(), "strike");
    return waited;
}

// An endpoint that goes on under the same incarnation did not crash: it only
// broke off an answer.
void OwnerTask::reviewCrash(const std::string &endpoint, uint64_t incarnation)
{
    const auto known = members_.member().endpoints().find(endpoint);
    if (known == members_.member().endpoints().end()
        || known->second.announcement.incarnation != incarnation)
        return;
    logEvent(LogLevel::Info, "no_crash", { { "endpoint", endpoint } });
    loop_.detach(
            control_.command(WithdrawCrashCommand { fmt::format("{}#{}", endpoint, incarnation) },
                             kStrikeLimit)
                    .ignoreResult(),
            "retract");
}

void OwnerTask::advance()
{
    const QueueUpdate news = admission_.advance(BootClock::now());
    for (const QueueUpdate::Start &start : news.starts) {
        const auto found = runs_.find(start.id);
        if (found == runs_.end())
            continue;
        found->second->admitted = true;
        found->second->endpoint = start.endpoint;
        found->second->waiting->fulfill({ AdmissionDecision::Run, {}, ErrorKind::NoCapacity, {} });
    }
    for (const QueueUpdate::Rejection &givenUp : news.rejections) {
        const auto found = runs_.find(givenUp.id);
        if (found != runs_.end())
            found->second->waiting->fulfill(kj::cp(givenUp.result));
    }
    scheduleExpiry();
}

// Work that cannot start in time is given up at that moment, not later.
void OwnerTask::scheduleExpiry()
{
    const Instant next = admission_.nextExpiry();
    if (next >= expiryAt_ || next == Instant::max())
        return;
    expiryAt_ = next;
    loop_.detach(loop_.sleep(next - BootClock::now()).then([this, next]() {
        if (expiryAt_ == next)
            expiryAt_ = Instant::max();
        advance();
    }),
                 "expiry");
}

} // namespace bamboogap
