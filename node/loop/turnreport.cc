#include "node/loop/turnreport.h"

#include <utility>

#include <fmt/format.h>

#include "base/log.h"

namespace bamboogap {

void TurnReport::add(const Turn &turn, Instant now)
{
    metrics_.observe("bamboogap_loop_turn_seconds", {}, turn.duration);
    if (turn.duration < kLoggedTurn)
        return;
    if (loggedAt_ != Instant {} && now - loggedAt_ < kLogInterval) {
        ++unlogged_;
        return;
    }
    loggedAt_ = now;
    logEvent(LogLevel::Warning, "loop_stalled",
             { { "took_ms", fmt::to_string(toMillis(turn.duration)) },
               { "processor_ms", fmt::to_string(toMillis(turn.processorTime)) },
               { "work", turn.work.empty() ? "unknown" : turn.work },
               { "work_ms", fmt::to_string(toMillis(turn.workDuration)) },
               { "bytes", fmt::to_string(turn.bytes) },
               { "source", turn.source },
               { "unlogged", fmt::to_string(std::exchange(unlogged_, 0)) } });
}

} // namespace bamboogap
