// The order in which endpoints are tried for a chat.
//
// A chat's primary endpoint has the highest rendezvous score of (chat, endpoint), weighted
// by capacity. So a chat returns to the same endpoint through any router, and an endpoint
// that joins or leaves moves only its own chats. Endpoints without a free slot at the last
// heartbeat are tried after those with one. The order is a hint: the owner of an endpoint
// decides on admission.

#ifndef BAMBOOGAP_ROUTING_PLACEMENT_H
#define BAMBOOGAP_ROUTING_PLACEMENT_H

#include <functional>
#include <string>
#include <vector>

#include "routing/affinity.h"
#include "routing/loadtable.h"

namespace bamboogap {

struct PlacementSettings
{
    size_t maxCandidates = 6;
    // A new chat has nothing cached, so it is placed under this lower multiple of the mean.
    // A returning chat is placed under the load multiple.
    double newChatMultiple = 1.1;
};

struct ChatPlacementRequest
{
    ChatKey chat = 0;
    bool returning = false;
    std::vector<std::string> pools;
    // Whether the caller's plan and the endpoint's offers allow it; null allows all.
    std::function<bool(const EndpointLoad &)> eligible;
};

struct Candidate
{
    std::string endpoint;
    EndpointKey key = 0;
    bool hasFreeSlot = false;
};

struct Candidates
{
    std::vector<Candidate> order;
    // The chat's primary endpoint, with or without a free slot; null if no endpoint is
    // eligible.
    const Candidate *primary() const { return order.empty() ? nullptr : &order[primaryIndex]; }
    size_t primaryIndex = 0;
};

Candidates placeChat(const LoadTable &loadTable, const PlacementSettings &settings,
                     const ChatPlacementRequest &request);

} // namespace bamboogap

#endif
