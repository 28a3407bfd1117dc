// A control replica of a direct fleet as others see it: it hears endpoints, answers
// routers' reports, and takes operators' orders over HTTP, which it commits itself
// or hands to the leader.

#ifndef BAMBOOGAP_NODE_REPLICAFRONT_H
#define BAMBOOGAP_NODE_REPLICAFRONT_H

#include <map>

#include "base/pausewatch.h"
#include "control/crashsuspects.h"
#include "control/documentpiece.h"
#include "control/fingerprintchanges.h"
#include "control/suspects.h"
#include "fleet/documentdistributor.h"
#include "fleet/endpointratelimits.h"
#include "fleet/placementlog.h"
#include "fleet/replybudget.h"
#include "fleet/roster.h"
#include "fleet/routertable.h"
#include "fleet/servicedemand.h"
#include "fleet/worksums.h"
#include "node/controlserver.h"
#include "node/controltask.h"
#include "node/departurestore.h"
#include "node/dialect.h"
#include "node/fleetmemo.h"
#include "node/httpserver.h"
#include "node/metrics.h"
#include "node/peers.h"
#include "node/rollout/rolloutcontroller.h"
#include "node/rolloutorders.h"
#include "node/startcalls.h"
#include "node/trafficmeter.h"

namespace bamboogap {

class ReplicaFront
{
public:
    struct Settings
    {
        std::string address; // where peers reach this replica
        Duration endpointSilence = std::chrono::seconds(5);
        bool firstStart = false; // of the whole fleet
        double linkBytesPerSecond = 12.5e6;
        bool hasRollouts = false;
    };

    ReplicaFront(EventLoop &loop, Peers &peers, ControlTask &control, const Dialect &dialect,
                 Settings settings, Metrics &metrics, MemoFile memo, DepartureStore departures);

    void start();
    void setServer(HttpServer *server) { server_ = server; }
    // The node that peers call.
    wire::Node::Client makeServer();
    // The control port.
    void handle(ExchangeId exchange, const HttpRequest &request);

    void sync(wire::SyncRequest::Reader request, wire::SyncReply::Builder reply);
    // The newest route document for a router that holds version `known`, or where or when it
    // gets it.
    void giveRoutes(uint64_t known, const DocumentDistributor::Requester &asker,
                    wire::Node::RoutesResults::Builder results);
    // Another replica was told of a departure. Throws unless it is stored here, too.
    kj::Promise<void> noteDeparture(std::string_view endpointId, std::string_view record,
                                    int64_t wallMillis);
    // The work of another replica's group.
    void noteGroup(std::string_view replica, uint32_t routers, std::string_view uses,
                   std::string_view demand);
    // Judges and advances rollouts from now on; without this call counts of them are ignored.
    void runRollouts(RolloutBounds bounds);
    // Counts of rollouts from a router or from another replica.
    void noteRolloutCounts(std::string_view from, std::string_view counts)
    {
        if (rolloutController_)
            rolloutController_->noteCounts(from, counts);
    }
    // What another replica has heard of endpoints.
    void noteRoster(std::string_view replica, const RosterChanges &changes);
    // Lifts a quarantine for the whole fleet. NoLeader if that could not be committed.
    kj::Promise<Result<AppliedAnswer>> liftQuarantine(Fingerprint fingerprint)
    {
        return commit(ClearSuspectCommand { fingerprint, true });
    }
    // Null unless the deployment has rollouts.
    RolloutOrders *rollouts() { return settings_.hasRollouts ? &rollouts_ : nullptr; }
    const RouterTable &routers() const { return routers_; }
    const ReplicaRoster &roster() const { return roster_; }
    TrafficMeter &traffic() { return traffic_; }

private:
    // Endpoint records told in one message, so that a full roster does not hold up the
    // acknowledgements of heartbeats.
    static constexpr size_t kRecordsTold = 64;

    void perform(ExchangeId exchange, const HeartbeatOrder &order, const HttpRequest &request);
    void perform(ExchangeId exchange, const LeaveOrder &order, const HttpRequest &request);
    void perform(ExchangeId exchange, const InstallRoutesOrder &order, const HttpRequest &request);
    void perform(ExchangeId exchange, const ReadRoutesOrder &order, const HttpRequest &request);
    void perform(ExchangeId exchange, const OutageOrder &order, const HttpRequest &request);
    void perform(ExchangeId exchange, const StartRolloutOrder &order, const HttpRequest &request);
    void perform(ExchangeId exchange, const ReadRolloutOrder &order, const HttpRequest &request);

