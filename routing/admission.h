// Admission control at the owner of endpoints: decides which request may run on an endpoint
// that this router owns, and which requests wait.
//
// A request is started only if all of these conditions hold at the same moment:
//  - this router owns the endpoint (lease and view), and the endpoint is
//    registered, not leaving, and neither it nor its data centre is out of
//    service;
//  - the endpoint is not in back-off after a failed connection attempt or a
//    crash (see connectBackoff);
//  - the number of running requests, this one included, is within the
//    endpoint's capacity, its slow-start limit and the load multiple;
//  - at most one suspect request (see control/suspects.h) runs on it.
//
// Every request that was started must be ended by finish(). This class only decides; the
// caller sends the requests.

#ifndef BAMBOOGAP_ROUTING_ADMISSION_H
#define BAMBOOGAP_ROUTING_ADMISSION_H

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "control/suspects.h"
#include "fleet/heartbeat.h"
#include "routing/loadtable.h"
#include "routing/slowstart.h"
#include "routing/waitqueue.h"

namespace bamboogap {

struct AdmissionSettings
{
    SlowStartSettings slowStart;
    WaitQueueSettings queue;
    // Time for which an endpoint gets no requests after a failed connection attempt or a
    // crash.
    Duration connectBackoff = std::chrono::milliseconds(500);
    Duration initialServiceTime = std::chrono::seconds(2); // estimate before any was measured
};

struct AdmissionRequest
{
    QueueEntry queueEntry;
    std::string endpoint; // the preferred one
    Fingerprint fingerprint = 0;
    bool suspect = false;
    bool mayWait = false;
    // Whether another endpoint may run the request; called for each endpoint with a free
    // slot.
    std::function<bool(std::string_view endpoint)> acceptsEndpoint;
};

enum class AdmissionDecision { Run, Wait, Reject };

struct AdmissionResult
{
    AdmissionDecision decision = AdmissionDecision::Reject;
    std::string reason; // why the request was rejected or has to wait
    ErrorKind kind = ErrorKind::NoCapacity; // of a rejection
    Duration retryAfter {}; // set for rejections
};

// Waiting requests that advance() started or rejected.
struct QueueUpdate
{
    struct Start
    {
        RequestId id = 0;
        std::string endpoint;
    };
    struct Rejection
    {
        RequestId id = 0;
        AdmissionResult result;
    };
    std::vector<Start> starts;
    std::vector<Rejection> rejections;

    bool empty() const { return starts.empty() && rejections.empty(); }
};

struct FinishReport
{
    bool completed = false; // the complete response was delivered
    bool connectFailed = false;
    bool crashed = false; // the endpoint dropped the connection while it ran the request
};

// Returns why this router must not use the endpoint now, or nothing if it may.
using EndpointCheck = std::function<std::optional<std::string>(std::string_view endpoint)>;

class Admission
{
public:
    Admission(AdmissionSettings settings, LoadTable *loadTable, EndpointCheck checkEndpoint);

    // Adds or updates a registered endpoint. A new incarnation starts at its cold capacity.
    // An endpoint taken over from another owner starts at lastSlowStartLimit, the limit that
    // the owner reported last, or at its cold capacity if that is 0 or the endpoint reports
    // that it is cold.
    void setEndpoint(const Announcement &announcement, uint32_t lastSlowStartLimit);
    // Has no effect while requests run on the endpoint.
    void removeEndpoint(std::string_view id);

    AdmissionResult admit(const AdmissionRequest &request, Instant now);

    void onFirstToken(RequestId id, Duration latency);

    // Ends a running request. If the endpoint crashed, returns the fingerprints of this
    // request and of all requests that ran on the endpoint at the same time, this one first;
    // otherwise nothing.
    std::vector<Fingerprint> finish(RequestId id, const FinishReport &report, Instant now);

    // Removes a waiting request whose caller disconnected. False if it was not waiting.
    bool cancelWaiting(RequestId id);

    // Starts the waiting requests for which a slot is free and rejects those that cannot
    // start before their deadline. To be called after finish(), after each update of the
    // fleet's state and at nextExpiry().
    QueueUpdate advance(Instant now);
    Instant nextExpiry() const { return queue_.nextExpiry(); }

    uint32_t limitOf(std::string_view endpoint) const;
    uint32_t runningOn(std::string_view endpoint) const;
    size_t waitingCount() const { return queue_.size(); }
    std::vector<OwnLoad> loads(const std::set<std::string> &owned) const;

private:
    struct Endpoint
    {
        Announcement announcement;
        SlowStart slowStart;
        std::set<RequestId> running;
        size_t runningSuspects = 0;
        Instant backoffUntil {};
    };
    struct Running
    {
        std::string endpoint;
        Fingerprint fingerprint = 0;
        bool suspect = false;
        Instant since {};
    };

    std::optional<std::string> rejectionReason(std::string_view id, bool suspect,
                                               Instant now) const;
    void start(const AdmissionRequest &request, std::string_view endpoint, Instant now);
    Duration expectedWait(size_t ahead) const;
    AdmissionResult reject(std::string reason, ErrorKind kind, Duration retryAfter) const;

    AdmissionSettings settings_;
    LoadTable *loadTable_;
    EndpointCheck checkEndpoint_;
    std::map<std::string, Endpoint, std::less<>> endpoints_;
    std::map<RequestId, Running> running_;
    WaitQueue queue_;
    std::map<RequestId, AdmissionRequest> waitingRequests_;
    Duration averageServiceTime_;
};

} // namespace bamboogap

#endif
