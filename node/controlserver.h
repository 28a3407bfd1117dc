// Serves what peers ask of a control replica, in every kind of fleet.

#ifndef BAMBOOGAP_NODE_CONTROLSERVER_H
#define BAMBOOGAP_NODE_CONTROLSERVER_H

#include "node/controltask.h"
#include "node/wire.capnp.h"

namespace bamboogap {

class ControlServer : public wire::Node::Server
{
public:
    // Null for a node without a replica.
    explicit ControlServer(ControlTask *control)
        : control_(control)
    {
    }

    kj::Promise<void> command(CommandContext context) override;
    kj::Promise<void> raft(RaftContext context) override;
    kj::Promise<void> join(JoinContext context) override;
    kj::Promise<void> identify(IdentifyContext context) override;
    kj::Promise<void> status(StatusContext context) override;
    kj::Promise<void> removeReplica(RemoveReplicaContext context) override;

protected:
    ControlTask *control() const { return control_; }
    void hint(wire::LeaderHint::Builder builder) const;

private:
    ControlTask *control_;
};

} // namespace bamboogap

#endif
