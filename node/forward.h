// The request that an entry router forwards to an endpoint's owner, and what
// comes back.

#ifndef BAMBOOGAP_NODE_FORWARD_H
#define BAMBOOGAP_NODE_FORWARD_H

#include <string>
#include <vector>

#include "base/clock.h"
#include "base/error.h"
#include "control/suspects.h"
#include "node/httpserver.h"
#include "node/wire.capnp.h"
#include "routing/affinity.h"
#include "routing/waitqueue.h"

namespace bamboogap {

enum class ForwardKind { Chat, Service };

struct ForwardCall
{
    RequestId id = 0;
    ForwardKind kind = ForwardKind::Chat;
    std::string endpoint; // the one wanted
    bool isHome = false; // it is the chat's first choice
    ChatKey chat = 0;
    std::string workspace;
    uint32_t share = 1;
    Priority priority = Priority::Normal;
    Instant startBy {};
    Fingerprint fingerprint = 0;
    bool mayWait = false;
    Allowance use; // of a chat
    std::string service; // of a service call
    std::string method;
    std::string path;
    std::vector<HttpHeader> headers;
    std::string body;
    bool stream = false;
};

enum class ForwardResult {
    Complete,
    NotRun, // not one byte was sent to an endpoint
    Failed, // it was sent, and may have run
};

struct ForwardOutcome
{
    ForwardResult result = ForwardResult::NotRun;
    std::string endpoint; // where it ran
    Error problem; // unless complete
    Duration retryAfter {};
    std::vector<std::string> movedTo; // with NotRun: where the chat ran, newest first
    bool crashed = false;
    Duration waited {};
};

void write(const ForwardCall &call, Instant now, wire::ForwardRequest::Builder builder);
ForwardCall read(wire::ForwardRequest::Reader reader, Instant now);
void write(const ForwardOutcome &outcome, wire::ForwardOutcome::Builder builder);
ForwardOutcome read(wire::ForwardOutcome::Reader reader);

} // namespace bamboogap

#endif
