// The entry router's task: takes callers' requests, chooses the endpoints to
// try, forwards each request to the owner of one after the other, and gives the
// caller the answer or the reason why there is none.
//
// An owner that refuses has sent nothing, so the next candidate may be tried
// freely. After a failure that may have run, only a request that may be
// repeated is tried again, within the retry budget and only while its caller
// has received nothing.

#ifndef BAMBOOGAP_NODE_ENTRYTASK_H
#define BAMBOOGAP_NODE_ENTRYTASK_H

#include <map>
#include <memory>
#include <string>

#include "node/controlclient.h"
#include "node/forward.h"
#include "node/membertask.h"
#include "node/metrics.h"
#include "node/ownertask.h"
#include "node/refusal.h"
#include "routing/chatrequest.h"
#include "routing/placement.h"
#include "routing/retrybudget.h"

namespace bamboogap {

class EntryTask
{
public:
    EntryTask(EventLoop &loop, const Settings &settings, MemberTask &members, OwnerTask &owner,
              ControlClient &control, Peers &peers, Metrics &metrics);

    // To be set before the first request.
    void setServer(HttpServer *server) { server_ = server; }

    // The handler of the callers' port.
    void handle(ExchangeId exchange, HttpRequest request);

    // Requests that have not ended yet.
    size_t openCount() const { return open_; }

private:
    struct Request;
    class CallerSink;
    using Shared = std::shared_ptr<Request>;

    void listModels(ExchangeId exchange, const HttpRequest &request);
    void startChat(ExchangeId exchange, HttpRequest request);
    void startService(ExchangeId exchange, HttpRequest request);
    bool isRepeatable(const Request &request) const;
    std::optional<Error> obstacle() const;
    void place(Request &request);
    bool mayUse(const ForwardCall &call, std::string_view endpoint) const;

    void run(Shared request);
    kj::Promise<ForwardOutcome> beginCall(Shared request);
    kj::Promise<ForwardOutcome> tryNext(Shared request);
    kj::Promise<ForwardOutcome> tryEndpoint(Shared request, const Candidate &candidate,
                                            bool mayWait);
    kj::Promise<ForwardOutcome> after(Shared request, const Candidate &candidate, bool waited,
                                      ForwardOutcome outcome);
    kj::Promise<void> conclude(Shared request, ForwardOutcome outcome);
    kj::Promise<void> recordCall(Shared request, const ForwardOutcome &outcome);
    void answer(Request &request, const ForwardOutcome &outcome);
    void noteMove(Request &request, const std::string &endpoint);
    void logOutcome(const Request &request, const ForwardOutcome &outcome);
    void refuse(Request &request, const Error &error, RunState ran, Duration retryAfter = {});

    EventLoop &loop_;
    const Settings &settings_;
    MemberTask &members_;
    OwnerTask &owner_;
    ControlClient &control_;
    Peers &peers_;
    Metrics &metrics_;
    HttpServer *server_ = nullptr;
    RetryBudget retries_;
    RequestId idBase_;
    RequestId lastId_ = 0;
    size_t open_ = 0;
};

} // namespace bamboogap

#endif
