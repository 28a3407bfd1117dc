// What a replica of a direct fleet hands to its link.

#include <random>

#include <capnp/message.h>
#include <catch2/catch.hpp>

#include "control/testing/fakedisk.h"
#include "node/replicafront.h"
#include "node/rosterwire.h"

namespace bamboogap {
namespace {

using std::chrono::milliseconds;

constexpr int kRouters = 195;
constexpr int kEngines = 99;
constexpr double kLinkBytesPerSecond = 750e3; // 6 Mbit/s
// The other half is for the replicated log, documents and what replicas tell each other.
constexpr double kMaxLinkShare = 0.5;

// One replica and the routers that report to it, without their connections.
class Reports
{
public:
    Reports()
        : peers_(loop_, "key")
        , control_(openControl())
        , front_(loop_, peers_, *control_, dialect_,
                 { kAddress, std::chrono::seconds(5), true, kLinkBytesPerSecond }, metrics_,
                 MemoFile(disk_.disk()), DepartureStore(disk_.disk()))
        , routers_(kRouters)
    {
    }

    // A router reports and takes the answer. Returns the answer's size in bytes.
    size_t report(int router, std::span<const CrashEvidence> crashes, bool isSource)
    {
        Router &known = routers_[router];
        capnp::MallocMessageBuilder asked;
        auto request = asked.initRoot<wire::SyncRequest>();
        request.setRouter("router-" + std::to_string(router));
        request.setIncarnation(1);
        request.setDataCentre("dc");
        request.setRosterEpoch(known.rosterEpoch);
        request.setRosterVersion(known.rosterVersion);
        request.setPlacementsVersion(known.placementsVersion);
        request.setLimitsVersion(known.limitsVersion);
        request.setSuspectsVersion(known.suspectsVersion);
        request.setTakesChanges(takesChanges);
        request.setQuarantinedVersion(known.quarantinedVersion);
        request.setWatchedVersion(known.watchedVersion);
        request.setReportsToSourceOnly(true);
        request.setWantsOthers(isSource);
        writeCrashes(crashes, request.initCrashEvidence(crashes.size()));
        capnp::MallocMessageBuilder answered;
        auto reply = answered.initRoot<wire::SyncReply>();
        front_.sync(request.asReader(), reply);
        known.rosterEpoch = reply.getRosterEpoch();
        known.rosterVersion = reply.getRosterVersion();
        known.placementsVersion = reply.getPlacementsVersion();
        known.limitsVersion = reply.getLimitsVersion();
        known.suspectsVersion = reply.getSuspectsVersion();
        if (reply.hasQuarantined())
            known.quarantinedVersion = reply.getQuarantined().getVersion();
        if (reply.hasWatched())
            known.watchedVersion = reply.getWatched().getVersion();
        lastSuspectsTold = reply.getSuspects().size();
        lastWatchedTold = reply.getWatched().getAdded().size();
        lastHadLoads = reply.getHasUses();
        return answered.sizeInWords() * sizeof(capnp::word);
    }

    void wait(Duration length) { loop_.run(loop_.sleep(length)); }

    bool takesChanges = true; // false: a router of an earlier version
    size_t lastSuspectsTold = 0; // in the list for earlier versions
    size_t lastWatchedTold = 0;
    bool lastHadLoads = false;

    void addEndpoints(int count)
    {
        std::vector<EndpointRecord> records(static_cast<size_t>(count));
        for (size_t i = 0; i < records.size(); ++i)
            records[i].id = "endpoint-" + std::to_string(i);
        front_.noteDeparture(records[0].id, packRecords(records), 0).detach([](auto &&) {});
    }

private:
    static constexpr const char *kAddress = "127.0.0.1:1";

    struct Router
    {
        uint64_t rosterEpoch = 0;
        uint64_t rosterVersion = 0;
        uint64_t placementsVersion = 0;
        uint64_t limitsVersion = 0;
        uint64_t suspectsVersion = 0;
        uint64_t quarantinedVersion = 0;
        uint64_t watchedVersion = 0;
    };

    std::unique_ptr<ControlTask> openControl()
    {
        ControlSettings settings;
        settings.name = "replica";
        settings.address = kAddress;
        settings.linkBytesPerSecond = kLinkBytesPerSecond;
        return std::move(*ControlTask::open(loop_, peers_, std::move(settings), disk_.disk()));
    }

    static void writeCrashes(std::span<const CrashEvidence> crashes,
                             capnp::List<wire::CrashEvidence>::Builder list)
    {
        for (size_t i = 0; i < crashes.size(); ++i) {
            list[i].setSubject(crashes[i].subject);
            list[i].setEndpoint(crashes[i].endpoint);
            list[i].setBornMillis(crashes[i].startMillis);
            list[i].setSentMillisAgo(200);
            list[i].setBrokeMillisAgo(20);
            list[i].setWholeRequest(crashes[i].isWholeRequest);
        }
    }

