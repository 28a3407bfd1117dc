// Endpoint selection of a direct router.
//
// Combines the endpoints' state as reported by the replicas (the merged roster), the
// requests that other routers have in flight there, and this router's own requests. For
// engines it selects the endpoint with the lowest expected time to first token, computed
// from the prompt tokens that are not cached there, the pending prefill tokens and the
// running batch. For plain services it selects the better of two random endpoints by load and
// average latency. It is designed for many short requests that share long prompt prefixes,
// while load reports are late and incomplete.
//
// The class has no clock and no random source: callers pass the time, and a random number in
// [0, 1).

#ifndef BAMBOOGAP_ROUTING_ENDPOINTSELECTOR_H
#define BAMBOOGAP_ROUTING_ENDPOINTSELECTOR_H

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/endpointratelimits.h"
#include "fleet/placementlog.h"
#include "fleet/roster.h"
#include "fleet/routertable.h"
#include "fleet/worksums.h"
#include "routing/allowedversions.h"
#include "routing/backoffperiod.h"
#include "routing/endpointhealth.h"
#include "routing/endpointratelimiter.h"
#include "routing/prefixcache.h"
#include "routing/routetable.h"
#include "routing/warmupratelimiter.h"

namespace bamboogap {

struct EndpointSelectorSettings
{
    // An engine's running requests are limited to this multiple of the service's mean plus
    // loadAllowance. The limit is exceeded only if no warm candidate is below it. The bound to
    // keep is twice the mean plus 3; the difference is left for requests that other routers
    // start in the meantime.
    double loadMultiple = 1.7;
    double loadAllowance = 2;
    // Assumed number of prompt tokens that an engine prefills per millisecond; an endpoint's
    // latencyRatio corrects it.
    double prefillTokensPerMilli = 100;
    // Time to first token that each running request adds.
    double millisPerRunningRequest = 2;
    // Weight of the prefill time of shared parts that are not cached: prefilling them again
    // also evicts other prompts and delays the tokens of all requests in the batch.
    double cacheMissPenalty = 4;
    // Smallest number of cached tokens for which an engine copies them from another engine
    // rather than prefilling them again.
    uint32_t minCopyTokens = 256;
    // Largest share of a service's endpoints that may be ejected for failed requests.
    double maxEjectedShare = 0.4;
};

struct PlacementRequest
{
    std::string_view service;
    std::string_view model; // empty for plain services
    std::span<const ChainPart> prompt;
    uint64_t affinity = 0; // of the prompt; see affinityKey()
    uint32_t promptTokens = 0;
    std::string_view dataCentre; // of this router; endpoints elsewhere cost more
    const std::set<EndpointKey> *excluded = nullptr; // endpoints that were tried before
    AllowedVersions versions; // of the endpoints' software
    std::optional<EndpointKey> preferred; // of a plain service; selected if it takes requests
};

enum class PlacementProblem {
    NoEndpoint, // none known, or all are draining, out of service or excluded
    Cold, // only cold endpoints are left, and their warm-up rate limit is used up
    RateLimited, // this router's shares of the limits of all remaining endpoints are used up
    Backoff, // all remaining endpoints asked for a back-off
};

struct Placement
{
    EndpointKey key = 0;
    uint32_t uncachedTokens = 0;
    uint32_t running = 0; // known to run there, without this request
    double cost = 0; // in milliseconds
    size_t rank = 0; // in the prompt's rendezvous order; 0 is its primary endpoint
    size_t candidates = 0; // number of endpoints that could be selected
    // Address of an endpoint from which the selected one can copy cached parts of the prompt
    // that it lacks; empty if no copy is worthwhile.
    std::string copyFrom;
};

class EndpointSelector
{
public:
    struct EndpointStatus
    {
        std::string id;
        std::string address;
        std::string dataCentre;
        std::string service;
        int64_t startMillis = 0;
        uint32_t slots = 1;
        std::vector<ModelOffer> models;
        std::string softwareVersion;
        bool usable = false;
        bool present = false; // alive, possibly draining
        bool dataCentreOut = false;
        Instant coldUntil {};
        Instant knownSince {}; // when the first replica learned of it
        uint32_t running = 0; // requests of this router
        uint32_t pendingTokens = 0; // pending prefill tokens of this router's requests
        uint32_t othersRunning = 0; // requests of all other routers, as last reported
        uint32_t othersPending = 0; // pending prefill tokens of those
        double latencyRatio = 1; // observed over expected time to first token, decayed mean
        double averageMillis = 0; // of plain requests, decayed mean; 0 before the first
        EndpointHealth health;
        BackoffPeriod backoff;
        WarmupRateLimiter warmupLimiter;
        EndpointRateLimiter rateLimiter;
        PrefixCache cache;

        uint32_t load() const { return running + othersRunning; }
    };

    explicit EndpointSelector(EndpointSelectorSettings settings = {});

