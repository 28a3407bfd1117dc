// Admission at the owner: the load multiple, the cold limit, suspects, waiting
// work, against a plain recount.

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <cmath>
#include <random>

#include "routing/admission.h"

namespace bamboogap {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

Announcement engine(const std::string &id, uint32_t capacity = 8, uint32_t coldCapacity = 2)
{
    Announcement announcement;
    announcement.id = id;
    announcement.incarnation = 1;
    announcement.dataCentre = "dc";
    announcement.offers.push_back({ "m1", "", "" });
    announcement.capacity = capacity;
    announcement.coldCapacity = coldCapacity;
    return announcement;
}

// A router that owns a few warm engines.
struct Owner
{
    explicit Owner(size_t engines, double multiple = 1.25, AdmissionSettings settings = {})
        : board(multiple)
        , admission(settings, &board, [this](std::string_view id) -> std::optional<std::string> {
            if (out.count(std::string(id)))
                return "data centre out";
            return std::nullopt;
        })
    {
        for (size_t i = 0; i < engines; ++i)
            add(engine(name(i)), 8);
    }

    static std::string name(size_t i) { return "e" + std::to_string(i); }

    void add(const Announcement &announcement, uint32_t rampLimit)
    {
        board.set(announcement.id, announcement.poolName(), announcement.capacity, true);
        admission.setEndpoint(announcement, rampLimit);
    }

    Admitted ask(RequestId id, const std::string &endpoint, bool mayWait = false,
                 bool suspect = false)
    {
        Ask ask;
        ask.request.id = id;
        ask.request.workspace = "ws";
        ask.request.startBy = now + seconds(30);
        ask.endpoint = endpoint;
        ask.fingerprint = id * 100;
        ask.suspect = suspect;
        ask.mayWait = mayWait;
        ask.suits = [](std::string_view) { return true; };
        return admission.ask(ask, now);
    }

    bool runs(RequestId id, const std::string &endpoint)
    {
        return ask(id, endpoint).decision == AdmitDecision::Run;
    }

