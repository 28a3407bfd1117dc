// Hands peers' calls to the tasks.

#include "node/nodeserver.h"

#include <kj/debug.h>

#include "node/convert.h"

namespace bamboogap {

namespace {

class NodeServer final : public wire::Node::Server
{
public:
    NodeServer(OwnerTask &owner, MemberTask &members, ControlTask *control)
        : owner_(owner)
        , members_(members)
        , control_(control)
    {
    }

    kj::Promise<void> forward(ForwardContext context) override
    {
        context.allowCancellation();
        ForwardCall call = read(context.getParams().getRequest(), BootClock::now());
        auto sink = context.getParams().getSink();
        return owner_.forward(std::move(call), kj::mv(sink))
                .then([context](ForwardOutcome outcome) mutable {
                    write(outcome, context.getResults().initOutcome());
                });
    }

    kj::Promise<void> chatMoved(ChatMovedContext context) override
    {
        const auto params = context.getParams();
        owner_.chatMoved(params.getChat(), toView(params.getHome()), toView(params.getEndpoint()));
        return kj::READY_NOW;
    }

    kj::Promise<void> heartbeat(HeartbeatContext context) override
    {
        if (!control_ || !control_->maySpeak()) {
            hint(context.getResults().initLeader());
            return kj::READY_NOW;
        }
        const auto heartbeat = read(context.getParams().getHeartbeat());
        if (!heartbeat)
            return KJ_EXCEPTION(FAILED, "unreadable heartbeat", heartbeat.error().message.c_str());
        auto results = context.getResults();
        results.setAnswered(true);
        write(control_->heartbeat(*heartbeat), results.initReply());
        return kj::READY_NOW;
    }

    kj::Promise<void> command(CommandContext context) override
    {
        if (!control_) {
            hint(context.getResults().initLeader());
            return kj::READY_NOW;
        }
        const auto command = parseCommand(toView(context.getParams().getCommand()));
        if (!command)
            return KJ_EXCEPTION(FAILED, "unreadable command", command.error().message.c_str());
        return control_->command(*command).then(
                [this, context](Result<CommandAnswer> answer) mutable {
                    auto results = context.getResults();
                    if (!answer) {
                        hint(results.initLeader());
                        return;
                    }
                    results.setAnswered(true);
                    results.setAnswer(toData(encodeCommandAnswer(*answer)));
                });
    }

    kj::Promise<void> raft(RaftContext context) override
    {
        const auto params = context.getParams();
        if (control_)
            control_->receive(read(params.getMessage()), toView(params.getFromAddress()));
        return kj::READY_NOW;
    }

    kj::Promise<void> join(JoinContext context) override
    {
        if (!control_ || !control_->maySpeak()) {
            hint(context.getResults().initLeader());
            return kj::READY_NOW;
        }
        const auto params = context.getParams();
        control_->join({ params.getId(), std::string(toView(params.getName())),
                         std::string(toView(params.getAddress())) });
        context.getResults().setAnswered(true);
        return kj::READY_NOW;
    }

    kj::Promise<void> identify(IdentifyContext context) override
    {
        auto results = context.getResults();
        results.setHasReplica(control_ != nullptr);
        if (control_) {
            results.setId(control_->id());
            results.setInGroup(control_->inGroup());
        }
        return kj::READY_NOW;
    }

    kj::Promise<void> status(StatusContext context) override
    {
        auto results = context.getResults();
        if (!control_ || !control_->maySpeak()) {
            hint(results.initLeader());
            return kj::READY_NOW;
        }
        results.setAnswered(true);
        results.setStatus(control_->status().dump());
        return kj::READY_NOW;
    }

    kj::Promise<void> removeReplica(RemoveReplicaContext context) override
    {
        auto results = context.getResults();
        if (!control_ || !control_->maySpeak()) {
            hint(results.initLeader());
            return kj::READY_NOW;
        }
        results.setAnswered(true);
        const auto removed = control_->removeReplica(toView(context.getParams().getName()));
        if (!removed)
            write(removed.error(), results.initProblem());
        return kj::READY_NOW;
    }

    kj::Promise<void> poke(PokeContext context) override
    {
        members_.beatNow(context.getParams().getSample());
        return kj::READY_NOW;
    }

private:
    void hint(wire::LeaderHint::Builder builder) const
    {
        const std::string address = control_ ? control_->leaderAddress() : std::string();
        builder.setKnown(!address.empty());
        builder.setAddress(address);
    }

    OwnerTask &owner_;
    MemberTask &members_;
    ControlTask *control_;
};

} // namespace

wire::Node::Client makeNodeServer(OwnerTask &owner, MemberTask &members, ControlTask *control)
{
    return kj::heap<NodeServer>(owner, members, control);
}

} // namespace bamboogap