    // Applies the roster, outages and service profiles. Endpoints of a data centre that
    // returns to service count as cold for the service's warm-up time. The status of an endpoint
    // lasts until another incarnation begins, or the endpoint has left or is no longer in the
    // roster and its back-off is over.
    void update(const MergedRoster &roster, const std::set<std::string> &dataCentresOut,
                const RouteTable *table, Instant now);
    // Sets the requests that all other routers have in flight; endpoints that are not in
    // `uses` have none.
    void setOtherUses(std::span<const EndpointUse> uses);
    void setFleetPosition(FleetPosition fleet) { fleet_ = fleet; }
    // Applies the rate limits that endpoints have named, and this router's shares of them.
    void setRateLimits(const EndpointRateLimits &limits, const SharePosition &position,
                       Instant now);

    // Selects an endpoint for the request and uses its warm-up rate if it is cold, and its rate
    // limit if it has one; chance is a random number in [0, 1). Does not count the request as
    // running: see onStarted().
    tl::expected<Placement, PlacementProblem> place(const PlacementRequest &request, Instant now,
                                                    double chance);

    // A request is sent to the endpoint. pendingTokens is the number of prompt tokens that
    // it is expected to prefill; pass the same number to onFirstToken() and onEnded().
    void onStarted(EndpointKey key, const PlacementRequest &request, uint32_t pendingTokens);
    // The endpoint asked for a back-off. Ignored if the endpoint's current incarnation has
    // another start time.
    void onBackoffRequested(EndpointKey key, int64_t startMillis, Duration duration, Instant now);
    // Time until the first endpoint of a service takes requests again; zero unless all
    // usable endpoints of the versions asked for a back-off.
    Duration backoffLeft(std::string_view service, Instant now,
                         const AllowedVersions &versions = {}) const;
    // When a request that the rate limits leave no endpoint for can be sent, after `ahead` others
    // of the same kind: `now` if some endpoint has no limit, Instant::max() if this router has no
    // share of any limit.
    Instant rateLimitedUntil(const PlacementRequest &request, size_t ahead, Instant now) const;
    // The first token or byte of a response arrived. expectedMillis is Placement::cost.
    void onFirstToken(EndpointKey key, uint32_t pendingTokens, double expectedMillis,
                      Duration latency);
    // A request ended. hadFirstToken is true if onFirstToken() was called for it. Returns
    // true if the outcome ejected the endpoint.
    bool onEnded(EndpointKey key, uint32_t pendingTokens, bool hadFirstToken, Outcome outcome,
                 Duration latency, Instant now);

    std::vector<EndpointUse> ownUses() const;
    // Placements to report to the other routers: prompts that this router sent, since the
    // last call, to endpoints that were not believed to have them cached. Prompts with short
    // shared parts are left out, because a report would cost more than it saves.
    std::vector<PromptPlacement> takePlacements();
    // Applies placements by other routers.
    void addPlacements(std::span<const PromptPlacement> placements);
    const EndpointStatus *find(EndpointKey key) const;
    const std::map<EndpointKey, EndpointStatus> &statuses() const { return statuses_; }
    // Running requests divided by slots, over the usable endpoints of a service and of the
    // versions; 1 if there are none.
    double utilization(std::string_view service, const AllowedVersions &versions = {}) const;

private:
    struct Candidate
    {
        EndpointKey key = 0;
        EndpointStatus *status = nullptr;
        uint32_t uncached = 0;
        double cost = 0;
        bool cold = false;
        bool established = true; // known for long enough to have other routers' prompts cached
        bool holdsPrefix = false; // believed to have the prompt's shared parts cached
    };
    struct CandidateSet
    {
        std::vector<Candidate> candidates;
        bool skippedCold = false; // some were skipped because of their warm-up rate limit
        bool skippedRateLimited = false; // some were skipped because of their rate limit
        bool skippedBackoff = false; // some were skipped because they asked for a back-off
        double maxLoad = 0; // limit on an engine's running requests
    };

    static bool isEligible(EndpointKey key, const EndpointStatus &status,
                           const PlacementRequest &request);
    CandidateSet gatherCandidates(const PlacementRequest &request, Instant now);
    static const Candidate &chooseEngine(const CandidateSet &set);
    static const Candidate &choosePlain(const CandidateSet &set, double chance,
                                        std::optional<EndpointKey> preferred);
    double sustainablePerSecond(const EndpointStatus &status) const;
    bool mayEject(std::string_view service, Instant now) const;
    double peerFailureShare(std::string_view service, EndpointKey excludedKey, Instant now) const;
    // True if the fleet is so large that this router sees a small share of the traffic and
    // knows little of what the endpoints have cached.
    bool seesSmallShare() const { return reportsToTargetOnly(fleet_.routers); }
    void estimateUncached(const PlacementRequest &request,
                          std::vector<Candidate> &candidates) const;
    std::string copySource(const PlacementRequest &request, const Candidate &chosen,
                           std::span<const Candidate> candidates, Instant now) const;
    const EndpointStatus *likelyCacheOwner(const PlacementRequest &request,
                                           const EndpointStatus &excludedStatus, Instant now) const;
    void addCost(Candidate &candidate, const PlacementRequest &request, size_t rank) const;

    EndpointSelectorSettings settings_;
    FleetPosition fleet_;
    std::map<EndpointKey, EndpointStatus> statuses_;
    std::vector<PromptPlacement> placements_;
    std::map<std::string, ServiceProfile, std::less<>> services_;
};

std::string_view placementProblemName(PlacementProblem problem);

} // namespace bamboogap

#endif
