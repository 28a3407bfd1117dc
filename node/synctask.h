// A direct router's link to the control replicas.
//
// The router reports its work to every replica it can reach and takes from each
// answer what is newer than what it knows: the deployment, the roster of endpoints, the work of the
// other routers and the suspects. When no replica answers it goes on with what it
// knows; the age of that knowledge is in the status and the metrics.

#ifndef BAMBOOGAP_NODE_SYNCTASK_H
#define BAMBOOGAP_NODE_SYNCTASK_H

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "control/crashsuspects.h"
#include "control/documentpiece.h"
#include "control/suspectlists.h"
#include "fleet/endpointratelimits.h"
#include "fleet/placementlog.h"
#include "fleet/reportlog.h"
#include "fleet/roster.h"
#include "fleet/routertable.h"
#include "fleet/servicedemand.h"
#include "fleet/sharercount.h"
#include "fleet/worksums.h"
#include "node/eventloop.h"
#include "node/peers.h"
#include "routing/answertimes.h"
#include "routing/endpointratelimiter.h"
#include "routing/rolloutgate.h"
#include "routing/routetable.h"
#include "routing/warmupratelimiter.h"

namespace bamboogap {

// An incarnation of an endpoint of which an answer tells something.
struct Incarnation
{
    std::string id;
    int64_t bornMillis = 0;
};

struct SyncSettings
{
    std::string name;
    std::string peerAddress; // where replicas reach this router
    uint64_t incarnation = 0;
    std::string dataCentre;
    std::vector<std::string> seeds; // peers' addresses of replicas
    Duration interval = std::chrono::milliseconds(250);
};

class SyncTask
{
public:
    struct Hooks
    {
        std::function<std::vector<EndpointUse>()> uses;
        // Demand since the last call; null without admission control under shortage.
        std::function<ServiceDemands()> takeDemands;
        std::function<std::vector<PromptPlacement>()> takePlacements;
        std::function<void(std::span<const PromptPlacement>)> learn;
        std::function<const AnswerTimes &()> answerTimes;
        // The longest runs of streams under way, by subject.
        std::function<std::vector<StreamRun>()> streamRuns;
        std::function<Result<RouteTable>(std::string_view)> parseRoutes;
        // Of the rollouts in progress, without the router's names.
        std::function<std::vector<RolloutReport>()> rolloutReports;
        std::function<double()> draw; // a random number in [0, 1)
        // Something of the below has changed.
        std::function<void()> changed;
    };

    SyncTask(EventLoop &loop, Peers &peers, SyncSettings settings, Hooks hooks);

    void start();
    // Tells the replicas that this router ends.
    void leave();
    // Goes to all replicas with the next report.
    void reportLeaving(Incarnation endpoint);
    // Goes to all replicas at once, since each crash that follows costs an engine's batch.
    void reportCrashEvidence(CrashEvidence crash);
    // What an answer to this router said of its endpoint's rate limit. Returns whether a limit has
    // changed.
    bool observeLimit(const LimitObservation &observation);
    const EndpointRateLimits &limits() const { return limits_; }
    // This router's place among those that share the limits.
    const SharePosition &sharePosition() const { return position_; }
    // An endpoint that was reported to have crashed goes on.
    void reportLiving(Incarnation endpoint);
    void setSeeds(std::vector<std::string> seeds);
    // A replica that has just started says where it answers.
    void onReplicaStarted(const std::string &address);

    // The route document for another router that holds version `known`; version 0 if this one
    // holds nothing newer.
    DocumentUpdate documentFor(uint64_t known) { return document_.updateFor(known); }
    const std::shared_ptr<const RouteTable> &table() const { return table_; }
    const std::set<std::string> &dataCentresOut() const { return dataCentresOut_; }
    MergedRoster &roster() { return roster_; }
    RolloutGate &rollouts() { return rollouts_; }
    const RolloutGate &rollouts() const { return rollouts_; }
    const std::vector<EndpointUse> &others() const { return others_; }
    // Demand of all routers together, and when it was told; nothing is told without takeDemands.
    const ServiceDemands &demands() const { return demands_; }
    Instant demandsAt() const { return demandsAt_; }
    FleetPosition fleet() const { return fleet_; }
    // Number of routers that divide the fleet's limits; 0 if unknown.
    uint32_t sharers(Instant now) const { return sharers_.count(now); }
    // Whether replicas in touch with a leader have said so and none has said otherwise.
    bool isFirstProcess() const { return confirmed_ && !hadPredecessor_; }
    SuspicionStatus standingOf(Fingerprint fingerprint) const
    {
        return suspects_.statusOf(fingerprint);
    }

