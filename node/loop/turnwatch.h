// How long the turns of an event loop take, and what they work on.
//
// While a turn lasts, the loop serves no socket: callers, endpoints and probes get no answer. A
// router at its peak makes some thousand turns a second, so a turn costs its watch one reading of
// the thread's processor time, and each watched piece of work two readings of the clock.

#ifndef BAMBOOGAP_NODE_LOOP_TURNWATCH_H
#define BAMBOOGAP_NODE_LOOP_TURNWATCH_H

#include <functional>
#include <string>
#include <string_view>

#include "base/clock.h"

namespace bamboogap {

// A piece of work within a turn.
struct Work
{
    std::string_view name;
    size_t bytes = 0; // that it was given
    // Whose bytes they are, e.g. an endpoint's address; called at the end of work that took long.
    // May be empty.
    std::function<std::string()> source;
};

// A turn that has ended.
struct Turn
{
    // The thread's processor time, or the longest work if that waited, e.g. for a disk.
    Duration duration {};
    Duration processorTime {};
    // The longest piece of work, without the pieces within it; empty if none took kNamedWork.
    std::string work;
    std::string source;
    size_t bytes = 0;
    Duration workDuration {};
};

class TurnWatch
{
public:
    // Shorter work is not named.
    static constexpr Duration kNamedWork = std::chrono::milliseconds(10);

    // Adds a piece of work that took `own`, without the pieces within it.
    void add(const Work &work, Duration own);
    // Duration of all work that was added in this turn.
    Duration covered() const { return covered_; }

    // Ends the turn. `processorTime` is the thread's since its start.
    Turn end(Duration processorTime);

private:
    Turn turn_;
    Duration covered_ {};
    Duration processorBefore_ {};
};

// Adds the work of its scope to the watch of this thread's event loop, if there is one.
class WorkScope
{
public:
    explicit WorkScope(Work work);
    ~WorkScope();
    WorkScope(const WorkScope &) = delete;
    WorkScope &operator=(const WorkScope &) = delete;

private:
    Work work_;
    TurnWatch *watch_;
    Instant began_ {};
    Duration coveredBefore_ {};
};

namespace detail {

// Of the event loop that runs on this thread; null without one.
TurnWatch *&threadTurnWatch();

} // namespace detail

} // namespace bamboogap

#endif
