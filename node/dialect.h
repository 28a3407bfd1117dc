// The external interface that a direct fleet speaks, as hooks.
//
// A dialect translates between HTTP messages and the project's own types, and does
// nothing else: it keeps no state and decides nothing. The daemon is given one at
// its start; platform/ holds the one in use.

#ifndef BAMBOOGAP_NODE_DIALECT_H
#define BAMBOOGAP_NODE_DIALECT_H

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/error.h"
#include "fleet/rollout.h"
#include "fleet/roster.h"
#include "node/httpserver.h"
#include "routing/prefixcache.h"
#include "routing/reportedload.h"
#include "routing/routetable.h"

namespace bamboogap {

// What a caller's request says about itself.
struct CallerRequest
{
    std::string id; // of this attempt of the caller
    std::string host;
    std::string accessKey; // empty if there is none
    std::optional<Duration> remaining; // how long the caller will wait
    std::string model; // empty for calls of plain services
    uint32_t promptTokens = 0;
    uint32_t maxOutputTokens = 0;
    std::vector<PrefixPart> prompt;
    std::string lastEventId; // of a stream that the caller resumes
};

// What the router adds to a request when it sends it to an endpoint.
struct Dispatch
{
    std::string_view endpointId; // another endpoint has to refuse the request
    std::string_view workspace; // empty for anonymous requests
    Duration remaining {};
    std::optional<uint32_t> priority; // 0 is the most urgent
    std::string_view lastEventId; // empty unless a stream is resumed
    std::string_view copyFrom; // address of an engine that holds cached parts of the prompt
};

// What an endpoint's answer says beside its status and body.
struct AnswerHead
{
    std::string requestId; // the one it echoes; empty if none
    std::string endpointId; // of the endpoint that answered; empty if not told
    bool isSigned = false; // carries the endpoint's signature
    bool notRun = false; // the endpoint states that it did not run the request
    bool promisesNotRun = false; // a caller takes the status for a promise that it has not run
    bool misdirected = false; // not meant for the endpoint that answered
    bool encoded = false; // the body was encoded on the way
    std::optional<Duration> keepAlive; // idle time after which it closes
    bool leaving = false; // the endpoint is about to end and wants no new requests
    std::optional<Duration> quiet; // the endpoint wants no request for so long
    // Requests per second that the endpoint takes from the whole fleet, while its answers name it.
    std::optional<double> ratePerSecond;
    // The load that the endpoint reports, or the text of figures that could not be read.
    std::optional<ReportedLoad> load;
    std::string unreadableLoad;
    std::string unreadable; // headers whose values were ignored; empty if none
};

// What endpoints and operators ask of the control plane.
struct HeartbeatOrder
{
    EndpointRecord record;
};
struct LeaveOrder
{
    std::string endpointId;
};
struct InstallRoutesOrder
{
    uint64_t version = 0; // of the document in the body, which is valid
};
struct ReadRoutesOrder
{
};
struct OutageOrder
{
    std::string dataCentre;
    bool out = false;
};
struct StartRolloutOrder
{
    std::string service;
    std::string version; // that the service's traffic moves to
    uint64_t durationMillis = 0; // from the order to its deadline
};
struct ReadRolloutOrder
{
    std::string service;
};
using ControlOrder = std::variant<HeartbeatOrder, LeaveOrder, InstallRoutesOrder, ReadRoutesOrder,
                                  OutageOrder, StartRolloutOrder, ReadRolloutOrder>;

struct Dialect
{
    // InvalidRequest names the header that is wrong.
    std::function<Result<CallerRequest>(const HttpRequest &)> readCaller;
    // The headers of a request as it goes to an endpoint.
    std::function<std::vector<HttpHeader>(const HttpRequest &, const Dispatch &)> endpointHeaders;
    std::function<AnswerHead(int status, std::span<const HttpHeader>)> readAnswer;
    // The headers of an endpoint's answer as they go to the caller.
    std::function<std::vector<HttpHeader>(std::span<const HttpHeader>)> callerHeaders;
    // The headers of a refusal or failure of the router itself.
    std::function<std::vector<HttpHeader>(std::string_view requestId,
                                          std::optional<Duration> retryAfter)>
            refusalHeaders;
    std::function<bool(const HttpRequest &)> isReadinessProbe;
    // NotFound if the path is none of the control plane's, InvalidRequest if the
    // content cannot be read.
    std::function<Result<ControlOrder>(const HttpRequest &)> readOrder;
    // Calls that exist only on deployments with rollouts.
    std::function<bool(const HttpRequest &)> isRolloutCall;
    // The body of the answer to a ReadRolloutOrder.
    std::function<std::string(const Rollout &)> rolloutBody;
    // InvalidRequest names the place that is wrong.
    std::function<Result<RouteTable>(std::string_view document)> parseRoutes;
};

} // namespace bamboogap

#endif
