// The state of one request in a direct router; only for the router's own sources.

#ifndef BAMBOOGAP_NODE_DIRECTREQUEST_H
#define BAMBOOGAP_NODE_DIRECTREQUEST_H

#include <fmt/format.h>

#include "base/hash.h"
#include "node/directrouter.h"

namespace bamboogap {

// One request of a caller while it is open here.
struct DirectRouter::Active
{
    DirectRouter *router = nullptr;
    ExchangeId id = 0;
    HttpRequest request;
    CallerRequest caller;
    std::vector<ChainPart> prompt;
    std::shared_ptr<const RouteTable> table; // keeps route alive
    const Route *route = nullptr;
    std::string workspace;
    uint32_t priority = 0;
    std::string service;
    bool isEngine = false;
    bool isStream = false;
    Instant arrivedAt {};
    Instant deadline {};
    Instant waitUntil {}; // for a place
    // The request's fingerprint and those of its prompt's parts, without the last part, which is
    // its own.
    std::vector<Fingerprint> subjects;
    event *timer = nullptr;

    // Admission control under shortage.
    bool countedArrival = false;
    bool admitted = false;
    std::optional<EndpointKey> preferred;

    uint32_t sends = 0;
    uint32_t runs = 0; // sends that an endpoint may have run
    std::set<EndpointKey> tried;

    // The attempt under way.
    CallId call = 0; // 0 if none
    EndpointKey endpoint = 0;
    std::string endpointId;
    int64_t endpointBorn = 0;
    Instant sentAt {};
    uint32_t unreadTokens = 0;
    double expectedMillis = 0;
    bool hadFirstByte = false;
    Instant firstByteAt {};
    std::string endpointVersion; // of its software, when the attempt began
    RolloutGate::Attempt rolloutAttempt;
    bool isResumed = false; // the endpoint goes on with a stream of another one
    int status = 0;
    std::vector<HttpHeader> headers;
    AnswerHead head;
    bool success = false; // status and signature are those of a success
    std::string body;

    // The stream to the caller.
    EventStream events;
    bool streaming = false;
    Instant firstEventAt {};
    Instant lastEventAt {};

    bool paused = false; // the caller does not keep up with the endpoint

    ~Active()
    {
        router->heldBytes_ -= body.size();
        if (timer)
            event_free(timer);
    }
};

namespace detail {

inline Duration scaled(Duration duration, double factor)
{
    return std::chrono::duration_cast<Duration>(duration * factor);
}

// An endpoint given less time than this answers too late for the caller.
inline constexpr Duration kLeastRemaining = std::chrono::milliseconds(5);

// Tells access keys apart in the log without showing them.
inline std::string keyDigest(std::string_view accessKey)
{
    return fmt::format("{:04x}", hashBytes(accessKey) & 0xffff);
}

} // namespace detail

} // namespace bamboogap

#endif
