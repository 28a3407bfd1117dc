// Random schedules of lost replicas at the highest rate that a group has to tolerate: a minority of
// its voters is lost at any time, and a lost one counts until it, or its successor, has been up for
// the catch-up time.

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "control/testing/cluster.h"

namespace bamboogap {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kCatchUp = seconds(4);
constexpr Duration kRecovery = seconds(12); // without a leader
constexpr Duration kOrderInterval = seconds(2);
constexpr size_t kDocumentBytes = 29000;
constexpr double kLinkBytesPerSecond = 750e3;

// A machine that is down, frozen or cut off, until it or its successor is up.
struct Outage
{
    enum class End : uint8_t { Restart, RestartEmpty, Thaw, Reconnect, Successor };
    size_t node = 0;
    End end = End::Successor;
    Instant endsAt;
};

class History
{
public:
    // `machines` may be more than the voters; the others are learners.
    History(uint64_t seed, size_t voters, size_t machines)
        : cluster_(machines, seed)
        , voters_(voters)
        , maxLost_((voters - 1) / 2)
    {
        cluster_.timing.electionMin = milliseconds(300);
        cluster_.timing.electionMax = milliseconds(600);
        cluster_.membershipPolicy = selfManagedPolicy(voters, cluster_.timing);
        cluster_.inFlightBytes = 37500; // 50 ms on the link, as in the daemon
        cluster_.snapshotEvery = 20;
        for (size_t i = 0; i < machines; ++i)
            cluster_.start(i);
    }

    void form()
    {
        Founding founding;
        for (size_t i = 0; i < voters_; ++i) {
            const auto &node = *cluster_.nodes[i];
            founding.members.members.push_back({ node.raft->id(), node.name, "", true });
        }
        cluster_.bootstrap(0, founding);
        RC_ASSERT(cluster_.runUntil([this] { return cluster_.leader().has_value(); }, seconds(20)));
        cluster_.run(kCatchUp);
        cluster_.faults.linkBytesPerSecond = kLinkBytesPerSecond;
        cluster_.faults.maxDelay = milliseconds(3);
        leaderSeenAt_ = cluster_.now;
        cluster_.checks.push_back([this] { check(); });
    }

    // Takes machines away as soon as the tolerance allows, or a little later.
    void play(size_t events)
    {
        for (size_t event = 0; event < events; ++event) {
            runUntil([this] { return lostCount() < maxLost_; });
            if (percent(30))
                runFor(randomDuration(seconds(3)));
            if (lostCount() < maxLost_)
                takeAway();
        }
        runUntil([this] { return outages_.empty() && lostCount() == 0; });
        runFor(kRecovery);
    }

    // Whether the group works: it has five voters that are up and accepts changes.
    void checkRecovered()
    {
        const auto leader = cluster_.leader();
        RC_ASSERT(leader.has_value());
        const Raft &raft = *cluster_.nodes[*leader]->raft;
        RC_ASSERT(raft.membershipCommitted());
        RC_ASSERT(raft.membership().voterCount() == voters_);
        std::set<ReplicaId> up;
        for (size_t i = 0; i < cluster_.nodes.size(); ++i) {
            if (cluster_.isUp(i))
                up.insert(cluster_.nodes[i]->raft->id());
        }
        for (const Replica &member : raft.membership().members)
            RC_ASSERT(up.count(member.id) == 1);
        const uint64_t before = acknowledged_;
        order();
        runFor(kCatchUp);
        RC_ASSERT(acknowledged_ > before);
        RC_ASSERT(cluster_.nodes[*cluster_.leader()]->state.deployment().version()
                  >= acknowledged_);
    }

private:
    struct Proposal
    {
        size_t node;
        LogIndex index;
        Term term;
        uint64_t version;
    };

    bool percent(unsigned chance) { return cluster_.random()() % 100 < chance; }

    Duration randomDuration(Duration longest)
    {
        return Duration(cluster_.random()() % (longest.count() + 1));
    }

    // Machines that count as lost.
    size_t lostCount() const
    {
        const auto catching
                = std::count_if(startedAt_.begin(), startedAt_.end(), [this](const auto &item) {
                      return cluster_.now - item.second < kCatchUp;
                  });
        return outages_.size() + catching;
    }

    std::set<size_t> isolated() const
    {
        std::set<size_t> nodes;
        for (const Outage &outage : outages_) {
            if (outage.end == Outage::End::Reconnect)
                nodes.insert(outage.node);
        }
        return nodes;
    }

    bool isLost(size_t i) const
    {
        const auto started = startedAt_.find(i);
        return !cluster_.isUp(i) || isolated().count(i) > 0
                || (started != startedAt_.end() && cluster_.now - started->second < kCatchUp);
    }

