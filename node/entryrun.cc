// How the entry router runs a request: one owner after the other, the record of a
// call that must not be repeated, and the answer.

#include <fmt/format.h>
#include <kj/debug.h>

#include "base/log.h"
#include "node/convert.h"
#include "node/entryrequest.h"

namespace bamboogap {

namespace {

// How long the end of a call that must not be repeated may take to commit.
constexpr Duration kRecordLimit = std::chrono::seconds(10);

// A request under which this many endpoints crashed is not tried again.
constexpr int kMostCrashes = 2;

constexpr Duration kMostStartCallWait = std::chrono::seconds(5);

} // namespace

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

void EntryTask::run(Shared request)
{
    if (const auto error = obstacle()) {
        refuse(*request, *error, RunState::NotRun);
        return;
    }
    if (members_.member().suspicionStatusOf(request->call.fingerprint)
        == SuspicionStatus::Quarantined) {
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
    retries_.onFirstAttempt();
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
                case StartDecision::Proceed:
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
