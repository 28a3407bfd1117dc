// Drives the control replica.

#include "node/controltask.h"

#include <algorithm>
#include <random>
#include <set>

#include <fmt/format.h>

#include "base/log.h"
#include "node/convert.h"

namespace bamboogap {

namespace {

constexpr Duration kTick = std::chrono::milliseconds(20);
constexpr Duration kCoordinate = std::chrono::milliseconds(100);
constexpr Duration kAskToJoin = std::chrono::milliseconds(500);
constexpr Duration kExpire = std::chrono::seconds(5);
// Nodes that start together answer each other within this time; one that does not is down.
constexpr Duration kStartTogether = std::chrono::seconds(3);
constexpr Duration kMessageLimit = std::chrono::seconds(1);
constexpr Duration kIdentifyLimit = std::chrono::seconds(3);
constexpr Duration kSnapshotLimit = std::chrono::seconds(30);
constexpr int kMaxUnanswered = 64;
// Time of the link that unacknowledged entries to all followers may take, so that heartbeats are
// not held up for longer.
constexpr double kInFlightSeconds = 0.05;
constexpr Duration kInForceWait = std::chrono::milliseconds(400);
constexpr Duration kInForcePoll = std::chrono::milliseconds(2);

uint64_t randomNumber()
{
    std::random_device device;
    return (uint64_t { device() } << 32) | device();
}

std::string reasonName(LeadershipEnd::Reason reason)
{
    switch (reason) {
    case LeadershipEnd::Reason::QuorumTimedOut:
        return "quorum silent";
    case LeadershipEnd::Reason::HigherTerm:
        return "higher term";
    case LeadershipEnd::Reason::Transferred:
        return "handed over";
    }
    return {};
}

tl::unexpected<Error> notLeader()
{
    return failure(ErrorKind::NoLeader, "this replica does not lead the control group",
                   "send it to the leader, or again in a second");
}

} // namespace

Result<std::unique_ptr<ControlTask>> ControlTask::open(EventLoop &loop, Peers &peers,
                                                       ControlSettings settings, Disk disk)
{
    std::unique_ptr<ControlTask> task(
            new ControlTask(loop, peers, std::move(settings), std::move(disk)));
    auto opened = task->store_.open(randomNumber());
    if (!opened)
        return tl::unexpected(opened.error());
    auto state = ControlState::load(opened->stored.snapshot.data, task->settings_.limits);
    if (!state)
        return tl::unexpected(state.error());
    task->state_ = std::move(*state);
    task->applied_ = opened->stored.snapshot.index;
    logEvent(LogLevel::Info, "replica_opened",
             { { "replica", fmt::format("{:016x}", opened->id) },
               { "fresh", opened->isNew ? "yes" : "no" },
               { "snapshot", fmt::to_string(opened->stored.snapshot.index) },
               { "entries", fmt::to_string(opened->stored.entries.size()) },
               { "cut_bytes", fmt::to_string(opened->truncatedBytes) } });
    task->raft_
            = std::make_unique<Raft>(opened->id, task->settings_.timing, std::move(opened->stored),
                                     randomNumber(), BootClock::now());
    task->raft_->setInFlightLimit(
            static_cast<size_t>(kInFlightSeconds * task->settings_.linkBytesPerSecond));
    return task;
}

ControlTask::ControlTask(EventLoop &loop, Peers &peers, ControlSettings settings, Disk disk)
    : loop_(loop)
    , peers_(peers)
    , settings_(std::move(settings))
    , store_(std::move(disk))
    , state_(settings_.limits)
    , membershipManager_(settings_.selfManaged
                                 ? selfManagedPolicy(settings_.fullVoters, settings_.timing)
                                 : MembershipPolicy {})
{
}

void ControlTask::start()
{
    startedAt_ = BootClock::now();
    leaderChangedAt_ = startedAt_;
    loop_.every(kTick, "control group", [this] { tick(); });
    loop_.every(kCoordinate, "coordinate", [this] { coordinate(); });
    loop_.every(settings_.heartbeat, "sample loads", [this] { sampleLoads(); });
    loop_.every(kAskToJoin, "ask to join", [this] { askToJoin(); });
    loop_.every(kExpire, "expire", [this] {
        const int64_t now = wallClockMillis();
        if (maySpeak() && (state_.calls().hasExpired(now) || state_.suspects().hasExpired(now)))
            loop_.detach(command(ExpireCommand { now }).ignoreResult(), "expire");
    });
}

bool ControlTask::maySpeak() const
{
    return !failed_ && raft_->hasLeaderLease(BootClock::now());
}

bool ControlTask::isCurrent() const
{
    if (failed_ || raft_->leader() == kNoReplica)
        return false;
    // A log that is older than this replica's joining may be old by any time.
    if (!raft_->membership().find(raft_->id()))
        return false;
    return maySpeak()
            || BootClock::now() - raft_->lastLeaderContact() < settings_.timing.electionMin;
}

ControlTask::LogPosition ControlTask::logPosition() const
{
    const bool leads = raft_->role() == RaftRole::Leader;
    return { raft_->term(), raft_->commitIndex(), applied_,
             leads ? raft_->quorumAge(BootClock::now()) : Duration {} };
}

std::string ControlTask::leaderAddress() const
{
    const Replica *leader = raft_->membership().find(raft_->leader());
    return leader ? leader->address : std::string();
}

kj::Promise<Result<CommandAnswer>> ControlTask::command(const Command &command)
{
    if (failed_)
        return Result<CommandAnswer>(notLeader());
    if (const auto *install = std::get_if<InstallRoutesCommand>(&command)) {
        KJ_IF_MAYBE (joined, joinInstall(*install))
            return kj::mv(*joined);
    }
    auto answer = propose(command);
    if (!std::holds_alternative<RecordCrashCommand>(command))
        return answer;
    // Strikes are answered when every router knows them.
    return answer.then([this](Result<CommandAnswer> answer) {
        const auto wrap = [](CommandAnswer given) { return Result<CommandAnswer>(given); };
        if (!answer)
            return kj::Promise<Result<CommandAnswer>>(kj::mv(answer));
        return whenInForce(*answer, BootClock::now() + kInForceWait).then(wrap);
    });
}

kj::Promise<Result<CommandAnswer>> ControlTask::propose(const Command &command)
{
    auto index = raft_->propose(encodeCommand(command), BootClock::now());
    if (!index)
        return Result<CommandAnswer>(tl::unexpected(index.error()));
    if (const auto *install = std::get_if<InstallRoutesCommand>(&command))
        proposedInstalls_.add(*index, install->version);
    auto answer = whenApplied(*index);
    drain();
    return answer;
}

kj::Maybe<kj::Promise<Result<CommandAnswer>>>
ControlTask::joinInstall(const InstallRoutesCommand &install)
{
    if (state_.deployment().version() >= install.version)
        return kj::Promise<Result<CommandAnswer>>(Result<CommandAnswer>(AppliedAnswer { false }));
    if (const auto index = proposedInstalls_.covering(install.version))
        return whenApplied(*index);
    return nullptr;
}

kj::Promise<Result<CommandAnswer>> ControlTask::whenApplied(LogIndex index)
{
    auto paf = kj::newPromiseAndFulfiller<Result<CommandAnswer>>();
    Pending &pending = pending_[index];
    pending.term = raft_->term();
    pending.fulfillers.push_back(kj::mv(paf.fulfiller));
    return kj::mv(paf.promise);
}

void ControlTask::Pending::fulfill(const Result<CommandAnswer> &answer)
{
    for (auto &fulfiller : fulfillers)
        fulfiller->fulfill(Result<CommandAnswer>(answer));
}

kj::Promise<CommandAnswer> ControlTask::whenInForce(CommandAnswer answer, Instant giveUpAt)
{
    const Instant now = BootClock::now();
    if (now >= giveUpAt || !coordinator_ || coordinator_->suspectsInForce(state_, now))
        return answer;
    return loop_.sleep(kInForcePoll).then([this, answer, giveUpAt]() {
        return whenInForce(answer, giveUpAt);
    });
}

// Asks all routers at one moment for their loads.
void ControlTask::sampleLoads()
{
    if (!coordinator_ || !maySpeak())
        return;
    sample_ = coordinator_->beginSample();
    pokeRouters();
}

// Asks the routers of the view for a heartbeat, once for all that is applied in
// one go.
void ControlTask::pokeRouters()
{
    if (pokeQueued_ || !coordinator_)
        return;
    pokeQueued_ = true;
    loop_.detach(kj::evalLater([this]() {
                     pokeQueued_ = false;
                     for (const RouterInfo &router : state_.view().routers) {
                         auto poke = peers_.node(router.address, Lane::Control).pokeRequest();
                         poke.setSample(sample_);
                         loop_.detach(loop_.within(kMessageLimit, poke.send().ignoreResult())
                                              .catch_([](kj::Exception &&) {}),
                                      "poke");
                     }
                 }),
                 "poke");
}

HeartbeatReply ControlTask::heartbeat(const Heartbeat &heartbeat)
{
    return coordinator_->heartbeat(heartbeat, state_, BootClock::now());
}

void ControlTask::receive(const RaftMessage &message, std::string_view fromAddress)
{
    if (failed_)
        return;
    addresses_[message.from] = fromAddress;
    const Instant now = BootClock::now();
    if (message.kind == RaftMessageKind::AppendReply && hooks_.roundAcknowledged) {
        if (const auto age = raft_->roundAge(message.round, now))
            hooks_.roundAcknowledged(*age);
    }
    raft_->receive(message, now);
    drain();
}

void ControlTask::join(const JoinRequest &replica)
{
    membershipManager_.addRequest(replica, BootClock::now());
}

Result<void> ControlTask::removeReplica(std::string_view name)
{
    auto next = membershipWithout(raft_->membership(), name, raft_->id());
    if (!next)
        return tl::unexpected(next.error());
    membershipManager_.removeRequests(name);
    auto index = raft_->proposeMembership(*next, BootClock::now());
    if (!index)
        return tl::unexpected(index.error());
    drain();
    return {};
}

kj::Promise<Result<void>> ControlTask::bootstrap()
{
    return askPeers().then([this](const std::vector<PeerIdentity> &replies) {
        return found(replies, SilentPeers::None);
    });
}

// Asks all peers which replicas they run; leaves out those that do not say within the limit.
kj::Promise<std::vector<PeerIdentity>> ControlTask::askPeers()
{
    auto answers = kj::heapArrayBuilder<kj::Promise<std::optional<PeerIdentity>>>(
            settings_.peers.size());
    for (const std::string &address : settings_.peers) {
        auto asked = peers_.node(address, Lane::Control)
                             .identifyRequest()
                             .send()
                             .then([address](auto &&response) -> std::optional<PeerIdentity> {
                                 if (!response.getHasReplica())
                                     return std::nullopt;
                                 return PeerIdentity { response.getId(),
                                                       std::string(toView(response.getName())),
                                                       address, response.getInGroup(),
                                                       response.getFirstStart() };
                             });
        answers.add(peers_.answerWithin(kIdentifyLimit, address, Lane::Control, kj::mv(asked))
                            .catch_([](kj::Exception &&) -> std::optional<PeerIdentity> {
                                return std::nullopt;
                            }));
    }
    return kj::joinPromises(answers.finish()).then([](auto &&answered) {
        std::vector<PeerIdentity> replies;
        for (const std::optional<PeerIdentity> &reply : answered) {
            if (reply)
                replies.push_back(*reply);
        }
        return replies;
    });
}

Result<void> ControlTask::found(std::span<const PeerIdentity> replies, SilentPeers silent)
{
    const auto founding = foundWith(settings_.address, settings_.peers, replies, silent);
    if (!founding)
        return tl::unexpected(founding.error());
    auto founded = raft_->bootstrap(*founding, BootClock::now());
    if (!founded)
        return founded;
    logEvent(LogLevel::Info, "group_founded",
             { { "replica", fmt::format("{:016x}", raft_->id()) },
               { "voters", fmt::to_string(founding->members.voterCount()) },
               { "silent", fmt::to_string(settings_.peers.size() - replies.size()) } });
    drain();
    return {};
}

void ControlTask::handOver()
{
    if (failed_)
        return;
    raft_->transferLeadership(BootClock::now());
    drain();
}

void ControlTask::tick()
{
    if (failed_)
        return;
    raft_->tick(BootClock::now());
    drain();
}

// Handles outputs until there are none; applying an entry may bring more.
void ControlTask::drain()
{
    if (draining_)
        return;
    draining_ = true;
    while (!failed_ && handle(raft_->takeOutput())) { }
    draining_ = false;
    if (failed_)
        return;
    followRole();
    compact();
}

// False if there was nothing to handle.
bool ControlTask::handle(RaftOutput output)
{
    if (!output.hasDurableState() && output.messages.empty() && output.committed.empty())
        return false;
    if (output.hasDurableState()) {
        if (auto stored = store_.store(output); !stored) {
            stopReplica(stored.error());
            return false;
        }
    }
    if (output.installedSnapshot) {
        auto state = ControlState::load(output.installedSnapshot->data, settings_.limits);
        if (!state) {
            stopReplica(state.error());
            return false;
        }
        state_ = std::move(*state);
        applied_ = output.installedSnapshot->index;
        bytesSinceSnapshot_ = 0;
        logEvent(LogLevel::Info, "snapshot_installed",
                 { { "index", fmt::to_string(applied_) },
                   { "version", fmt::to_string(state_.deployment().version()) } });
        if (hooks_.deploymentChanged)
            hooks_.deploymentChanged();
        if (hooks_.rolloutsChanged)
            hooks_.rolloutsChanged();
    }
    for (const RaftMessage &message : output.messages)
        sendMessage(message);
    for (const LogEntry &entry : output.committed)
        applyEntry(entry);
    return !failed_;
}

void ControlTask::applyEntry(const LogEntry &entry)
{
    if (failed_ || entry.index <= applied_)
        return;
    applied_ = entry.index;
    proposedInstalls_.removeUpTo(applied_);
    bytesSinceSnapshot_ += entry.data.size();
    const auto waiting = pending_.find(entry.index);
    if (entry.kind == EntryKind::Command) {
        auto command = parseCommand(entry.data);
        if (!command) {
            stopReplica(command.error());
            return;
        }
        const Revision revision = state_.lists().revision;
        const Epoch epoch = state_.view().epoch;
        const uint64_t suspects = state_.suspects().version();
        const Revision deployed = state_.deployment().revision();
        const uint64_t rollouts = state_.rollouts().revision();
        const CommandAnswer answer = state_.apply(*command);
        if (state_.rollouts().revision() != rollouts && hooks_.rolloutsChanged)
            hooks_.rolloutsChanged();
        if (state_.deployment().revision() != deployed) {
            logEvent(LogLevel::Info, "deployment_changed",
                     { { "version", fmt::to_string(state_.deployment().version()) },
                       { "revision", fmt::to_string(state_.deployment().revision()) },
                       { "index", fmt::to_string(entry.index) },
                       { "entry_term", fmt::to_string(entry.term) },
                       { "entry_bytes", fmt::to_string(entry.data.size()) } });
            if (hooks_.deploymentChanged)
                hooks_.deploymentChanged();
        }
        if (state_.lists().revision != revision || state_.view().epoch != epoch
            || state_.suspects().version() != suspects)
            pokeRouters();
        if (waiting != pending_.end() && waiting->second.term == entry.term)
            waiting->second.fulfill(answer);
        else if (waiting != pending_.end())
            waiting->second.fulfill(notLeader());
    } else if (waiting != pending_.end()) {
        waiting->second.fulfill(notLeader());
    }
    if (waiting != pending_.end())
        pending_.erase(waiting);
}

void ControlTask::sendMessage(const RaftMessage &message)
{
    const Replica *member = raft_->membership().find(message.to);
    const auto known = addresses_.find(message.to);
    const std::string address = member  ? member->address
            : known != addresses_.end() ? known->second
                                        : std::string();
    if (address.empty() || unanswered_[message.to] >= kMaxUnanswered)
        return; // the log does not count on delivery
    auto request = peers_.node(address, Lane::Control).raftRequest();
    write(message, request.initMessage());
    request.setFromAddress(settings_.address);
    if (hooks_.sent)
        hooks_.sent(request.totalSize().wordCount * sizeof(capnp::word));
    ++unanswered_[message.to];
    const Duration limit = message.snapshot ? kSnapshotLimit : kMessageLimit;
    const ReplicaId to = message.to;
    loop_.detach(loop_.within(limit, request.send().ignoreResult())
                         .then([this, to]() { --unanswered_[to]; },
                               [this, to, address](kj::Exception &&problem) {
                                   --unanswered_[to];
                                   if (problem.getType() == kj::Exception::Type::OVERLOADED)
                                       peers_.drop(address, Lane::Control);
                               }),
                 "raft message");
}

void ControlTask::noteLeader()
{
    const ReplicaId leader = raft_->leader();
    if (leader == knownLeader_)
        return;
    const Instant now = BootClock::now();
    logEvent(LogLevel::Info, leader == kNoReplica ? "leader_lost" : "leader_known",
             { { "leader", fmt::format("{:016x}", leader == kNoReplica ? knownLeader_ : leader) },
               { "term", fmt::to_string(raft_->term()) },
               { leader == kNoReplica ? "known_ms" : "unknown_ms",
                 fmt::to_string(toMillis(now - leaderChangedAt_)) } });
    knownLeader_ = leader;
    leaderChangedAt_ = now;
}

// The coordinator lives from when this replica may first speak in a term until
// it no longer leads in it.
void ControlTask::followRole()
{
    noteLeader();
    const bool leads = raft_->role() == RaftRole::Leader;
    if (coordinator_ && (!leads || raft_->term() != coordinatorTerm_)) {
        coordinator_.reset();
        const LeadershipEnd &end = raft_->lastLeadershipEnd();
        logEvent(LogLevel::Warning, "leadership_ended",
                 { { "term", fmt::to_string(coordinatorTerm_) },
                   { "reason", reasonName(end.reason) },
                   { "quorum_age_ms", fmt::to_string(toMillis(end.quorumAge)) },
                   { "held_ms", fmt::to_string(toMillis(BootClock::now() - leadsSince_)) },
                   { "commit", fmt::to_string(raft_->commitIndex()) },
                   { "last", fmt::to_string(raft_->lastIndex()) } });
    }
    if (!leads && !pending_.empty())
        rejectPending();
    if (leads && !coordinator_ && maySpeak()) {
        coordinatorTerm_ = raft_->term();
        leadsSince_ = BootClock::now();
        viewProposal_ = 0;
        coordinator_ = std::make_unique<Coordinator>(settings_.coordinator, coordinatorTerm_,
                                                     state_.view(), BootClock::now());
        logEvent(LogLevel::Info, "leadership_begun",
                 { { "term", fmt::to_string(coordinatorTerm_) },
                   { "commit", fmt::to_string(raft_->commitIndex()) },
                   { "epoch", fmt::to_string(state_.view().epoch) },
                   { "revision", fmt::to_string(state_.lists().revision) } });
    }
}

void ControlTask::coordinate()
{
    if (failed_ || !coordinator_ || !maySpeak())
        return;
    const Instant now = BootClock::now();
    if (viewProposal_ <= applied_) {
        if (auto view = coordinator_->tick(state_, now, wallClockMillis())) {
            logEvent(LogLevel::Info, "view_proposed",
                     { { "epoch", fmt::to_string(view->base + 1) },
                       { "routers", fmt::to_string(view->routers.size()) },
                       { "lost", fmt::to_string(view->ended.size()) } });
            if (auto index = raft_->propose(encodeCommand(*view), now))
                viewProposal_ = *index;
        }
    }
    maintainMembership(now);
    drain();
}

void ControlTask::maintainMembership(Instant now)
{
    const auto change = membershipManager_.nextChange(*raft_, now);
    if (!change || !raft_->proposeMembership(change->membership, now))
        return;
    const std::string members = fmt::to_string(change->membership.members.size());
    const std::string voters = fmt::to_string(change->membership.voterCount());
    if (!change->lost) {
        logEvent(LogLevel::Info, "membership_proposed",
                 { { "members", members }, { "voters", voters } });
        return;
    }
    const Duration silence = now - raft_->lastContact(change->lost->id);
    logEvent(LogLevel::Warning, change->lost->voter ? "lost_voter_removed" : "lost_learner_removed",
             { { "lost", change->lost->name },
               { "members", members },
               { "voters", voters },
               { "silent_ms", fmt::to_string(toMillis(silence)) } });
}

// In a group that operators manage, a replica that they removed does not ask again.
void ControlTask::askToJoin()
{
    if (failed_)
        return;
    formGroup();
    const Replica *self = raft_->membership().find(raft_->id());
    wasMember_ = wasMember_ || self;
    // The leader may have removed a replica that was frozen or cut off for so long.
    const bool cutOff = settings_.selfManaged && raft_->role() != RaftRole::Leader
            && BootClock::now() - raft_->lastLeaderContact() > lostAfter(settings_.timing);
    const bool settled = self && self->voter && self->address == settings_.address;
    if ((settled && !cutOff) || (wasMember_ && !self && !settings_.selfManaged))
        return;
    std::set<std::string> targets(settings_.peers.begin(), settings_.peers.end());
    if (!leaderAddress().empty())
        targets = { leaderAddress() };
    if (!joinTarget_.empty())
        targets.insert(joinTarget_);
    if (cutOff) {
        for (const Replica &member : raft_->membership().members)
            targets.insert(member.address);
    }
    targets.erase(settings_.address);
    for (const std::string &address : targets) {
        auto request = peers_.node(address, Lane::Control).joinRequest();
        request.setId(raft_->id());
        request.setName(settings_.name);
        request.setAddress(settings_.address);
        loop_.detach(loop_.within(kMessageLimit, request.send())
                             .then([this](auto &&response) {
                                 const auto leader = response.getLeader();
                                 if (!response.getAnswered() && leader.getKnown())
                                     joinTarget_ = std::string(toView(leader.getAddress()));
                             })
                             .catch_([this, address](kj::Exception &&problem) {
                                 if (problem.getType() == kj::Exception::Type::OVERLOADED)
                                     peers_.drop(address, Lane::Control);
                             }),
                     "join");
    }
}

void ControlTask::formGroup()
{
    if (!settings_.selfManaged || !settings_.firstStart || forming_ || inGroup())
        return;
    forming_ = true;
    loop_.detach(askPeers().then([this](const std::vector<PeerIdentity> &replies) {
        forming_ = false;
        if (failed_ || inGroup() || founderOf(replies) != settings_.address)
            return;
        const bool maySomeBeDown = BootClock::now() - startedAt_ >= kStartTogether;
        const auto founded = found(
                replies, maySomeBeDown ? SilentPeers::AsManyAsVotesAllow : SilentPeers::None);
        if (!founded) {
            logEvent(LogLevel::Warning, "group_not_formed",
                     { { "reason", founded.error().message },
                       { "remedy", founded.error().remedy } });
        }
    }),
                 "form group");
}

void ControlTask::compact()
{
    if (!isCompactionDue(*raft_, settings_.snapshotEvery, bytesSinceSnapshot_)
        || applied_ <= raft_->snapshotIndex())
        return;
    bytesSinceSnapshot_ = 0;
    const Snapshot snapshot = raft_->compact(applied_, state_.save());
    if (auto stored = store_.storeSnapshot(snapshot, raft_->entries()); !stored)
        stopReplica(stored.error());
}

void ControlTask::stopReplica(const Error &error)
{
    failed_ = true;
    diskFailed_ = error.kind == ErrorKind::StorageFailed;
    coordinator_.reset();
    rejectPending();
    logEvent(LogLevel::Error, "replica_stopped",
             { { "problem", error.message }, { "remedy", error.remedy } });
}

void ControlTask::rejectPending()
{
    for (auto &[index, pending] : pending_)
        pending.fulfill(notLeader());
    pending_.clear();
    proposedInstalls_.clear();
}

nlohmann::json ControlTask::status() const
{
    const Instant now = BootClock::now();
    auto members = nlohmann::json::array();
    for (const Replica &member : raft_->membership().members) {
        members.push_back({ { "name", member.name },
                            { "id", fmt::format("{:016x}", member.id) },
                            { "address", member.address },
                            { "voter", member.voter },
                            { "leads", member.id == raft_->leader() },
                            { "matched", raft_->matchIndex(member.id) } });
    }
    nlohmann::json value { { "id", fmt::format("{:016x}", raft_->id()) },
                           { "term", raft_->term() },
                           { "commit", raft_->commitIndex() },
                           { "snapshot", raft_->snapshotIndex() },
                           { "replica_failed", failed_ },
                           { "replicas", members },
                           { "replicas_settled", raft_->membershipCommitted() },
                           { "revision", state_.lists().revision },
                           { "lists", toJson(state_.lists()) },
                           { "epoch", state_.view().epoch },
                           { "calls",
                             { { "records", state_.calls().size() },
                               { "started", state_.calls().countOf(CallPhase::Started) },
                               { "unknown", state_.calls().countOf(CallPhase::Unknown) },
                               { "kept_bytes", state_.calls().keptBytes() } } } };
    auto suspects = nlohmann::json::array();
    for (const SuspectRequest &item : state_.suspects().all()) {
        suspects.push_back({ { "fingerprint", fmt::format("{:016x}", item.fingerprint) },
                             { "quarantined", item.status == SuspicionStatus::Quarantined } });
    }
    value["suspects"] = suspects;
    if (!coordinator_)
        return value;
    value["active_epoch"] = coordinator_->activeEpoch(state_, now);
    value["revision_in_force"] = coordinator_->revisionInForce(state_, now);
    auto routers = nlohmann::json::array();
    for (const RouterStatus &router : coordinator_->routers(state_, now)) {
        routers.push_back({ { "name", router.router.name },
                            { "data_centre", router.router.dataCentre },
                            { "address", router.router.address },
                            { "in_view", router.inView },
                            { "leased", router.leased },
                            { "leaving", router.leaving },
                            { "epoch", router.ackedEpoch },
                            { "revision", router.ackedRevision },
                            { "silent_ms", router.sinceHeartbeatMillis } });
    }
    value["routers"] = routers;
    auto endpoints = nlohmann::json::array();
    for (const auto &[slot, entry] : coordinator_->endpoints().entries()) {
        const Announcement &endpoint = entry.announcement;
        const RouterInfo *owner = ownerOf(state_.view(), endpoint.id, endpoint.dataCentre);
        endpoints.push_back(
                { { "id", endpoint.id },
                  { "data_centre", endpoint.dataCentre },
                  { "pool", endpoint.poolName() },
                  { "address", endpoint.address },
                  { "capacity", endpoint.capacity },
                  { "cold", endpoint.cold },
                  { "leaving", endpoint.leaving },
                  { "out", state_.lists().isOutOfService(endpoint.dataCentre, endpoint.id) },
                  { "owner", owner ? owner->name : std::string() } });
    }
    value["endpoints"] = endpoints;
    value["held_down"] = coordinator_->endpoints().heldDownCount(now);
    return value;
}

} // namespace bamboogap