    void takeAway()
    {
        std::vector<size_t> choice;
        for (size_t i = 0; i < cluster_.nodes.size(); ++i) {
            if (!isLost(i))
                choice.push_back(i);
        }
        size_t victim = choice[cluster_.random()() % choice.size()];
        if (const auto leader = cluster_.leader(); leader && !isLost(*leader) && percent(50))
            victim = *leader;
        const unsigned kind = cluster_.random()() % 100;
        const Outage::End end = kind < 60 ? Outage::End::Successor
                : kind < 70               ? Outage::End::RestartEmpty
                : kind < 80               ? Outage::End::Restart
                : kind < 90               ? Outage::End::Reconnect
                                          : Outage::End::Thaw;
        const bool stays = end == Outage::End::Thaw || end == Outage::End::Reconnect;
        if (end == Outage::End::Thaw)
            cluster_.nodes[victim]->frozen = true;
        else if (end == Outage::End::Reconnect)
            cluster_.isolate(victim);
        else
            cluster_.kill(victim);
        if (!stays)
            std::erase_if(open_, [&](const Proposal &item) { return item.node == victim; });
        const Duration longest = stays ? seconds(6) : seconds(3);
        outages_.push_back({ victim, end, cluster_.now + randomDuration(longest) });
    }

    void endOutages()
    {
        for (size_t i = 0; i < outages_.size();) {
            const Outage outage = outages_[i];
            if (cluster_.now < outage.endsAt) {
                ++i;
                continue;
            }
            outages_.erase(outages_.begin() + i);
            size_t started = outage.node;
            switch (outage.end) {
            case Outage::End::Successor:
                started = cluster_.addNode();
                for (const size_t other : isolated()) {
                    cluster_.cutLink(started, other);
                    cluster_.cutLink(other, started);
                }
                break;
            case Outage::End::RestartEmpty:
                cluster_.nodes[started]->disk.wipe();
                cluster_.start(started);
                break;
            case Outage::End::Restart:
                cluster_.start(started);
                break;
            case Outage::End::Thaw:
                cluster_.unfreeze(started);
                break;
            case Outage::End::Reconnect:
                cluster_.reconnect(started, isolated());
                break;
            }
            startedAt_[started] = cluster_.now;
        }
    }

    void order()
    {
        const auto leader = cluster_.leader();
        if (!leader)
            return;
        const Term term = cluster_.nodes[*leader]->raft->term();
        std::string document(kDocumentBytes, static_cast<char>('a' + version_ % 26));
        ++version_;
        const auto index
                = cluster_.propose(*leader, InstallRoutesCommand { version_, std::move(document) });
        if (index)
            open_.push_back({ *leader, *index, term, version_ });
    }

    void check()
    {
        size_t leaseHolders = 0;
        for (size_t i = 0; i < cluster_.nodes.size(); ++i)
            leaseHolders += cluster_.holdsLease(i);
        RC_ASSERT(leaseHolders <= 1u);
        RC_ASSERT(!cluster_.diverged);
        if (leaseHolders > 0)
            leaderSeenAt_ = cluster_.now;
        RC_ASSERT(cluster_.now - leaderSeenAt_ < kRecovery);
        std::erase_if(open_, [this](const Proposal &item) {
            const auto &node = *cluster_.nodes[item.node];
            const auto answer = node.answers.find(item.index);
            if (answer == node.answers.end())
                return false;
            if (answer->second.first == item.term)
                acknowledged_ = std::max(acknowledged_, item.version);
            return true;
        });
        if (const auto leader = cluster_.leader())
            RC_ASSERT(cluster_.nodes[*leader]->state.deployment().version() >= acknowledged_);
    }

    void step()
    {
        cluster_.step();
        endOutages();
        if (cluster_.now >= orderDue_) {
            orderDue_ = cluster_.now + kOrderInterval;
            order();
        }
    }

    void runUntil(const std::function<bool()> &condition)
    {
        while (!condition())
            step();
    }

    void runFor(Duration length)
    {
        const Instant end = cluster_.now + length;
        runUntil([&] { return cluster_.now >= end; });
    }

    Cluster cluster_;
    size_t voters_;
    size_t maxLost_;
    std::vector<Outage> outages_;
    std::map<size_t, Instant> startedAt_; // of machines that came back, and of successors
    std::vector<Proposal> open_;
    uint64_t version_ = 0;
    uint64_t acknowledged_ = 0; // highest version
    Instant orderDue_ {};
    Instant leaderSeenAt_ {};
};

// Machines that were replaced one after another used to leave a group without a majority: a lost
// voter kept its vote for 6 s and a change of leader began that time anew, so successors that were
// up waited for a vote while the next voters were lost (review/6, rule CONFIG).
TEST_CASE("a group outlives replacements at the highest rate that it has to tolerate",
          "[raft][fuzz][promise-9]")
{
    for (const size_t voters : { 3, 5, 7 }) {
        rc::prop(std::to_string(voters) + " voters are up at the end", [voters](uint64_t seed) {
            History history(seed, voters, voters + seed % 3);
            history.form();
            history.play(15);
            history.checkRecovered();
        });
    }
}

} // namespace
} // namespace bamboogap