    // True once the router may serve: a replica in touch with a leader has answered
    // and its routes are known, or no such replica was found for a while but some
    // routes are.
    bool isReady(Instant now) const;
    // Since a replica in touch with a leader last answered.
    Duration knowledgeAge(Instant now) const;
    size_t replicasAnswering(Instant now) const;

private:
    struct ReplicaLink
    {
        bool inFlight = false;
        uint64_t attempt = 0; // of the report in flight; others' ends are ignored
        bool reachable = false;
        uint64_t addressToldTo = 0; // the replica's roster epoch that has this router's address
        uint64_t rosterEpoch = 0;
        uint64_t rosterVersion = 0;
        uint64_t suspectsVersion = 0; // of the list of a replica that does not tell changes
        uint64_t quarantinedVersion = 0; // of the replica's sets that this router knows
        uint64_t watchedVersion = 0;
        Instant askedAt {}; // the report in flight, or the last one
        Instant answeredAt {};
        Instant askAgainAt {};
        Duration retryAfter {};
        // Position in leavingEndpoints_ up to which the replica has them.
        uint64_t leavingSent = 0;
        uint64_t evidenceSent = 0; // the same of crashEvidence_
        uint64_t livingSent = 0; // and of livingEndpoints_
        uint64_t limitsSent = 0; // and of limitReports_
        uint64_t limitsVersion = 0; // of the replica's limits, if it is their source
        uint64_t placementsSent = 0; // versions of placements_ that the replica has
        uint64_t placementsVersion = 0; // of others' placements, if it is their source
    };

    void syncAll();
    void syncLinks();
    void syncSoon();
    void syncSource();
    void writeEvidence(const ReplicaLink &link, wire::SyncRequest::Builder request) const;
    void readReplicas(wire::SyncReply::Reader reply);
    void readSuspects(const std::string &address, ReplicaLink &link, wire::SyncReply::Reader reply);
    void writeRollouts(bool isSource, wire::SyncRequest::Builder request) const;
    void readRollouts(const std::string &address, wire::SyncReply::Reader reply, Instant askedAt);
    void confirmRollouts();
    void readLimits(const std::string &address, ReplicaLink &link, wire::SyncReply::Reader reply);
    std::string endpointName(EndpointKey key) const;
    void notePosition(wire::SyncReply::Reader reply, Instant askedAt);
    void takePlacements();
    void sync(const std::string &address);
    void onReply(const std::string &address, ReplicaLink &link, wire::SyncReply::Reader reply);
    void onFailure(const std::string &address, uint64_t attempt, const kj::Exception &problem);
    // One document on its way to this router.
    struct Fetch
    {
        std::string replica; // that told of it
        std::string holder; // router that the replica named; empty: the replica itself is asked
        std::string failedHolder;
        Instant began {};
        unsigned asked = 0;
        bool whole = false; // a difference did not fit

        const std::string &from() const { return holder.empty() ? replica : holder; }
    };
    void fetchRoutes(const std::string &replica);
    void ask(Fetch fetch);
    // Asks the replica again in place of a holder that did not have the document.
    void askReplica(Fetch fetch);
    void onRoutes(Fetch fetch, wire::Node::RoutesResults::Reader answer);
    void endFetch(const Fetch &fetch, std::string_view problem);
    Result<void> install(DocumentUpdate piece, const Fetch &fetch);
    void followReplicas();
    void markLost(Instant now);
    std::vector<std::string> targets() const;
    void chooseSource();

    EventLoop &loop_;
    Peers &peers_;
    SyncSettings settings_;
    Hooks hooks_;
    std::map<std::string, ReplicaLink> links_;
    std::vector<std::string> members_; // of the control group, as last told
    // Replicas that called this router, until one has told it the group's members.
    std::set<std::string> callers_;
    std::shared_ptr<const RouteTable> table_;
    InstalledDocument document_; // that the table was made from
    uint64_t deploymentRevision_ = 0;
    std::set<std::string> dataCentresOut_;
    MergedRoster roster_;
    RolloutGate rollouts_;
    std::vector<EndpointUse> others_;
    ServiceDemands demands_;
    Instant demandsAt_ {};
    FleetPosition fleet_;
    SharerCount sharers_;
    bool hadPredecessor_ = false;
    SuspectLists suspects_;
    ReportLog<Incarnation> leavingEndpoints_;
    ReportLog<CrashEvidence> crashEvidence_;
    ReportLog<Incarnation> livingEndpoints_;
    EndpointRateLimits limits_;
    ReportLog<LimitObservation> limitReports_;
    std::map<EndpointKey, Instant> limitReportedAt_;
    SharePosition position_;
    bool syncSoon_ = false;
    PlacementLog placements_; // of this router, until every replica has them
    std::string sourceOfOthers_; // the replica that tells what the other routers do
    bool fetching_ = false;
    bool leaving_ = false;
    Instant startedAt_ {};
    Instant confirmedAt_ {};
    bool confirmed_ = false; // a replica in touch with a leader has answered
    uint64_t confirmedVersion_ = 0; // of the routes, as it said
};

} // namespace bamboogap

#endif
