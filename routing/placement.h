// The order in which the endpoints are tried for a chat.
//
// The first choice is the highest rendezvous score of (chat, endpoint) weighted
// by capacity, so a chat returns to the same endpoint through any router, and
// an endpoint that joins or leaves moves only its own chats. Endpoints without
// room by the last heartbeat come after those with room. These are hints: the
// owner of an endpoint decides.

#ifndef BAMBOOGAP_ROUTING_PLACEMENT_H
#define BAMBOOGAP_ROUTING_PLACEMENT_H

#include <functional>
#include <string>
#include <vector>

#include "routing/affinity.h"
#include "routing/loadboard.h"

namespace bamboogap {

struct PlacementSettings
{
    size_t maxCandidates = 6;
    // A new chat has no cache to lose: it is placed under this multiple of the
    // mean, a returning one under the load multiple itself.
    double newChatMultiple = 1.1;
};

struct PlacementAsk
{
    ChatKey chat = 0;
    bool returning = false;
    std::vector<std::string> pools;
    // Whether the caller's plan and the endpoint's offers allow it.
    std::function<bool(const BoardEndpoint &)> eligible;
};

struct Candidate
{
    std::string endpoint;
    EndpointKey key = 0;
    bool hasRoom = false;
};

struct Candidates
{
    std::vector<Candidate> order;
    // The chat's first choice whatever its room; null if nothing is eligible.
    const Candidate *home() const { return order.empty() ? nullptr : &order[homeIndex]; }
    size_t homeIndex = 0;
};

Candidates placeChat(const LoadBoard &board, const PlacementSettings &settings,
                     const PlacementAsk &ask);

} // namespace bamboogap

#endif
