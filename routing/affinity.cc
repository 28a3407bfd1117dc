// LRU eviction: the list is ordered by last use, the map finds the list entries.

#include "routing/affinity.h"

namespace bamboogap {

void AffinityTable::record(ChatKey chat, EndpointKey endpoint)
{
    if (find(chat).empty()) {
        entries_.push_front({ chat, 0, {} });
        index_[chat] = entries_.begin();
    }
    Entry &entry = entries_.front();
    const auto begin = entry.endpoints.begin();
    auto position = std::find(begin, begin + entry.count, endpoint);
    if (position == begin + entry.count) {
        // A new endpoint replaces the oldest one.
        entry.count = std::min(entry.count + 1, maxEndpoints_);
        position = begin + entry.count - 1;
        *position = endpoint;
    }
    std::rotate(begin, position, position + 1);
    if (index_.size() > capacity_) {
        index_.erase(entries_.back().chat);
        entries_.pop_back();
    }
}

void AffinityTable::erase(ChatKey chat)
{
    const auto found = index_.find(chat);
    if (found == index_.end())
        return;
    entries_.erase(found->second);
    index_.erase(found);
}

std::span<const EndpointKey> AffinityTable::find(ChatKey chat)
{
    const auto found = index_.find(chat);
    if (found == index_.end())
        return {};
    entries_.splice(entries_.begin(), entries_, found->second);
    const Entry &entry = entries_.front();
    return { entry.endpoints.data(), entry.count };
}

} // namespace bamboogap
