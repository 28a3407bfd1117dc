// The owner's decisions: which request may run on which of the endpoints that
// this router owns, and which waits.
//
// A request runs only while all of these hold, checked at the same moment:
//  - this router owns the endpoint (lease and view), and the endpoint is
//    registered, not leaving, and neither it nor its data centre is out;
//  - its running requests stay within its capacity, its ramp's limit and the
//    load multiple;
//  - at most one suspect request (see control/suspects.h) runs on it.
//
// Every request that was started must be ended by finish(). The pure rules are
// here; sending is the task's part.

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
#include "routing/loadboard.h"
#include "routing/ramp.h"
#include "routing/waitqueue.h"

namespace bamboogap {

struct AdmissionSettings
{
    RampSettings ramp;
    WaitQueueSettings queue;
    // After failing to connect, an endpoint gets nothing for this long.
    Duration connectBackoff = std::chrono::milliseconds(500);
    Duration assumedService = std::chrono::seconds(2); // until one was measured
};

struct Ask
{
    Waiting request;
    std::string endpoint; // the one wanted
    Fingerprint fingerprint = 0;
    bool suspect = false;
    bool mayWait = false;
    // Endpoints that would do as well; asked for each when a place is free.
    std::function<bool(std::string_view endpoint)> suits;
};

enum class AdmitDecision { Run, Wait, Refuse };

struct Admitted
{
    AdmitDecision decision = AdmitDecision::Refuse;
    std::string reason; // of a refusal
    ErrorKind kind = ErrorKind::NoCapacity;
    Duration retryAfter {}; // of a refusal, when coming back may help
};

// What became of waiting requests.
struct QueueNews
{
    struct Start
    {
        RequestId id = 0;
        std::string endpoint;
    };
    struct GivenUp
    {
        RequestId id = 0;
        Admitted refusal;
    };
    std::vector<Start> starts;
    std::vector<GivenUp> givenUp;

    bool empty() const { return starts.empty() && givenUp.empty(); }
};

struct FinishReport
{
    bool completed = false; // a whole answer was given
    bool connectFailed = false; // the endpoint could not be reached
    bool crashed = false; // the endpoint broke off while running it
};

// Tells whether this router may use the endpoint now; the reason if not.
using UsableHook = std::function<std::optional<std::string>(std::string_view endpoint)>;

class Admission
{
public:
    Admission(AdmissionSettings settings, LoadBoard *board, UsableHook mayUse);

    // Follows the register. A new incarnation starts cold; an endpoint taken
    // over from another owner starts at the limit that it reported last, or
    // cold if that is 0.
    void setEndpoint(const Announcement &announcement, uint32_t lastRampLimit);
    void removeEndpoint(std::string_view id);

    Admitted ask(const Ask &ask, Instant now);

    // The first token of a running request arrived.
    void firstToken(RequestId id, Duration latency);

    // Ends a running request; returns the fingerprints that ran beside it if
    // the endpoint crashed, its own first.
    std::vector<Fingerprint> finish(RequestId id, const FinishReport &report, Instant now);

    // The caller of a waiting request went away.
    bool cancelWaiting(RequestId id);

    // Starts what now fits and gives up what cannot make it. To be called after
    // finish(), after news of the fleet and at nextExpiry().
    QueueNews advance(Instant now);
    Instant nextExpiry() const { return queue_.nextExpiry(); }

    uint32_t limitOf(std::string_view endpoint) const;
    uint32_t runningOn(std::string_view endpoint) const;
    size_t waitingCount() const { return queue_.size(); }
    std::vector<OwnLoad> loads(const std::set<std::string> &owned) const;

private:
    struct Endpoint
    {
        Announcement announcement;
        Ramp ramp;
        std::set<RequestId> running;
        size_t suspects = 0;
        Instant backoffUntil {};
    };
    struct Running
    {
        std::string endpoint;
        Fingerprint fingerprint = 0;
        bool suspect = false;
        Instant since {};
    };

    std::optional<std::string> obstacle(std::string_view id, bool suspect, Instant now) const;
    void start(const Ask &ask, std::string_view endpoint, Instant now);
    Duration expectedWait(size_t ahead) const;
    Admitted refuse(std::string reason, ErrorKind kind, Duration retryAfter) const;

    AdmissionSettings settings_;
    LoadBoard *board_;
    UsableHook mayUse_;
    std::map<std::string, Endpoint, std::less<>> endpoints_;
    std::map<RequestId, Running> running_;
    WaitQueue queue_;
    std::map<RequestId, Ask> asks_; // of the waiting
    Duration usualService_;
};

} // namespace bamboogap

#endif
