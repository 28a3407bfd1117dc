// Which work an operator is told of when an event loop stands still.

#include <catch2/catch.hpp>

#include "node/eventloop.h"
#include "node/loop/turnreport.h"

namespace bamboogap {
namespace {

using std::chrono::milliseconds;

TEST_CASE("a turn names its longest work without the work within it", "[loop]")
{
    TurnWatch watch;
    watch.add({ "short", 1 }, milliseconds(9));
    watch.add({ "inner", 2, [] { return "10.0.0.1:80"; } }, milliseconds(40));
    watch.add({ "outer", 3 }, milliseconds(20));
    const Turn turn = watch.end(milliseconds(75));
    CHECK(turn.work == "inner");
    CHECK(turn.source == "10.0.0.1:80");
    CHECK(turn.bytes == 2);
    CHECK(turn.workDuration == milliseconds(40));
    CHECK(turn.processorTime == milliseconds(75));
    CHECK(turn.duration == milliseconds(75));
    const Turn next = watch.end(milliseconds(76));
    CHECK(next.work.empty());
    CHECK(next.duration == milliseconds(1));
}

TEST_CASE("work that waits makes a turn long without processor time", "[loop]")
{
    TurnWatch watch;
    watch.add({ "disk" }, milliseconds(300));
    CHECK(watch.end(milliseconds(2)).duration == milliseconds(300));
}

void work(Duration duration)
{
    const Instant until = BootClock::now() + duration;
    while (BootClock::now() < until) { }
}

// Guards against review/12: routers stood still for 25 s, and neither a log line nor a metric said
// why.
TEST_CASE("an event loop reports the callback that stopped it", "[loop]")
{
    EventLoop loop;
    std::vector<Turn> turns;
    loop.setTurnHook([&](const Turn &turn) { turns.push_back(turn); });
    loop.run(loop.sleep(milliseconds(1)).then([&] {
        runCallback({ "outer", 1, [] { return "a"; } }, [] {
            work(milliseconds(20));
            runCallback({ "inner", 7, [] { return "b"; } }, [] { work(milliseconds(60)); });
        });
        return loop.sleep(milliseconds(1));
    }));
    REQUIRE(turns.size() == 1);
    CHECK(turns.front().work == "inner");
    CHECK(turns.front().source == "b");
    CHECK(turns.front().bytes == 7);
    CHECK(turns.front().workDuration >= milliseconds(60));
    CHECK(turns.front().duration >= milliseconds(60));
}

TEST_CASE("an event loop that waits is not reported", "[loop]")
{
    EventLoop loop;
    size_t turns = 0;
    loop.setTurnHook([&](const Turn &) { ++turns; });
    loop.run(loop.sleep(milliseconds(100)));
    CHECK(turns == 0);
}

TEST_CASE("long turns are counted in a metric", "[loop]")
{
    Metrics metrics;
    TurnReport report(metrics);
    Turn turn;
    turn.duration = milliseconds(250);
    report.add(turn, BootClock::now());
    report.add(turn, BootClock::now());
    CHECK(metrics.render().find("bamboogap_loop_turn_seconds_count 2") != std::string::npos);
}

} // namespace
} // namespace bamboogap
