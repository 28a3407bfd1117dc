// A table with least-recently-used eviction.

#include "routing/affinity.h"

namespace bamboogap {

void AffinityTable::remember(ChatKey chat, EndpointKey endpoint)
{
    forget(chat);
    notes_.push_front({ chat, endpoint });
    places_[chat] = notes_.begin();
    if (places_.size() > capacity_) {
        places_.erase(notes_.back().chat);
        notes_.pop_back();
    }
}

void AffinityTable::forget(ChatKey chat)
{
    const auto found = places_.find(chat);
    if (found == places_.end())
        return;
    notes_.erase(found->second);
    places_.erase(found);
}

std::optional<EndpointKey> AffinityTable::find(ChatKey chat)
{
    const auto found = places_.find(chat);
    if (found == places_.end())
        return std::nullopt;
    notes_.splice(notes_.begin(), notes_, found->second);
    return found->second->endpoint;
}

} // namespace bamboogap
