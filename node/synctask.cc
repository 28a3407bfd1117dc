// Reports and answers between a direct router and the control replicas.

#include "node/synctask.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "base/hash.h"
#include "base/log.h"
#include "node/convert.h"
#include "node/rosterwire.h"

namespace bamboogap {

namespace {

// An answer takes two crossings and a few milliseconds of a small processor; a
// replica that needs longer is cut off or stands still.
constexpr Duration kAnswerLimit = std::chrono::milliseconds(900);
// In a large fleet answers wait for each other on a replica's link; giving one up and
// asking again only adds to that.
constexpr Duration kAnswerPerRouter = std::chrono::milliseconds(25);
constexpr Duration kRoutesLimit = std::chrono::seconds(3);
// A replica that does not answer for this long is cut off; another one tells of the document.
constexpr Duration kRoutesAnswerLimit = std::chrono::seconds(1);
// A router that passes a document on has little else to send.
constexpr Duration kHolderLimit = std::chrono::milliseconds(500);
// A replica that has not answered yet is given less time: while its machine has no
// power, connecting hangs, and a new attempt succeeds as soon as it is back.
constexpr Duration kFirstAnswerLimit = std::chrono::milliseconds(350);
// Between attempts at a replica that did not answer; doubled up to the longest.
constexpr Duration kRetryFirst = std::chrono::milliseconds(100);
constexpr Duration kRetryLongest = std::chrono::milliseconds(1600);
// A replica that did not answer for this long no longer vouches for endpoints.
constexpr Duration kReplicaLost = std::chrono::milliseconds(2500);
// A router that starts while no leader is found serves by any replica's routes
// after this.
constexpr Duration kTrustAnyReplica = std::chrono::seconds(3);
// Each router adds this to the interval, so that a replica's work stays bounded in
// a large fleet: 2,000 reports a second would take a fifth of a core.
constexpr Duration kIntervalPerRouter = std::chrono::milliseconds(8);
// The same for reports to a router's source, which carry and bring the loads: a fifth of
// the routers report to a replica so often.
constexpr Duration kSourceIntervalPerRouter = std::chrono::milliseconds(2);
// Between reports of a router that has no routes yet: a few crossings, so that it
// serves as soon as a leader is there.
constexpr Duration kIntervalWithoutRoutes = std::chrono::milliseconds(50);
constexpr size_t kMaxPlacementsSent = 256;
// Urgent reports wait for others of the same crash.
constexpr Duration kUrgentDelay = std::chrono::milliseconds(20);
// Watched and quarantined subjects whose answers a router reports.
constexpr size_t kMaxReported = 256;
// Between two reports of a limit that an endpoint goes on to name.
constexpr Duration kLimitRefresh = std::chrono::seconds(1);
// Replicas that call a router before it knows the control group; a group has fewer members.
constexpr size_t kMostCallers = 32;

SuspicionStatus readStatus(uint8_t value)
{
    return static_cast<SuspicionStatus>(
            std::min(value, static_cast<uint8_t>(SuspicionStatus::Quarantined)));
}

} // namespace

SyncTask::SyncTask(EventLoop &loop, Peers &peers, SyncSettings settings, Hooks hooks)
    : loop_(loop)
    , peers_(peers)
    , settings_(std::move(settings))
    , hooks_(std::move(hooks))
    , startedAt_(BootClock::now())
{
}

void SyncTask::start()
{
    followReplicas();
    syncAll();
    syncSource();
}

std::vector<std::string> SyncTask::targets() const
{
    std::set<std::string> all(settings_.seeds.begin(), settings_.seeds.end());
    all.insert(members_.begin(), members_.end());
    if (members_.empty())
        all.insert(callers_.begin(), callers_.end());
    return { all.begin(), all.end() };
}

void SyncTask::followReplicas()
{
    const auto wanted = targets();
    for (const std::string &address : wanted)
        links_.try_emplace(address);
    std::erase_if(links_, [&](const auto &item) {
        const bool unwanted = !item.second.inFlight
                && std::find(wanted.begin(), wanted.end(), item.first) == wanted.end();
        if (unwanted)
            suspects_.remove(item.first);
        return unwanted;
    });
}

void SyncTask::syncAll()
{
    const Instant now = BootClock::now();
    markLost(now);
    limits_.expire(now);
    std::erase_if(limitReportedAt_, [now](const auto &item) {
        return now - item.second > EndpointRateLimits::kRetention;
    });
    chooseSource();
    takePlacements();
    syncLinks();
    const Duration least = table_ ? settings_.interval : kIntervalWithoutRoutes;
    const Duration interval = std::max<Duration>(least, fleet_.routers * kIntervalPerRouter);
    loop_.detach(loop_.sleep(interval).then([this]() { syncAll(); }), "sync");
}

void SyncTask::syncLinks()
{
    const Instant now = BootClock::now();
    for (auto &[address, link] : links_) {
        if (!link.inFlight && now >= link.askAgainAt)
            sync(address);
    }
}

// One report for all that comes in within a moment.
void SyncTask::syncSoon()
{
    if (std::exchange(syncSoon_, true))
        return;
    loop_.detach(loop_.sleep(kUrgentDelay).then([this]() {
        syncSoon_ = false;
        syncLinks();
    }),
                 "urgent sync");
}

// In a large fleet the source hears of this router's work more often than the other
// replicas hear from it at all, and tells of the others' work as often.
void SyncTask::syncSource()
{
    const Instant now = BootClock::now();
    if (reportsToTargetOnly(fleet_.routers)) {
        chooseSource();
        takePlacements();
        const auto source = links_.find(sourceOfOthers_);
        if (source != links_.end() && !source->second.inFlight && now >= source->second.askAgainAt)
            sync(source->first);
    }
    const Duration interval
            = std::max<Duration>(settings_.interval, fleet_.routers * kSourceIntervalPerRouter);
    loop_.detach(loop_.sleep(interval).then([this]() { syncSource(); }), "sync with the source");
}

void SyncTask::takePlacements()
{
    for (PromptPlacement &placement : hooks_.takePlacements())
        placements_.add({}, std::move(placement));
}

void SyncTask::chooseSource()
{
    std::vector<std::string> reachable;
    for (const auto &[address, link] : links_) {
        if (link.reachable)
            reachable.push_back(address);
    }
    const std::string before
            = std::exchange(sourceOfOthers_, reportTargetOf(settings_.name, reachable));
    if (before == sourceOfOthers_)
        return;
    suspects_.dropWatched(before);
    if (const auto former = links_.find(before); former != links_.end())
        former->second.watchedVersion = 0;
}

// A replica's word on endpoints ends with the connection to it, but only while
// others answer: a router that is cut off from all keeps what it knows.
void SyncTask::markLost(Instant now)
{
    if (replicasAnswering(now) == 0)
        return;
    for (auto &[address, link] : links_) {
        if (now - link.answeredAt >= kReplicaLost)
            roster_.setReachable(address, false);
    }
}

void SyncTask::sync(const std::string &address)
{
    ReplicaLink &link = links_[address];
    auto call = peers_.node(address, Lane::Control).syncRequest();
    auto request = call.initRequest();
    request.setRouter(settings_.name);
    request.setIncarnation(settings_.incarnation);
    request.setDataCentre(settings_.dataCentre);
    request.setRosterEpoch(link.rosterEpoch);
    request.setRosterVersion(link.rosterVersion);
    request.setSuspectsVersion(link.suspectsVersion);
    request.setTakesChanges(true);
    request.setQuarantinedVersion(link.quarantinedVersion);
    request.setWatchedVersion(link.watchedVersion);
    request.setLeaving(leaving_);
    request.setRoutesVersion(table_ ? table_->version() : 0);
    const bool isSource = address == sourceOfOthers_;
    const bool sourceOnly = reportsToTargetOnly(fleet_.routers);
    request.setReportsToSourceOnly(sourceOnly);
    const std::vector<EndpointUse> own
            = sourceOnly && !isSource ? std::vector<EndpointUse>() : hooks_.uses();
    auto uses = request.initUses(own.size());
    for (size_t i = 0; i < own.size(); ++i) {
        uses[i].setKey(own[i].key);
        uses[i].setRunning(std::min<uint32_t>(own[i].running, UINT16_MAX));
        uses[i].setUnreadTokens(own[i].pendingPrefillTokens);
    }
    if (hooks_.takeDemands && isSource)
        request.getOptional().setServiceDemand(toData(packDemands(hooks_.takeDemands())));
    const auto newLeaving = leavingEndpoints_.since(link.leavingSent);
    auto leaving = request.initLeavingEndpoints(newLeaving.size());
    for (size_t i = 0; i < newLeaving.size(); ++i) {
        leaving[i].setId(newLeaving[i].id);
        leaving[i].setBornMillis(newLeaving[i].bornMillis);
    }
    const uint64_t leavingSent = leavingEndpoints_.end();
    writeEvidence(link, request);
    const auto newLimits = limitReports_.since(link.limitsSent);
    write(newLimits, request.initLimits(newLimits.size()), BootClock::now());
    request.setLimitsVersion(link.limitsVersion);
    const uint64_t limitsSent = limitReports_.end();
    const uint64_t evidenceSent = crashEvidence_.end();
    const uint64_t livingSent = livingEndpoints_.end();
    uint64_t placementsSent = link.placementsSent;
    const auto placed = placements_.since(placementsSent, "-", kMaxPlacementsSent);
    write(placed, request.initPlacements(placed.size()));
    request.setWantsOthers(isSource);
    request.setPlacementsVersion(link.placementsVersion);
    writeRollouts(isSource, request);
    request.setReplicasDigest(digestOfReplicas(members_));
    if (link.rosterEpoch == 0 || link.addressToldTo != link.rosterEpoch)
        request.setPeerAddress(settings_.peerAddress);
    link.inFlight = true;
    link.askedAt = BootClock::now();
    const uint64_t attempt = ++link.attempt;
    const Duration limit = link.reachable
            ? std::max<Duration>(kAnswerLimit, fleet_.routers * kAnswerPerRouter)
            : kFirstAnswerLimit + fleet_.routers * kIntervalPerRouter;
    loop_.detach(loop_.within(limit, call.send())
                         .then(
                                 [=, this](auto &&response) {
                                     const auto found = links_.find(address);
                                     if (found == links_.end() || found->second.attempt != attempt)
                                         return;
                                     ReplicaLink &answered = found->second;
                                     answered.leavingSent = leavingSent;
                                     answered.evidenceSent = evidenceSent;
                                     answered.livingSent = livingSent;
                                     answered.limitsSent = limitsSent;
                                     answered.placementsSent = placementsSent;
                                     answered.addressToldTo = response.getReply().getRosterEpoch();
                                     onReply(address, answered, response.getReply());
                                 },
                                 [this, address, attempt](kj::Exception &&problem) {
                                     onFailure(address, attempt, problem);
                                 }),
                 "sync");
}

// What speaks for and against the requests and parts of prompts that the replica suspects.
void SyncTask::writeEvidence(const ReplicaLink &link, wire::SyncRequest::Builder request) const
{
    const Instant now = BootClock::now();
    const auto clampedMillis = [](Duration duration) {
        return static_cast<uint32_t>(std::clamp<int64_t>(toMillis(duration), 0, UINT32_MAX));
    };
    const auto millisAgo = [&](Instant at) { return clampedMillis(now - at); };
    const auto newCrashes = crashEvidence_.since(link.evidenceSent);
    auto crashes = request.initCrashEvidence(newCrashes.size());
    for (size_t i = 0; i < newCrashes.size(); ++i) {
        crashes[i].setSubject(newCrashes[i].subject);
        crashes[i].setEndpoint(newCrashes[i].endpoint);
        crashes[i].setBornMillis(newCrashes[i].startMillis);
        crashes[i].setSentMillisAgo(millisAgo(newCrashes[i].sentAt));
        crashes[i].setBrokeMillisAgo(millisAgo(newCrashes[i].brokeAt));
        crashes[i].setWholeRequest(newCrashes[i].isWholeRequest);
        crashes[i].setRanMillis(clampedMillis(newCrashes[i].ran));
    }
    const auto newLiving = livingEndpoints_.since(link.livingSent);
    auto living = request.initLivingEndpoints(newLiving.size());
    for (size_t i = 0; i < newLiving.size(); ++i) {
        living[i].setId(newLiving[i].id);
        living[i].setBornMillis(newLiving[i].bornMillis);
    }
    const AnswerTimes &times = hooks_.answerTimes();
    // The source told of the watched ones; all replicas need to know of their answers.
    const std::set<Fingerprint> subjects = suspects_.toReport(kMaxReported);
    std::vector<std::pair<Fingerprint, Instant>> seen;
    for (const Fingerprint subject : subjects) {
        if (const auto at = times.lastOf(subject))
            seen.emplace_back(subject, *at);
    }
    auto answers = request.initLastAnswers(seen.size());
    for (size_t i = 0; i < seen.size(); ++i) {
        answers[i].setSubject(seen[i].first);
        answers[i].setMillisAgo(millisAgo(seen[i].second));
    }
    if (!subjects.empty()) {
        std::vector<StreamRun> runs = hooks_.streamRuns();
        std::erase_if(runs, [&](const StreamRun &run) { return subjects.count(run.subject) == 0; });
        auto written = request.initStreamRuns(runs.size());
        for (size_t i = 0; i < runs.size(); ++i) {
            written[i].setSubject(runs[i].subject);
            written[i].setRanMillis(clampedMillis(runs[i].ran));
            written[i].setMillisAgo(millisAgo(runs[i].lastEventAt));
        }
    }
    if (const auto last = times.last())
        request.initAnyAnswer().setMillisAgo(millisAgo(*last));
}

// The attempt that hangs was made while the replica did not run.
void SyncTask::onReplicaStarted(const std::string &address)
{
    if (!parseSocketAddress(address)) {
        logEvent(LogLevel::Warning, "replica_call_ignored",
                 { { "replica", address }, { "problem", "not an address" } });
        return;
    }
    if (members_.empty() && callers_.size() < kMostCallers)
        callers_.insert(address);
    followReplicas();
    const auto found = links_.find(address);
    if (found == links_.end())
        return;
    ReplicaLink &link = found->second;
    if (link.reachable && link.inFlight)
        return;
    if (link.inFlight) {
        ++link.attempt;
        link.inFlight = false;
        peers_.drop(address, Lane::Control);
    }
    link.retryAfter = {};
    link.askAgainAt = {};
    sync(address);
}

void SyncTask::onFailure(const std::string &address, uint64_t attempt, const kj::Exception &problem)
{
    const auto found = links_.find(address);
    if (found == links_.end() || found->second.attempt != attempt)
        return;
    ReplicaLink &link = found->second;
    link.inFlight = false;
    link.retryAfter = std::clamp(link.retryAfter * 2, kRetryFirst, kRetryLongest);
    link.askAgainAt = BootClock::now() + link.retryAfter;
    peers_.drop(address, Lane::Control);
    if (!link.reachable)
        return;
    link.reachable = false;
    logEvent(LogLevel::Warning, "replica_lost",
             { { "replica", address },
               { "reason", std::string(problem.getDescription().cStr()) },
               { "replicas_left", fmt::to_string(replicasAnswering(BootClock::now())) } });
}

void SyncTask::onReply(const std::string &address, ReplicaLink &link, wire::SyncReply::Reader reply)
{
    const Instant now = BootClock::now();
    link.inFlight = false;
    link.answeredAt = now;
    link.retryAfter = {};
    if (!link.reachable) {
        link.reachable = true;
        logEvent(LogLevel::Info, "replica_reached",
                 { { "replica", address }, { "current", reply.getCurrent() ? "yes" : "no" } });
    }
    if (reply.getCurrent()) {
        confirmed_ = true;
        confirmedAt_ = now;
        confirmedVersion_ = std::max(confirmedVersion_, reply.getRoutesVersion());
        sharers_.onReply(reply.getSharers(), now);
    }
    readRollouts(address, reply, link.askedAt);
    hadPredecessor_ = hadPredecessor_ || !reply.getFirstProcess();
    RosterChanges changes;
    changes.epoch = reply.getRosterEpoch();
    changes.version = reply.getRosterVersion();
    changes.full = reply.getRosterFull();
    roster_.setReachable(address, true);
    if (auto records = unpackRecords(toView(reply.getChanged()))) {
        changes.records = std::move(*records);
        roster_.apply(address, changes, now);
        link.rosterEpoch = changes.epoch;
        link.rosterVersion = changes.version;
    } else {
        logEvent(LogLevel::Error, "endpoints_unreadable",
                 { { "replica", address }, { "problem", records.error().message } });
    }

    if (reply.getRevision() > deploymentRevision_) {
        deploymentRevision_ = reply.getRevision();
        std::set<std::string> out;
        for (const auto name : reply.getDataCentresOut())
            out.emplace(toView(name));
        if (out != dataCentresOut_) {
            dataCentresOut_ = std::move(out);
            logEvent(LogLevel::Info, "data_centres_out",
                     { { "out", fmt::format("{}", fmt::join(dataCentresOut_, ",")) },
                       { "revision", fmt::to_string(deploymentRevision_) },
                       { "replica", address } });
        }
    }
    if (reply.getHasUses() && address == sourceOfOthers_) {
        others_.clear();
        for (const auto &[id, endpoint] : roster_.endpoints())
            others_.push_back({ endpoint.key, 0, 0 });
        unpackUses(toView(reply.getUses()), others_);
    }
    if (address == sourceOfOthers_ && reply.hasOptional()
        && reply.getOptional().hasServiceDemand()) {
        demands_ = unpackDemands(toView(reply.getOptional().getServiceDemand()));
        demandsAt_ = BootClock::now();
    }
    fleet_ = { std::max<uint32_t>(1, reply.getRouters()), reply.getRank() };
    notePosition(reply, link.askedAt);
    if (address == sourceOfOthers_)
        readLimits(address, link, reply);
    link.placementsVersion = reply.getPlacementsVersion();
    if (reply.getPlacements().size() > 0)
        hooks_.learn(read(reply.getPlacements()));
    readSuspects(address, link, reply);
    if (!table_ || reply.getRoutesVersion() > table_->version())
        fetchRoutes(address);
    readReplicas(reply); // may erase the link
    hooks_.changed();
}

// After a power loss of all, seeds may be the replicas that lost their disks; any other's old list
// finds the rest.
void SyncTask::readReplicas(wire::SyncReply::Reader reply)
{
    if (reply.getReplicas().size() == 0 || (!reply.getCurrent() && !members_.empty()))
        return;
    std::vector<std::string> members;
    for (const auto member : reply.getReplicas())
        members.emplace_back(toView(member));
    if (members == members_)
        return;
    members_ = std::move(members);
    followReplicas();
}

void SyncTask::readSuspects(const std::string &address, ReplicaLink &link,
                            wire::SyncReply::Reader reply)
{
    link.suspectsVersion = reply.getSuspectsVersion();
    if (reply.getHasSuspects()) {
        std::vector<SuspectRequest> suspects;
        for (const auto item : reply.getSuspects())
            suspects.push_back({ item.getFingerprint(), readStatus(item.getStanding()) });
        suspects_.assign(address, suspects);
    }
    if (reply.hasQuarantined()) {
        const FingerprintChange change = read(reply.getQuarantined());
        if (change.full) { // another process of the replica
            suspects_.dropWatched(address);
            link.watchedVersion = 0;
        }
        suspects_.applyQuarantined(address, change);
        link.quarantinedVersion = change.version;
    }
    if (reply.hasWatched() && address == sourceOfOthers_) {
        const FingerprintChange change = read(reply.getWatched());
        // What the changes are of may have been dropped since they were asked for.
        if (!change.full && link.watchedVersion == 0)
            return;
        suspects_.applyWatched(address, change);
        link.watchedVersion = change.version;
    }
}

void SyncTask::fetchRoutes(const std::string &replica)
{
    if (fetching_)
        return;
    fetching_ = true;
    Fetch fetch;
    fetch.replica = replica;
    fetch.began = BootClock::now();
    ask(std::move(fetch));
}

void SyncTask::ask(Fetch fetch)
{
    ++fetch.asked;
    const std::string address = fetch.from();
    auto request = peers_.node(address, Lane::Control).routesRequest();
    request.setKnown(fetch.whole ? 0 : document_.version());
    request.setRouter(settings_.peerAddress);
    request.setDataCentre(settings_.dataCentre);
    request.setFailed(fetch.failedHolder);
    const Duration limit = fetch.holder.empty() ? kRoutesAnswerLimit : kHolderLimit;
    loop_.detach(loop_.within(limit, request.send())
                         .then([this, fetch](auto &&response) { onRoutes(fetch, response); },
                               [this, fetch](kj::Exception &&problem) {
                                   if (!fetch.holder.empty())
                                       askReplica(fetch);
                                   else
                                       endFetch(fetch, problem.getDescription().cStr());
                               }),
                 "fetch routes");
}

void SyncTask::askReplica(Fetch fetch)
{
    peers_.drop(fetch.holder, Lane::Control);
    fetch.failedHolder = std::exchange(fetch.holder, {});
    ask(std::move(fetch));
}

void SyncTask::onRoutes(Fetch fetch, wire::Node::RoutesResults::Reader answer)
{
    const bool hasDocument = answer.getVersion() > 0;
    if (!hasDocument && BootClock::now() - fetch.began > kRoutesLimit) {
        endFetch(fetch, "took too long");
        return;
    }
    if (answer.getRetryAfterMillis() > 0) {
        const std::chrono::milliseconds pause(answer.getRetryAfterMillis());
        loop_.detach(loop_.sleep(std::min<Duration>(pause, kRoutesLimit)).then([this, fetch]() {
            ask(fetch);
        }),
                     "wait for routes");
        return;
    }
    if (answer.getHolder().size() > 0) {
        fetch.holder = std::string(toView(answer.getHolder()));
        ask(std::move(fetch));
        return;
    }
    if (!hasDocument && !fetch.holder.empty()) {
        askReplica(std::move(fetch));
        return;
    }
    DocumentUpdate piece { answer.getVersion(), answer.getBase(),
                           std::string(toView(answer.getDocument())) };
    const bool isDifference = piece.base != 0;
    const auto installed = install(std::move(piece), fetch);
    if (!installed && isDifference && !fetch.whole) {
        fetch.whole = true;
        fetch.holder.clear();
        ask(std::move(fetch));
        return;
    }
    if (!fetch.holder.empty())
        peers_.drop(fetch.holder, Lane::Control);
    endFetch(fetch, {});
}

void SyncTask::endFetch(const Fetch &fetch, std::string_view problem)
{
    fetching_ = false;
    if (problem.empty())
        return;
    logEvent(LogLevel::Warning, "routes_not_fetched",
             { { "replica", fetch.replica },
               { "holder", fetch.holder },
               { "asked", fmt::to_string(fetch.asked) },
               { "reason", std::string(problem) } });
}

Result<void> SyncTask::install(DocumentUpdate piece, const Fetch &fetch)
{
    if (piece.version == 0 || (table_ && piece.version <= table_->version()))
        return {};
    const auto refused = [&](const Error &error) {
        logEvent(LogLevel::Error, "routes_refused",
                 { { "version", fmt::to_string(piece.version) },
                   { "base", fmt::to_string(piece.base) },
                   { "from", fetch.from() },
                   { "problem", error.message },
                   { "remedy", error.remedy } });
        return Result<void>(tl::unexpected(error));
    };
    auto text = document_.decode(piece);
    if (!text)
        return refused(text.error());
    auto parsed = hooks_.parseRoutes(*text);
    if (!parsed)
        return refused(parsed.error());
    table_ = std::make_shared<const RouteTable>(std::move(*parsed));
    logEvent(LogLevel::Info, "routes_in_force",
             { { "version", fmt::to_string(piece.version) },
               { "base", fmt::to_string(piece.base) },
               { "routes", fmt::to_string(table_->routes().size()) },
               { "from", fetch.from() },
               { "bytes", fmt::to_string(piece.bytes.size()) },
               { "asked", fmt::to_string(fetch.asked) },
               { "fetch_ms", fmt::to_string(toMillis(BootClock::now() - fetch.began)) } });
    document_.assign(std::move(piece), std::move(*text));
    hooks_.changed();
    return {};
}

void SyncTask::leave()
{
    leaving_ = true;
    for (auto &[address, link] : links_) {
        if (!link.inFlight)
            sync(address);
    }
}

void SyncTask::reportLeaving(Incarnation endpoint)
{
    leavingEndpoints_.add(std::move(endpoint));
}

void SyncTask::reportCrashEvidence(CrashEvidence crash)
{
    logEvent(LogLevel::Info, "crash_suspected",
             { { "fingerprint", fmt::format("{:016x}", crash.subject) },
               { "crash", crashName(crash.endpoint, crash.startMillis) },
               { "waited_ms", fmt::to_string(toMillis(crash.brokeAt - crash.sentAt)) } });
    crashEvidence_.add(std::move(crash));
    syncSoon();
}

bool SyncTask::observeLimit(const LimitObservation &observation)
{
    const bool changed = limits_.observe(observation);
    const auto reported = limitReportedAt_.find(observation.key);
    const bool due = observation.perSecond
            && (reported == limitReportedAt_.end()
                || observation.answeredAt - reported->second >= kLimitRefresh);
    if (changed || due) {
        limitReportedAt_[observation.key] = observation.answeredAt;
        limitReports_.add(observation);
    }
    return changed;
}

void SyncTask::readLimits(const std::string &address, ReplicaLink &link,
                          wire::SyncReply::Reader reply)
{
    link.limitsVersion = reply.getLimitsVersion();
    for (const LimitObservation &told : read(reply.getLimits(), BootClock::now())) {
        if (!limits_.observe(told))
            continue;
        logEvent(LogLevel::Info, "endpoint_limit",
                 { { "endpoint", endpointName(told.key) },
                   { "per_second", told.perSecond ? fmt::to_string(*told.perSecond) : "none" },
                   { "replica", address } });
    }
}

std::string SyncTask::endpointName(EndpointKey key) const
{
    for (const auto &[id, endpoint] : roster_.endpoints()) {
        if (endpoint.key == key)
            return id;
    }
    return fmt::format("{:016x}", key);
}

// The leader counts this router as alive for some time after its report. A leader that has not
// heard from all routers yet tells no number of sharers.
void SyncTask::notePosition(wire::SyncReply::Reader reply, Instant askedAt)
{
    if (!reply.getLeads() || reply.getSharers() == 0)
        return;
    position_.routers = std::max<uint32_t>(1, reply.getRouters());
    position_.rank = std::min<uint32_t>(reply.getRank(), position_.routers - 1);
    const Duration aliveTimeout = std::max<Duration>(
            RouterTable::kAliveTimeout, position_.routers * RouterTable::kAliveTimeoutPerRouter);
    position_.confirmedUntil = askedAt + aliveTimeout;
}

void SyncTask::reportLiving(Incarnation endpoint)
{
    logEvent(LogLevel::Info, "endpoint_goes_on",
             { { "endpoint", endpoint.id }, { "born_ms", fmt::to_string(endpoint.bornMillis) } });
    livingEndpoints_.add(std::move(endpoint));
    syncSoon();
}

void SyncTask::setSeeds(std::vector<std::string> seeds)
{
    settings_.seeds = std::move(seeds);
    followReplicas();
}

bool SyncTask::isReady(Instant now) const
{
    if (!table_)
        return false;
    return (confirmed_ && table_->version() >= confirmedVersion_)
            || now - startedAt_ > kTrustAnyReplica;
}

Duration SyncTask::knowledgeAge(Instant now) const
{
    return now - (confirmed_ ? confirmedAt_ : startedAt_);
}

size_t SyncTask::replicasAnswering(Instant now) const
{
    return std::count_if(links_.begin(), links_.end(), [now](const auto &item) {
        return item.second.answeredAt != Instant {} && now - item.second.answeredAt < kReplicaLost;
    });
}

} // namespace bamboogap
