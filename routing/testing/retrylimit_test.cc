// The limit on retries of a whole fleet whose routers and replicas restart and are partitioned,
// compared with an exact count over sliding windows.

#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "fleet/routertable.h"
#include "fleet/sharercount.h"
#include "routing/retrywindow.h"

namespace bamboogap {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Instant kStart { seconds(1000) };
constexpr Duration kStep = milliseconds(50);
constexpr Duration kReportInterval = milliseconds(250);
const RetryWindowSettings kSettings { 0.2, 52, seconds(10) };

// Routers that report to replicas and send as many retries as they may.
class Fleet
{
public:
    Fleet(size_t routers, size_t replicas)
        : replicas_(replicas)
    {
        for (size_t i = 0; i < routers; ++i)
            routers_.push_back({ "router-" + std::to_string(i), RetryWindow(kSettings, now_) });
        for (Replica &replica : replicas_)
            replica.table.recall(0, false, now_);
    }

    Instant now() const { return now_; }
    size_t routerCount() const { return routers_.size(); }
    size_t replicaCount() const { return replicas_.size(); }

    void step(bool failing, std::mt19937 &random)
    {
        now_ += kStep;
        for (Router &router : routers_) {
            if (now_ < router.downUntil)
                continue;
            if (now_ >= router.reportDueAt)
                report(router);
            if (random() % 5 != 0)
                continue;
            router.window.onRequest(now_);
            requests.push_back(now_);
            while (failing && router.window.take(router.sharers.count(now_), now_).granted)
                retries.push_back(now_);
        }
    }

    // A planned restart tells the replicas first.
    void restartRouter(size_t index, bool planned, Duration downFor)
    {
        Router &router = routers_[index];
        if (planned) {
            for (Replica &replica : replicas_) {
                if (replica.side == router.side)
                    replica.table.leave(router.name, now_);
            }
        }
        const std::string name = router.name;
        const size_t side = router.side;
        const uint64_t incarnation = router.incarnation + 1;
        router = { name, RetryWindow(kSettings, now_ + downFor) };
        router.side = side;
        router.incarnation = incarnation;
        router.downUntil = now_ + downFor;
    }

    // Its disk keeps the number of routers, as a FleetMemo does.
    void restartReplica(size_t index)
    {
        const uint32_t recalled = replicas_[index].table.aliveCount(now_);
        replicas_[index].table = RouterTable();
        replicas_[index].table.recall(recalled, false, now_);
    }

    // Routers and replicas of different sides do not reach each other.
    void partition(std::mt19937 &random)
    {
        for (Router &router : routers_)
            router.side = random() % 2;
        for (Replica &replica : replicas_)
            replica.side = random() % 2;
    }

    void heal()
    {
        for (Router &router : routers_)
            router.side = 0;
        for (Replica &replica : replicas_)
            replica.side = 0;
    }

    // The largest number of retries of any window beyond those that the limit allows; 0 or less
    // if it was kept.
    double excess() const
    {
        double most = -kSettings.slack;
        for (Instant from = kStart; from < now_; from += milliseconds(100)) {
            const size_t base
                    = std::max({ within(requests, from), within(requests, from - kSettings.window),
                                 within(requests, from - kSettings.window / 2) });
            const double allowed = kSettings.ratio * double(base) + kSettings.slack;
            most = std::max(most, double(within(retries, from)) - allowed);
        }
        return most;
    }

    std::vector<Instant> requests;
    std::vector<Instant> retries;

private:
    struct Router
    {
        std::string name;
        RetryWindow window;
        SharerCount sharers;
        size_t side = 0;
        uint64_t incarnation = 1;
        Instant downUntil {};
        Instant reportDueAt {};
    };
    struct Replica
    {
        RouterTable table;
        size_t side = 0;
    };

    // Whether a replica of that side is in touch with a majority.
    bool isCurrent(size_t side) const
    {
        const auto reached = std::count_if(replicas_.begin(), replicas_.end(),
                                           [side](const auto &item) { return item.side == side; });
        return 2 * static_cast<size_t>(reached) > replicas_.size();
    }

