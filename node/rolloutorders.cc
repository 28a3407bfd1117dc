#include "node/rolloutorders.h"

#include <algorithm>

#include <fmt/format.h>

#include "base/compress.h"
#include "base/log.h"
#include "node/convert.h"

namespace bamboogap {

namespace {

// Operators send a call to another replica after a second without an answer.
constexpr Duration kLeaderLimit = std::chrono::milliseconds(850);
// A replica in touch applies what the leader has committed within this.
constexpr Duration kCatchUp = std::chrono::milliseconds(150);

tl::unexpected<Error> noLeader()
{
    return failure(ErrorKind::NoLeader, "no leader of the control group is known here",
                   "send it to another replica, or again in a second");
}

tl::unexpected<Error> notBegun()
{
    return failure(ErrorKind::NoLeader,
                   "another order for the service was accepted since this one came",
                   "send the order again if it is still wanted");
}

} // namespace

RolloutOrders::RolloutOrders(EventLoop &loop, Peers &peers, ControlTask &control,
                             std::string address, Hooks hooks)
    : loop_(loop)
    , peers_(peers)
    , control_(control)
    , address_(std::move(address))
    , hooks_(std::move(hooks))
{
}

void RolloutOrders::begin()
{
    loggedRevision_ = control_.rollouts().revision();
    for (const Rollout &rollout : control_.rollouts().all())
        loggedNumber_ = std::max(loggedNumber_, rollout.number);
}

uint64_t RolloutOrders::latestNumber(std::string_view service) const
{
    const Rollout *latest = control_.rollouts().find(service);
    return latest ? latest->number : 0;
}

void RolloutOrders::learnServices(std::string_view document)
{
    const auto table = hooks_.parseRoutes(document);
    if (!table || table->version() <= servicesVersion_)
        return;
    servicesVersion_ = table->version();
    services_.clear();
    for (const ServiceProfile &service : table->services())
        services_.insert(service.name);
}

// An order that was accepted before is not refused because a later document lacks the service.
bool RolloutOrders::isKnownHere(const StartRolloutOrder &order)
{
    const Rollout *latest = control_.rollouts().find(order.service);
    if (latest && latest->version == order.version
        && latest->durationMillis == order.durationMillis)
        return true;
    if (control_.deployment().version() > servicesVersion_) {
        if (const auto text = decompress(control_.deployment().document()))
            learnServices(*text);
    }
    return services_.count(order.service) > 0;
}

// The leader is asked only if the service is not known here: this replica's document may be older
// than the one that was acknowledged.
kj::Promise<Result<void>> RolloutOrders::checkService(const StartRolloutOrder &order)
{
    if (isKnownHere(order))
        return Result<void>();
    return hooks_.newestDocument().then(
            [this, service = order.service](Result<std::string> document) -> Result<void> {
                if (!document)
                    return tl::unexpected(document.error());
                learnServices(*document);
                if (services_.count(service) > 0)
                    return {};
                return failure(ErrorKind::InvalidRequest,
                               fmt::format("service: the newest configuration has no service '{}'",
                                           service),
                               "correct the name, or install a configuration with the service");
            });
}

// An order has no version: it takes effect only if no other one for the service was accepted since
// it was received, so that one that is held up on its way to the leader, and whose sender has given
// up and sent another, undoes nothing.
kj::Promise<Result<void>> RolloutOrders::start(StartRolloutOrder order, Abandoned abandoned)
{
    const Instant giveUpAt = BootClock::now() + kLeaderLimit;
    const uint64_t base = latestNumber(order.service);
    return checkService(order).then([=, this](Result<void> checked) {
        if (!checked)
            return kj::Promise<Result<void>>(std::move(checked));
        if (abandoned())
            return kj::Promise<Result<void>>(Result<void>(notBegun()));
        return commit(order, base, abandoned, giveUpAt);
    });
}

kj::Promise<Result<void>> RolloutOrders::commit(StartRolloutOrder order, uint64_t base,
                                                Abandoned abandoned, Instant giveUpAt)
{
    using Answer = kj::Promise<Result<void>>;
    StartRolloutCommand command { order.service, order.version, order.durationMillis,
                                  wallClockMillis(), base };
    return hooks_.commit(std::move(command)).then([=, this](Result<CommandAnswer> answer) {
        if (!answer)
            return Answer(Result<void>(tl::unexpected(answer.error())));
        const auto *decided = std::get_if<RolloutAnswer>(&*answer);
        if (!decided)
            return Answer(Result<void>(noLeader()));
        const Instant again = BootClock::now() + kCatchUp;
        if (decided->result != Rollouts::StartResult::Superseded || again >= giveUpAt
            || abandoned())
            return Answer(outcome(order, decided->result));
        // This replica may not have known of the last order when it received this one.
        return loop_.sleep(kCatchUp).then([=, this]() {
            if (abandoned())
                return Answer(Result<void>(notBegun()));
            return commit(order, latestNumber(order.service), abandoned, giveUpAt);
        });
    });
}

Result<void> RolloutOrders::outcome(const StartRolloutOrder &order,
                                    Rollouts::StartResult result) const
{
    switch (result) {
    case Rollouts::StartResult::Started:
    case Rollouts::StartResult::Known:
        return {};
    case Rollouts::StartResult::OtherInProgress: {
        const Rollout *latest = control_.rollouts().find(order.service);
        const std::string to = latest && latest->state == RolloutState::InProgress
                ? fmt::format(" to version '{}'", latest->version)
                : std::string();
        return failure(
                ErrorKind::Conflict,
                fmt::format("another rollout of service '{}'{} is in progress", order.service, to),
                "wait until its state is completed or reverted, then send the order again");
    }
    case Rollouts::StartResult::Superseded:
        return notBegun();
    case Rollouts::StartResult::TooMany:
        return failure(ErrorKind::NoCapacity,
                       fmt::format("{} rollouts are in progress, the most there may be",
                                   Rollouts::kMaxServices),
                       "wait until one of them has ended, then send the order again");
    }
    return noLeader();
}

kj::Promise<Result<std::vector<Rollout>>> RolloutOrders::newest()
{
    using Read = Result<std::vector<Rollout>>;
    if (control_.maySpeak())
        return Read(control_.rollouts().all());
    const std::string leader = control_.leaderAddress();
    if (leader.empty() || leader == address_)
        return Read(noLeader());
    auto request = peers_.node(leader, Lane::Requests).newestRolloutsRequest();
    return peers_.answerWithin(kLeaderLimit, leader, Lane::Requests, request.send())
            .then(
                    [](auto &&response) -> Read {
                        if (!response.getAnswered())
                            return noLeader();
                        return unpackRollouts(toView(response.getRollouts()));
                    },
                    [leader](kj::Exception &&problem) -> Read {
                        return failure(ErrorKind::NoLeader,
                                       fmt::format("the leader {} did not answer: {}", leader,
                                                   problem.getDescription().cStr()),
                                       "read it from another replica, or again in a second");
                    });
}

std::string RolloutOrders::newsFor(uint64_t known)
{
    const uint64_t revision = control_.rollouts().revision();
    if (known >= revision)
        return {};
    if (packedRevision_ != revision) {
        std::vector<Rollout> rollouts = control_.rollouts().all();
        for (Rollout &rollout : rollouts)
            rollout.reason.clear(); // for operators only
        packed_ = packRollouts(rollouts);
        packedRevision_ = revision;
    }
    return packed_;
}

void RolloutOrders::logChanges()
{
    const uint64_t lastNumber = loggedNumber_;
    for (const Rollout &rollout : control_.rollouts().changedSince(loggedRevision_)) {
        const bool ended = rollout.state != RolloutState::InProgress;
        const bool isNew = rollout.number > lastNumber;
        logEvent(
                LogLevel::Info,
                ended           ? "rollout_ended"
                        : isNew ? "rollout_started"
                                : "rollout_stage",
                { { "service", rollout.service },
                  { "version", rollout.version },
                  { "number", fmt::to_string(rollout.number) },
                  { "state", std::string(rolloutStateName(rollout.state)) },
                  { "share_permille", fmt::to_string(rollout.sharePermille) },
                  { "reason", rollout.reason },
                  { "duration_ms", fmt::to_string(rollout.durationMillis) },
                  { "since_order_ms", fmt::to_string(wallClockMillis() - rollout.orderedAtMillis) },
                  { "leads", control_.maySpeak() ? "yes" : "no" } });
        loggedNumber_ = std::max(loggedNumber_, rollout.number);
    }
    loggedRevision_ = control_.rollouts().revision();
}

} // namespace bamboogap
