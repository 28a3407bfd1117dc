// Talks to the leader of the control group, wherever it is.

#ifndef BAMBOOGAP_NODE_CONTROLCLIENT_H
#define BAMBOOGAP_NODE_CONTROLCLIENT_H

#include <string>
#include <vector>

#include "control/state.h"
#include "fleet/heartbeat.h"
#include "node/eventloop.h"
#include "node/peers.h"

namespace bamboogap {

class ControlClient
{
public:
    ControlClient(EventLoop &loop, Peers &peers, std::vector<std::string> replicas);

    // Commits a command. Commands are safe to send again, so this tries one
    // replica after the other until the limit. NoLeader if none answered; the
    // command may then still be committed.
    kj::Promise<Result<CommandAnswer>> command(const Command &command, Duration limit);

    // Sends one heartbeat to the replica thought to lead; NoLeader if it does not.
    kj::Promise<Result<HeartbeatReply>> heartbeat(const Heartbeat &heartbeat);

    // The leader's status for operators, as JSON text.
    kj::Promise<Result<std::string>> status(Duration limit);

    kj::Promise<Result<void>> removeReplica(const std::string &name);

    const std::string &target() const { return target_; }

private:
    kj::Promise<Result<std::string>> tryStatus(Instant giveUpAt);
    kj::Promise<Result<CommandAnswer>> tryCommand(std::string encoded, Instant giveUpAt);
    wire::Node::Client leader() { return peers_.node(target_, Lane::Control); }
    void follow(wire::LeaderHint::Reader hint, const std::string &asked);
    void tryNext(const std::string &asked, bool dropConnection);

    EventLoop &loop_;
    Peers &peers_;
    std::vector<std::string> replicas_;
    std::string target_;
    size_t next_ = 0;
};

} // namespace bamboogap

#endif
