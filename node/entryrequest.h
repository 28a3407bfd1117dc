// One caller's request at the entry router, from its arrival to its answer.

#ifndef BAMBOOGAP_NODE_ENTRYREQUEST_H
#define BAMBOOGAP_NODE_ENTRYREQUEST_H

#include <set>
#include <string>

#include <kj/async.h>

#include "node/entrytask.h"

namespace bamboogap {

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

} // namespace bamboogap

#endif
