// Hands peers' calls to the tasks.

#include "node/nodeserver.h"

#include <kj/debug.h>

#include "node/controlserver.h"
#include "node/convert.h"

namespace bamboogap {

namespace {

class NodeServer final : public ControlServer
{
public:
    NodeServer(OwnerTask &owner, MemberTask &members, ControlTask *control)
        : ControlServer(control)
        , owner_(owner)
        , members_(members)
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
        if (!control() || !control()->maySpeak()) {
            hint(context.getResults().initLeader());
            return kj::READY_NOW;
        }
        const auto heartbeat = read(context.getParams().getHeartbeat());
        if (!heartbeat)
            return KJ_EXCEPTION(FAILED, "unreadable heartbeat", heartbeat.error().message.c_str());
        auto results = context.getResults();
        results.setAnswered(true);
        write(control()->heartbeat(*heartbeat), results.initReply());
        return kj::READY_NOW;
    }

    kj::Promise<void> poke(PokeContext context) override
    {
        members_.beatNow(context.getParams().getSample());
        return kj::READY_NOW;
    }

private:
    OwnerTask &owner_;
    MemberTask &members_;
};

} // namespace

wire::Node::Client makeNodeServer(OwnerTask &owner, MemberTask &members, ControlTask *control)
{
    return kj::heap<NodeServer>(owner, members, control);
}

} // namespace bamboogap
