// Finds the leader by asking, and follows the hints of those that do not lead.

#include "node/controlclient.h"

#include <algorithm>

#include "node/convert.h"

namespace bamboogap {

namespace {

constexpr Duration kCallLimit = std::chrono::seconds(1);
constexpr Duration kPause = std::chrono::milliseconds(100);

Error noLeader()
{
    return { ErrorKind::NoLeader, "no leader of the control group answers",
             "come back in a second; if it lasts, look at the control replicas" };
}

} // namespace

ControlClient::ControlClient(EventLoop &loop, Peers &peers, std::vector<std::string> replicas)
    : loop_(loop)
    , peers_(peers)
    , replicas_(std::move(replicas))
    , target_(replicas_.front())
{
}

kj::Promise<Result<CommandAnswer>> ControlClient::command(const Command &command, Duration limit)
{
    return tryCommand(encodeCommand(command), BootClock::now() + limit);
}

kj::Promise<Result<CommandAnswer>> ControlClient::tryCommand(std::string encoded, Instant giveUpAt)
{
    const Duration left = giveUpAt - BootClock::now();
    if (left <= Duration {})
        return Result<CommandAnswer>(tl::unexpected(noLeader()));
    const std::string asked = target_;
    auto request = leader().commandRequest();
    request.setCommand(toData(encoded));
    const auto again = [this, giveUpAt](std::string command) {
        return loop_.sleep(kPause).then([this, command = std::move(command), giveUpAt]() {
            return tryCommand(command, giveUpAt);
        });
    };
    return loop_
            .within(std::min(left, kCallLimit),
                    kj::Promise<capnp::Response<wire::Node::CommandResults>>(request.send()))
            .then(
                    [this, asked, encoded,
                     again](auto &&response) -> kj::Promise<Result<CommandAnswer>> {
                        if (response.getAnswered())
                            return parseCommandAnswer(toView(response.getAnswer()));
                        follow(response.getLeader(), asked);
                        return again(encoded);
                    },
                    [this, asked, encoded,
                     again](kj::Exception &&problem) -> kj::Promise<Result<CommandAnswer>> {
                        tryNext(asked, problem.getType() == kj::Exception::Type::OVERLOADED);
                        return again(encoded);
                    });
}

kj::Promise<Result<HeartbeatReply>> ControlClient::heartbeat(const Heartbeat &heartbeat)
{
    const std::string asked = target_;
    auto request = leader().heartbeatRequest();
    write(heartbeat, request.initHeartbeat());
    return loop_
            .within(kCallLimit,
                    kj::Promise<capnp::Response<wire::Node::HeartbeatResults>>(request.send()))
            .then(
                    [this, asked](auto &&response) -> Result<HeartbeatReply> {
                        if (response.getAnswered())
                            return read(response.getReply());
                        follow(response.getLeader(), asked);
                        return tl::unexpected(noLeader());
                    },
                    [this, asked](kj::Exception &&problem) -> Result<HeartbeatReply> {
                        tryNext(asked, problem.getType() == kj::Exception::Type::OVERLOADED);
                        return tl::unexpected(noLeader());
                    });
}

kj::Promise<Result<std::string>> ControlClient::status(Duration limit)
{
    return tryStatus(BootClock::now() + limit);
}

kj::Promise<Result<std::string>> ControlClient::tryStatus(Instant giveUpAt)
{
    const Duration left = giveUpAt - BootClock::now();
    if (left <= Duration {})
        return Result<std::string>(tl::unexpected(noLeader()));
    const std::string asked = target_;
    const auto again = [this, giveUpAt]() {
        return loop_.sleep(kPause).then([this, giveUpAt]() { return tryStatus(giveUpAt); });
    };
    kj::Promise<capnp::Response<wire::Node::StatusResults>> sent = leader().statusRequest().send();
    return loop_.within(std::min(left, kCallLimit), kj::mv(sent))
            .then(
                    [this, asked, again](auto &&response) -> kj::Promise<Result<std::string>> {
                        if (response.getAnswered())
                            return Result<std::string>(std::string(toView(response.getStatus())));
                        follow(response.getLeader(), asked);
                        return again();
                    },
                    [this, asked,
                     again](kj::Exception &&problem) -> kj::Promise<Result<std::string>> {
                        tryNext(asked, problem.getType() == kj::Exception::Type::OVERLOADED);
                        return again();
                    });
}

kj::Promise<Result<void>> ControlClient::removeReplica(const std::string &name)
{
    auto request = leader().removeReplicaRequest();
    request.setName(name);
    return loop_
            .within(kCallLimit,
                    kj::Promise<capnp::Response<wire::Node::RemoveReplicaResults>>(request.send()))
            .then(
                    [](auto &&response) -> Result<void> {
                        if (!response.getAnswered())
                            return tl::unexpected(noLeader());
                        if (response.hasProblem())
                            return tl::unexpected(read(response.getProblem()));
                        return {};
                    },
                    [](kj::Exception &&) -> Result<void> { return tl::unexpected(noLeader()); });
}

void ControlClient::follow(wire::LeaderHint::Reader hint, const std::string &asked)
{
    if (target_ != asked)
        return; // another answer has moved on already
    const std::string address(toView(hint.getAddress()));
    if (hint.getKnown() && !address.empty() && address != asked)
        target_ = address;
    else
        tryNext(asked, false);
}

void ControlClient::tryNext(const std::string &asked, bool dropConnection)
{
    if (dropConnection)
        peers_.drop(asked, Lane::Control);
    if (target_ != asked)
        return;
    next_ = (next_ + 1) % replicas_.size();
    target_ = replicas_[next_];
}

} // namespace bamboogap
