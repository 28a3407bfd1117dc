// A table with least-recently-used eviction.

#include "routing/affinity.h"

namespace bamboogap {

void AffinityTable::remember(ChatKey chat, EndpointKey endpoint)
{
    if (find(chat).empty()) {
        notes_.push_front({ chat, 0, {} });
        index_[chat] = notes_.begin();
    }
    Note &note = notes_.front();
    const auto begin = note.places.begin();
    auto place = std::find(begin, begin + note.count, endpoint);
    if (place == begin + note.count) {
        // A new place pushes out the oldest.
        note.count = std::min(note.count + 1, places_);
        place = begin + note.count - 1;
        *place = endpoint;
    }
    std::rotate(begin, place, place + 1);
    if (index_.size() > capacity_) {
        index_.erase(notes_.back().chat);
        notes_.pop_back();
    }
}

void AffinityTable::forget(ChatKey chat)
{
    const auto found = index_.find(chat);
    if (found == index_.end())
        return;
    notes_.erase(found->second);
    index_.erase(found);
}

std::span<const EndpointKey> AffinityTable::find(ChatKey chat)
{
    const auto found = index_.find(chat);
    if (found == index_.end())
        return {};
    notes_.splice(notes_.begin(), notes_, found->second);
    const Note &note = notes_.front();
    return { note.places.data(), note.count };
}

} // namespace bamboogap
