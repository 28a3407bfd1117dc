#include "fleet/placementlog.h"

#include <algorithm>

namespace bamboogap {

void PlacementLog::add(std::string_view router, PromptPlacement placement)
{
    entries_.push_back({ std::string(router), std::move(placement) });
    if (entries_.size() > kMaxEntries) {
        entries_.pop_front();
        ++first_;
    }
}

std::vector<PromptPlacement> PlacementLog::since(uint64_t &version, std::string_view router,
                                                 size_t maxCount) const
{
    // After a restart of the replica, a version from before may be larger than the current one.
    uint64_t next = version > this->version() ? first_ : std::max(version, first_);
    std::vector<PromptPlacement> list;
    for (uint64_t at = this->version(); at > next && list.size() < maxCount; --at) {
        const Entry &entry = entries_[at - 1 - first_];
        if (entry.router != router)
            list.push_back(entry.placement);
    }
    std::reverse(list.begin(), list.end());
    version = this->version();
    return list;
}

} // namespace bamboogap
