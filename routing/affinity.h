// Chats that ran elsewhere than at the endpoint they hash to.
//
// The owner of a chat's first choice remembers the last few endpoints where the
// chat ran, newest first, so that its next turn finds one of its caches. Only
// chats that ever went elsewhere take memory; the table is bounded and forgets
// the one that was used longest ago.

#ifndef BAMBOOGAP_ROUTING_AFFINITY_H
#define BAMBOOGAP_ROUTING_AFFINITY_H

#include <algorithm>
#include <array>
#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>

#include "fleet/announcement.h"

namespace bamboogap {

using ChatKey = uint64_t;

inline constexpr size_t kPlacesKept = 2;

class AffinityTable
{
public:
    explicit AffinityTable(size_t capacity, size_t places = kPlacesKept)
        : capacity_(capacity)
        , places_(std::min(places, kPlacesKept))
    {
    }

    // The chat ran at the endpoint, which becomes its newest place.
    void remember(ChatKey chat, EndpointKey endpoint);
    void forget(ChatKey chat);

    // Where the chat ran, newest first; empty if nothing is known. Counts as a
    // use. Valid until the next call.
    std::span<const EndpointKey> find(ChatKey chat);

    size_t size() const { return index_.size(); }

private:
    struct Note
    {
        ChatKey chat = 0;
        size_t count = 0;
        std::array<EndpointKey, kPlacesKept> places {};
    };

    size_t capacity_;
    size_t places_;
    std::list<Note> notes_; // used last at the front
    std::unordered_map<ChatKey, std::list<Note>::iterator> index_;
};

} // namespace bamboogap

#endif
