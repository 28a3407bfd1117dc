#include "control/formation.h"

#include <algorithm>

#include <fmt/format.h>

namespace bamboogap {

namespace {

size_t majority(size_t count)
{
    return count / 2 + 1;
}

const std::string *firstSilent(std::span<const std::string> peers,
                               std::span<const PeerIdentity> replies)
{
    const auto found = std::ranges::find_if(peers, [&](const std::string &address) {
        return std::ranges::find(replies, address, &PeerIdentity::address) == replies.end();
    });
    return found == peers.end() ? nullptr : &*found;
}

} // namespace

Result<Founding> foundWith(std::string_view self, std::span<const std::string> peers,
                           std::span<const PeerIdentity> replies, SilentPeers silent)
{
    const auto member = std::ranges::find_if(replies, &PeerIdentity::inGroup);
    if (member != replies.end()) {
        return failure(ErrorKind::Conflict,
                       fmt::format("the replica at {} belongs to a group", member->address),
                       "do not bootstrap: an empty replica joins that group by itself");
    }
    if (const std::string *address = firstSilent(peers, replies)) {
        const bool mayBeSilent = silent == SilentPeers::AsManyAsVotesAllow
                && majority(replies.size()) == majority(peers.size())
                && std::ranges::all_of(replies, &PeerIdentity::firstStart);
        if (!mayBeSilent) {
            return failure(ErrorKind::PeerFailed,
                           fmt::format("the node at {} does not answer", *address),
                           "start every node named in control.replicas first");
        }
    }
    Founding founding;
    for (const PeerIdentity &peer : replies)
        founding.members.members.push_back({ peer.id, peer.name, peer.address, true });
    founding.rank = 1 + std::ranges::count_if(peers, [&](const std::string &address) {
                        return address < self;
                    });
    founding.lastRank = peers.size() + 1; // of a founder that is none of the peers
    return founding;
}

std::string_view founderOf(std::span<const PeerIdentity> replies)
{
    std::string_view lowest;
    for (const PeerIdentity &peer : replies) {
        if (peer.firstStart && (lowest.empty() || peer.address < lowest))
            lowest = peer.address;
    }
    return lowest;
}

} // namespace bamboogap
