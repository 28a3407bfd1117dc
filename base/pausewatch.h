// Tells whether the process stood still until a moment ago: it was stopped, or got no processor.
//
// Messages that came in meanwhile wait in the socket's buffers. Their senders may have given them
// up and may have acted on that.

#ifndef BAMBOOGAP_BASE_PAUSEWATCH_H
#define BAMBOOGAP_BASE_PAUSEWATCH_H

#include "base/clock.h"

namespace bamboogap {

class PauseWatch
{
public:
    static constexpr Duration kTick = std::chrono::milliseconds(50); // between calls of tick()
    // Shorter pauses do not count: senders wait a second for an answer.
    static constexpr Duration kShortestPause = std::chrono::milliseconds(700);
    // What waited is read within this time after the pause.
    static constexpr Duration kAftermath = std::chrono::seconds(1);

    void tick(Instant now)
    {
        if (isPause(now))
            endedAt_ = now;
        lastTick_ = now;
    }
    // Whether a message that is read now may have waited through a pause.
    bool isAfterPause(Instant now) const
    {
        return isPause(now) || (endedAt_ != Instant {} && now - endedAt_ < kAftermath);
    }

private:
    bool isPause(Instant now) const
    {
        return lastTick_ != Instant {} && now - lastTick_ > kShortestPause;
    }

    Instant lastTick_ {};
    Instant endedAt_ {};
};

} // namespace bamboogap

#endif
