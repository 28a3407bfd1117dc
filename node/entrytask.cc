// A caller's request from its arrival to its answer.

#include "node/entrytask.h"

#include <set>

#include <fmt/format.h>
#include <kj/debug.h>
#include <nlohmann/json.hpp>

#include "base/hash.h"
#include "base/log.h"
#include "node/convert.h"

namespace bamboogap {

namespace {

constexpr std::string_view kChatPath = "/v1/chat/completions";
constexpr std::string_view kModelsPath = "/v1/models";
constexpr std::string_view kServicesPrefix = "/services/";

// How long the end of a call that must not be repeated may take to commit.
constexpr Duration kRecordLimit = std::chrono::seconds(10);
// A request under which this many endpoints crashed is not tried again.
constexpr int kMostCrashes = 2;

constexpr Duration kMostStartCallWait = std::chrono::seconds(5);

// Headers that concern one connection or the router itself and are not passed on.
bool isPassedOn(std::string_view name)
{
    static const std::set<std::string, std::less<>> kept { "content-type",    "accept",
                                                           "accept-language", "user-agent",
                                                           "authorization",   "x-workspace",
                                                           "idempotency-key" };
    std::string lower(name);
    for (char &letter : lower)
        letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
    return kept.count(lower) > 0;
}

std::vector<HttpHeader> passedOn(const HttpRequest &request)
{
    std::vector<HttpHeader> headers;
    for (const HttpHeader &header : request.headers) {
        if (isPassedOn(header.name))
            headers.push_back(header);
    }
    return headers;
}

CallerHeaders callerHeaders(const HttpRequest &request)
{
    return { request.header("Authorization"), request.header("X-Workspace"),
             request.header("X-Chat-Id"),     request.header("X-Priority"),
             request.header("X-Deadline-Ms"), request.header("Idempotency-Key"),
             request.header("X-Repeatable") };
}

} // namespace

struct EntryTask::Request
{
    ExchangeId exchange = 0;
    std::string idText;
    ForwardCall call;
    bool returning = false;
    bool repeatable = false;
    std::string idempotencyKey; // of a call that must not be repeated
    std::string attempt;
    bool recorded = false; // its start is committed
    Candidates candidates;
    std::string home;
    std::set<std::string> tried;
    size_t next = 0;
    bool waited = false;
    std::string knownPlace; // where the owner of the first choice said the chat ran last
    bool keptAnswer = false; // the answer of an earlier run is given
    bool mayHaveRun = false; // a try failed after it was sent
    std::string passedOver; // "endpoint:reason" of those that refused
    ForwardOutcome lastRefusal;
    int tries = 0;
    int crashes = 0; // of endpoints under this request
    Instant arrived {};
    bool callerGone = false;
    kj::Maybe<kj::Own<kj::PromiseFulfiller<void>>> cancel;
    // The answer so far.
    int status = 0;
    std::string contentType;
    std::string body;
    bool streamStarted = false;
};

// Receives the answer from the owner.
class EntryTask::CallerSink final : public wire::AnswerSink::Server
{
public:
    CallerSink(EntryTask &task, Shared request)
        : task_(task)
        , request_(std::move(request))
    {
    }

    kj::Promise<void> head(HeadContext context) override
    {
        request_->status = context.getParams().getStatus();
        request_->contentType = toView(context.getParams().getContentType());
        request_->body.clear();
        return kj::READY_NOW;
    }

    kj::Promise<void> chunk(ChunkContext context) override
    {
        const auto data = toView(context.getParams().getData());
        if (!request_->call.stream || request_->status != 200) {
            request_->body += data;
            return kj::READY_NOW;
        }
        if (!request_->streamStarted) {
            request_->streamStarted = true;
            task_.server_->startStream(
                    request_->exchange, request_->status, request_->contentType,
                    { { "X-Request-Id", request_->idText }, { "Cache-Control", "no-cache" } });
            task_.metrics_.observe("bamboogap_first_chunk_seconds", "",
                                   BootClock::now() - request_->arrived);
        }
        return task_.server_->chunk(request_->exchange, data);
    }

