// Decides who founds a control group and with which replicas.
//
// All founders vote from the start, so nothing is committed before a majority of them has stored
// it, and the loss of any one disk leaves a group that can elect a leader. Two replicas may found
// a group at the same time: the quorums of their groups overlap, and Raft's elections leave one.

#ifndef BAMBOOGAP_CONTROL_FORMATION_H
#define BAMBOOGAP_CONTROL_FORMATION_H

#include <span>
#include <string>
#include <string_view>

#include "control/raft.h"

namespace bamboogap {

// The reply of a peer that was asked which replica it runs.
struct PeerIdentity
{
    ReplicaId id = kNoReplica;
    std::string name;
    std::string address;
    bool inGroup = false;
    // The peer has run without a break since the fleet's first start, so if it is in no group,
    // it has never been in one.
    bool firstStart = false;
};

enum class SilentPeers : uint8_t { None, AsManyAsVotesAllow };

// Returns how the replica at `self` founds a group with the replicas that replied. `peers` are
// the addresses of the replicas to start with; one that did not reply is in no element of
// `replies`. Peers may be silent only while each majority of the founders is a majority of the
// peers, and while all that replied have run since the first start: one that was restarted may
// have lost a disk with a group on it that only a silent peer knows.
// Conflict if a peer belongs to a group, PeerFailed if too few replied.
Result<Founding> foundWith(std::string_view self, std::span<const std::string> peers,
                           std::span<const PeerIdentity> replies, SilentPeers silent);

// The address of the replica that is to found the group when nobody asks for it: the lowest of
// those that have run since the first start; empty if there is none.
std::string_view founderOf(std::span<const PeerIdentity> replies);

} // namespace bamboogap

#endif
