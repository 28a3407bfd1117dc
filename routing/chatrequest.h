// The fields of a caller's chat request that the router uses.

#ifndef BAMBOOGAP_ROUTING_CHATREQUEST_H
#define BAMBOOGAP_ROUTING_CHATREQUEST_H

#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "base/error.h"
#include "control/lists.h"
#include "control/suspects.h"
#include "routing/affinity.h"
#include "routing/waitqueue.h"

namespace bamboogap {

// Request headers of the router's interface; a view is empty if the header is absent.
struct CallerHeaders
{
    std::string_view authorization;
    std::string_view workspace;
    std::string_view chat;
    std::string_view priority;
    std::string_view deadlineMillis;
    std::string_view idempotencyKey;
    std::string_view repeatable;
};

// Options that apply to every kind of request.
struct RequestOptions
{
    std::string workspace;
    Priority priority = Priority::Normal;
    Duration startWithin {}; // longest time before the request has to start
    std::string idempotencyKey;
    std::optional<bool> repeatable; // as stated by the caller
};

struct ChatRequest
{
    RequestOptions options;
    Allowance use; // the requested model, adapter and version
    ChatKey chat = 0;
    bool returning = false; // the conversation already has a message of the assistant
    bool stream = false;
    Fingerprint fingerprint = 0;
};

// InvalidRequest or NotPermitted; the message names the header.
Result<RequestOptions> parseRequestOptions(const CallerHeaders &headers);

// InvalidRequest or NotPermitted; the message names the header or the body field.
Result<ChatRequest> parseChatRequest(const CallerHeaders &headers, std::string_view body);

// Hash that identifies a request: equal for the same request sent again.
Fingerprint fingerprintOf(std::string_view workspace, std::string_view target,
                          std::string_view body);

} // namespace bamboogap

#endif
