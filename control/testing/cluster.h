// Simulates a control group over a network that drops, duplicates, delays and reorders messages.
// Each replica has its own clock rate and a FakeDisk.
//
// It drives the same Raft, LogStore and ControlState as the daemon, in the same order: store,
// send, apply.

#ifndef BAMBOOGAP_CONTROL_TESTING_CLUSTER_H
#define BAMBOOGAP_CONTROL_TESTING_CLUSTER_H

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <vector>

#include "control/compaction.h"
#include "control/logstore.h"
#include "control/membership.h"
#include "control/raft.h"
#include "control/state.h"
#include "control/testing/fakedisk.h"

namespace bamboogap {

class Cluster
{
public:
    struct Node
    {
        std::string name;
        FakeDisk disk;
        std::unique_ptr<LogStore> store;
        std::unique_ptr<Raft> raft;
        ControlState state;
        LogIndex applied = 0;
        size_t bytesSinceSnapshot = 0; // of applied entries
        MembershipManager membershipManager;
        double clockRate = 1.0; // relative to simulated time
        bool frozen = false;
        std::vector<RaftMessage> queuedWhileFrozen;
        // Results of applied commands and the terms of their entries, by index.
        std::map<LogIndex, std::pair<Term, CommandAnswer>> answers;
    };

    struct Faults
    {
        double dropProbability = 0.0;
        double duplicateProbability = 0.0;
        Duration maxDelay = std::chrono::milliseconds(20);
        // Bandwidth of each node's outgoing link, which sends messages one by one; 0: unlimited.
        double linkBytesPerSecond = 0;
        // A message that would wait for its sender's link and pass it for longer is dropped.
        Duration maxLinkDelay = std::chrono::seconds(1);
    };

    Cluster(size_t size, uint64_t seed)
        : random_(seed)
    {
        for (size_t i = 0; i < size; ++i)
            addNode();
    }

    // Starts a replica with an empty disk and returns its index.
    size_t addNode()
    {
        const size_t i = nodes.size();
        auto node = std::make_unique<Node>();
        node->name = "replica-" + std::to_string(i);
        std::uniform_real_distribution<double> drift(1.0 - timing.maxDrift / 2,
                                                     1.0 + timing.maxDrift / 2);
        node->clockRate = drift(random_);
        nodes.push_back(std::move(node));
        start(i);
        return i;
    }

    void bootstrap(size_t i, const Founding &founding)
    {
        (void)nodes[i]->raft->bootstrap(founding, localNow(*nodes[i]));
        processOutput(i);
    }

    // Founds a group at the first replica with all of them.
    void bootstrap()
    {
        Founding founding;
        for (const auto &node : nodes)
            founding.members.members.push_back({ node->raft->id(), node->name, "", true });
        bootstrap(0, founding);
    }

    // Founds a group and returns whether all replicas are voters within 20 s.
    bool formGroup()
    {
        bootstrap();
        return runUntil([this] { return committedVoters() == nodes.size(); },
                        std::chrono::seconds(20));
    }

    // Returns the number of voters; 0 without a leader or while a membership change is not
    // committed.
    size_t committedVoters()
    {
        const auto leaderIndex = leader();
        if (!leaderIndex || !nodes[*leaderIndex]->raft->membershipCommitted())
            return 0;
        return nodes[*leaderIndex]->raft->membership().voterCount();
    }

    void start(size_t i)
    {
        Node &node = *nodes[i];
        node.store = std::make_unique<LogStore>(node.disk.disk());
        const auto opened = node.store->open(random_() | 1);
        if (!opened)
            throw std::runtime_error(opened.error().text());
        node.state = *ControlState::load(opened->stored.snapshot.data, {});
        node.applied = opened->stored.snapshot.index;
        node.bytesSinceSnapshot = 0;
        node.answers.clear();
        node.membershipManager = MembershipManager(membershipPolicy);
        node.frozen = false;
        node.queuedWhileFrozen.clear();
        node.raft = std::make_unique<Raft>(opened->id, timing, opened->stored, random_(),
                                           localNow(node));
        node.raft->setInFlightLimit(inFlightBytes);
    }

    // Stops a replica and simulates a power loss of its disk.
    void kill(size_t i)
    {
        nodes[i]->raft.reset();
        nodes[i]->disk.crash(random_);
    }

    // Resumes a frozen replica, which then receives the messages that arrived in the meantime.
    void unfreeze(size_t i)
    {
        nodes[i]->frozen = false;
        const auto queued = std::move(nodes[i]->queuedWhileFrozen);
        nodes[i]->queuedWhileFrozen.clear();
        for (const RaftMessage &message : queued)
            deliver(i, message);
    }

