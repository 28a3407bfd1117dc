// Admission at the owner of endpoints: load multiple, slow-start limit, suspect requests and
// waiting requests. A property test compares it with a recount from scratch.

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
        : loadTable(multiple)
        , admission(settings, &loadTable,
                    [this](std::string_view id) -> std::optional<std::string> {
                        if (out.count(std::string(id)))
                            return "data centre out";
                        return std::nullopt;
                    })
    {
        for (size_t i = 0; i < engines; ++i)
            add(engine(name(i)), 8);
    }

    static std::string name(size_t i) { return "e" + std::to_string(i); }

    void add(const Announcement &announcement, uint32_t slowStartLimit)
    {
        loadTable.set(announcement.id, announcement.poolName(), announcement.capacity, true);
        admission.setEndpoint(announcement, slowStartLimit);
    }

    AdmissionResult admit(RequestId id, const std::string &endpoint, bool mayWait = false,
                          bool suspect = false)
    {
        AdmissionRequest request;
        request.queueEntry.id = id;
        request.queueEntry.workspace = "ws";
        request.queueEntry.startBy = now + seconds(30);
        request.endpoint = endpoint;
        request.fingerprint = id * 100;
        request.suspect = suspect;
        request.mayWait = mayWait;
        request.acceptsEndpoint = [](std::string_view) { return true; };
        return admission.admit(request, now);
    }

    bool runs(RequestId id, const std::string &endpoint)
    {
        return admit(id, endpoint).decision == AdmissionDecision::Run;
    }

    Instant now { seconds(1000) };
    std::set<std::string> out;
    LoadTable loadTable;
    Admission admission;
};

TEST_CASE("a single engine may be filled to its capacity", "[admission][promise-1]")
{
    Owner owner(1);
    for (RequestId id = 1; id <= 8; ++id)
        CHECK(owner.runs(id, "e0"));
    CHECK_FALSE(owner.runs(9, "e0"));
}

TEST_CASE("no engine exceeds the load multiple of the mean", "[admission][promise-1]")
{
    Owner owner(4);
    CHECK(owner.runs(1, "e0"));
    // One request runs on four engines: a second one on the same engine would be twice its
    // share.
    CHECK_FALSE(owner.runs(2, "e0"));
    CHECK(owner.runs(3, "e1"));
    CHECK(owner.runs(4, "e2"));
    CHECK(owner.runs(5, "e0")); // ceil(1.25 * 4 / 4) = 2
    CHECK_FALSE(owner.runs(6, "e0"));
}

TEST_CASE("requests of other routers count as of the last sample", "[admission][promise-1]")
{
    Owner owner(2);
    owner.loadTable.setOthersRunning("e1", 6);
    owner.loadTable.setOthersRunning("e0", 3);
    owner.loadTable.setPoolSample("model/m1", 9);
    CHECK(owner.runs(1, "e0"));
    // No request may start on an engine that other routers have filled.
    owner.loadTable.setOthersRunning("e1", 8);
    CHECK_FALSE(owner.runs(2, "e1"));
    // When the load falls, the mean and with it the limit fall.
    owner.loadTable.setPoolSample("model/m1", 2);
    CHECK_FALSE(owner.runs(3, "e0"));
}

TEST_CASE("engines that return cold do not lower the limit of warm ones",
          "[admission][promise-1][promise-2]")
{
    Owner owner(13);
    for (size_t i = 13; i < 20; ++i)
        owner.add(engine(Owner::name(i)), 0); // cold: usable capacity 2 of 8
    RequestId id = 0;
    size_t admitted = 0;
    for (int round = 0; round < 8; ++round) {
        for (size_t i = 0; i < 13; ++i)
            admitted += owner.runs(++id, Owner::name(i));
    }
    CHECK(admitted >= size_t { 13 } * 6);
}

TEST_CASE("a new endpoint starts at its cold capacity, and its limit grows with completed requests",
          "[admission][promise-2]")
{
    Owner owner(0);
    owner.add(engine("e0", 32, 2), 0);
    CHECK(owner.runs(1, "e0"));
    CHECK(owner.runs(2, "e0"));
    const AdmissionResult third = owner.admit(3, "e0");
    CHECK(third.decision == AdmissionDecision::Reject);
    CHECK(third.reason.find("cold") != std::string::npos);
    FinishReport whole;
    whole.completed = true;
    owner.admission.onFirstToken(1, milliseconds(100));
    owner.admission.finish(1, whole, owner.now);
    owner.admission.finish(2, whole, owner.now);
    for (RequestId id = 4; id <= 6; ++id)
        CHECK(owner.runs(id, "e0"));
    CHECK_FALSE(owner.runs(7, "e0"));
}