    void report(Router &router)
    {
        router.reportDueAt = now_ + kReportInterval;
        for (Replica &replica : replicas_) {
            if (replica.side != router.side)
                continue;
            replica.table.report({ router.name, router.incarnation, {}, 0, {} }, now_);
            if (isCurrent(router.side))
                router.sharers.onReply(replica.table.sharerCount(now_), now_);
        }
    }

    static size_t within(const std::vector<Instant> &list, Instant from)
    {
        const auto begin = std::lower_bound(list.begin(), list.end(), from);
        return std::lower_bound(begin, list.end(), from + kSettings.window) - begin;
    }

    Instant now_ = kStart;
    std::vector<Router> routers_;
    std::vector<Replica> replicas_;
};

TEST_CASE("routers that are killed while retries are at the limit keep the fleet's limit")
{
    std::mt19937 random(1);
    Fleet fleet(6, 5);
    while (fleet.now() < kStart + seconds(60)) {
        fleet.step(fleet.now() > kStart + seconds(15), random);
        if ((fleet.now() - kStart) % seconds(20) == Duration {}) {
            for (size_t i = 0; i < fleet.routerCount(); ++i)
                fleet.restartRouter(i, false, milliseconds(500));
        }
    }
    REQUIRE_FALSE(fleet.retries.empty());
    CHECK(fleet.excess() <= 0);
}

TEST_CASE("a planned restart of one router after another keeps the fleet's limit")
{
    std::mt19937 random(2);
    Fleet fleet(6, 5);
    size_t next = 0;
    while (fleet.now() < kStart + seconds(60)) {
        fleet.step(fleet.now() > kStart + seconds(15), random);
        if ((fleet.now() - kStart) % seconds(1) == Duration {})
            fleet.restartRouter(next++ % fleet.routerCount(), true, milliseconds(300));
    }
    CHECK(fleet.excess() <= 0);
}

TEST_CASE("replicas that have just started do not raise the routers' shares of the limit")
{
    std::mt19937 random(3);
    Fleet fleet(6, 5);
    while (fleet.now() < kStart + seconds(60)) {
        fleet.step(fleet.now() > kStart + seconds(15), random);
        if ((fleet.now() - kStart) % seconds(4) == Duration {}) {
            for (size_t i = 0; i < fleet.replicaCount(); ++i)
                fleet.restartReplica(i);
        }
    }
    CHECK(fleet.excess() <= 0);
}

TEST_CASE("routers on both sides of a partition together keep the fleet's limit")
{
    std::mt19937 random(4);
    Fleet fleet(6, 5);
    while (fleet.now() < kStart + seconds(90)) {
        if (fleet.now() == kStart + seconds(10))
            fleet.partition(random);
        fleet.step(fleet.now() > kStart + seconds(15), random);
    }
    CHECK(fleet.excess() <= 0);
}

TEST_CASE("any series of restarts and partitions keeps the fleet's limit on retries", "[fuzz]")
{
    rc::prop("no window has more retries than the limit allows", [](uint16_t seed) {
        std::mt19937 random(seed);
        Fleet fleet(2 + random() % 8, 3 + random() % 3);
        bool failing = false;
        while (fleet.now() < kStart + seconds(150)) {
            if (random() % 100 == 0)
                failing = !failing;
            if (random() % 60 == 0)
                fleet.restartRouter(random() % fleet.routerCount(), random() % 2 == 0,
                                    milliseconds(random() % 3000));
            if (random() % 400 == 0) {
                for (size_t i = 0; i < fleet.routerCount(); ++i)
                    fleet.restartRouter(i, false, milliseconds(random() % 1000));
            }
            if (random() % 200 == 0)
                fleet.restartReplica(random() % fleet.replicaCount());
            if (random() % 600 == 0) {
                for (size_t i = 0; i < fleet.replicaCount(); ++i)
                    fleet.restartReplica(i);
            }
            if (random() % 300 == 0)
                fleet.partition(random);
            if (random() % 300 == 0)
                fleet.heal();
            fleet.step(failing, random);
        }
        RC_ASSERT(fleet.excess() <= 0);
    });
}

} // namespace
} // namespace bamboogap