    bool isUp(size_t i) const { return nodes[i]->raft && !nodes[i]->frozen; }

    // Returns the current time of a node's clock.
    Instant localNow(const Node &node) const
    {
        const auto nanos = static_cast<Duration::rep>(
                static_cast<double>(now.time_since_epoch().count()) * node.clockRate);
        return Instant(Duration(nanos));
    }

    // Whether a node is up and holds the leader lease.
    bool holdsLease(size_t i) const
    {
        return isUp(i) && nodes[i]->raft->hasLeaderLease(localNow(*nodes[i]));
    }

    std::optional<size_t> leader() const
    {
        for (size_t i = 0; i < nodes.size(); ++i) {
            if (holdsLease(i))
                return i;
        }
        return std::nullopt;
    }

    std::optional<LogIndex> propose(size_t i, const Command &command)
    {
        if (!isUp(i))
            return std::nullopt;
        const auto index = nodes[i]->raft->propose(encodeCommand(command), localNow(*nodes[i]));
        processOutput(i);
        return index ? std::optional(*index) : std::nullopt;
    }

    // Advances the time by one step: delivers messages, ticks the replicas, processes joins and
    // runs the checks.
    void step(Duration by = std::chrono::milliseconds(5))
    {
        now += by;
        while (!messagesInFlight_.empty() && messagesInFlight_.begin()->first <= now) {
            const auto [to, message] = messagesInFlight_.begin()->second;
            messagesInFlight_.erase(messagesInFlight_.begin());
            deliver(to, message);
        }
        for (size_t i = 0; i < nodes.size(); ++i) {
            if (!isUp(i))
                continue;
            nodes[i]->raft->tick(localNow(*nodes[i]));
            processOutput(i);
            if (afterTick)
                afterTick(i);
        }
        processJoins();
        for (auto &check : checks)
            check();
    }

    bool runUntil(const std::function<bool()> &condition, Duration limit)
    {
        const Instant end = now + limit;
        while (now < end) {
            if (condition())
                return true;
            step();
        }
        return condition();
    }

    void run(Duration length)
    {
        runUntil([] { return false; }, length);
    }

    // Other data that a node sends: messages after it wait until it has passed the node's link.
    void sendOther(size_t from, size_t bytes) { (void)queueOnLink(from, bytes); }

    // Drops all messages in one direction until heal() is called.
    void cutLink(size_t from, size_t to) { cutLinks_.insert({ from, to }); }
    void isolate(size_t i)
    {
        for (size_t other = 0; other < nodes.size(); ++other) {
            cutLink(i, other);
            cutLink(other, i);
        }
    }
    // Ends what isolate() did, except towards nodes that are isolated still.
    void reconnect(size_t i, const std::set<size_t> &stillIsolated)
    {
        std::erase_if(cutLinks_, [&](const auto &link) {
            const size_t other = link.first == i ? link.second : link.first;
            return (link.first == i || link.second == i) && stillIsolated.count(other) == 0;
        });
    }
    void heal() { cutLinks_.clear(); }
    std::mt19937_64 &random() { return random_; }

    RaftTiming timing;
    // Takes effect when a replica starts.
    MembershipPolicy membershipPolicy;
    Duration joinInterval = std::chrono::milliseconds(500); // of a replica's join requests
    Duration membershipInterval = std::chrono::milliseconds(100); // of the leader's decisions
    size_t snapshotEvery = 50; // entries
    size_t inFlightBytes = Raft::kDefaultInFlightBytes;
    Faults faults;
    Instant now { std::chrono::seconds(1000) };
    std::vector<std::unique_ptr<Node>> nodes;
    std::vector<std::function<void()>> checks;
    std::function<void(size_t)> afterTick;
    // The first entry applied by any replica at each index.
    std::map<LogIndex, LogEntry> appliedEntries;
    bool diverged = false; // two replicas applied different entries at the same index
    std::map<size_t, size_t> sentBytes; // by node; counted only while links are limited

private:
    void processOutput(size_t i)
    {
        Node &node = *nodes[i];
        while (true) {
            const RaftOutput output = node.raft->takeOutput();
            if (!output.hasDurableState() && output.messages.empty() && output.committed.empty())
                return;
            if (!node.store->store(output)) {
                node.raft.reset(); // the replica stops permanently
                return;
            }
            if (output.installedSnapshot) {
                node.state = *ControlState::load(output.installedSnapshot->data, {});
                node.applied = output.installedSnapshot->index;
            }
            for (const RaftMessage &message : output.messages)
                transmit(i, message);
            for (const LogEntry &entry : output.committed)
                apply(node, entry);
            if (isCompactionDue(*node.raft, snapshotEvery, node.bytesSinceSnapshot)
                && node.applied > node.raft->snapshotIndex()) {
                node.bytesSinceSnapshot = 0;
                const Snapshot snapshot = node.raft->compact(node.applied, node.state.save());
                (void)node.store->storeSnapshot(snapshot, node.raft->entries());
            }
        }
    }

