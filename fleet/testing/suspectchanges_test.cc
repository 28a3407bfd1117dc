// What routers of an owners' fleet are told of the suspects.

#include <random>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "fleet/coordinator.h"
#include "fleet/member.h"

namespace bamboogap {
namespace {

const RouterInfo kRouter { "r", 1, "dc", "10.0.0.1:1" };

// One router and the leader that answers its heartbeats.
struct Exchange
{
    HeartbeatReply answer()
    {
        now += std::chrono::milliseconds(100);
        return coordinator.heartbeat(member.makeHeartbeat(now), state, now);
    }

    void crash(Fingerprint request, int64_t number)
    {
        state.apply(RecordCrashCommand { { request }, "e" + std::to_string(number), 0 });
    }

    Instant now { std::chrono::seconds(1000) };
    ControlState state;
    Coordinator coordinator { CoordinatorSettings {}, 1, state.view(), now };
    Member member { kRouter };
};

// Guards against a leader that sends all suspects to each router after each crash.
TEST_CASE("a crash is told to a router that knows the other suspects as what has changed")
{
    Exchange exchange;
    for (Fingerprint request = 1; request <= 1000; ++request)
        exchange.crash(request, 1);
    HeartbeatReply first = exchange.answer();
    REQUIRE(first.suspects);
    CHECK(first.suspects->size() == 1000);
    exchange.member.receive(first, exchange.now);
    exchange.crash(7, 2);
    exchange.crash(2000, 2);
    HeartbeatReply second = exchange.answer();
    REQUIRE(second.suspects);
    CHECK(second.suspects->size() == 2);
    exchange.member.receive(second, exchange.now);
    CHECK(exchange.member.suspicionStatusOf(7) == SuspicionStatus::Quarantined);
    CHECK(exchange.member.suspicionStatusOf(8) == SuspicionStatus::Suspect);
    CHECK(exchange.member.suspicionStatusOf(2000) == SuspicionStatus::Suspect);
    CHECK_FALSE(exchange.answer().suspects);
}

TEST_CASE("a router of an earlier version is told all suspects")
{
    Exchange exchange;
    exchange.crash(1, 1);
    Heartbeat heartbeat = exchange.member.makeHeartbeat(exchange.now);
    heartbeat.takesSuspectChanges = false;
    const HeartbeatReply reply
            = exchange.coordinator.heartbeat(heartbeat, exchange.state, exchange.now);
    REQUIRE(reply.suspects);
    CHECK_FALSE(reply.suspectsAreChanges);
}

TEST_CASE("routers know the suspects in the end, whichever answers are lost or late", "[fuzz]")
{
    rc::prop("whatever changes, and if the leader loads its state", [](uint32_t seed) {
        std::mt19937 random(seed);
        Exchange exchange;
        std::vector<HeartbeatReply> late;
        for (int step = 0; step < 1500; ++step) {
            const Fingerprint request = random() % 60;
            switch (random() % 8) {
            case 0:
            case 1:
            case 2:
                exchange.crash(request, random() % 40);
                break;
            case 3:
                exchange.state.apply(ClearSuspectCommand { request, random() % 2 == 0 });
                break;
            case 4:
                if (random() % 20 == 0)
                    exchange.state = *ControlState::load(exchange.state.save(), {});
                break;
            default:
                late.push_back(exchange.answer());
                if (random() % 3 == 0)
                    late.pop_back(); // lost
                while (late.size() > 3 || (!late.empty() && random() % 2 == 0)) {
                    const size_t which = random() % late.size();
                    exchange.member.receive(late[which], exchange.now);
                    late.erase(late.begin() + static_cast<ptrdiff_t>(which));
                }
            }
        }
        for (int i = 0; i < 3; ++i)
            exchange.member.receive(exchange.answer(), exchange.now);
        for (Fingerprint request = 0; request < 60; ++request) {
            RC_ASSERT(exchange.member.suspicionStatusOf(request)
                      == exchange.state.suspects().statusOf(request));
        }
    });
}

} // namespace
} // namespace bamboogap