    // Refuses an order that its sender has given up, or may have. Such an order must not take
    // effect: the sender may have sent others since.
    bool refuseAbandoned(ExchangeId exchange, const HttpRequest &request, bool mayUndoLater);
    // Commits a command through the leader, wherever it is. The answer tells whether it was
    // applied.
    kj::Promise<Result<AppliedAnswer>> commit(Command command);
    kj::Promise<Result<CommandAnswer>> commitForAnswer(Command command);
    RolloutOrders::Hooks rolloutHooks();
    kj::Promise<Result<AppliedAnswer>> commitOutage(ExchangeId exchange, OutageOrder order,
                                                    Instant giveUpAt);
    struct Document
    {
        uint64_t version = 0;
        std::string text;
    };
    kj::Promise<Result<Document>> newestDocument();
    void answerCommit(ExchangeId exchange, std::string what,
                      kj::Promise<Result<AppliedAnswer>> committing);
    void reply(ExchangeId exchange, int status, std::string body);
    void replyError(ExchangeId exchange, const Error &error);
    // Acknowledges a departure once a majority of the replicas has it on disk.
    void answerDeparture(ExchangeId exchange, const Departure &departure);
    // Fulfilled with whether so many of them do.
    kj::Promise<bool> shareDeparture(const Departure &departure);
    // Stores a departure on this replica's disk. Throws if that fails.
    kj::Promise<void> storeDeparture(const Departure &departure);
    void storeDepartures();
    void recallDepartures();
    void noteReporter(const std::string &router, wire::SyncRequest::Reader request, Instant now);
    void noteWork(std::string_view router, wire::SyncRequest::Reader request, Instant now);
    // Parts of an answer to a report. Each counts its bytes.
    void writeDeployment(wire::SyncRequest::Reader request, wire::SyncReply::Builder reply);
    void writeRollouts(wire::SyncRequest::Reader request, wire::SyncReply::Builder reply);
    void writePosition(const std::string &router, wire::SyncReply::Builder reply, Instant now);
    void writeEndpoints(wire::SyncRequest::Reader request, wire::SyncReply::Builder reply,
                        Instant now);
    void writeSuspects(wire::SyncRequest::Reader request, wire::SyncReply::Builder reply,
                       Instant now);
    void writeAllSuspects(wire::SyncReply::Builder reply);
    void writeLimits(wire::SyncRequest::Reader request, wire::SyncReply::Builder reply,
                     Instant now);
    void writeDemand(wire::SyncRequest::Reader request, wire::SyncReply::Builder reply,
                     Instant now);
    void writeLoads(const std::string &router, wire::SyncReply::Builder reply, Instant now);
    void writePlacements(const std::string &router, wire::SyncRequest::Reader request,
                         wire::SyncReply::Builder reply, Instant now);
    void shareGroup();
    void noteLeaving(std::string_view router, std::string_view endpointId, int64_t bornMillis);
    void noteEvidence(std::string_view router, wire::SyncRequest::Reader request, Instant now);
    void quarantineSuspects(Instant now);
    void refreshQuarantine();
    void commitQuarantine();
    void liftCommitted(Fingerprint fingerprint);
    void commitCrashes(Fingerprint fingerprint, std::span<const std::string> crashes);
    void noteDeployment();
    // Fulfilled once a route document of this or a higher version is committed, as this replica
    // knows.
    kj::Promise<Result<AppliedAnswer>> whenInstalled(uint64_t version);
    void recallFleet();
    void rememberFleet(Instant now);
    void shareRoster();
    std::vector<EndpointRecord> endpointsToRemember(Instant now) const;
    // That any replica has heard, as far as this one was told.
    std::vector<EndpointRecord> knownEndpoints(Instant now) const;

    EventLoop &loop_;
    Peers &peers_;
    ControlTask &control_;
    const Dialect &dialect_;
    Settings settings_;
    Metrics &metrics_;
    TrafficMeter traffic_;
    PauseWatch pauses_;
    HttpServer *server_ = nullptr;
    ReplicaRoster roster_;
    RouterTable routers_;
    WorkSums work_;
    DemandSums demands_;
    std::set<std::string> groupsInFlight_; // by the replica that is told
    MemoFile memoFile_;
    DepartureStore departures_;
    struct UnstoredDeparture
    {
        Departure departure;
        kj::Own<kj::PromiseFulfiller<void>> stored;
    };
    std::vector<UnstoredDeparture> unstoredDepartures_; // until the next turn of the loop
    StartCalls startCalls_;
    // What the other replicas have heard, for the memo only: routers hear it from them.
    MergedRoster othersRoster_;
    struct RosterShare
    {
        bool inFlight = false;
        uint64_t process = 0; // that was told; 0 before the first answer
        uint64_t version = 0; // up to which it was told
    };
    std::map<std::string, RosterShare> rosterShares_; // by the replica that is told
    // What the memo on the disk holds.
    std::pair<uint64_t, uint64_t> storedRosters_ {}; // versions of the own one and the others'
    std::vector<std::string> storedRouters_;
    bool memoFails_ = false;
    PlacementLog placements_;
    DocumentHistory documents_;
    std::multimap<uint64_t, kj::Own<kj::PromiseFulfiller<Result<AppliedAnswer>>>>
            installsAwaited_; // by version
    DocumentDistributor spread_;
    EndpointRateLimits limits_;
    CrashSuspects crashSuspects_;
    Instant quarantineCheckedAt_ {};
    // Quarantined by the evidence that this process has, with the names of the crashes.
    std::map<Fingerprint, std::vector<std::string>> quarantinedHere_;
    // Quarantined in the log, and so beyond the life of this process; at this version of it.
    std::set<Fingerprint> committedQuarantine_;
    uint64_t committedVersion_ = 0;
    // Told to the routers: these are to be refused,
    FingerprintChanges quarantined_;
    // and answers to these to be reported; told to the routers that have their news from here.
    FingerprintChanges watched_;
    std::unique_ptr<RolloutController> rolloutController_; // null without rollouts
    ReplyBudget replies_;
    RolloutOrders rollouts_;
};

} // namespace bamboogap

#endif