TEST_CASE("an endpoint that turns cold returns to its cold capacity at once",
          "[admission][promise-2]")
{
    Owner owner(0);
    Announcement warm = engine("e0", 32, 2);
    owner.add(warm, 32);
    REQUIRE(owner.admission.limitOf("e0") > 0);
    SECTION("by its announcement")
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
        owner.admission.onFirstToken(1, milliseconds(200));
        owner.admission.onFirstToken(1, seconds(5));
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

TEST_CASE("the limit of a cold endpoint does not grow until it reports that it is warm",
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
    CHECK(owner.admit(1, "e0", false, true).decision == AdmissionDecision::Run);
    CHECK(owner.admit(2, "e0", false, true).decision == AdmissionDecision::Reject);
    CHECK(owner.runs(3, "e0"));
    FinishReport crashed;
    crashed.crashed = true;
    const auto fingerprints = owner.admission.finish(1, crashed, owner.now);
    CHECK(fingerprints == std::vector<Fingerprint> { 100, 300 });
}

TEST_CASE("a waiting request starts when a slot is free and is rejected at its deadline",
          "[admission]")
{
    AdmissionSettings settings;
    settings.initialServiceTime = milliseconds(100);
    Owner owner(1, 1.25, settings);
    for (RequestId id = 1; id <= 8; ++id)
        REQUIRE(owner.runs(id, "e0"));
    CHECK(owner.admit(9, "e0", true).decision == AdmissionDecision::Wait);
    CHECK(owner.admit(10, "e0", true).decision == AdmissionDecision::Wait);
    FinishReport whole;
    whole.completed = true;
    owner.admission.finish(1, whole, owner.now);
    const QueueUpdate update = owner.admission.advance(owner.now);
    REQUIRE(update.starts.size() == 1);
    CHECK(update.starts[0].id == 9);
    owner.now = owner.admission.nextExpiry();
    const QueueUpdate late = owner.admission.advance(owner.now);
    REQUIRE(late.rejections.size() == 1);
    CHECK(late.rejections[0].id == 10);
    CHECK(late.rejections[0].result.kind == ErrorKind::DeadlineTooShort);
    CHECK(late.rejections[0].result.retryAfter >= seconds(1));
}

TEST_CASE("a request that cannot meet its deadline is rejected on arrival", "[admission]")
{
    Owner owner(1);
    for (RequestId id = 1; id <= 8; ++id)
        REQUIRE(owner.runs(id, "e0"));
    AdmissionRequest request;
    request.queueEntry.id = 9;
    request.queueEntry.startBy = owner.now + milliseconds(10);
    request.endpoint = "e0";
    request.mayWait = true;
    const AdmissionResult rejected = owner.admission.admit(request, owner.now);
    CHECK(rejected.decision == AdmissionDecision::Reject);
    CHECK(rejected.kind == ErrorKind::DeadlineTooShort);
}

// Random arrivals, completions, cold periods and delayed reports of other routers, with a
// recount from scratch at each admission.
TEST_CASE("admissions agree with a recount", "[admission][fuzz][promise-1][promise-2]")
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
        for (size_t i = 0; owner.loadTable.find(Owner::name(i)); ++i) {
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
                owner.loadTable.setOthersRunning(id, item->second.others);
                sampled = random() % 40;
                owner.loadTable.setPoolSample("model/m1", sampled);
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
                // Recount the totals and usable capacities.
                uint32_t own = 0;
                double usableCapacity = 0;
                for (const auto &[name, engine] : truth) {
                    own += engine.own;
                    usableCapacity += owner.loadTable.find(name)->usableCapacity();
                }
                const double sum = std::max(own, sampled) + 1;
                const double share = owner.loadTable.find(id)->usableCapacity() / usableCapacity;
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
                    // A rejection must agree with the recount.
                    const uint32_t limit
                            = std::min(bound, owner.loadTable.find(id)->usableCapacity());
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
