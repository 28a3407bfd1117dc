// Operators' orders of rollouts at a control replica: it commits them through the leader, reads
// the newest state from the leader, and packs what routers are told.
//
// Up to eight orders are outstanding at once, each resent for up to 5 s to any replica; reads are
// a few per second. control/rollouts.h recognizes resent orders.

#ifndef BAMBOOGAP_NODE_ROLLOUTORDERS_H
#define BAMBOOGAP_NODE_ROLLOUTORDERS_H

#include <functional>
#include <set>
#include <string>
#include <vector>

#include "control/rollouts.h"
#include "control/state.h"
#include "node/controltask.h"
#include "node/dialect.h"
#include "node/eventloop.h"
#include "node/peers.h"

namespace bamboogap {

class RolloutOrders
{
public:
    struct Hooks
    {
        // Commits a command through the leader.
        std::function<kj::Promise<Result<CommandAnswer>>(Command)> commit;
        // The newest route document, as operators sent it, from the leader.
        std::function<kj::Promise<Result<std::string>>()> newestDocument;
        std::function<Result<RouteTable>(std::string_view document)> parseRoutes;
    };
    // Whether the sender of an order has given up, or may have.
    using Abandoned = std::function<bool()>;

    RolloutOrders(EventLoop &loop, Peers &peers, ControlTask &control, std::string address,
                  Hooks hooks);

    // What is in the state already is not logged as a change.
    void begin();
    // Commits an order. InvalidRequest if the newest route document has no such service, Conflict
    // if another rollout of the service is in progress, NoLeader or NoCapacity if the order was not
    // committed or may not have been.
    kj::Promise<Result<void>> start(StartRolloutOrder order, Abandoned abandoned);
    // All rollouts, from the leader. NoLeader if it cannot be asked.
    kj::Promise<Result<std::vector<Rollout>>> newest();
    // What a router is told that acts by revision `known`; empty if that is the newest here.
    std::string newsFor(uint64_t known);
    // Writes a log line for each rollout that has changed.
    void logChanges();

private:
    bool isKnownHere(const StartRolloutOrder &order);
    void learnServices(std::string_view document);
    kj::Promise<Result<void>> checkService(const StartRolloutOrder &order);
    kj::Promise<Result<void>> commit(StartRolloutOrder order, uint64_t base, Abandoned abandoned,
                                     Instant giveUpAt);
    uint64_t latestNumber(std::string_view service) const;
    Result<void> outcome(const StartRolloutOrder &order, Rollouts::StartResult result) const;

    EventLoop &loop_;
    Peers &peers_;
    ControlTask &control_;
    std::string address_;
    Hooks hooks_;
    uint64_t servicesVersion_ = 0; // of the route document that services_ is of
    std::set<std::string, std::less<>> services_;
    uint64_t packedRevision_ = 0;
    std::string packed_; // for routers, of packedRevision_
    uint64_t loggedRevision_ = 0;
    uint64_t loggedNumber_ = 0; // highest of a rollout that was logged
};

} // namespace bamboogap

#endif