    Instant now { seconds(1000) };
    std::set<std::string> out;
    LoadBoard board;
    Admission admission;
};

TEST_CASE("one engine alone may be filled to its capacity", "[admission][promise-1]")
{
    Owner owner(1);
    for (RequestId id = 1; id <= 8; ++id)
        CHECK(owner.runs(id, "e0"));
    CHECK_FALSE(owner.runs(9, "e0"));
}

TEST_CASE("no engine takes more than the multiple of the mean", "[admission][promise-1]")
{
    Owner owner(4);
    CHECK(owner.runs(1, "e0"));
    // One request on four engines: a second on the same one would be twice its
    // share.
    CHECK_FALSE(owner.runs(2, "e0"));
    CHECK(owner.runs(3, "e1"));
    CHECK(owner.runs(4, "e2"));
    CHECK(owner.runs(5, "e0")); // ceil(1.25 * 4 / 4) = 2
    CHECK_FALSE(owner.runs(6, "e0"));
}

TEST_CASE("what runs through other routers counts, by the last sample", "[admission][promise-1]")
{
    Owner owner(2);
    owner.board.reportOthers("e1", 6);
    owner.board.reportOthers("e0", 3);
    owner.board.reportPool("model/m1", 9);
    CHECK(owner.runs(1, "e0"));
    // Nothing new may go to an engine that others have filled.
    owner.board.reportOthers("e1", 8);
    CHECK_FALSE(owner.runs(2, "e1"));
    // The load falls: so does the mean that counts.
    owner.board.reportPool("model/m1", 2);
    CHECK_FALSE(owner.runs(3, "e0"));
}

TEST_CASE("engines that came back cold do not stop the warm ones",
          "[admission][promise-1][promise-2]")
{
    Owner owner(13);
    for (size_t i = 13; i < 20; ++i)
        owner.add(engine(Owner::name(i)), 0); // cold, bear 2 of 8
    RequestId id = 0;
    size_t admitted = 0;
    for (int round = 0; round < 8; ++round) {
        for (size_t i = 0; i < 13; ++i)
            admitted += owner.runs(++id, Owner::name(i));
    }
    CHECK(admitted >= size_t { 13 } * 6);
}

TEST_CASE("a new endpoint gets what it bears cold, and more with evidence",
          "[admission][promise-2]")
{
    Owner owner(0);
    owner.add(engine("e0", 32, 2), 0);
    CHECK(owner.runs(1, "e0"));
    CHECK(owner.runs(2, "e0"));
    const Admitted third = owner.ask(3, "e0");
    CHECK(third.decision == AdmitDecision::Refuse);
    CHECK(third.reason.find("cold") != std::string::npos);
    FinishReport whole;
    whole.completed = true;
    owner.admission.firstToken(1, milliseconds(100));
    owner.admission.finish(1, whole, owner.now);
    owner.admission.finish(2, whole, owner.now);
    for (RequestId id = 4; id <= 6; ++id)
        CHECK(owner.runs(id, "e0"));
    CHECK_FALSE(owner.runs(7, "e0"));
}

TEST_CASE("an endpoint that turns cold falls back at once", "[admission][promise-2]")
{
    Owner owner(0);
    Announcement warm = engine("e0", 32, 2);
    owner.add(warm, 32);
    REQUIRE(owner.admission.limitOf("e0") > 0);
    SECTION("by its word")
    {
        warm.cold = true;
        ++warm.sequence;
        owner.add(warm, 32);
    }
    SECTION("by a restart")
    {
        ++warm.incarnation;
        owner.add(warm, 32);
    }
    SECTION("by a slow first token")
    {
        REQUIRE(owner.runs(1, "e0"));
        owner.admission.firstToken(1, milliseconds(200));
        owner.admission.firstToken(1, seconds(5));
    }
    SECTION("by a crash")
    {
        REQUIRE(owner.runs(1, "e0"));
        FinishReport crashed;
        crashed.crashed = true;
        owner.admission.finish(1, crashed, owner.now);
        owner.now += seconds(1);
    }
    for (RequestId id = 10; id < 40; ++id)
        owner.runs(id, "e0");
    CHECK(owner.admission.runningOn("e0") <= 2);
}

TEST_CASE("an announced cold endpoint does not grow until it says that it is warm",
          "[admission][promise-2]")
{
    Owner owner(0);
    Announcement cold = engine("e0", 32, 2);
    cold.cold = true;
    owner.add(cold, 0);
    FinishReport whole;
    whole.completed = true;
    for (RequestId id = 1; id <= 20; ++id) {
        REQUIRE(owner.runs(id, "e0"));
        owner.admission.finish(id, whole, owner.now);
    }
    CHECK_FALSE((owner.runs(30, "e0") && owner.runs(31, "e0") && owner.runs(32, "e0")));
}

TEST_CASE("at most one suspect runs on an endpoint", "[admission][crash]")
{
    Owner owner(1);
    CHECK(owner.ask(1, "e0", false, true).decision == AdmitDecision::Run);
    CHECK(owner.ask(2, "e0", false, true).decision == AdmitDecision::Refuse);
    CHECK(owner.runs(3, "e0"));
    FinishReport crashed;
    crashed.crashed = true;
    const auto struck = owner.admission.finish(1, crashed, owner.now);
    CHECK(struck == std::vector<Fingerprint> { 100, 300 });
}

TEST_CASE("waiting work starts when a place is free and is given up in time", "[admission]")
{
    AdmissionSettings settings;
    settings.assumedService = milliseconds(100);
    Owner owner(1, 1.25, settings);
    for (RequestId id = 1; id <= 8; ++id)
        REQUIRE(owner.runs(id, "e0"));
    CHECK(owner.ask(9, "e0", true).decision == AdmitDecision::Wait);
    CHECK(owner.ask(10, "e0", true).decision == AdmitDecision::Wait);
    FinishReport whole;
    whole.completed = true;
    owner.admission.finish(1, whole, owner.now);
    const QueueNews news = owner.admission.advance(owner.now);
    REQUIRE(news.starts.size() == 1);
    CHECK(news.starts[0].id == 9);
    owner.now = owner.admission.nextExpiry();
    const QueueNews late = owner.admission.advance(owner.now);
    REQUIRE(late.givenUp.size() == 1);
    CHECK(late.givenUp[0].id == 10);
    CHECK(late.givenUp[0].refusal.kind == ErrorKind::DeadlineTooShort);
    CHECK(late.givenUp[0].refusal.retryAfter >= seconds(1));
}

TEST_CASE("work that cannot make its deadline is refused when it arrives", "[admission]")
{
    Owner owner(1);
    for (RequestId id = 1; id <= 8; ++id)
        REQUIRE(owner.runs(id, "e0"));
    Ask ask;
    ask.request.id = 9;
    ask.request.startBy = owner.now + milliseconds(10);
    ask.endpoint = "e0";
    ask.mayWait = true;
    const Admitted refused = owner.admission.ask(ask, owner.now);
    CHECK(refused.decision == AdmitDecision::Refuse);
    CHECK(refused.kind == ErrorKind::DeadlineTooShort);
}

// Random arrivals, ends, joins, cold turns and lagging reports of others, with a
// recount from scratch at each admission.
TEST_CASE("admissions against a recount", "[admission][fuzz][promise-1][promise-2]")
{
    rc::prop("bounds hold at every admission", [](uint64_t seed) {
        std::mt19937_64 random(seed);
        const double multiple = 1.0 + static_cast<double>(random() % 100) / 100;
        Owner owner(2 + random() % 6, multiple);
        struct Truth
        {
            uint32_t own = 0;
            uint32_t others = 0;
            uint32_t capacity = 8;
            uint32_t cold = 2;
        };
        std::map<std::string, Truth> truth;
        std::map<std::string, Announcement> announced;
        for (size_t i = 0; owner.board.find(Owner::name(i)); ++i) {
            truth[Owner::name(i)] = {};
            announced[Owner::name(i)] = engine(Owner::name(i));
        }
        std::map<RequestId, std::string> running;
        uint32_t sampled = 0;
        RequestId next = 0;
        for (int step = 0; step < 300; ++step) {
            auto item = truth.begin();
            std::advance(item, random() % truth.size());
            const std::string id = item->first;
            switch (random() % 10) {
            case 0:
                item->second.others = random() % 5;
                owner.board.reportOthers(id, item->second.others);
                sampled = random() % 40;
                owner.board.reportPool("model/m1", sampled);
                break;
            case 1:
                announced[id].cold = !announced[id].cold;
                ++announced[id].sequence;
                owner.add(announced[id], 8);
                break;
            case 2:
            case 3:
            case 4:
                if (!running.empty()) {
                    auto ended = running.begin();
                    std::advance(ended, random() % running.size());
                    FinishReport report;
                    report.completed = random() % 4 != 0;
                    owner.admission.finish(ended->first, report, owner.now);
                    --truth[ended->second].own;
                    running.erase(ended);
                }
                break;
            default: {
                // Recount: totals and what each can bear, from scratch.
                uint32_t own = 0;
                double bears = 0;
                for (const auto &[name, engine] : truth) {
                    own += engine.own;
                    bears += owner.board.find(name)->bears();
                }
                const double sum = std::max(own, sampled) + 1;
                const double share = owner.board.find(id)->bears() / bears;
                const uint32_t before = item->second.own + item->second.others;
                const auto bound = std::max<uint32_t>(
                        1, static_cast<uint32_t>(std::ceil(multiple * sum * share - 1e-9)));
                const bool admitted = owner.runs(++next, id);
                if (admitted) {
                    RC_ASSERT(before + 1 <= bound);
                    RC_ASSERT(before + 1 <= item->second.capacity);
                    if (announced[id].cold)
                        RC_ASSERT(before + 1 <= item->second.cold);
                    running[next] = id;
                    ++item->second.own;
                } else {
                    // A refusal has a reason that the recount shares.
                    const uint32_t limit = std::min(bound, owner.board.find(id)->bears());
                    RC_ASSERT(before + 1 > limit);
                }
                break;
            }
            }
        }
    });
}

} // namespace
} // namespace bamboogap
