// Admission control of one service at one router, for endpoints that are full.
//
// Designed for 6 to 411 routers that each see a small part of a demand of up to several times
// what a few endpoints can serve. Routers tell the replicas their demand by priority and the load
// figures that they read from responses; the sums come back 0.3 to 0.5 s old. From them each
// router computes, in the same way, which part of each priority the endpoints can serve, and
// admits this part of its own requests. A token bucket bounds what a router sends before the sums
// show a change. See docs/design/shortage.md.
//
// The class has no clock and no random source.

#ifndef BAMBOOGAP_ROUTING_SERVICEADMISSION_H
#define BAMBOOGAP_ROUTING_SERVICEADMISSION_H

#include <algorithm>
#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <tuple>
#include <vector>

#include "base/clock.h"
#include "fleet/routertable.h"
#include "fleet/servicedemand.h"
#include "routing/reportedload.h"

namespace bamboogap {

struct ServiceRequest
{
    uint64_t id = 0;
    uint32_t priority = 0; // 0 is the most urgent
    Instant arrivedAt {};
    Instant deadline {};
    Duration latencyGoal {};
    size_t bytes = 0;
    bool single = false; // may be sent only once
};

struct ServiceDecision
{
    enum class Kind { Admit, Wait, Reject };
    Kind kind = Kind::Admit;
    EndpointKey endpoint = 0; // to send an admitted request to
    Instant until {}; // when to ask again about a waiting request
    Duration returnAfter {}; // of a rejected request
};

struct ServiceAdmissionSettings
{
    size_t maxWaiting = 64; // requests
    size_t maxWaitingBytes = 4 << 20;
};

class ServiceAdmission
{
public:
    explicit ServiceAdmission(ServiceAdmissionSettings settings = {})
        : settings_(settings)
    {
    }

    // The endpoints that take requests of the service, with their slots.
    struct EndpointSlots
    {
        EndpointKey key = 0;
        uint32_t slots = 1;
    };
    void setEndpoints(std::span<const EndpointSlots> endpoints);
    bool hasEndpoints() const { return !endpoints_.empty(); }
    // The number of routers, this one included; before the sums are known, each has an equal share.
    void setRouters(uint32_t routers) { routers_ = std::max(1U, routers); }
    // The sums of all routers, this one included.
    void setFleet(const ServiceDemand &sums, Instant now);

    // Counts a request that has just come from a caller; once per request.
    void onArrival(uint32_t priority, Instant now);
    // Decides about a request that was not sent yet. Call it again at `until` for one that waits,
    // in the order of waiting(), with another random number in [0, 1).
    ServiceDecision decide(const ServiceRequest &request, Instant now, double chance);
    // An endpoint for a request that another endpoint rejected or failed; none if all are full as
    // far as this router knows.
    std::optional<EndpointKey> secondEndpoint(const std::set<EndpointKey> &tried, Instant now,
                                              double chance) const;
    // A waiting request was taken from the router in another way.
    void remove(uint64_t id);
    // The waiting requests, the most urgent first.
    std::vector<uint64_t> waiting() const;
    size_t waitingCount() const { return waiting_.size(); }

    // A request was sent to the endpoint.
    void onSent(EndpointKey key, Instant now);
    // A response of the endpoint with load figures; `served` if it served the request, after
    // `latency`.
    void onResponse(EndpointKey key, const std::optional<ReportedLoad> &load, bool served,
                    Duration latency, Instant now);
    void onRejected(EndpointKey key, Instant now);

    // What to report to the replicas: measured since the last call.
    ServiceDemand takeReport(Instant now);

    // Requests per second that the endpoints can take now, for all routers together.
    double admittedPerSecond() const { return admitted_; }
    double share(uint32_t priority) const { return shares_[classOf(priority)]; }

private:
    struct Endpoint
    {
        uint32_t slots = 1;
        double usualPerSecond = 0; // capacity at the usual speed, estimated
        bool measured = false; // by what it served while requests waited there
        double perSecond = 0; // capacity now
        double weight = 0; // requests per second to send there, of the whole fleet
        bool hasFigures = false; // in the last sums
        double fleetWaiting = 0; // as of the last sums
        double slowness = 1; // the same
        std::optional<ReportedLoad> load; // of the last response to this router
        Instant loadAt {};
        Instant rejectedAt {};
        uint32_t sentSinceLoad = 0;
        Instant unansweredSince {};
    };
    using Order = std::tuple<uint32_t, Instant, uint64_t>; // priority, deadline, id

    static size_t classOf(uint32_t priority);
    static Order orderOf(const ServiceRequest &request);
    double initialPerSecond(uint32_t slots) const;
    void adapt(Endpoint &endpoint, const ServiceDemand::Endpoint &sum) const;
    double bucketDepth() const;
    bool hasSums(Instant now) const;
    void updateShares();
    void refill(Instant now);
    void updateOwnRate(Instant now);
    double trend() const;
    double shareNow(size_t at) const;
    bool grant(const ServiceRequest &request, double chance);
    std::optional<EndpointKey> freeEndpoint(Instant now) const;
    bool looksIdle(Instant now) const;
    // A request was sent to an endpoint that has not answered since.
    bool hasUnanswered(Instant now) const;
    bool looksSurging(Instant now) const;
    bool looksFull(Instant now) const;
    std::optional<EndpointKey> choose(Instant now, double chance, Duration goal,
                                      const std::set<EndpointKey> *tried) const;
    bool isFull(const Endpoint &endpoint, Instant now, Duration goal) const;
    ServiceDecision reject(const ServiceRequest &request, Instant now, double chance);

    ServiceAdmissionSettings settings_;
    std::map<EndpointKey, Endpoint> endpoints_;
    ServiceDemand fleet_;
    uint32_t routers_ = 1;
    Instant fleetAt_ {};
    bool hasFleet_ = false;
    Duration work_ {}; // that a request takes in a slot, estimated; zero if unknown
    Duration goal_ {}; // latency goal of the last request
    double admitted_ = 0;
    std::array<double, kPriorityClasses> shares_ {};
    std::array<double, kPriorityClasses> credit_ {};
    bool underused_ = false; // as of the last sums
    double boost_ = 1;
    bool limited_ = false; // the fleet's demand is above what is admitted

    double tokens_ = 1;
    double tokensPerSecond_ = 0;
    Instant refilledAt_ {};

    std::deque<double> ownReports_; // arrivals per second in the last reports
    double ownMean_ = 0; // decayed means of those and of the sums
    double fleetMean_ = 0;
    double ownPerSecond_ = 0; // arrivals at this router, decayed
    Instant ownAt_ {};

    std::map<Order, ServiceRequest> waiting_;
    std::map<uint64_t, Order> orders_;
    size_t waitingBytes_ = 0;

    ServiceDemand measured_; // counts since reportedAt_, not rates
    Instant reportedAt_ {};
    bool reportsFromStart_ = false; // reportedAt_ is the time of the first request
};

} // namespace bamboogap

#endif
