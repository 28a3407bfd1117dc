// Spreads a large answer over time, so that what is sent beside it does not wait behind all of it.

#ifndef BAMBOOGAP_FLEET_LINKPACER_H
#define BAMBOOGAP_FLEET_LINKPACER_H

#include <algorithm>
#include <cstddef>

#include "base/clock.h"

namespace bamboogap {

class LinkPacer
{
public:
    explicit LinkPacer(double bytesPerSecond)
        : bytesPerSecond_(bytesPerSecond)
    {
    }

    // How long to wait until `bytes` bytes may be handed to the link. They are counted as sent
    // then.
    Duration reserve(size_t bytes, Instant now)
    {
        const Instant begin = std::max(now, freeAt_);
        const std::chrono::duration<double> length(double(bytes) / bytesPerSecond_);
        freeAt_ = begin + std::chrono::duration_cast<Duration>(length);
        return begin - now;
    }

private:
    double bytesPerSecond_;
    Instant freeAt_ {}; // when all that was reserved has been sent
};

} // namespace bamboogap

#endif