    kj::Promise<void> end(EndContext) override { return kj::READY_NOW; }

private:
    EntryTask &task_;
    Shared request_;
};

EntryTask::EntryTask(EventLoop &loop, const Settings &settings, MemberTask &members,
                     OwnerTask &owner, ControlClient &control, Peers &peers, Metrics &metrics)
    : loop_(loop)
    , settings_(settings)
    , members_(members)
    , owner_(owner)
    , control_(control)
    , peers_(peers)
    , metrics_(metrics)
    , retries_(settings.routing.retries)
    , idBase_(combineHashes(hashBytes(members.member().self().name),
                            members.member().self().incarnation))
{
}

void EntryTask::handle(ExchangeId exchange, HttpRequest request)
{
    const std::string path(request.pathOnly());
    if (path == kChatPath) {
        if (request.method == "POST") {
            startChat(exchange, std::move(request));
            return;
        }
    } else if (path == kModelsPath) {
        if (request.method == "GET") {
            listModels(exchange, request);
            return;
        }
    } else if (path.compare(0, kServicesPrefix.size(), kServicesPrefix) == 0) {
        startService(exchange, std::move(request));
        return;
    } else {
        const Error error { ErrorKind::NotFound, fmt::format("there is nothing at {}", path),
                            fmt::format("use {}, {} or {}NAME/...", kChatPath, kModelsPath,
                                        kServicesPrefix) };
        server_->reply(exchange, refusal(error, RunState::NotRun, ""));
        return;
    }
    const Error error { ErrorKind::InvalidRequest,
                        fmt::format("{} does not take {}", path, request.method),
                        path == kChatPath ? "send POST" : "send GET" };
    HttpReply reply = refusal(error, RunState::NotRun, "");
    reply.status = 405;
    server_->reply(exchange, reply);
}

void EntryTask::listModels(ExchangeId exchange, const HttpRequest &request)
{
    const auto terms = parseCallerTerms(callerHeaders(request));
    if (!terms) {
        server_->reply(exchange, refusal(terms.error(), RunState::NotRun, ""));
        return;
    }
    std::set<std::string> models;
    for (const auto &[id, endpoint] : members_.member().endpoints()) {
        for (const Offer &offer : endpoint.announcement.offers) {
            const Allowance use { offer.model, offer.adapter, offer.version, id };
            if (members_.member().lists().allows(terms->workspace, use))
                models.insert(offer.model);
        }
    }
    auto data = nlohmann::json::array();
    for (const std::string &model : models)
        data.push_back({ { "id", model }, { "object", "model" }, { "owned_by", "bamboogap" } });
    HttpReply reply;
    reply.body = nlohmann::json { { "object", "list" }, { "data", data } }.dump();
    server_->reply(exchange, reply);
}

void EntryTask::startChat(ExchangeId exchange, HttpRequest http)
{
    auto request = std::make_shared<Request>();
    request->exchange = exchange;
    request->arrived = BootClock::now();
    request->call.id = combineHashes(idBase_, ++lastId_);
    request->idText = fmt::format("{:016x}", request->call.id);
    metrics_.count("bamboogap_requests_total", "kind=\"chat\"");
    auto parsed = parseChatRequest(callerHeaders(http), http.body);
    if (!parsed) {
        refuse(*request, parsed.error(), RunState::NotRun);
        return;
    }
    const Lists &lists = members_.member().lists();
    if (!lists.allows(parsed->terms.workspace, parsed->use)) {
        refuse(*request,
               { ErrorKind::NotPermitted,
                 fmt::format("workspace '{}' has no plan with model '{}'", parsed->terms.workspace,
                             parsed->use.model),
                 "ask the operators for a plan with this model, or name another one" },
               RunState::NotRun);
        return;
    }
    ForwardCall &call = request->call;
    call.kind = ForwardKind::Chat;
    call.chat = parsed->chat;
    call.workspace = parsed->terms.workspace;
    call.share = lists.customers.at(call.workspace).share;
    call.priority = parsed->terms.priority;
    call.startBy = request->arrived + parsed->terms.startWithin;
    call.fingerprint = parsed->fingerprint;
    call.use = parsed->use;
    call.method = "POST";
    call.path = kChatPath;
    call.headers = passedOn(http);
    call.body = std::move(http.body);
    call.stream = parsed->stream;
    request->returning = parsed->returning;
    request->repeatable = parsed->terms.repeatable.value_or(true);
    if (!request->repeatable && !call.stream)
        request->idempotencyKey = parsed->terms.idempotencyKey;
    run(request);
}

void EntryTask::startService(ExchangeId exchange, HttpRequest http)
{
    auto request = std::make_shared<Request>();
    request->exchange = exchange;
    request->arrived = BootClock::now();
    request->call.id = combineHashes(idBase_, ++lastId_);
    request->idText = fmt::format("{:016x}", request->call.id);
    metrics_.count("bamboogap_requests_total", "kind=\"service\"");
    auto terms = parseCallerTerms(callerHeaders(http));
    if (!terms) {
        refuse(*request, terms.error(), RunState::NotRun);
        return;
    }
    const std::string rest = http.path.substr(kServicesPrefix.size());
    const size_t slash = std::min(rest.find('/'), rest.size());
    ForwardCall &call = request->call;
    call.kind = ForwardKind::Service;
    call.service = rest.substr(0, std::min(slash, rest.find('?')));
    call.path = slash < rest.size() ? rest.substr(slash) : "/";
    call.method = http.method;
    call.workspace = terms->workspace;
    const Lists &lists = members_.member().lists();
    if (!lists.allowsService(call.workspace, call.service)) {
        refuse(*request,
               { ErrorKind::NotPermitted,
                 fmt::format("workspace '{}' has no plan with service '{}'", call.workspace,
                             call.service),
                 "ask the operators for a plan with this service" },
               RunState::NotRun);
        return;
    }
    call.share = lists.customers.at(call.workspace).share;
    call.priority = terms->priority;
    call.startBy = request->arrived + terms->startWithin;
    call.fingerprint = fingerprintOf(call.workspace, call.service + " " + call.method + call.path,
                                     http.body);
    call.headers = passedOn(http);
    call.body = std::move(http.body);
    // Calls of one customer need not meet at one endpoint: spread them.
    call.chat = call.id;
    request->repeatable = isRepeatable(*request) && terms->repeatable.value_or(true);
    if (!request->repeatable)
        request->idempotencyKey = terms->idempotencyKey;
    run(request);
}

// Operators or the service's own announcement say so; else it may not be.
bool EntryTask::isRepeatable(const Request &request) const
{
    const ForwardCall &call = request.call;
    const Member &member = members_.member();
    if (member.lists().isRepeatable(call.service, call.method, call.path))
        return true;
    Lists announced;
    bool anyEndpoint = false;
    for (const auto &[id, endpoint] : member.endpoints()) {
        const Announcement &announcement = endpoint.announcement;
        if (announcement.kind != EndpointKind::Service || announcement.service != call.service)
            continue;
        // Every endpoint of the service has to say so.
        announced.services[call.service] = { announcement.repeatable };
        if (!announced.isRepeatable(call.service, call.method, call.path))
            return false;
        anyEndpoint = true;
    }
    return anyEndpoint;
}

// Why this router cannot route now; nothing if it can.
std::optional<Error> EntryTask::obstacle() const
{
    if (members_.holdsLease())
        return std::nullopt;
    return Error { ErrorKind::NoLease, "this router has no lease from the control group",
                   "come back after the time given; the balancer may choose another router" };
}

bool EntryTask::mayUse(const ForwardCall &call, std::string_view endpoint) const
{
    const Member &member = members_.member();
    const auto usable = member.usable(endpoint);
    if (!usable)
        return false;
    if (call.kind == ForwardKind::Service)
        return (*usable)->announcement.service == call.service;
    for (const Offer &offer : (*usable)->announcement.offers) {
        const bool offered = offer.model == call.use.model
                && (call.use.adapter.empty() || offer.adapter == call.use.adapter)
                && (call.use.version.empty() || offer.version == call.use.version);
        const Allowance use { offer.model, offer.adapter, offer.version, std::string(endpoint) };
        if (offered && member.lists().allows(call.workspace, use))
            return true;
    }
    return false;
}

void EntryTask::place(Request &request)
{
    PlacementAsk ask;
    ask.chat = request.call.chat;
    ask.returning = request.returning;
    const ForwardCall &call = request.call;
    ask.pools = call.kind == ForwardKind::Service ? owner_.poolsOfService(call.service)
                                                  : owner_.poolsOfModel(call.use.model);
    ask.eligible = [this, &request](const BoardEndpoint &endpoint) {
        return mayUse(request.call, endpoint.id);
    };
    request.candidates = placeChat(owner_.board(), settings_.routing.placement, ask);
    if (const Candidate *home = request.candidates.home())
        request.home = home->endpoint;
}

void EntryTask::run(Shared request)
{
    if (const auto error = obstacle()) {
        refuse(*request, *error, RunState::NotRun);
        return;
    }
    if (members_.member().standingOf(request->call.fingerprint) == Standing::Quarantined) {
        refuse(*request,
               { ErrorKind::Quarantined, "endpoints crashed under this request",
                 "change the request; operators can release it" },
               RunState::NotRun);
        return;
    }
    place(*request);
    if (request->candidates.order.empty()) {
        refuse(*request,
               { ErrorKind::NoCapacity, "no endpoint in service may take this request",
                 "come back after the time given" },
               RunState::NotRun);
        return;
    }
    ++open_;
    retries_.onFirstTry();
    auto paf = kj::newPromiseAndFulfiller<void>();
    request->cancel = kj::mv(paf.fulfiller);
    server_->onClosed(request->exchange, [request]() {
        request->callerGone = true;
        // A call that must not be repeated goes on, so that its outcome is known.
        if (!request->repeatable && request->call.kind == ForwardKind::Service)
            return;
        KJ_IF_MAYBE (cancel, request->cancel)
            (*cancel)->fulfill();
    });
    auto cancelled = paf.promise.then([]() {
        ForwardOutcome outcome;
        outcome.result = ForwardResult::Failed;
        outcome.problem = { ErrorKind::BrokenAnswer, "the caller went away", "send it again" };
        return outcome;
    });
    auto served = request->idempotencyKey.empty() ? tryNext(request) : beginCall(request);
    loop_.detach(served.exclusiveJoin(kj::mv(cancelled))
                         .then([this, request](ForwardOutcome outcome) {
                             return conclude(request, std::move(outcome));
                         })
                         .attach(kj::defer([this]() { --open_; })),
                 "request");
}

// Commits the start of a call that must not be repeated, then runs it.
kj::Promise<ForwardOutcome> EntryTask::beginCall(Shared request)
{
    const RouterInfo &self = members_.member().self();
    request->attempt = fmt::format("{}#{}#{}", self.name, self.incarnation, request->idText);
    StartCallCommand command;
    command.name = { request->call.workspace, request->idempotencyKey };
    command.contentHash = request->call.fingerprint;
    command.attempt = request->attempt;
    command.owner = { self.name, self.incarnation };
    command.nowMillis = wallClockMillis();
    const Duration limit = std::min(kMostStartCallWait, request->call.startBy - request->arrived);
    return control_.command(command, limit)
            .then([this, request](Result<CommandAnswer> answer) -> kj::Promise<ForwardOutcome> {
                ForwardOutcome outcome;
                if (!answer) {
                    // The start may still be committed, but this attempt ends
                    // here without having sent anything.
                    request->recorded = true;
                    outcome.problem = answer.error();
                    return outcome;
                }
                const auto *start = std::get_if<StartAnswer>(&*answer);
                const StartDecision decision = start ? start->decision : StartDecision::Unknown;
                switch (decision) {
                case StartDecision::Go:
                    request->recorded = true;
                    return tryNext(request);
                case StartDecision::Answered:
                    request->status = start->reply.status;
                    request->contentType = start->reply.contentType;
                    request->body = start->reply.body;
                    outcome.result = ForwardResult::Complete;
                    request->keptAnswer = true;
                    return outcome;
                case StartDecision::InProgress:
                    outcome.problem = { ErrorKind::CallInProgress,
                                        "another attempt of this call is running",
                                        "ask again with the same key after the time given" };
                    return outcome;
                case StartDecision::AnsweredNotKept:
                    outcome.problem = { ErrorKind::AnswerNotKept,
                                        "the call ran, but its answer was too large to keep",
                                        "ask the service for the result" };
                    return outcome;
                case StartDecision::KeyReused:
                    outcome.problem = { ErrorKind::KeyReused, "this key was used for another call",
                                        "use a new Idempotency-Key for each call" };
                    return outcome;
                case StartDecision::Full:
                    outcome.problem = { ErrorKind::NoCapacity, "no room to record another call",
                                        "come back after the time given" };
                    return outcome;
                case StartDecision::Superseded:
                case StartDecision::Unknown:
                    break;
                }
                outcome.result = ForwardResult::Failed;
                outcome.problem = { ErrorKind::OutcomeUnknown,
                                    "an earlier attempt of this call may have run; it is not "
                                    "run again",
                                    "ask the service whether it ran; use a new key to run it" };
                return outcome;
            });
}

kj::Promise<ForwardOutcome> EntryTask::tryNext(Shared request)
{
    while (request->next < request->candidates.order.size()) {
        const Candidate candidate = request->candidates.order[request->next++];
        if (request->tried.count(candidate.endpoint) == 0)
            return tryEndpoint(request, candidate, false);
    }
    if (request->waited || request->callerGone)
        return request->lastRefusal;
    // Everyone refused: wait at the owner of the first choice.
    request->waited = true;
    return tryEndpoint(request, { request->home, endpointKey(request->home), false }, true);
}

kj::Promise<ForwardOutcome> EntryTask::tryEndpoint(Shared request, const Candidate &candidate,
                                                   bool mayWait)
{
    request->tried.insert(candidate.endpoint);
    const auto known = members_.member().endpoints().find(candidate.endpoint);
    const RouterInfo *owner = known == members_.member().endpoints().end()
            ? nullptr
            : members_.member().ownerOf(known->second);
    ForwardOutcome refused;
    refused.endpoint = candidate.endpoint;
    refused.problem = { ErrorKind::NoCapacity, "the endpoint has gone", "come back shortly" };
    if (!owner || !members_.holdsLease()) {
        if (!members_.holdsLease())
            refused.problem = *obstacle();
        return after(request, candidate, mayWait, refused);
    }
    request->call.endpoint = candidate.endpoint;
    request->call.isHome = candidate.endpoint == request->home && request->knownPlace.empty();
    request->call.mayWait = mayWait;
    ++request->tries;
    const std::string address = owner->address;
    return peers_.ready(address, Lane::Requests)
            .then(
                    [this, request, address]() -> kj::Promise<ForwardOutcome> {
                        auto message = peers_.node(address, Lane::Requests).forwardRequest();
                        write(request->call, BootClock::now(), message.initRequest());
                        message.setSink(kj::heap<CallerSink>(*this, request));
                        return message.send().then(
                                [](auto &&response) { return read(response.getOutcome()); },
                                [](kj::Exception &&) {
                                    ForwardOutcome lost;
                                    lost.result = ForwardResult::Failed;
                                    lost.problem
                                            = { ErrorKind::PeerFailed,
                                                "the owner of the endpoint was lost",
                                                "send the request again if it may be repeated" };
                                    return lost;
                                });
                    },
                    [refused](kj::Exception &&) mutable -> kj::Promise<ForwardOutcome> {
                        refused.problem = { ErrorKind::NoCapacity,
                                            "the owner of the endpoint cannot be reached",
                                            "come back shortly" };
                        return refused;
                    })
            .then([this, request, candidate, mayWait](ForwardOutcome outcome) {
                return after(request, candidate, mayWait, std::move(outcome));
            });
}

// Decides what follows an endpoint's outcome: another candidate, or the end.
kj::Promise<ForwardOutcome> EntryTask::after(Shared request, const Candidate &candidate,
                                             bool waited, ForwardOutcome outcome)
{
    if (outcome.result == ForwardResult::Complete)
        return outcome;
    const bool gone = request->callerGone && request->repeatable;
    // Once the caller has a part of an answer, no other answer may follow it.
    if (outcome.result == ForwardResult::NotRun && request->streamStarted)
        outcome.result = ForwardResult::Failed;
    if (outcome.result == ForwardResult::NotRun) {
        request->passedOver += fmt::format("{}{}:{}", request->passedOver.empty() ? "" : ";",
                                           candidate.endpoint, outcome.problem.message);
        if (!outcome.movedTo.empty()) {
            // The chat's caches are elsewhere; its first choice stays a candidate.
            std::vector<Candidate> places;
            for (const std::string &endpoint : outcome.movedTo)
                places.push_back({ endpoint, endpointKey(endpoint), true });
            places.push_back(candidate);
            auto &order = request->candidates.order;
            order.insert(order.begin() + static_cast<ptrdiff_t>(request->next), places.begin(),
                         places.end());
            request->tried.erase(candidate.endpoint);
            request->knownPlace = outcome.movedTo.front();
            return tryNext(request);
        }
        request->lastRefusal = outcome;
        const bool final = outcome.problem.kind == ErrorKind::Quarantined;
        if (waited || gone || final)
            return outcome;
        return tryNext(request);
    }
    request->mayHaveRun = true;
    request->crashes += outcome.crashed;
    const bool mayRetry = request->crashes < kMostCrashes && request->repeatable
            && !request->streamStarted && !gone;
    if (!mayRetry || !retries_.takeRetry())
        return outcome;
    metrics_.count("bamboogap_retries_total");
    request->passedOver += fmt::format("{}{}:{}", request->passedOver.empty() ? "" : ";",
                                       candidate.endpoint, outcome.problem.message);
    request->lastRefusal = outcome;
    return tryNext(request);
}

kj::Promise<void> EntryTask::conclude(Shared request, ForwardOutcome outcome)
{
    logOutcome(*request, outcome);
    if (!request->recorded) {
        answer(*request, outcome);
        return kj::READY_NOW;
    }
    return recordCall(request, outcome).then([this, request, outcome]() {
        answer(*request, outcome);
    });
}

// Commits how a call that must not be repeated ended. The answer is true
// whether or not this gets through: without it a resend is told that the call
// is running, later that its outcome is unknown, and it is not run again.
kj::Promise<void> EntryTask::recordCall(Shared request, const ForwardOutcome &outcome)
{
    FinishCallCommand command;
    command.name = { request->call.workspace, request->idempotencyKey };
    command.attempt = request->attempt;
    command.nowMillis = wallClockMillis();
    switch (outcome.result) {
    case ForwardResult::Complete:
        command.outcome = CallOutcome::Answered;
        command.reply = { request->status, request->contentType, request->body };
        break;
    case ForwardResult::NotRun:
        command.outcome = CallOutcome::NotRun;
        break;
    case ForwardResult::Failed:
        command.outcome = CallOutcome::Unknown;
        break;
    }
    auto recorded = control_.command(command, kRecordLimit).ignoreResult();
    // A refusal is not held back for its record.
    if (outcome.result != ForwardResult::Complete) {
        loop_.detach(kj::mv(recorded), "record of a call");
        return kj::READY_NOW;
    }
    return recorded;
}

void EntryTask::answer(Request &request, const ForwardOutcome &outcome)
{
    metrics_.observe("bamboogap_request_seconds",
                     request.call.kind == ForwardKind::Chat ? "kind=\"chat\"" : "kind=\"service\"",
                     BootClock::now() - request.arrived);
    if (outcome.result == ForwardResult::Complete) {
        noteMove(request, outcome.endpoint);
        if (request.streamStarted) {
            server_->endStream(request.exchange);
            return;
        }
        HttpReply reply;
        reply.status = request.status;
        reply.contentType = request.contentType;
        reply.body = std::move(request.body);
        reply.headers.push_back({ "X-Request-Id", request.idText });
        reply.headers.push_back({ "X-Endpoint", outcome.endpoint });
        server_->reply(request.exchange, reply);
        return;
    }
    const bool notRun = outcome.result == ForwardResult::NotRun && !request.mayHaveRun;
    const RunState ran = notRun ? RunState::NotRun : RunState::Unknown;
    const RunState state
            = outcome.problem.kind == ErrorKind::AnswerNotKept ? RunState::Complete : ran;
    if (!request.streamStarted) {
        refuse(request, outcome.problem, state, outcome.retryAfter);
        return;
    }
    // The caller has a part of the answer: say that it is not whole, and end
    // the connection without the last chunk.
    const std::string event
            = "data: " + refusalBody(outcome.problem, RunState::Unknown, request.idText) + "\n\n";
    const ExchangeId exchange = request.exchange;
    loop_.detach(
            server_->chunk(exchange, event)
                    .then([this, exchange]() { return server_->flush(exchange); })
                    .then([this, exchange]() { server_->breakStream(exchange); },
                          [this, exchange](kj::Exception &&) { server_->breakStream(exchange); }),
            "broken stream");
}

// Tells the owner of the first choice where the chat runs now.
void EntryTask::noteMove(Request &request, const std::string &endpoint)
{
    const std::string &known = request.knownPlace.empty() ? request.home : request.knownPlace;
    if (request.call.kind != ForwardKind::Chat || endpoint == known)
        return;
    const auto home = members_.member().endpoints().find(request.home);
    if (home == members_.member().endpoints().end())
        return;
    const RouterInfo *owner = members_.member().ownerOf(home->second);
    if (!owner)
        return;
    auto message = peers_.node(owner->address, Lane::Requests).chatMovedRequest();
    message.setChat(request.call.chat);
    message.setHome(request.home);
    message.setEndpoint(endpoint);
    loop_.detach(message.send().ignoreResult().catch_([](kj::Exception &&) {}), "chat moved");
}

void EntryTask::logOutcome(const Request &request, const ForwardOutcome &outcome)
{
    const bool complete = outcome.result == ForwardResult::Complete;
    const char *reason = !complete             ? "none"
            : request.keptAnswer               ? "kept_answer"
            : request.waited                   ? "after_waiting"
            : outcome.endpoint == request.home ? "first_choice"
                                               : "next_choice";
    logEvent(LogLevel::Info, "placement",
             { { "request", request.idText },
               { "workspace", request.call.workspace },
               { "chat", fmt::format("{:016x}", request.call.chat) },
               { "returning", request.returning ? "yes" : "no" },
               { "home", request.home },
               { "endpoint", outcome.endpoint },
               { "reason", reason },
               { "passed_over", request.passedOver },
               { "tries", fmt::to_string(request.tries) },
               { "waited_ms", fmt::to_string(toMillis(outcome.waited)) },
               { "took_ms", fmt::to_string(toMillis(BootClock::now() - request.arrived)) },
               { "outcome",
                 complete ? "complete" : std::string(errorKindName(outcome.problem.kind)) },
               { "problem", complete ? "" : outcome.problem.message } });
}

void EntryTask::refuse(Request &request, const Error &error, RunState ran, Duration retryAfter)
{
    metrics_.count("bamboogap_refusals_total",
                   fmt::format("type=\"{}\"", errorKindName(error.kind)));
    server_->reply(request.exchange, refusal(error, ran, request.idText, retryAfter));
}

} // namespace bamboogap
