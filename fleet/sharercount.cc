#include "fleet/sharercount.h"

namespace bamboogap {

void SharerCount::onReply(uint32_t routers, Instant now)
{
    if (routers == 0)
        return;
    lastTold_[routers] = now;
    std::erase_if(lastTold_, [now](const auto &item) { return now - item.second > kValidity; });
}

uint32_t SharerCount::count(Instant now) const
{
    for (auto told = lastTold_.rbegin(); told != lastTold_.rend(); ++told) {
        if (now - told->second <= kValidity)
            return told->first;
    }
    return 0;
}

} // namespace bamboogap