    FakeDisk disk_;
    EventLoop loop_;
    Peers peers_;
    Metrics metrics_;
    Dialect dialect_;
    std::unique_ptr<ControlTask> control_;
    ReplicaFront front_;
    std::vector<Router> routers_;
};

// What one broken request is evidence against: itself, and the parts of its prompt, of which the
// first are in many prompts.
std::vector<CrashEvidence> brokenRequest(std::mt19937_64 &random)
{
    const std::string engine = "engine-" + std::to_string(random() % (kEngines / 3));
    const auto subject
            = [&](uint64_t kinds) { return partFingerprint((kinds << 32) + random() % kinds); };
    std::vector<CrashEvidence> evidence;
    for (const Fingerprint part : { Fingerprint { random() }, subject(15), subject(700) })
        evidence.push_back({ part, engine, 1, {}, {}, evidence.empty() });
    return evidence;
}

// Guards against leaders that lose their terms because heartbeats wait behind answers that each
// carry the whole list of suspects.
TEST_CASE("while a third of the engines crash, answers to reports leave half of the link")
{
    constexpr Duration kLength = std::chrono::seconds(2);
    constexpr int kReportsPerSecond = 260;
    constexpr int kBrokenRequests = 33 * 16; // all that ran on the engines
    Reports reports;
    std::mt19937_64 random(41);
    const int count = kReportsPerSecond * static_cast<int>(kLength / std::chrono::seconds(1));
    size_t bytes = 0;
    int broken = 0;
    const Instant began = BootClock::now();
    for (int i = 0; i < count; ++i) {
        std::vector<CrashEvidence> evidence;
        for (; broken < kBrokenRequests * (i + 1) / count; ++broken) {
            for (CrashEvidence &item : brokenRequest(random))
                evidence.push_back(std::move(item));
        }
        const int router = i % kRouters;
        bytes += reports.report(router, evidence, router % 5 == 0);
        const Instant due = began + kLength * (i + 1) / count;
        if (const Instant now = BootClock::now(); now < due)
            reports.wait(due - now);
    }
    const std::chrono::duration<double> took(BootClock::now() - began);
    CAPTURE(bytes, took.count());
    CHECK(double(bytes) / took.count() < kMaxLinkShare * kLinkBytesPerSecond);
}

TEST_CASE("suspects are told to the routers that have their news from the replica")
{
    Reports reports;
    std::mt19937_64 random(41);
    const std::vector<CrashEvidence> evidence = brokenRequest(random);
    reports.report(0, evidence, false);
    CHECK(reports.lastWatchedTold == 0);
    reports.report(1, {}, true);
    CHECK(reports.lastWatchedTold == evidence.size());
    reports.report(1, {}, true);
    CHECK(reports.lastWatchedTold == 0); // it knows them
    CHECK(reports.lastSuspectsTold == 0);
}

// Guards against content that never finds room: the loads of 3,000 endpoints are 24 kB.
TEST_CASE("loads are told also if they are larger than what the budget has at once")
{
    Reports reports;
    reports.addEndpoints(3000);
    for (int i = 0; i < 50 && !reports.lastHadLoads; ++i) {
        reports.report(1, {}, true);
        reports.wait(milliseconds(20));
    }
    CHECK(reports.lastHadLoads);
}

TEST_CASE("a router of an earlier version is told the whole list of suspects")
{
    Reports reports;
    reports.takesChanges = false;
    std::mt19937_64 random(41);
    const std::vector<CrashEvidence> evidence = brokenRequest(random);
    reports.report(0, evidence, false);
    CHECK(reports.lastSuspectsTold == evidence.size());
    reports.report(0, {}, false);
    CHECK(reports.lastSuspectsTold == 0); // it has this version
    CHECK(reports.lastWatchedTold == 0);
}

// The control server, as a replica without routers runs it.
class GroupServer final : public ControlServer
{
public:
    using ControlServer::ControlServer;
};

// Guards against retries that each take the links and the log once more.
TEST_CASE("an order for a document that is installed, or older, is acknowledged without an entry")
{
    FakeDisk disk;
    EventLoop loop;
    Peers peers(loop, "key");
    ControlSettings settings;
    settings.name = "replica";
    settings.address = "127.0.0.1:1";
    settings.peers = { settings.address };
    settings.selfManaged = true;
    settings.firstStart = true;
    auto control = std::move(*ControlTask::open(loop, peers, settings, disk.disk()));
    peers.setSelf(settings.address, kj::heap<GroupServer>(control.get()));
    control->start();
    while (!control->maySpeak())
        loop.run(loop.sleep(milliseconds(20)));
    const auto install = [&](uint64_t version) {
        bool acknowledged = false;
        loop.run(control->command(InstallRoutesCommand { version, "document" })
                         .then([&](Result<CommandAnswer> answer) {
                             acknowledged = answer.has_value();
                         }));
        return acknowledged;
    };
    CHECK(install(5));
    const LogIndex logged = control->logPosition().commit;
    CHECK(install(5));
    CHECK(install(4));
    CHECK(control->logPosition().commit == logged);
    CHECK(install(6));
    CHECK(control->logPosition().commit == logged + 1);
}

} // namespace
} // namespace bamboogap
