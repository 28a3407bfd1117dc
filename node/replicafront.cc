// Operators' orders and endpoints' heartbeats at a replica, and what it shares with other
// replicas. Routers' reports are in node/replicareports.cc.

#include "node/replicafront.h"

#include <random>

#include <fmt/format.h>
#include <kj/debug.h>

#include "base/compress.h"
#include "base/jsontext.h"
#include "base/log.h"
#include "node/convert.h"
#include "node/rosterwire.h"

namespace bamboogap {

namespace {

// The operator asks another replica after a second without an answer; a call to the
// leader has to end before that.
// Without an answer, a sender sends its order elsewhere, and others after it.
constexpr Duration kSenderPatience = std::chrono::seconds(1);
constexpr Duration kLeaderLimit = std::chrono::milliseconds(850);
// Other replicas answer within a few crossings; an endpoint gives up after a second.
constexpr Duration kDepartureLimit = std::chrono::milliseconds(400);
constexpr Duration kTick = std::chrono::milliseconds(500);
// A replica in touch applies what the leader has committed within this.
constexpr Duration kCatchUp = std::chrono::milliseconds(150);
// Between two lines on the bytes sent.
constexpr Duration kReportTraffic = std::chrono::seconds(1);
// Between two sums of a group's work to the other replicas, and the limit of one.
constexpr Duration kShareGroup = std::chrono::milliseconds(150);
constexpr Duration kGroupLimit = std::chrono::milliseconds(600);
// Between two messages with changes of the roster to another replica; they are needed only
// after a restart.
constexpr Duration kShareRoster = std::chrono::seconds(1);

uint64_t randomEpoch()
{
    std::random_device device;
    return ((uint64_t { device() } << 32) | device()) | 1;
}

tl::unexpected<Error> noLeader()
{
    return failure(ErrorKind::NoLeader, "no leader of the control group is known here",
                   "send it to another replica, or again in a second");
}

tl::unexpected<Error> superseded()
{
    return failure(ErrorKind::NoLeader, "another order was accepted since this one came",
                   "send the order again if it is still wanted");
}

class ReplicaServer final : public ControlServer
{
public:
    ReplicaServer(ReplicaFront &front, ControlTask &control)
        : ControlServer(&control)
        , front_(front)
    {
    }

    kj::Promise<void> sync(SyncContext context) override
    {
        front_.sync(context.getParams().getRequest(), context.getResults().initReply());
        front_.traffic().sent(Traffic::Report, sizeInBytes(context.getResults()));
        return kj::READY_NOW;
    }

    kj::Promise<void> endpointDeparts(EndpointDepartsContext context) override
    {
        const auto told = context.getParams();
        return front_.noteDeparture(toView(told.getId()), toView(told.getRecord()),
                                    told.getWallMillis());
    }

    kj::Promise<void> groupUses(GroupUsesContext context) override
    {
        const auto told = context.getParams();
        front_.noteGroup(toView(told.getReplica()), told.getRouters(), toView(told.getUses()),
                         toView(told.getDemand()));
        return kj::READY_NOW;
    }

    kj::Promise<void> rolloutCounts(RolloutCountsContext context) override
    {
        const auto told = context.getParams();
        front_.noteRolloutCounts(toView(told.getReplica()), toView(told.getCounts()));
        return kj::READY_NOW;
    }

    kj::Promise<void> rosterChanged(RosterChangedContext context) override
    {
        const auto told = context.getParams();
        RosterChanges changes { told.getEpoch(), told.getVersion(), told.getFull(), {} };
        auto records = unpackRecords(toView(told.getRecords()));
        if (!records) {
            logEvent(LogLevel::Error, "endpoints_unreadable",
                     { { "replica", std::string(toView(told.getReplica())) },
                       { "problem", records.error().message } });
            return KJ_EXCEPTION(FAILED, "endpoint records cannot be read");
        }
        changes.records = std::move(*records);
        front_.noteRoster(toView(told.getReplica()), changes);
        context.getResults().setProcess(front_.roster().epoch());
        return kj::READY_NOW;
    }

    kj::Promise<void> routes(RoutesContext context) override
    {
        const auto asked = context.getParams();
        auto results = context.getResults();
        front_.giveRoutes(asked.getKnown(),
                          { std::string(toView(asked.getRouter())),
                            std::string(toView(asked.getDataCentre())),
                            std::string(toView(asked.getFailed())) },
                          results);
        front_.traffic().sent(Traffic::Document, sizeInBytes(results));
        return kj::READY_NOW;
    }

