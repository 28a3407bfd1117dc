#include "node/loop/turnwatch.h"

#include <algorithm>
#include <utility>

namespace bamboogap {

void TurnWatch::add(const Work &work, Duration own)
{
    covered_ += own;
    if (own < kNamedWork || own <= turn_.workDuration)
        return;
    turn_.work = work.name;
    turn_.source = work.source ? work.source() : std::string();
    turn_.bytes = work.bytes;
    turn_.workDuration = own;
}

Turn TurnWatch::end(Duration processorTime)
{
    Turn ended = std::exchange(turn_, {});
    ended.processorTime = processorTime - std::exchange(processorBefore_, processorTime);
    ended.duration = std::max(ended.processorTime, ended.workDuration);
    covered_ = {};
    return ended;
}

WorkScope::WorkScope(Work work)
    : work_(std::move(work))
    , watch_(detail::threadTurnWatch())
{
    if (!watch_)
        return;
    began_ = BootClock::now();
    coveredBefore_ = watch_->covered();
}

WorkScope::~WorkScope()
{
    if (watch_)
        watch_->add(work_, BootClock::now() - began_ - (watch_->covered() - coveredBefore_));
}

namespace detail {

TurnWatch *&threadTurnWatch()
{
    thread_local TurnWatch *watch = nullptr;
    return watch;
}

} // namespace detail

} // namespace bamboogap
