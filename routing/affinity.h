// Endpoints that recently ran a chat, for chats that ran on an endpoint other than their
// primary one.
//
// The owner of a chat's primary endpoint records the last few endpoints that ran the chat,
// newest first, so that the next turn can be sent to one that has the chat cached. Only
// chats that ran away from their primary endpoint have an entry. The table is bounded and
// evicts the least recently used entry.

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

inline constexpr size_t kMaxEndpointsPerChat = 2;

class AffinityTable
{
public:
    explicit AffinityTable(size_t capacity, size_t maxEndpoints = kMaxEndpointsPerChat)
        : capacity_(capacity)
        , maxEndpoints_(std::min(maxEndpoints, kMaxEndpointsPerChat))
    {
    }

    // Records that the endpoint ran the chat; it becomes the chat's newest endpoint.
    void record(ChatKey chat, EndpointKey endpoint);
    void erase(ChatKey chat);

    // Endpoints that ran the chat, newest first; empty if the chat has no entry. Marks the
    // entry as used. The result is valid until the next call.
    std::span<const EndpointKey> find(ChatKey chat);

    size_t size() const { return index_.size(); }

private:
    struct Entry
    {
        ChatKey chat = 0;
        size_t count = 0;
        std::array<EndpointKey, kMaxEndpointsPerChat> endpoints {};
    };

    size_t capacity_;
    size_t maxEndpoints_;
    std::list<Entry> entries_; // most recently used first
    std::unordered_map<ChatKey, std::list<Entry>::iterator> index_;
};

} // namespace bamboogap

#endif