    kj::Promise<void> newestRoutes(NewestRoutesContext context) override
    {
        auto results = context.getResults();
        if (!control()->maySpeak()) {
            hint(results.initLeader());
            return kj::READY_NOW;
        }
        const Deployment &deployment = control()->deployment();
        results.setAnswered(true);
        results.setVersion(deployment.version());
        results.setDocument(toData(deployment.document()));
        front_.traffic().sent(Traffic::Read, sizeInBytes(results));
        return kj::READY_NOW;
    }

    kj::Promise<void> newestRollouts(NewestRolloutsContext context) override
    {
        auto results = context.getResults();
        if (!control()->maySpeak()) {
            hint(results.initLeader());
            return kj::READY_NOW;
        }
        results.setAnswered(true);
        results.setRollouts(toData(packRollouts(control()->rollouts().all())));
        front_.traffic().sent(Traffic::Read, sizeInBytes(results));
        return kj::READY_NOW;
    }

private:
    ReplicaFront &front_;
};

} // namespace

ReplicaFront::ReplicaFront(EventLoop &loop, Peers &peers, ControlTask &control,
                           const Dialect &dialect, Settings settings, Metrics &metrics,
                           MemoFile memo, DepartureStore departures)
    : loop_(loop)
    , peers_(peers)
    , control_(control)
    , dialect_(dialect)
    , settings_(std::move(settings))
    , metrics_(metrics)
    , traffic_(metrics, settings_.linkBytesPerSecond)
    , roster_(randomEpoch(), settings_.endpointSilence)
    , memoFile_(std::move(memo))
    , departures_(std::move(departures))
    , startCalls_(loop, peers, settings_.address)
    , spread_({ settings_.linkBytesPerSecond })
    , limits_(randomEpoch())
    , quarantined_(randomEpoch())
    , watched_(randomEpoch())
    , replies_(settings_.linkBytesPerSecond)
    , rollouts_(loop, peers, control, settings_.address, rolloutHooks())
{
}

RolloutOrders::Hooks ReplicaFront::rolloutHooks()
{
    return { [this](Command command) { return commitForAnswer(std::move(command)); },
             [this]() {
                 return newestDocument().then([](Result<Document> read) -> Result<std::string> {
                     if (!read)
                         return tl::unexpected(read.error());
                     return std::move(read->text);
                 });
             },
             dialect_.parseRoutes };
}

void ReplicaFront::noteDeployment()
{
    const uint64_t version = control_.deployment().version();
    documents_.add(version, control_.deployment().document());
    const auto end = installsAwaited_.upper_bound(version);
    for (auto item = installsAwaited_.begin(); item != end; ++item)
        item->second->fulfill(AppliedAnswer { false });
    installsAwaited_.erase(installsAwaited_.begin(), end);
}

kj::Promise<Result<AppliedAnswer>> ReplicaFront::whenInstalled(uint64_t version)
{
    for (auto item = installsAwaited_.begin(); item != installsAwaited_.end();)
        item = item->second->isWaiting() ? std::next(item) : installsAwaited_.erase(item);
    auto installed = kj::newPromiseAndFulfiller<Result<AppliedAnswer>>();
    installsAwaited_.emplace(version, kj::mv(installed.fulfiller));
    return kj::mv(installed.promise);
}

void ReplicaFront::giveRoutes(uint64_t known, const DocumentDistributor::Requester &asker,
                              wire::Node::RoutesResults::Builder results)
{
    const DocumentUpdate &piece = documents_.newestUpdateFor(known);
    const DocumentDistributor::Answer advice
            = spread_.decide(asker, piece.version, piece.bytes.size(), BootClock::now());
    switch (advice.decision) {
    case DocumentDistributor::Decision::Send:
        results.setVersion(piece.version);
        results.setBase(piece.base);
        results.setDocument(toData(piece.bytes));
        break;
    case DocumentDistributor::Decision::AskPeer:
        results.setHolder(advice.peer);
        break;
    case DocumentDistributor::Decision::Wait:
        results.setRetryAfterMillis(std::max<int64_t>(1, toMillis(advice.wait)));
        break;
    }
}

void ReplicaFront::start()
{
    recallDepartures();
    recallFleet();
    control_.setHooks({ [this](size_t bytes) { traffic_.sent(Traffic::Log, bytes); },
                        [this](Duration age) { traffic_.roundAcknowledged(age); },
                        [this] { noteDeployment(); }, [this] { rollouts_.logChanges(); } });
    noteDeployment();
    rollouts_.begin();
    loop_.every(PauseWatch::kTick, "watch pauses", [this] { pauses_.tick(BootClock::now()); });
    loop_.every(kReportTraffic, "report traffic", [this] { traffic_.report(); });
    loop_.every(kShareGroup, "share group", [this] { shareGroup(); });
    loop_.every(kShareRoster, "share roster", [this] { shareRoster(); });
    loop_.every(kTick, "replica front", [this] {
        const Instant now = BootClock::now();
        roster_.tick(now);
        routers_.removeExpired(now);
        rememberFleet(now);
        limits_.expire(now);
        crashSuspects_.expire(now);
        quarantineSuspects(now);
        commitQuarantine();
        metrics_.set("bamboogap_roster_endpoints", {}, double(roster_.size()));
        metrics_.set("bamboogap_routes_version", {}, double(control_.deployment().version()));
        metrics_.set("bamboogap_replica_current", {}, control_.isCurrent() ? 1 : 0);
    });
}

// Before the fleet: what has departed is not offered again.
void ReplicaFront::recallDepartures()
{
    const Instant now = BootClock::now();
    auto departures = departures_.load(now);
    if (!departures) {
        logEvent(LogLevel::Error, "departures_not_recalled",
                 { { "problem", departures.error().message },
                   { "remedy", departures.error().remedy } });
        return;
    }
    for (Departure &departure : *departures) {
        if (departure.record)
            roster_.heartbeat(std::move(*departure.record), now);
        else
            roster_.leave(departure.endpointId, departure.wallMillis, now);
    }
    logEvent(LogLevel::Info, "departures_recalled",
             { { "endpoints", fmt::to_string(departures->size()) } });
}

void ReplicaFront::recallFleet()
{
    const Instant now = BootClock::now();
    auto memo = memoFile_.load();
    routers_.recall(memo ? static_cast<uint32_t>(memo->routers.size()) : 0,
                    memo && settings_.firstStart, now);
    if (!memo) {
        logEvent(LogLevel::Warning, "fleet_not_recalled",
                 { { "problem", memo.error().message }, { "remedy", memo.error().remedy } });
        return;
    }
    for (EndpointRecord &record : memo->endpoints)
        roster_.restore(std::move(record), now);
    logEvent(LogLevel::Info, "fleet_recalled",
             { { "endpoints", fmt::to_string(memo->endpoints.size()) },
               { "routers", fmt::to_string(memo->routers.size()) } });
    startCalls_.start(memo->routers);
}

void ReplicaFront::rememberFleet(Instant now)
{
    std::vector<std::string> addresses = routers_.aliveAddresses(now);
    const std::pair versions { roster_.version(), othersRoster_.version() };
    if (!memoFile_.mayStore(now) || (versions == storedRosters_ && addresses == storedRouters_))
        return;
    const auto stored = memoFile_.store({ addresses, endpointsToRemember(now) });
    if (!stored && !memoFails_) {
        logEvent(LogLevel::Warning, "fleet_not_stored",
                 { { "problem", stored.error().message }, { "remedy", stored.error().remedy } });
    }
    memoFails_ = !stored;
    if (!stored)
        return;
    storedRosters_ = versions;
    storedRouters_ = std::move(addresses);
}

// The endpoints that the other replicas heard are remembered, too, if routers can be told of
// all in one answer: in a large fleet real news would wait behind them.
std::vector<EndpointRecord> ReplicaFront::endpointsToRemember(Instant now) const
{
    std::vector<EndpointRecord> all = knownEndpoints(now);
    return all.size() > kRecordsTold ? roster_.records(now) : all;
}

std::vector<EndpointRecord> ReplicaFront::knownEndpoints(Instant now) const
{
    std::map<std::string, EndpointRecord> all;
    for (EndpointRecord &record : othersRoster_.records(now))
        all.emplace(record.id, std::move(record));
    for (EndpointRecord &record : roster_.records(now)) {
        const auto [item, added] = all.try_emplace(record.id, record);
        if (!added && isLater(record, item->second))
            item->second = std::move(record);
    }
    std::vector<EndpointRecord> records;
    records.reserve(all.size());
    for (auto &[id, record] : all)
        records.push_back(std::move(record));
    return records;
}

void ReplicaFront::noteRoster(std::string_view replica, const RosterChanges &changes)
{
    othersRoster_.apply(replica, changes, BootClock::now());
}

void ReplicaFront::shareRoster()
{
    const Instant now = BootClock::now();
    othersRoster_.tick(now);
    for (const Replica &member : control_.membership().members) {
        const std::string address = member.address;
        RosterShare &share = rosterShares_[address];
        if (address == settings_.address || share.inFlight || share.version == roster_.version())
            continue;
        const RosterChanges changes = roster_.changesSince(share.process == 0 ? 0 : roster_.epoch(),
                                                           share.version, now, kRecordsTold);
        const std::string records = packRecords(changes.records);
        auto request = peers_.node(address, Lane::Control).rosterChangedRequest();
        request.setReplica(settings_.address);
        request.setEpoch(changes.epoch);
        request.setVersion(changes.version);
        request.setFull(changes.full);
        request.setRecords(toData(records));
        traffic_.sent(Traffic::Group, records.size());
        share.inFlight = true;
        loop_.detach(loop_.within(kGroupLimit, request.send())
                             .then(
                                     [this, address, version = changes.version](auto &&response) {
                                         RosterShare &told = rosterShares_[address];
                                         told.inFlight = false;
                                         const bool same = told.process == 0
                                                 || told.process == response.getProcess();
                                         told.process = same ? response.getProcess() : 0;
                                         told.version = same ? version : 0;
                                     },
                                     // The same changes go with the next call.
                                     [this, address](kj::Exception &&) {
                                         rosterShares_[address].inFlight = false;
                                     }),
                     "share what was heard of endpoints");
    }
}

wire::Node::Client ReplicaFront::makeServer()
{
    return kj::heap<ReplicaServer>(*this, control_);
}

void ReplicaFront::noteGroup(std::string_view replica, uint32_t routers, std::string_view uses,
                             std::string_view demand)
{
    if (routers > 0)
        work_.groupReport(replica, routers, uses, BootClock::now());
    demands_.groupReport(replica, demand, BootClock::now());
}

// Tells the other replicas what the routers of this one's group have under way.
void ReplicaFront::shareGroup()
{
    work_.tick(BootClock::now(), routers_.aliveTimeout());
    demands_.tick(BootClock::now());
    const std::string demand = demands_.group();
    if (work_.groupSize() == 0 && demand.empty())
        return;
    const std::string packed = packUses(work_.group());
    for (const Replica &member : control_.membership().members) {
        const std::string address = member.address;
        if (address == settings_.address || groupsInFlight_.count(address) > 0)
            continue;
        groupsInFlight_.insert(address);
        auto request = peers_.node(address, Lane::Control).groupUsesRequest();
        request.setReplica(settings_.address);
        request.setRouters(std::min<uint32_t>(work_.groupSize(), UINT16_MAX));
        request.setUses(toData(packed));
        if (!demand.empty())
            request.setDemand(toData(demand));
        traffic_.sent(Traffic::Group, packed.size() + demand.size());
        loop_.detach(loop_.within(kGroupLimit, request.send().ignoreResult())
                             .then([this, address] { groupsInFlight_.erase(address); },
                                   // The next one follows; routers see the age in their logs.
                                   [this, address](kj::Exception &&) {
                                       groupsInFlight_.erase(address);
                                   }),
                     "share a group's work");
    }
}

void ReplicaFront::handle(ExchangeId exchange, const HttpRequest &request)
{
    if (!settings_.hasRollouts && dialect_.isRolloutCall(request)) {
        replyError(exchange,
                   { ErrorKind::NotFound,
                     fmt::format("no such call: {} {}", request.method, request.pathOnly()),
                     "see docs/PLATFORM.md for the supported calls" });
        return;
    }
    const auto order = dialect_.readOrder(request);
    if (!order) {
        logEvent(LogLevel::Warning, "order_refused",
                 { { "method", request.method },
                   { "path", request.path },
                   { "problem", order.error().message } });
        replyError(exchange, order.error());
        return;
    }
    const bool isRead = std::holds_alternative<ReadRoutesOrder>(*order)
            || std::holds_alternative<ReadRolloutOrder>(*order);
    // None of them has a version.
    const bool mayUndoLater = std::holds_alternative<OutageOrder>(*order)
            || std::holds_alternative<LeaveOrder>(*order)
            || std::holds_alternative<StartRolloutOrder>(*order);
    if (!isRead && refuseAbandoned(exchange, request, mayUndoLater))
        return;
    std::visit([&](const auto &kind) { perform(exchange, kind, request); }, *order);
}

bool ReplicaFront::refuseAbandoned(ExchangeId exchange, const HttpRequest &request,
                                   bool mayUndoLater)
{
    std::string reason;
    if (server_->hasCallerLeft(exchange))
        reason = "its sender has closed the connection";
    else if (pauses_.isAfterPause(BootClock::now()))
        reason = "it may have waited while this process was paused";
    else if (mayUndoLater && server_->waitForFirstRequest(exchange) > kSenderPatience)
        reason = "it was held up on its way for longer than senders wait";
    else
        return false;
    logEvent(LogLevel::Warning, "order_abandoned",
             { { "method", request.method }, { "path", request.path }, { "reason", reason } });
    replyError(exchange,
               { ErrorKind::NoLeader, "the order was not begun: " + reason, "send it again" });
    return true;
}

// Routers in touch reach every replica that is in touch with the majority; one that
// is cut off from it must not vouch that they will know. And an endpoint announces its
// departure once only: neither the loss of the replica that acknowledged it nor a restart of all
// must lose it.
void ReplicaFront::answerDeparture(ExchangeId exchange, const Departure &departure)
{
    if (!control_.isCurrent()) {
        replyError(exchange, noLeader().value());
        return;
    }
    const std::string id = departure.endpointId;
    loop_.detach(shareDeparture(departure).then([=, this](bool held) {
        if (held) {
            reply(exchange, 200, "{}");
            return;
        }
        logEvent(LogLevel::Warning, "departure_not_acknowledged",
                 { { "endpoint", id }, { "reason", "no majority of replicas has stored it" } });
        replyError(exchange, noLeader().value());
    }),
                 "departure");
}

kj::Promise<bool> ReplicaFront::shareDeparture(const Departure &departure)
{
    const std::vector<Replica> &members = control_.membership().members;
    const auto voters = std::count_if(members.begin(), members.end(),
                                      [](const Replica &member) { return member.voter; });
    struct Count
    {
        Count(size_t wanted, kj::Own<kj::PromiseFulfiller<bool>> fulfiller)
            : missing(wanted)
            , done(kj::mv(fulfiller))
        {
        }
        size_t missing;
        kj::Own<kj::PromiseFulfiller<bool>> done;
    };
    auto held = kj::newPromiseAndFulfiller<bool>();
    const size_t majority = static_cast<size_t>(voters) / 2 + 1;
    const auto count = std::make_shared<Count>(majority, kj::mv(held.fulfiller));
    const auto countIn = [&](kj::Promise<void> storing) {
        loop_.detach(storing.then(
                             [count] {
                                 if (--count->missing == 0)
                                     count->done->fulfill(true);
                             },
                             [](kj::Exception &&) {}), // shows in the count
                     "share a departure");
    };
    const std::string packed
            = departure.record ? packRecords(std::span(&*departure.record, 1)) : std::string();
    for (const Replica &member : members) {
        if (!member.voter)
            continue;
        if (member.address == settings_.address) {
            countIn(storeDeparture(departure));
            continue;
        }
        auto request = peers_.node(member.address, Lane::Control).endpointDepartsRequest();
        request.setId(departure.endpointId);
        request.setRecord(toData(packed));
        request.setWallMillis(departure.wallMillis);
        countIn(loop_.within(kDepartureLimit, request.send().ignoreResult()));
    }
    return loop_.within(kDepartureLimit, kj::mv(held.promise)).catch_([](kj::Exception &&) {
        return false;
    });
}

// Those of one turn of the loop share a sync.
kj::Promise<void> ReplicaFront::storeDeparture(const Departure &departure)
{
    if (departures_.holds(departure))
        return kj::READY_NOW;
    if (unstoredDepartures_.empty())
        loop_.detach(kj::evalLast([this]() { storeDepartures(); }), "store departures");
    auto stored = kj::newPromiseAndFulfiller<void>();
    unstoredDepartures_.push_back({ departure, kj::mv(stored.fulfiller) });
    return kj::mv(stored.promise);
}

void ReplicaFront::storeDepartures()
{
    auto unstored = std::exchange(unstoredDepartures_, {});
    std::vector<Departure> departures;
    for (const UnstoredDeparture &item : unstored)
        departures.push_back(item.departure);
    const auto stored = departures_.store(departures, BootClock::now());
    if (!stored) {
        logEvent(LogLevel::Warning, "departures_not_stored",
                 { { "endpoints", fmt::to_string(departures.size()) },
                   { "problem", stored.error().message },
                   { "remedy", stored.error().remedy } });
    }
    for (UnstoredDeparture &item : unstored) {
        if (stored)
            item.stored->fulfill();
        else
            item.stored->reject(KJ_EXCEPTION(FAILED, "the departure could not be stored"));
    }
}

kj::Promise<void> ReplicaFront::noteDeparture(std::string_view endpointId, std::string_view record,
                                              int64_t wallMillis)
{
    const Instant now = BootClock::now();
    const uint64_t before = roster_.version();
    auto records = unpackRecords(record);
    if (!records) {
        logEvent(LogLevel::Error, "departure_unreadable",
                 { { "endpoint", std::string(endpointId) },
                   { "problem", records.error().message } });
        return KJ_EXCEPTION(FAILED, "the departure cannot be read");
    }
    Departure departure { std::string(endpointId), std::nullopt, wallMillis };
    if (records->empty())
        roster_.leave(endpointId, wallMillis, now);
    else
        departure.record = records->front();
    for (EndpointRecord &departing : *records)
        roster_.heartbeat(std::move(departing), now);
    // Each heartbeat of a draining endpoint is passed on.
    if (roster_.version() != before) {
        logEvent(LogLevel::Info, "endpoint_departs",
                 { { "endpoint", std::string(endpointId) },
                   { "announced", record.empty() ? "left" : "draining" },
                   { "told_by", "another replica" } });
    }
    return storeDeparture(departure);
}

void ReplicaFront::perform(ExchangeId exchange, const HeartbeatOrder &order, const HttpRequest &)
{
    const bool draining = order.record.state != EndpointState::Ready;
    const std::string id = order.record.id;
    const uint64_t before = roster_.version();
    EndpointRecord record = order.record;
    if (!settings_.hasRollouts)
        record.softwareVersion.clear(); // adds no bytes to messages
    roster_.heartbeat(record, BootClock::now());
    if (roster_.version() != before) {
        logEvent(LogLevel::Info, "endpoint_changed",
                 { { "endpoint", id },
                   { "service", order.record.service },
                   { "data_centre", order.record.dataCentre },
                   { "state", draining ? "draining" : "ready" },
                   { "cold_ms", fmt::to_string(order.record.warmupLeftMillis) },
                   { "sequence", fmt::to_string(order.record.sequence) } });
    }
    if (draining)
        answerDeparture(exchange, { id, std::move(record), 0 });
    else
        reply(exchange, 200, "{}");
}

// The other replicas are told which incarnation has left, if it is known: they may hear of the next
// one before they hear of this departure.
void ReplicaFront::perform(ExchangeId exchange, const LeaveOrder &order, const HttpRequest &)
{
    const int64_t wallMillis = wallClockMillis();
    Departure departure { order.endpointId, roster_.find(order.endpointId), wallMillis };
    roster_.leave(order.endpointId, wallMillis, BootClock::now());
    if (departure.record)
        departure.record->state = EndpointState::Gone;
    logEvent(LogLevel::Info, "endpoint_left", { { "endpoint", order.endpointId } });
    answerDeparture(exchange, departure);
}

void ReplicaFront::perform(ExchangeId exchange, const InstallRoutesOrder &order,
                           const HttpRequest &request)
{
    const std::string what = fmt::format("routes {}", order.version);
    // What is committed stays so: no leader is needed to acknowledge it again.
    if (control_.deployment().version() >= order.version) {
        answerCommit(exchange, what, Result<AppliedAnswer>(AppliedAnswer { false }));
        return;
    }
    auto installed = whenInstalled(order.version);
    answerCommit(exchange, what,
                 commit(InstallRoutesCommand { order.version, compress(request.body) })
                         .exclusiveJoin(kj::mv(installed)));
}

void ReplicaFront::perform(ExchangeId exchange, const ReadRoutesOrder &, const HttpRequest &)
{
    const Instant began = BootClock::now();
    const bool leads = control_.maySpeak();
    loop_.detach(newestDocument().then([=, this](Result<Document> read) {
        const ControlTask::LogPosition position = control_.logPosition();
        logEvent(LogLevel::Info, "routes_read",
                 { { "outcome", read ? "answered" : "refused" },
                   { "version", read ? fmt::to_string(read->version) : "" },
                   { "problem", read ? "" : read.error().message },
                   { "from", leads ? "self" : control_.leaderAddress() },
                   { "took_ms", fmt::to_string(toMillis(BootClock::now() - began)) },
                   { "bytes", fmt::to_string(read ? read->text.size() : 0) },
                   { "term", fmt::to_string(position.term) },
                   { "commit", fmt::to_string(position.commit) },
                   { "applied", fmt::to_string(position.applied) },
                   { "quorum_age_ms", fmt::to_string(toMillis(position.quorumAge)) } });
        if (!read) {
            replyError(exchange, read.error());
            return;
        }
        traffic_.sent(Traffic::Read, read->text.size());
        reply(exchange, 200, std::move(read->text));
    }),
                 "read routes");
}

void ReplicaFront::perform(ExchangeId exchange, const OutageOrder &order, const HttpRequest &)
{
    answerCommit(exchange, fmt::format("{} {}", order.out ? "out" : "in", order.dataCentre),
                 commitOutage(exchange, order, BootClock::now() + kLeaderLimit));
}

void ReplicaFront::perform(ExchangeId exchange, const StartRolloutOrder &order, const HttpRequest &)
{
    const Instant began = BootClock::now();
    const auto abandoned = [=, this] {
        return server_->hasCallerLeft(exchange) || pauses_.isAfterPause(BootClock::now());
    };
    loop_.detach(rollouts_.start(order, abandoned).then([=, this](Result<void> started) {
        logEvent(started ? LogLevel::Info : LogLevel::Warning, "order",
                 { { "order", fmt::format("rollout {} {}", order.service, order.version) },
                   { "outcome",
                     std::string(started ? "committed" : errorKindName(started.error().kind)) },
                   { "problem", started ? "" : started.error().message },
                   { "took_ms", fmt::to_string(toMillis(BootClock::now() - began)) },
                   { "leader", control_.leaderAddress() },
                   { "revision", fmt::to_string(control_.rollouts().revision()) } });
        if (!started)
            replyError(exchange, started.error());
        else
            reply(exchange, 200, "{}");
    }),
                 "start a rollout");
}

void ReplicaFront::perform(ExchangeId exchange, const ReadRolloutOrder &order, const HttpRequest &)
{
    using Read = Result<std::vector<Rollout>>;
    loop_.detach(rollouts_.newest().then([this, exchange, service = order.service](Read read) {
        if (!read) {
            replyError(exchange, read.error());
            return;
        }
        const auto found = std::find_if(read->begin(), read->end(), [&](const Rollout &rollout) {
            return rollout.service == service;
        });
        if (found == read->end()) {
            replyError(exchange,
                       { ErrorKind::NotFound,
                         fmt::format("service '{}' never had a rollout", service),
                         "correct the name, or order one" });
            return;
        }
        reply(exchange, 200, dialect_.rolloutBody(*found));
    }),
                 "read a rollout");
}

// The order has no version: it takes effect only if no other one for the data centre was accepted
// since it was received. An order that is delayed on its way to the leader, or whose sender has
// given up and sent others, is then void. One that met a concurrent order, or was received before
// this replica knew of the last one, is tried again while its sender waits.
kj::Promise<Result<AppliedAnswer>> ReplicaFront::commitOutage(ExchangeId exchange,
                                                              OutageOrder order, Instant giveUpAt)
{
    const uint64_t base = control_.deployment().outageOrders(order.dataCentre);
    return commit(SetOutageCommand { order.dataCentre, order.out, base })
            .then([=, this](Result<AppliedAnswer> answer) {
                using Answer = kj::Promise<Result<AppliedAnswer>>;
                if (!answer || answer->applied)
                    return Answer(std::move(answer));
                const Instant again = BootClock::now() + kCatchUp;
                if (again >= giveUpAt || server_->hasCallerLeft(exchange))
                    return Answer(Result<AppliedAnswer>(superseded()));
                return loop_.sleep(kCatchUp).then([=, this]() {
                    if (server_->hasCallerLeft(exchange) || pauses_.isAfterPause(BootClock::now()))
                        return Answer(Result<AppliedAnswer>(superseded()));
                    return commitOutage(exchange, order, giveUpAt);
                });
            });
}

void ReplicaFront::answerCommit(ExchangeId exchange, std::string what,
                                kj::Promise<Result<AppliedAnswer>> committing)
{
    const Instant began = BootClock::now();
    loop_.detach(committing.then([=, this](Result<AppliedAnswer> committed) {
        logEvent(committed ? LogLevel::Info : LogLevel::Warning, "order",
                 { { "order", what },
                   { "outcome", committed ? "committed" : "unknown" },
                   { "problem", committed ? "" : committed.error().message },
                   { "took_ms", fmt::to_string(toMillis(BootClock::now() - began)) },
                   { "leader", control_.leaderAddress() },
                   { "term", fmt::to_string(control_.logPosition().term) },
                   { "commit", fmt::to_string(control_.logPosition().commit) },
                   { "revision", fmt::to_string(control_.deployment().revision()) } });
        if (!committed)
            replyError(exchange, committed.error());
        else
            reply(exchange, 200, "{}");
    }),
                 "order");
}

kj::Promise<Result<AppliedAnswer>> ReplicaFront::commit(Command command)
{
    return commitForAnswer(std::move(command))
            .then([](Result<CommandAnswer> answer) -> Result<AppliedAnswer> {
                if (!answer)
                    return tl::unexpected(answer.error());
                const auto *applied = std::get_if<AppliedAnswer>(&*answer);
                return applied ? *applied : AppliedAnswer {};
            });
}

kj::Promise<Result<CommandAnswer>> ReplicaFront::commitForAnswer(Command command)
{
    const auto failed = [](kj::Exception &&problem) -> Result<CommandAnswer> {
        return failure(
                ErrorKind::NoLeader,
                fmt::format("the leader did not answer: {}", problem.getDescription().cStr()),
                "send the order again; it may have been committed");
    };
    if (control_.maySpeak()) {
        return loop_.within(kLeaderLimit, control_.command(command)).catch_(failed);
    }
    const std::string leader = control_.leaderAddress();
    if (leader.empty() || leader == settings_.address)
        return Result<CommandAnswer>(noLeader());
    auto request = peers_.node(leader, Lane::Requests).commandRequest();
    const std::string encoded = encodeCommand(command);
    request.setCommand(toData(encoded));
    return peers_.answerWithin(kLeaderLimit, leader, Lane::Requests, request.send())
            .then(
                    [](auto &&response) -> Result<CommandAnswer> {
                        if (!response.getAnswered())
                            return noLeader();
                        return parseCommandAnswer(toView(response.getAnswer()));
                    },
                    failed);
}

kj::Promise<Result<ReplicaFront::Document>> ReplicaFront::newestDocument()
{
    const auto documentOf = [](uint64_t version, std::string_view document) -> Result<Document> {
        if (version == 0) {
            return failure(ErrorKind::NoLeader, "no route document was installed yet",
                           "install one");
        }
        auto text = decompress(document);
        if (!text)
            return tl::unexpected(text.error());
        return Document { version, std::move(*text) };
    };
    if (control_.maySpeak())
        return documentOf(control_.deployment().version(), control_.deployment().document());
    const std::string leader = control_.leaderAddress();
    if (leader.empty() || leader == settings_.address)
        return Result<Document>(noLeader());
    auto request = peers_.node(leader, Lane::Requests).newestRoutesRequest();
    return peers_.answerWithin(kLeaderLimit, leader, Lane::Requests, request.send())
            .then(
                    [documentOf](auto &&response) -> Result<Document> {
                        if (!response.getAnswered())
                            return noLeader();
                        return documentOf(response.getVersion(), toView(response.getDocument()));
                    },
                    [leader](kj::Exception &&problem) -> Result<Document> {
                        return failure(ErrorKind::NoLeader,
                                       fmt::format("the leader {} did not answer: {}", leader,
                                                   problem.getDescription().cStr()),
                                       "read it from another replica, or again in a second");
                    });
}

void ReplicaFront::reply(ExchangeId exchange, int status, std::string body)
{
    HttpReply message;
    message.status = status;
    message.body = std::move(body);
    server_->reply(exchange, message);
}

void ReplicaFront::replyError(ExchangeId exchange, const Error &error)
{
    const int status = error.kind == ErrorKind::InvalidRequest ? 400
            : error.kind == ErrorKind::NotFound                ? 404
            : error.kind == ErrorKind::Conflict                ? 409
                                                               : 503;
    const nlohmann::json body { { "error",
                                  { { "type", errorKindName(error.kind) },
                                    { "message", error.message },
                                    { "remedy", error.remedy } } } };
    reply(exchange, status, jsonText(body));
}

} // namespace bamboogap
