// Field-by-field conversions.

#include "node/convert.h"

#include <algorithm>
#include <cmath>

namespace bamboogap {

using nlohmann::json;

std::string toCbor(const json &value)
{
    const std::vector<uint8_t> bytes = json::to_cbor(value);
    return std::string(bytes.begin(), bytes.end());
}

Result<json> fromCbor(std::string_view bytes)
{
    // Sizes that no container can have are reported by an exception even if exceptions are off.
    try {
        json value = json::from_cbor(bytes.begin(), bytes.end(), true, false);
        if (!value.is_discarded())
            return value;
    } catch (const json::exception &) {
    }
    return failure(ErrorKind::PeerFailed, "a peer sent a message that cannot be read",
                   "run the same version on every node");
}

void write(const RaftMessage &message, wire::RaftMessage::Builder builder)
{
    builder.setKind(static_cast<uint8_t>(message.kind));
    builder.setFrom(message.from);
    builder.setTo(message.to);
    builder.setTerm(message.term);
    builder.setIndex(message.index);
    builder.setLogTerm(message.logTerm);
    builder.setCommit(message.commit);
    builder.setReject(message.reject);
    builder.setTransfer(message.transfer);
    builder.setRound(message.round);
    auto entries = builder.initEntries(message.entries.size());
    for (size_t i = 0; i < message.entries.size(); ++i) {
        entries[i].setIndex(message.entries[i].index);
        entries[i].setTerm(message.entries[i].term);
        entries[i].setKind(static_cast<uint8_t>(message.entries[i].kind));
        entries[i].setData(toData(message.entries[i].data));
    }
    if (!message.snapshot)
        return;
    auto snapshot = builder.initSnapshot();
    snapshot.setIndex(message.snapshot->index);
    snapshot.setTerm(message.snapshot->term);
    snapshot.setData(toData(message.snapshot->data));
    const auto &members = message.snapshot->membership.members;
    auto list = snapshot.initMembers(members.size());
    for (size_t i = 0; i < members.size(); ++i) {
        list[i].setId(members[i].id);
        list[i].setName(members[i].name);
        list[i].setAddress(members[i].address);
        list[i].setVoter(members[i].voter);
    }
}

RaftMessage read(wire::RaftMessage::Reader reader)
{
    RaftMessage message;
    message.kind = static_cast<RaftMessageKind>(reader.getKind());
    message.from = reader.getFrom();
    message.to = reader.getTo();
    message.term = reader.getTerm();
    message.index = reader.getIndex();
    message.logTerm = reader.getLogTerm();
    message.commit = reader.getCommit();
    message.reject = reader.getReject();
    message.transfer = reader.getTransfer();
    message.round = reader.getRound();
    for (const auto entry : reader.getEntries()) {
        message.entries.push_back({ entry.getIndex(), entry.getTerm(),
                                    static_cast<EntryKind>(entry.getKind()),
                                    std::string(toView(entry.getData())) });
    }
    if (!reader.hasSnapshot())
        return message;
    Snapshot snapshot;
    snapshot.index = reader.getSnapshot().getIndex();
    snapshot.term = reader.getSnapshot().getTerm();
    snapshot.data = toView(reader.getSnapshot().getData());
    for (const auto member : reader.getSnapshot().getMembers()) {
        snapshot.membership.members.push_back(
                { member.getId(), std::string(toView(member.getName())),
                  std::string(toView(member.getAddress())), member.getVoter() });
    }
    message.snapshot = std::move(snapshot);
    return message;
}

void write(const RouterInfo &router, wire::RouterInfo::Builder builder)
{
    builder.setName(router.name);
    builder.setIncarnation(router.incarnation);
    builder.setDataCentre(router.dataCentre);
    builder.setAddress(router.address);
}

RouterInfo read(wire::RouterInfo::Reader reader)
{
    return { std::string(toView(reader.getName())), reader.getIncarnation(),
             std::string(toView(reader.getDataCentre())),
             std::string(toView(reader.getAddress())) };
}

namespace {

void write(const std::vector<PoolLoad> &pools, capnp::List<wire::PoolLoad>::Builder list)
{
    for (size_t i = 0; i < pools.size(); ++i) {
        list[i].setPool(pools[i].pool);
        list[i].setRunning(pools[i].running);
    }
}

std::vector<PoolLoad> read(capnp::List<wire::PoolLoad>::Reader list)
{
    std::vector<PoolLoad> pools;
    for (const auto load : list)
        pools.push_back({ load.getPool(), load.getRunning() });
    return pools;
}

} // namespace

void write(const Heartbeat &heartbeat, wire::Heartbeat::Builder builder)
{
    write(heartbeat.router, builder.initRouter());
    builder.setSequence(heartbeat.sequence);
    builder.setKnownEpoch(heartbeat.knownEpoch);
    builder.setKnownRevision(heartbeat.knownRevision);
    builder.setKnownSuspects(heartbeat.knownSuspects);
    builder.setTakesSuspectChanges(heartbeat.takesSuspectChanges);
    builder.setLeaderTerm(heartbeat.leaderTerm);
    builder.setRegisterTerm(heartbeat.registryTerm);
    builder.setRegisterVersion(heartbeat.registryVersion);
    builder.setLeaving(heartbeat.leaving);
    builder.setSample(heartbeat.sample);
    builder.setKnownLimits(heartbeat.knownLimitsVersion);
    auto heard = builder.initHeard(heartbeat.seenEndpoints.size());
    for (size_t i = 0; i < heartbeat.seenEndpoints.size(); ++i) {
        const SeenEndpoint &item = heartbeat.seenEndpoints[i];
        heard[i].setKey(item.key);
        heard[i].setDigest(item.digest);
        heard[i].setAgeMillis(item.ageMillis);
        if (item.announcement)
            heard[i].setAnnouncement(toData(toCbor(toJson(*item.announcement))));
    }
    auto loads = builder.initLoads(heartbeat.loads.size());
    for (size_t i = 0; i < heartbeat.loads.size(); ++i) {
        loads[i].setKey(heartbeat.loads[i].key);
        loads[i].setRunning(heartbeat.loads[i].running);
        loads[i].setRampLimit(heartbeat.loads[i].slowStartLimit);
    }
    write(heartbeat.pools, builder.initPools(heartbeat.pools.size()));
}

namespace {

Result<Announcement> readAnnouncement(capnp::Data::Reader data)
{
    auto value = fromCbor(toView(data));
    if (!value)
        return tl::unexpected(value.error());
    return parseAnnouncement(*value);
}

} // namespace

Result<Heartbeat> read(wire::Heartbeat::Reader reader)
{
    Heartbeat heartbeat;
    heartbeat.router = read(reader.getRouter());
    heartbeat.sequence = reader.getSequence();
    heartbeat.knownEpoch = reader.getKnownEpoch();
    heartbeat.knownRevision = reader.getKnownRevision();
    heartbeat.knownSuspects = reader.getKnownSuspects();
    heartbeat.takesSuspectChanges = reader.getTakesSuspectChanges();
    heartbeat.leaderTerm = reader.getLeaderTerm();
    heartbeat.registryTerm = reader.getRegisterTerm();
    heartbeat.registryVersion = reader.getRegisterVersion();
    heartbeat.leaving = reader.getLeaving();
    heartbeat.sample = reader.getSample();
    heartbeat.knownLimitsVersion = reader.getKnownLimits();
    for (const auto item : reader.getHeard()) {
        SeenEndpoint heard;
        heard.key = item.getKey();
        heard.digest = item.getDigest();
        heard.ageMillis = item.getAgeMillis();
        if (item.getAnnouncement().size() > 0) {
            auto announcement = readAnnouncement(item.getAnnouncement());
            if (!announcement)
                return tl::unexpected(announcement.error());
            heard.announcement = std::move(*announcement);
        }
        heartbeat.seenEndpoints.push_back(std::move(heard));
    }
    for (const auto load : reader.getLoads())
        heartbeat.loads.push_back({ load.getKey(), load.getRunning(), load.getRampLimit() });
    heartbeat.pools = read(reader.getPools());
    return heartbeat;
}

void write(const HeartbeatReply &reply, wire::HeartbeatReply::Builder builder)
{
    builder.setSequence(reply.sequence);
    builder.setTerm(reply.term);
    builder.setGranted(reply.granted);
    builder.setLeaseMicros(static_cast<uint32_t>(
            std::chrono::duration_cast<std::chrono::microseconds>(reply.lease).count()));
    if (reply.view) {
        auto view = builder.initView();
        view.setEpoch(reply.view->epoch);
        auto routers = view.initRouters(reply.view->routers.size());
        for (size_t i = 0; i < reply.view->routers.size(); ++i)
            write(reply.view->routers[i], routers[i]);
    }
    builder.setActiveEpoch(reply.activeEpoch);
    if (reply.lists)
        builder.setLists(toData(toCbor(toJson(*reply.lists))));
    builder.setSuspectsVersion(reply.suspectsVersion);
    builder.setHasSuspects(reply.suspects.has_value());
    builder.setSuspectsAreChanges(reply.suspectsAreChanges);
    if (reply.suspects) {
        auto suspects = builder.initSuspects(reply.suspects->size());
        for (size_t i = 0; i < reply.suspects->size(); ++i) {
            suspects[i].setFingerprint((*reply.suspects)[i].fingerprint);
            suspects[i].setStanding(static_cast<uint8_t>((*reply.suspects)[i].status));
        }
    }
    builder.setRegisterReady(reply.registryReady);
    builder.setRegisterTerm(reply.registryDelta.term);
    builder.setRegisterVersion(reply.registryDelta.version);
    builder.setRegisterFull(reply.registryDelta.full);
    auto changed = builder.initChanged(reply.registryDelta.changed.size());
    for (size_t i = 0; i < reply.registryDelta.changed.size(); ++i) {
        const RegistryEntry &entry = reply.registryDelta.changed[i];
        changed[i].setSlot(entry.slot);
        changed[i].setAnnouncement(toData(toCbor(toJson(entry.announcement))));
    }
    auto removed = builder.initRemoved(reply.registryDelta.removed.size());
    for (size_t i = 0; i < reply.registryDelta.removed.size(); ++i)
        removed.set(i, reply.registryDelta.removed[i]);
    auto running = builder.initRunning(reply.running.size());
    for (size_t i = 0; i < reply.running.size(); ++i)
        running.set(i, reply.running[i]);
    builder.setLimitsVersion(reply.limitsVersion);
    auto rampLimits = builder.initRampLimits(reply.slowStartLimits.size());
    for (size_t i = 0; i < reply.slowStartLimits.size(); ++i)
        rampLimits.set(i, reply.slowStartLimits[i]);
    write(reply.pools, builder.initPools(reply.pools.size()));
}

Result<HeartbeatReply> read(wire::HeartbeatReply::Reader reader)
{
    HeartbeatReply reply;
    reply.sequence = reader.getSequence();
    reply.term = reader.getTerm();
    reply.granted = reader.getGranted();
    reply.lease = std::chrono::microseconds(reader.getLeaseMicros());
    if (reader.hasView()) {
        View view;
        view.epoch = reader.getView().getEpoch();
        for (const auto router : reader.getView().getRouters())
            view.routers.push_back(read(router));
        reply.view = std::move(view);
    }
    reply.activeEpoch = reader.getActiveEpoch();
    if (reader.getLists().size() > 0) {
        auto value = fromCbor(toView(reader.getLists()));
        if (!value)
            return tl::unexpected(value.error());
        auto lists = parseOperatorLists(*value);
        if (!lists)
            return tl::unexpected(lists.error());
        reply.lists = std::move(*lists);
    }
    reply.suspectsVersion = reader.getSuspectsVersion();
    reply.suspectsAreChanges = reader.getSuspectsAreChanges();
    if (reader.getHasSuspects()) {
        reply.suspects.emplace();
        for (const auto item : reader.getSuspects()) {
            reply.suspects->push_back(
                    { item.getFingerprint(), static_cast<SuspicionStatus>(item.getStanding()) });
        }
    }
    reply.registryReady = reader.getRegisterReady();
    reply.registryDelta.term = reader.getRegisterTerm();
    reply.registryDelta.version = reader.getRegisterVersion();
    reply.registryDelta.full = reader.getRegisterFull();
    for (const auto entry : reader.getChanged()) {
        auto announcement = readAnnouncement(entry.getAnnouncement());
        if (!announcement)
            return tl::unexpected(announcement.error());
        reply.registryDelta.changed.push_back({ entry.getSlot(), std::move(*announcement) });
    }
    for (const auto slot : reader.getRemoved())
        reply.registryDelta.removed.push_back(slot);
    for (const auto running : reader.getRunning())
        reply.running.push_back(running);
    reply.limitsVersion = reader.getLimitsVersion();
    for (const auto limit : reader.getRampLimits())
        reply.slowStartLimits.push_back(limit);
    reply.pools = read(reader.getPools());
    return reply;
}

std::string encodeCommandAnswer(const CommandAnswer &answer)
{
    if (const auto *done = std::get_if<AppliedAnswer>(&answer))
        return toCbor({ { "done", done->applied } });
    if (const auto *change = std::get_if<ChangeAnswer>(&answer)) {
        return toCbor({ { "accepted", change->accepted },
                        { "revision", change->revision },
                        { "problem", change->problem },
                        { "kind", errorKindName(change->kind) } });
    }
    if (const auto *rollout = std::get_if<RolloutAnswer>(&answer))
        return toCbor({ { "rollout", static_cast<int>(rollout->result) } });
    const auto &start = std::get<StartAnswer>(answer);
    return toCbor({ { "decision", static_cast<int>(start.decision) },
                    { "status", start.reply.status },
                    { "type", start.reply.contentType },
                    { "body",
                      json::binary(std::vector<uint8_t>(start.reply.body.begin(),
                                                        start.reply.body.end())) } });
}

Result<CommandAnswer> parseCommandAnswer(std::string_view bytes)
{
    auto value = fromCbor(bytes);
    if (!value)
        return tl::unexpected(value.error());
    try {
        if (value->contains("done"))
            return AppliedAnswer { value->at("done").get<bool>() };
        if (value->contains("accepted")) {
            return ChangeAnswer { value->at("accepted").get<bool>(),
                                  value->at("revision").get<Revision>(),
                                  value->at("problem").get<std::string>(),
                                  parseErrorKind(value->at("kind").get<std::string>()) };
        }
        if (value->contains("rollout")) {
            const int result = value->at("rollout").get<int>();
            if (result < 0 || result > static_cast<int>(Rollouts::StartResult::TooMany)) {
                return failure(ErrorKind::PeerFailed, "a peer sent an unknown result of an order",
                               "run the same version on every node");
            }
            return RolloutAnswer { static_cast<Rollouts::StartResult>(result) };
        }
        const auto &body = value->at("body").get_binary();
        return StartAnswer { static_cast<StartDecision>(value->at("decision").get<int>()),
                             { value->at("status").get<int>(), value->at("type").get<std::string>(),
                               std::string(body.begin(), body.end()) } };
    } catch (const json::exception &) {
        return failure(ErrorKind::PeerFailed, "a peer sent an answer that cannot be read",
                       "run the same version on every node");
    }
}

void write(std::span<const PromptPlacement> placements,
           capnp::List<wire::PromptPlacement>::Builder builder)
{
    for (unsigned i = 0; i < placements.size(); ++i) {
        builder[i].setEndpoint(placements[i].endpoint);
        auto parts = builder[i].initParts(placements[i].parts.size());
        for (unsigned k = 0; k < parts.size(); ++k) {
            parts[k].setChain(placements[i].parts[k].chain);
            parts[k].setTokens(placements[i].parts[k].tokens);
        }
    }
}

std::vector<PromptPlacement> read(capnp::List<wire::PromptPlacement>::Reader reader)
{
    std::vector<PromptPlacement> placements;
    for (const auto item : reader) {
        PromptPlacement placement;
        placement.endpoint = item.getEndpoint();
        for (const auto part : item.getParts())
            placement.parts.push_back({ part.getChain(), part.getTokens() });
        placements.push_back(std::move(placement));
    }
    return placements;
}

void write(const Error &error, wire::Problem::Builder builder)
{
    builder.setKind(std::string(errorKindName(error.kind)));
    builder.setMessage(error.message);
    builder.setRemedy(error.remedy);
}

Error read(wire::Problem::Reader reader)
{
    return { parseErrorKind(toView(reader.getKind())), std::string(toView(reader.getMessage())),
             std::string(toView(reader.getRemedy())) };
}

namespace {

// A thousandth of a request per second.
constexpr double kMilli = 1000;

uint32_t millisBefore(Instant now, Instant at)
{
    return static_cast<uint32_t>(std::clamp<int64_t>(toMillis(now - at), 0, UINT32_MAX));
}

} // namespace

void write(std::span<const LimitObservation> observations,
           capnp::List<wire::LimitObservation>::Builder list, Instant now)
{
    for (size_t i = 0; i < observations.size(); ++i) {
        const LimitObservation &observation = observations[i];
        const double milli = observation.perSecond.value_or(0) * kMilli;
        list[i].setKey(observation.key);
        list[i].setBornMillis(observation.startMillis);
        list[i].setNamed(observation.perSecond.has_value());
        list[i].setMilliPerSecond(
                static_cast<uint32_t>(std::clamp(std::round(milli), 0.0, double(UINT32_MAX))));
        list[i].setSentMillisAgo(millisBefore(now, observation.sentAt));
        list[i].setAnsweredMillisAgo(millisBefore(now, observation.answeredAt));
    }
}

std::vector<LimitObservation> read(capnp::List<wire::LimitObservation>::Reader list, Instant now)
{
    std::vector<LimitObservation> observations;
    for (const auto item : list) {
        LimitObservation observation;
        observation.key = item.getKey();
        observation.startMillis = item.getBornMillis();
        if (item.getNamed())
            observation.perSecond = item.getMilliPerSecond() / kMilli;
        observation.sentAt = now - std::chrono::milliseconds(item.getSentMillisAgo());
        observation.answeredAt = now - std::chrono::milliseconds(item.getAnsweredMillisAgo());
        observations.push_back(observation);
    }
    return observations;
}

void write(const FingerprintChange &change, wire::FingerprintChange::Builder builder)
{
    builder.setVersion(change.version);
    builder.setFull(change.full);
    auto added = builder.initAdded(change.added.size());
    for (size_t i = 0; i < change.added.size(); ++i)
        added.set(i, change.added[i]);
    auto removed = builder.initRemoved(change.removed.size());
    for (size_t i = 0; i < change.removed.size(); ++i)
        removed.set(i, change.removed[i]);
}

FingerprintChange read(wire::FingerprintChange::Reader reader)
{
    FingerprintChange change { reader.getVersion(), reader.getFull(), {}, {} };
    for (const Fingerprint fingerprint : reader.getAdded())
        change.added.push_back(fingerprint);
    for (const Fingerprint fingerprint : reader.getRemoved())
        change.removed.push_back(fingerprint);
    return change;
}

} // namespace bamboogap
