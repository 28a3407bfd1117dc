// A caller's chat request, as far as the router has to understand it.

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

// Headers that a caller may send; an empty view stands for an absent one.
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

// What holds for every request of a caller.
struct CallerTerms
{
    std::string workspace;
    Priority priority = Priority::Normal;
    Duration startWithin {}; // it is of no use to start later
    std::string idempotencyKey;
    std::optional<bool> repeatable; // as the caller says
};

struct ChatRequest
{
    CallerTerms terms;
    Allowance use; // model, adapter and version asked for
    ChatKey chat = 0;
    bool returning = false; // the conversation has an answer in it already
    bool stream = false;
    Fingerprint fingerprint = 0;
};

// InvalidRequest or NotPermitted with the header that is wrong.
Result<CallerTerms> parseCallerTerms(const CallerHeaders &headers);

// InvalidRequest with the field that is wrong.
Result<ChatRequest> parseChatRequest(const CallerHeaders &headers, std::string_view body);

// Tells the same request sent again from another one.
Fingerprint fingerprintOf(std::string_view workspace, std::string_view target,
                          std::string_view body);

} // namespace bamboogap

#endif
