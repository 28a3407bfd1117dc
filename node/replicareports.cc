// Routers' reports at a replica: what is noted of them, and what the answers tell.

#include <fmt/format.h>

#include "base/log.h"
#include "node/convert.h"
#include "node/replicafront.h"
#include "node/rosterwire.h"

namespace bamboogap {

namespace {

// An answer to a suspected request is known here after this: the router hears of the suspicion
// and reports. Reports of a large fleet come less often.
constexpr Duration kLeastEvidenceDelay = std::chrono::seconds(1);
constexpr Duration kEvidencePerRouter = std::chrono::milliseconds(8);
// Suspects whose answers routers report.
constexpr size_t kMaxWatched = 64;
// Between two looks at the evidence, which takes a while if there are many suspects.
constexpr Duration kQuarantineCheck = std::chrono::milliseconds(50);

// Placements told in one answer. All routers together get so many in a round of reports, which
// takes about 8 ms a router.
constexpr size_t kPlacementsInRound = 3000;
constexpr size_t kMaxPlacementsTold = 512;
// Rate limits of endpoints told in one answer.
constexpr size_t kMaxLimitsTold = 128;
// Quarantined requests told in one answer.
constexpr size_t kMaxQuarantinedTold = 256;

// In a small fleet a round of reports takes 250 ms whatever its size, and as many bytes go to fewer
// routers.
constexpr size_t kRecordsInShortRound = 2000;
// What routers must know of goes on, a little at a time, while the link's share is used up.
constexpr size_t kLeastRecordsTold = 8;
constexpr size_t kLeastQuarantinedTold = 8;

// Typical sizes in a message.
constexpr size_t kRecordBytes = 30; // packed
constexpr size_t kPlacementBytes = 60;
constexpr size_t kLimitBytes = 40;
constexpr size_t kUseBytes = 8;

std::set<Fingerprint> quarantinedAmong(std::span<const SuspectRequest> suspects)
{
    std::set<Fingerprint> quarantined;
    for (const SuspectRequest &item : suspects) {
        if (item.status == SuspicionStatus::Quarantined)
            quarantined.insert(item.fingerprint);
    }
    return quarantined;
}

} // namespace

void ReplicaFront::sync(wire::SyncRequest::Reader request, wire::SyncReply::Builder reply)
{
    const Instant now = BootClock::now();
    const std::string router(toView(request.getRouter()));
    noteReporter(router, request, now);
    for (const auto endpoint : request.getLeavingEndpoints())
        noteLeaving(router, toView(endpoint.getId()), endpoint.getBornMillis());
    for (PromptPlacement &placement : read(request.getPlacements()))
        placements_.add(router, std::move(placement));
    for (const LimitObservation &observation : read(request.getLimits(), now))
        limits_.observe(observation);
    noteEvidence(router, request, now);
    if (request.hasOptional())
        noteRolloutCounts(router, toView(request.getOptional().getRolloutCounts()));

    // In the order of their priorities.
    writeDeployment(request, reply);
    writeRollouts(request, reply);
    writePosition(router, reply, now);
    replies_.spend(sizeInBytes(reply));
    writeEndpoints(request, reply, now);
    writeSuspects(request, reply, now);
    reply.setPlacementsVersion(request.getPlacementsVersion());
    reply.setLimitsVersion(request.getLimitsVersion());
    if (request.getWantsOthers()) {
        writeLimits(request, reply, now);
        writeDemand(request, reply, now);
        writeLoads(router, reply, now);
        writePlacements(router, request, reply, now);
    }
}

void ReplicaFront::noteReporter(const std::string &router, wire::SyncRequest::Reader request,
                                Instant now)
{
    if (request.getLeaving()) {
        if (const auto found = routers_.routers().find(router); found != routers_.routers().end())
            spread_.removePeer(found->second.report.peerAddress);
        routers_.leave(router, now);
        work_.remove(router);
        demands_.remove(router);
        return;
    }
    RouterReport report { router, request.getIncarnation(),
                          std::string(toView(request.getDataCentre())), request.getRoutesVersion(),
                          std::string(toView(request.getPeerAddress())) };
    if (!report.peerAddress.empty())
        startCalls_.found(report.peerAddress);
    if (routers_.routers().count(router) == 0)
        logEvent(LogLevel::Info, "router_joined", { { "router", router } });
    if (!routers_.report(std::move(report), now))
        return;
    noteWork(router, request, now);
    const RouterReport &known = routers_.routers().find(router)->second.report;
    spread_.addPeer(known.peerAddress, known.dataCentre, known.routesVersion, now);
}

void ReplicaFront::writeDeployment(wire::SyncRequest::Reader request,
                                   wire::SyncReply::Builder reply)
{
    const Deployment &deployment = control_.deployment();
    reply.setCurrent(control_.isCurrent());
    reply.setLeads(control_.maySpeak());
    reply.setRevision(deployment.revision());
    reply.setRoutesVersion(deployment.version());
    auto out = reply.initDataCentresOut(deployment.dataCentresOut().size());
    unsigned index = 0;
    for (const std::string &dataCentre : deployment.dataCentresOut())
        out.set(index++, dataCentre);
    std::vector<std::string> members;
    for (const Replica &member : control_.membership().members)
        members.push_back(member.address);
    if (request.getReplicasDigest() == digestOfReplicas(members))
        return;
    auto replicas = reply.initReplicas(members.size());
    for (size_t i = 0; i < members.size(); ++i)
        replicas.set(i, members[i]);
}

// A replica that lags tells nothing: the router has heard the newer rollouts from another one.
void ReplicaFront::writeRollouts(wire::SyncRequest::Reader request, wire::SyncReply::Builder reply)
{
    const uint64_t revision = control_.rollouts().revision();
    if (!settings_.hasRollouts || revision == 0)
        return;
    auto optional = reply.getOptional();
    optional.setRolloutsVersion(revision);
    const std::string news = rollouts_.newsFor(
            request.hasOptional() ? request.getOptional().getRolloutsVersion() : 0);
    if (!news.empty())
        optional.setRollouts(toData(news));
}

void ReplicaFront::writePosition(const std::string &router, wire::SyncReply::Builder reply,
                                 Instant now)
{
    reply.setRouters(routers_.aliveCount(now));
    reply.setRank(routers_.rankOf(router, now));
    reply.setSharers(
            static_cast<uint16_t>(std::min<uint32_t>(routers_.sharerCount(now), UINT16_MAX)));
    reply.setFirstProcess(!routers_.mayHavePredecessor(router, now));
}

void ReplicaFront::writeEndpoints(wire::SyncRequest::Reader request, wire::SyncReply::Builder reply,
                                  Instant now)
{
    const size_t routers = std::max<size_t>(1, routers_.aliveCount(now));
    const size_t most
            = replies_.itemCount(ReplyBudget::Priority::High, kRecordBytes, kLeastRecordsTold,
                                 std::max(kRecordsTold, kRecordsInShortRound / routers), now);
    const RosterChanges changes
            = roster_.changesSince(request.getRosterEpoch(), request.getRosterVersion(), now, most);
    reply.setRosterEpoch(changes.epoch);
    reply.setRosterVersion(changes.version);
    reply.setRosterFull(changes.full);
    const std::string records = packRecords(changes.records);
    reply.setChanged(toData(records));
    replies_.spend(records.size());
    traffic_.sentPart(ReportPart::Endpoints, records.size());
}

void ReplicaFront::writeSuspects(wire::SyncRequest::Reader request, wire::SyncReply::Builder reply,
                                 Instant now)
{
    // Any change of a set changes the sum.
    const uint64_t version = quarantined_.version() + watched_.version();
    reply.setSuspectsVersion(version);
    if (!request.getTakesChanges()) {
        if (request.getSuspectsVersion() != version)
            writeAllSuspects(reply);
        return;
    }
    const auto tell = [&](const FingerprintChange &change, auto &&init) {
        if (change.empty())
            return;
        auto builder = init();
        write(change, builder);
        replies_.spend(sizeInBytes(builder));
        traffic_.sentPart(ReportPart::Suspects, sizeInBytes(builder));
    };
    const size_t mostQuarantined
            = replies_.itemCount(ReplyBudget::Priority::High, sizeof(Fingerprint),
                                 kLeastQuarantinedTold, kMaxQuarantinedTold, now);
    tell(quarantined_.since(request.getQuarantinedVersion(), mostQuarantined),
         [&] { return reply.initQuarantined(); });
    if (!request.getWantsOthers())
        return;
    // Removed ones take as many bytes.
    const size_t mostWatched = replies_.itemCount(ReplyBudget::Priority::Normal,
                                                  sizeof(Fingerprint), 0, 2 * kMaxWatched, now);
    tell(watched_.since(request.getWatchedVersion(), mostWatched),
         [&] { return reply.initWatched(); });
}

// For routers of an earlier version.
void ReplicaFront::writeAllSuspects(wire::SyncReply::Builder reply)
{
    reply.setHasSuspects(true);
    const auto &quarantined = quarantined_.members();
    const auto &watched = watched_.members();
    auto list = reply.initSuspects(quarantined.size() + watched.size());
    unsigned index = 0;
    const auto add = [&](const std::set<Fingerprint> &members, SuspicionStatus status) {
        for (const Fingerprint fingerprint : members) {
            list[index].setFingerprint(fingerprint);
            list[index++].setStanding(static_cast<uint8_t>(status));
        }
    };
    add(quarantined, SuspicionStatus::Quarantined);
    add(watched, SuspicionStatus::Suspect);
    replies_.spend(sizeInBytes(list));
    traffic_.sentPart(ReportPart::Suspects, sizeInBytes(list));
}

void ReplicaFront::writeLimits(wire::SyncRequest::Reader request, wire::SyncReply::Builder reply,
                               Instant now)
{
    const size_t most = replies_.itemCount(ReplyBudget::Priority::Normal, kLimitBytes, 0,
                                           kMaxLimitsTold, now);
    if (most == 0)
        return;
    uint64_t version = request.getLimitsVersion();
    const auto limits = limits_.changesSince(version, most);
    reply.setLimitsVersion(version);
    auto list = reply.initLimits(limits.size());
    write(limits, list, now);
    replies_.spend(sizeInBytes(list));
    traffic_.sentPart(ReportPart::Limits, sizeInBytes(list));
}

void ReplicaFront::writeLoads(const std::string &router, wire::SyncReply::Builder reply,
                              Instant now)
{
    // The loads go as a whole, and may take more than the budget ever has at once.
    if (replies_.available(ReplyBudget::Priority::Normal, now) == 0
        || !routers_.maySendUses(router, roster_.size() * kUseBytes, now))
        return;
    reply.setHasUses(true);
    const std::string uses = packUses(work_.othersOf(router, routers_.aliveCount(now)));
    reply.setUses(toData(uses));
    replies_.spend(uses.size());
    traffic_.sentPart(ReportPart::Loads, uses.size());
}

// As it is small and admission depends on it, it goes with each answer, whatever the budget has.
void ReplicaFront::writeDemand(wire::SyncRequest::Reader request, wire::SyncReply::Builder reply,
                               Instant now)
{
    if (!request.hasOptional() || !request.getOptional().hasServiceDemand())
        return;
    const std::string &total = demands_.total(now);
    reply.getOptional().setServiceDemand(toData(total));
    replies_.spend(total.size());
    traffic_.sentPart(ReportPart::Loads, total.size());
}

void ReplicaFront::writePlacements(const std::string &router, wire::SyncRequest::Reader request,
                                   wire::SyncReply::Builder reply, Instant now)
{
    const size_t routers = std::max<size_t>(1, routers_.aliveCount(now));
    const size_t most
            = replies_.itemCount(ReplyBudget::Priority::Low, kPlacementBytes, 0,
                                 std::min(kMaxPlacementsTold, kPlacementsInRound / routers), now);
    uint64_t version = request.getPlacementsVersion();
    const auto placed = placements_.since(version, router, most);
    reply.setPlacementsVersion(version);
    auto list = reply.initPlacements(placed.size());
    write(placed, list);
    replies_.spend(sizeInBytes(list));
    traffic_.sentPart(ReportPart::Placements, sizeInBytes(list));
}

void ReplicaFront::noteWork(std::string_view router, wire::SyncRequest::Reader request, Instant now)
{
    if (request.getWantsOthers() && request.hasOptional()
        && request.getOptional().hasServiceDemand())
        demands_.report(router, toView(request.getOptional().getServiceDemand()), now);
    else
        demands_.remove(router);
    const bool toAll = !request.getReportsToSourceOnly();
    if (!toAll && !request.getWantsOthers()) {
        work_.remove(router); // another replica is its source
        return;
    }
    std::vector<EndpointUse> uses;
    uses.reserve(request.getUses().size());
    for (const auto use : request.getUses())
        uses.push_back({ use.getKey(), use.getRunning(), use.getUnreadTokens() });
    work_.report(router, uses, toAll, now);
}

// Told by a router in its report: an endpoint's answers are often ahead of its heartbeats.
void ReplicaFront::noteLeaving(std::string_view router, std::string_view endpointId,
                               int64_t bornMillis)
{
    if (!roster_.markLeaving(endpointId, bornMillis))
        return;
    logEvent(LogLevel::Info, "endpoint_departs",
             { { "endpoint", std::string(endpointId) },
               { "announced", "in an answer" },
               { "told_by", std::string(router) } });
}

void ReplicaFront::refreshQuarantine()
{
    if (control_.suspects().version() != committedVersion_) {
        committedVersion_ = control_.suspects().version();
        const auto before
                = std::exchange(committedQuarantine_, quarantinedAmong(control_.suspects().all()));
        for (const Fingerprint fingerprint : before) {
            if (committedQuarantine_.count(fingerprint) > 0)
                continue;
            // It was lifted for the whole fleet.
            crashSuspects_.forget(fingerprint);
            quarantinedHere_.erase(fingerprint);
        }
    }
    std::set<Fingerprint> quarantined = committedQuarantine_;
    for (const auto &[subject, crashes] : quarantinedHere_)
        quarantined.insert(subject);
    quarantined_.assign(quarantined);
    std::set<Fingerprint> watched;
    // Each replacement is told to the routers, so the ones that are told already stay.
    for (const Fingerprint subject : crashSuspects_.suspects(kMaxWatched, watched_.members())) {
        if (quarantined.count(subject) == 0)
            watched.insert(subject);
    }
    watched_.assign(watched);
}

// A quarantine that only this process knew would end with it. Tried again from time to time: the
// leader may have changed.
void ReplicaFront::commitQuarantine()
{
    if (!control_.maySpeak())
        return;
    for (const auto &[subject, crashes] : quarantinedHere_) {
        if (control_.suspects().statusOf(subject) != SuspicionStatus::Quarantined)
            commitCrashes(subject, crashes);
    }
}

void ReplicaFront::noteEvidence(std::string_view router, wire::SyncRequest::Reader request,
                                Instant now)
{
    const auto ago = [now](uint32_t millis) { return now - std::chrono::milliseconds(millis); };
    for (const auto crash : request.getCrashEvidence()) {
        crashSuspects_.recordCrash({ crash.getSubject(), std::string(toView(crash.getEndpoint())),
                                     crash.getBornMillis(), ago(crash.getSentMillisAgo()),
                                     ago(crash.getBrokeMillisAgo()), crash.getWholeRequest(),
                                     std::chrono::milliseconds(crash.getRanMillis()), now });
    }
    for (const auto answer : request.getLastAnswers())
        crashSuspects_.recordAnswer(answer.getSubject(), ago(answer.getMillisAgo()));
    for (const auto run : request.getStreamRuns()) {
        crashSuspects_.recordRun({ run.getSubject(), std::chrono::milliseconds(run.getRanMillis()),
                                   ago(run.getMillisAgo()) });
    }
    if (request.hasAnyAnswer())
        crashSuspects_.recordAnyAnswer(ago(request.getAnyAnswer().getMillisAgo()));
    for (const auto endpoint : request.getLivingEndpoints()) {
        crashSuspects_.withdrawCrash(toView(endpoint.getId()), endpoint.getBornMillis());
        logEvent(LogLevel::Info, "crash_withdrawn",
                 { { "endpoint", std::string(toView(endpoint.getId())) },
                   { "told_by", std::string(router) } });
    }
    if (now - quarantineCheckedAt_ >= kQuarantineCheck)
        quarantineSuspects(now);
}

void ReplicaFront::quarantineSuspects(Instant now)
{
    quarantineCheckedAt_ = now;
    const Duration evidenceDelay
            = kLeastEvidenceDelay + routers_.aliveCount(now) * kEvidencePerRouter;
    for (auto &verdict : crashSuspects_.quarantine(now, evidenceDelay)) {
        logEvent(LogLevel::Warning, "quarantined",
                 { { "fingerprint", fmt::format("{:016x}", verdict.subject) },
                   { "crashes", fmt::format("{}", fmt::join(verdict.crashes, ",")) } });
        metrics_.count("bamboogap_quarantined_total");
        if (control_.maySpeak())
            commitCrashes(verdict.subject, verdict.crashes);
        quarantinedHere_[verdict.subject] = std::move(verdict.crashes);
    }
    for (const Fingerprint subject : crashSuspects_.takeReleased()) {
        logEvent(LogLevel::Warning, "quarantine_withdrawn",
                 { { "fingerprint", fmt::format("{:016x}", subject) },
                   { "reason", "an answer, or an endpoint that goes on" } });
        quarantinedHere_.erase(subject);
        if (control_.maySpeak())
            liftCommitted(subject);
    }
    refreshQuarantine();
}

void ReplicaFront::liftCommitted(Fingerprint fingerprint)
{
    loop_.detach(control_.command(ClearSuspectCommand { fingerprint, true })
                         .then([fingerprint](Result<CommandAnswer> answer) {
                             if (answer)
                                 return;
                             logEvent(LogLevel::Warning, "quarantine_not_lifted",
                                      { { "fingerprint", fmt::format("{:016x}", fingerprint) },
                                        { "problem", answer.error().message } });
                         }),
                 "lift a quarantine");
}

void ReplicaFront::commitCrashes(Fingerprint fingerprint, std::span<const std::string> crashes)
{
    for (const std::string &crash : crashes) {
        loop_.detach(
                control_.command(RecordCrashCommand { { fingerprint }, crash, wallClockMillis() })
                        .then([fingerprint](Result<CommandAnswer> answer) {
                            if (answer)
                                return;
                            logEvent(LogLevel::Warning, "quarantine_not_committed",
                                     { { "fingerprint", fmt::format("{:016x}", fingerprint) },
                                       { "problem", answer.error().message } });
                        }),
                "commit a quarantine");
    }
}

} // namespace bamboogap
