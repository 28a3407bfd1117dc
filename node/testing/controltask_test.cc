// What a replica says of itself.

#include <catch2/catch.hpp>

#include "control/testing/fakedisk.h"
#include "node/controltask.h"

namespace bamboogap {
namespace {

constexpr ReplicaId kLeader = 99;

Membership groupOf(std::initializer_list<ReplicaId> ids)
{
    Membership group;
    for (const ReplicaId id : ids) {
        const std::string name = "replica-" + std::to_string(id);
        group.members.push_back({ id, name, "127.0.0.1:1", id == kLeader });
    }
    return group;
}

// The leader's message with the log's entry at `index`, which sets the group's members.
RaftMessage appendMembership(ReplicaId to, LogIndex index, const Membership &members)
{
    RaftMessage message;
    message.kind = RaftMessageKind::Append;
    message.from = kLeader;
    message.to = to;
    message.term = 1;
    message.index = index - 1;
    message.logTerm = index > 1 ? 1 : 0;
    message.commit = index;
    message.entries.push_back({ index, 1, EntryKind::Membership, encodeMembership(members) });
    return message;
}

// Guards against a use after free in routers: they took the list of a joining replica, which was
// older than its joining, for current, and dropped their link to it.
TEST_CASE("a replica is not current while its log is older than its joining")
{
    FakeDisk disk;
    EventLoop loop;
    Peers peers(loop, "key");
    ControlSettings settings;
    settings.name = "joining";
    settings.address = "127.0.0.1:2";
    const auto control = *ControlTask::open(loop, peers, std::move(settings), disk.disk());
    CHECK_FALSE(control->isCurrent());
    control->receive(appendMembership(control->id(), 1, groupOf({ kLeader })), "127.0.0.1:1");
    CHECK(control->membership().members.size() == 1);
    CHECK_FALSE(control->isCurrent());
    control->receive(appendMembership(control->id(), 2, groupOf({ kLeader, control->id() })),
                     "127.0.0.1:1");
    CHECK(control->isCurrent());
}

} // namespace
} // namespace bamboogap
