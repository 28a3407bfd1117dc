// Long turns of an event loop, for operators.
//
// Load: at most one line a second, however many turns are long.

#ifndef BAMBOOGAP_NODE_LOOP_TURNREPORT_H
#define BAMBOOGAP_NODE_LOOP_TURNREPORT_H

#include "node/loop/turnwatch.h"
#include "node/metrics.h"

namespace bamboogap {

class TurnReport
{
public:
    // A turn of this length or more is logged as loop_stalled.
    static constexpr Duration kLoggedTurn = std::chrono::milliseconds(100);
    static constexpr Duration kLogInterval = std::chrono::seconds(1);

    explicit TurnReport(Metrics &metrics)
        : metrics_(metrics)
    {
    }

    // Counts the turn in bamboogap_loop_turn_seconds, and logs it if it was long.
    void add(const Turn &turn, Instant now);

private:
    Metrics &metrics_;
    Instant loggedAt_ {};
    uint64_t unlogged_ = 0; // long turns since the last line
};

} // namespace bamboogap

#endif