    void apply(Node &node, const LogEntry &entry)
    {
        if (entry.index <= node.applied)
            return;
        node.applied = entry.index;
        node.bytesSinceSnapshot += entry.data.size();
        const auto [known, added] = appliedEntries.emplace(entry.index, entry);
        diverged = diverged || !(known->second == entry);
        if (entry.kind != EntryKind::Command)
            return;
        node.answers[entry.index] = { entry.term, node.state.apply(*parseCommand(entry.data)) };
    }

    static size_t messageBytes(const RaftMessage &message)
    {
        constexpr size_t kHeaderBytes = 120;
        size_t bytes = kHeaderBytes + (message.snapshot ? message.snapshot->data.size() : 0);
        for (const LogEntry &entry : message.entries)
            bytes += entry.data.size();
        return bytes;
    }

    // Queues data on its sender's link; returns the time until it has passed the link.
    Duration queueOnLink(size_t from, size_t bytes)
    {
        if (faults.linkBytesPerSecond <= 0)
            return {};
        const std::chrono::duration<double> seconds(double(bytes) / faults.linkBytesPerSecond);
        Instant &busyUntil = linkBusyUntil_[from];
        busyUntil = std::max(busyUntil, now) + std::chrono::duration_cast<Duration>(seconds);
        sentBytes[from] += bytes;
        return busyUntil - now;
    }

    void transmit(size_t from, const RaftMessage &message)
    {
        std::uniform_real_distribution<double> chance(0, 1);
        for (size_t to = 0; to < nodes.size(); ++to) {
            if (!nodes[to]->raft || nodes[to]->raft->id() != message.to
                || cutLinks_.count({ from, to }))
                continue;
            const int copies = chance(random_) < faults.dropProbability ? 0
                    : chance(random_) < faults.duplicateProbability     ? 2
                                                                        : 1;
            for (int copy = 0; copy < copies; ++copy) {
                const Duration delay(random_() % (faults.maxDelay.count() + 1));
                const Duration link = queueOnLink(from, messageBytes(message));
                if (link <= faults.maxLinkDelay)
                    messagesInFlight_.emplace(now + link + delay, std::pair { to, message });
            }
        }
    }

    void deliver(size_t to, const RaftMessage &message)
    {
        Node &node = *nodes[to];
        if (!node.raft)
            return;
        if (node.frozen) {
            node.queuedWhileFrozen.push_back(message);
            return;
        }
        node.raft->receive(message, localNow(node));
        processOutput(to);
    }

    // Replicas that are not voters send join requests to the leader, which decides on the
    // membership.
    void processJoins()
    {
        const auto leaderIndex = leader();
        if (!leaderIndex)
            return;
        Node &node = *nodes[*leaderIndex];
        const Instant leaderNow = localNow(node);
        for (size_t i = 0; i < nodes.size(); ++i) {
            if (!isUp(i) || cutLinks_.count({ i, *leaderIndex }) || now < joinDue_[i])
                continue;
            const ReplicaId id = nodes[i]->raft->id();
            const Replica *known = node.raft->membership().find(id);
            if (known && known->voter)
                continue;
            joinDue_[i] = now + joinInterval;
            node.membershipManager.addRequest({ id, nodes[i]->name, "" }, leaderNow);
        }
        if (now < membershipDue_)
            return;
        membershipDue_ = now + membershipInterval;
        const auto change = node.membershipManager.nextChange(*node.raft, leaderNow);
        if (!change)
            return;
        (void)node.raft->proposeMembership(change->membership, leaderNow);
        processOutput(*leaderIndex);
    }

    std::mt19937_64 random_;
    std::multimap<Instant, std::pair<size_t, RaftMessage>> messagesInFlight_;
    std::set<std::pair<size_t, size_t>> cutLinks_;
    std::map<size_t, Instant> linkBusyUntil_;
    std::map<size_t, Instant> joinDue_; // by node
    Instant membershipDue_ {};
};

} // namespace bamboogap

#endif
