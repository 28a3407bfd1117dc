// What answers to routers' reports leave of a replica's link.

#include <random>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "control/testing/cluster.h"
#include "fleet/replybudget.h"

namespace bamboogap {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Priority = ReplyBudget::Priority;

const Instant kStart { seconds(1000) };
constexpr double kLinkBytesPerSecond = 750e3; // 6 Mbit/s

TEST_CASE("what is available is never more than the share of the link", "[fuzz]")
{
    rc::prop("whatever is asked for", [](uint32_t seed) {
        std::mt19937 random(seed);
        ReplyBudget budget(kLinkBytesPerSecond);
        size_t spent = 0;
        Instant now = kStart;
        for (int i = 0; i < 2000; ++i) {
            now += milliseconds(random() % 10);
            const auto priority = static_cast<Priority>(random() % 3);
            const size_t bytes
                    = std::min<size_t>(random() % 20000, budget.available(priority, now));
            budget.spend(bytes);
            spent += bytes;
            const std::chrono::duration<double> passed = now - kStart + ReplyBudget::kBurst;
            constexpr double kRounding = 0.5; // of a byte
            RC_ASSERT(double(spent)
                      < kRounding + ReplyBudget::kLinkShare * kLinkBytesPerSecond * passed.count());
        }
    });
}

TEST_CASE("content of a low priority leaves bytes for that of a high one")
{
    ReplyBudget budget(kLinkBytesPerSecond);
    budget.spend(budget.available(Priority::Low, kStart));
    CHECK(budget.available(Priority::Low, kStart) == 0);
    CHECK(budget.available(Priority::Normal, kStart) > 0);
    budget.spend(budget.available(Priority::Normal, kStart));
    CHECK(budget.available(Priority::Normal, kStart) == 0);
    CHECK(budget.available(Priority::High, kStart) > 0);
}

TEST_CASE("the least number of items goes with an answer also if the share is used up")
{
    ReplyBudget budget(kLinkBytesPerSecond);
    REQUIRE(budget.available(Priority::High, kStart) > 0);
    budget.spend(1 << 20);
    CHECK(budget.available(Priority::High, kStart) == 0);
    CHECK(budget.itemCount(Priority::High, 30, 8, 64, kStart) == 8);
    CHECK(budget.itemCount(Priority::Low, 30, 0, 64, kStart) == 0);
    CHECK(budget.itemCount(Priority::High, 30, 8, 64, kStart + seconds(1)) == 64);
}

// A control group whose replicas answer reports over the same links, with more news for each router
// than an answer can hold.
class LoadedGroup
{
public:
    LoadedGroup(uint64_t seed, int answersPerSecond)
        : cluster(kReplicas, seed)
        , budgets_(kReplicas, ReplyBudget(kLinkBytesPerSecond))
        , answersPerSecond_(answersPerSecond)
    {
        cluster.faults.linkBytesPerSecond = kLinkBytesPerSecond;
        cluster.faults.maxDelay = milliseconds(2);
        formed = cluster.formGroup();
    }

    void run(Duration length, bool isBounded)
    {
        const Instant end = cluster.now + length;
        while (cluster.now < end) {
            cluster.step();
            const std::chrono::duration<double> step = milliseconds(5);
            due_ += answersPerSecond_ * step.count();
            for (; due_ >= 1; --due_) {
                for (size_t i = 0; i < kReplicas; ++i)
                    cluster.sendOther(i, isBounded ? answer(budgets_[i]) : wanted());
            }
        }
    }

    Cluster cluster;
    bool formed = false;

private:
    static constexpr size_t kReplicas = 5;
    static constexpr size_t kFixedBytes = 150;
    static constexpr size_t kRecordBytes = 30;
    static constexpr size_t kRecords = 64;
    static constexpr size_t kLeastRecords = 8;
    static constexpr size_t kQuarantinedBytes = 2048;
    static constexpr size_t kOtherBytes = 1500; // loads, limits, watched requests, placements

    static size_t wanted()
    {
        return kFixedBytes + kRecords * kRecordBytes + kQuarantinedBytes + kOtherBytes;
    }

    size_t answer(ReplyBudget &budget) const
    {
        size_t total = 0;
        const auto send = [&](size_t bytes) {
            budget.spend(bytes);
            total += bytes;
        };
        const Instant now = cluster.now;
        send(kFixedBytes);
        send(kRecordBytes
             * budget.itemCount(Priority::High, kRecordBytes, kLeastRecords, kRecords, now));
        send(std::min(kQuarantinedBytes, budget.available(Priority::High, now)));
        send(std::min(kOtherBytes, budget.available(Priority::Low, now)));
        return total;
    }

    std::vector<ReplyBudget> budgets_;
    int answersPerSecond_;
    double due_ = 0;
};

// Returns the longest time until a change of a large route document was committed; nothing if one
// was not within a second.
std::optional<Duration> longestCommit(LoadedGroup &group, bool isBounded)
{
    constexpr size_t kDocumentBytes = 20000; // of 1,129 routes, deflated
    Duration longest {};
    for (uint64_t version = 1; version <= 10; ++version) {
        const auto leader = group.cluster.leader();
        if (!leader)
            return std::nullopt;
        const Instant began = group.cluster.now;
        const auto index = group.cluster.propose(
                *leader, InstallRoutesCommand { version, std::string(kDocumentBytes, 'x') });
        if (!index)
            return std::nullopt;
        const auto isCommitted
                = [&] { return group.cluster.nodes[*leader]->raft->commitIndex() >= *index; };
        while (!isCommitted()) {
            if (group.cluster.now - began > seconds(1))
                return std::nullopt;
            group.run(milliseconds(5), isBounded);
        }
        longest = std::max(longest, group.cluster.now - began);
        group.run(milliseconds(500), isBounded);
    }
    return longest;
}

// Guards against a group that loses its leader because its messages wait behind answers to
// reports.
TEST_CASE("a group keeps its leader while routers are told as much as answers can hold")
{
    for (const int answersPerSecond : { 260, 550 }) { // 195 and 411 routers
        for (uint64_t seed = 1; seed <= 5; ++seed) {
            CAPTURE(seed, answersPerSecond);
            LoadedGroup group(seed, answersPerSecond);
            REQUIRE(group.formed);
            group.run(seconds(2), true);
            const auto leader = group.cluster.leader();
            REQUIRE(leader);
            const Term term = group.cluster.nodes[*leader]->raft->term();
            CHECK(longestCommit(group, true));
            CHECK(group.cluster.leader() == leader);
            CHECK(group.cluster.nodes[*leader]->raft->term() == term);
        }
    }
    LoadedGroup unbounded(1, 260);
    REQUIRE(unbounded.formed);
    CHECK_FALSE(longestCommit(unbounded, false));
}

} // namespace
} // namespace bamboogap
