// Placement by a direct router: which endpoint gets a request.
//
// The board joins what replicas say of endpoints (the merged roster), what other
// routers have under way there, and this router's own requests. For engines it
// picks the endpoint with the least expected time to the first token: prompt
// tokens that are not cached there, prompts that wait there, and the batch that
// runs. For plain services it picks the least loaded. It answers the load pattern of many
// short requests that share long prompt starts, under uneven and late knowledge of
// the load.
//
// Pure: every call takes the time, and chance comes as a number in [0, 1).

#ifndef BAMBOOGAP_ROUTING_ENDPOINTBOARD_H
#define BAMBOOGAP_ROUTING_ENDPOINTBOARD_H

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/placementlog.h"
#include "fleet/roster.h"
#include "fleet/routertable.h"
#include "fleet/worksums.h"
#include "routing/coldpace.h"
#include "routing/endpointhealth.h"
#include "routing/prefixcache.h"
#include "routing/quietperiod.h"
#include "routing/routetable.h"

namespace bamboogap {

struct BoardSettings
{
    // An endpoint takes no more than this multiple of the service's mean load plus
    // the allowance. The bound that must hold is 2 and 3; what other routers do in
    // the meantime needs the difference.
    double loadMultiple = 1.7;
    double loadAllowance = 2;
    // Prompt tokens that an engine reads in a millisecond, before it was observed.
    double readTokensPerMilli = 100;
    // Time to first token that each running request adds, in milliseconds.
    double millisPerRunning = 2;
    // Times the reading time that reading a shared part again costs: it also takes
    // room from other prompts and delays the tokens of all that run beside it.
    double missPenalty = 4;
    // Parts are copied between engines rather than read again from this many tokens.
    uint32_t leastCopiedTokens = 256;
    // At most this share of a service's endpoints is ejected for failed requests.
    double mostEjected = 0.4;
};

struct PlacementRequest
{
    std::string_view service;
    std::string_view model; // empty for plain services
    std::span<const ChainPart> prompt;
    uint64_t affinity = 0; // of the prompt; see affinityKey()
    uint32_t promptTokens = 0;
    std::string_view dataCentre; // of this router; breaks ties
    const std::set<EndpointKey> *avoid = nullptr; // tried already
};

enum class PlacementProblem {
    NoEndpoint, // none announced, or all draining, out of service or tried
    Cold, // only cold endpoints are left and their pace is used up
    Quiet, // all that are left asked for no requests for a while
};

struct Placement
{
    EndpointKey key = 0;
    uint32_t uncachedTokens = 0;
    uint32_t running = 0; // known to run there before this request
    double cost = 0; // milliseconds
    size_t rank = 0; // in the prompt's rendezvous order; 0 is its first choice
    size_t candidates = 0;
    // Address of an endpoint from which the chosen one can copy cached parts of the
    // prompt that it lacks; empty if none is worth it.
    std::string copyFrom;
};

class EndpointBoard
{
public:
    struct Standing
    {
        std::string id;
        std::string address;
        std::string dataCentre;
        std::string service;
        int64_t bornMillis = 0;
        uint32_t slots = 1;
        std::vector<ModelOffer> models;
        bool usable = false;
        bool there = false; // alive, but perhaps draining
        bool out = false; // its data centre is out of service
        Instant coldUntil {};
        Instant knownSince {}; // to any replica
        uint32_t running = 0;
        uint32_t unreadTokens = 0;
        uint32_t othersRunning = 0;
        uint32_t othersUnread = 0;
        double slowness = 1; // observed over expected time, decayed
        double usualMillis = 0; // of plain requests, decayed; 0 before the first
        EndpointHealth health;
        QuietPeriod quiet;
        ColdPace pace;
        PrefixCache cache;

        uint32_t load() const { return running + othersRunning; }
    };

    explicit EndpointBoard(BoardSettings settings = {});

    // Takes over the roster, outages and service profiles. Endpoints whose data
    // centre comes back count as cold for the service's warm-up.
    void update(const MergedRoster &roster, const std::set<std::string> &dataCentresOut,
                const RouteTable *table, Instant now);
    void setOthers(std::span<const EndpointUse> uses);
    void setFleet(FleetSize fleet) { fleet_ = fleet; }

    tl::expected<Placement, PlacementProblem> place(const PlacementRequest &request, Instant now,
                                                    double chance);

    // A request goes to the endpoint now. unreadTokens is what the placement expects
    // it to read there; the same number goes to firstToken() and ended().
    void began(EndpointKey key, const PlacementRequest &request, uint32_t unreadTokens);
    // The endpoint wants no request from this router for so long. Ignored if another
    // incarnation has its place meanwhile.
    void askedForQuiet(EndpointKey key, int64_t bornMillis, Duration duration, Instant now);
    // Until the first endpoint of a service takes requests again; zero unless all that
    // may be used asked for quiet.
    Duration quietLeft(std::string_view service, Instant now) const;
    // Its first token or byte came.
    void firstToken(EndpointKey key, uint32_t unreadTokens, double expectedMillis,
                    Duration latency);
    // It ended. hadFirstToken tells whether firstToken() was called. True if the
    // endpoint was ejected by this.
    bool ended(EndpointKey key, uint32_t unreadTokens, bool hadFirstToken, Outcome outcome,
               Duration latency, Instant now);

    std::vector<EndpointUse> ownUses() const;
    // Prompts that this router placed where it did not believe them to be, since the
    // last call; for the other routers.
    std::vector<PromptPlacement> takePlacements();
    // Placements by other routers.
    void learn(std::span<const PromptPlacement> placements);
    const Standing *find(EndpointKey key) const;
    const std::map<EndpointKey, Standing> &standings() const { return standings_; }
    // Running requests over places, of the usable endpoints of a service.
    double fill(std::string_view service) const;

private:
    struct Candidate
    {
        EndpointKey key = 0;
        Standing *standing = nullptr;
        uint32_t uncached = 0;
        double cost = 0;
        bool cold = false;
        bool settled = true; // known for long enough to hold others' prompts
        bool holds = false; // believed to hold the prompt's shared parts
    };
    struct Gathered
    {
        std::vector<Candidate> candidates;
        bool sawCold = false; // some were left out for their pace
        bool sawQuiet = false; // some were left out since they asked for quiet
        double mostLoad = 0; // the load bound
    };

    Gathered gather(const PlacementRequest &request, Instant now);
    static const Candidate &chooseEngine(const Gathered &gathered);
    static const Candidate &choosePlain(const Gathered &gathered, double chance);
    double bearablePerSecond(const Standing &standing) const;
    bool mayEject(std::string_view service, Instant now) const;
    double peerFailureShare(std::string_view service, EndpointKey except, Instant now) const;
    // Whether this router sees so little of the traffic that its own beliefs about caches
    // are mostly missing.
    bool seesLittle() const { return reportsToTargetOnly(fleet_.routers); }
    void believeCached(const PlacementRequest &request, std::vector<Candidate> &candidates) const;
    std::string copySource(const PlacementRequest &request, const Candidate &chosen,
                           std::span<const Candidate> candidates, Instant now) const;
    const Standing *likelyHolder(const PlacementRequest &request, const Standing &except,
                                 Instant now) const;
    void price(Candidate &candidate, const PlacementRequest &request, size_t rank) const;

    BoardSettings settings_;
    FleetSize fleet_;
    std::map<EndpointKey, Standing> standings_;
    std::vector<PromptPlacement> placements_;
    std::map<std::string, ServiceProfile, std::less<>> services_;
};

std::string_view placementProblemName(PlacementProblem problem);

} // namespace bamboogap

#endif
