// Chats that run elsewhere than at the endpoint they hash to.
//
// The owner of a chat's first choice remembers where the chat went, so that its
// next turn finds its cache. Only such chats take memory; the table is bounded
// and forgets the one that was used longest ago.

#ifndef BAMBOOGAP_ROUTING_AFFINITY_H
#define BAMBOOGAP_ROUTING_AFFINITY_H

#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>

#include "fleet/announcement.h"

namespace bamboogap {

using ChatKey = uint64_t;

class AffinityTable
{
public:
    explicit AffinityTable(size_t capacity)
        : capacity_(capacity)
    {
    }

    void remember(ChatKey chat, EndpointKey endpoint);
    void forget(ChatKey chat);

    // Where the chat went; counts as a use.
    std::optional<EndpointKey> find(ChatKey chat);

    size_t size() const { return places_.size(); }

private:
    struct Note
    {
        ChatKey chat = 0;
        EndpointKey endpoint = 0;
    };

    size_t capacity_;
    std::list<Note> notes_; // used last at the front
    std::unordered_map<ChatKey, std::list<Note>::iterator> places_;
};

} // namespace bamboogap

#endif
