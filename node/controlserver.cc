// Hands peers' calls to the control replica.

#include "node/controlserver.h"

#include <kj/debug.h>

#include "base/jsontext.h"
#include "node/convert.h"

namespace bamboogap {

kj::Promise<void> ControlServer::command(CommandContext context)
{
    if (!control_) {
        hint(context.getResults().initLeader());
        return kj::READY_NOW;
    }
    const auto command = parseCommand(toView(context.getParams().getCommand()));
    if (!command)
        return KJ_EXCEPTION(FAILED, "unreadable command", command.error().message.c_str());
    return control_->command(*command).then([this, context](Result<CommandAnswer> answer) mutable {
        auto results = context.getResults();
        if (!answer) {
            hint(results.initLeader());
            return;
        }
        results.setAnswered(true);
        results.setAnswer(toData(encodeCommandAnswer(*answer)));
    });
}

kj::Promise<void> ControlServer::raft(RaftContext context)
{
    const auto params = context.getParams();
    if (control_)
        control_->receive(read(params.getMessage()), toView(params.getFromAddress()));
    return kj::READY_NOW;
}

kj::Promise<void> ControlServer::join(JoinContext context)
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

kj::Promise<void> ControlServer::identify(IdentifyContext context)
{
    auto results = context.getResults();
    results.setHasReplica(control_ != nullptr);
    if (control_) {
        results.setId(control_->id());
        results.setInGroup(control_->inGroup());
        results.setName(control_->name());
        results.setFirstStart(control_->isFirstStart());
    }
    return kj::READY_NOW;
}

kj::Promise<void> ControlServer::status(StatusContext context)
{
    auto results = context.getResults();
    if (!control_ || !control_->maySpeak()) {
        hint(results.initLeader());
        return kj::READY_NOW;
    }
    results.setAnswered(true);
    results.setStatus(jsonText(control_->status()));
    return kj::READY_NOW;
}

kj::Promise<void> ControlServer::removeReplica(RemoveReplicaContext context)
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

void ControlServer::hint(wire::LeaderHint::Builder builder) const
{
    const std::string address = control_ ? control_->leaderAddress() : std::string();
    builder.setKnown(!address.empty());
    builder.setAddress(address);
}

} // namespace bamboogap
