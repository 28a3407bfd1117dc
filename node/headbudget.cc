#include "node/headbudget.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "base/log.h"

namespace bamboogap {

namespace {

// Measured, see docs/design/header-memory.md.
constexpr size_t kBytesPerLine = 384;
constexpr size_t kCopies = 3;
constexpr double kOfMachine = 0.2;
constexpr double kOfLargeHeads = 0.75;
constexpr Duration kLogRefusals = std::chrono::seconds(1);

std::string_view nameOf(HeadRefusal refusal)
{
    switch (refusal) {
    case HeadRefusal::Lines:
        return "lines";
    case HeadRefusal::Memory:
        return "memory";
    case HeadRefusal::Evicted:
        return "evicted";
    }
    return "unknown";
}

} // namespace

size_t HeadBudget::cost(const HeadSize &size)
{
    return kBytesPerLine * size.lines + kCopies * size.bytes;
}

size_t HeadBudget::share(size_t whole) const
{
    return whole <= kSmallHead ? limit_
                               : static_cast<size_t>(kOfLargeHeads * static_cast<double>(limit_));
}

bool HeadBudget::take(size_t more, size_t whole)
{
    const size_t most = share(whole);
    if (more > most || taken_ > most - more)
        return false;
    taken_ += more;
    return true;
}

void HeadBudget::release(size_t bytes)
{
    taken_ -= std::min(bytes, taken_);
}

void HeadBudget::noteRefusal(HeadRefusal refusal)
{
    ++unloggedRefusals_;
    if (refused_)
        refused_(nameOf(refusal));
    const Instant now = BootClock::now();
    if (now - loggedAt_ < kLogRefusals)
        return;
    loggedAt_ = now;
    logEvent(LogLevel::Warning, "heads_refused",
             { { "last_reason", std::string(nameOf(refusal)) },
               { "refused", fmt::to_string(std::exchange(unloggedRefusals_, 0)) },
               { "taken", fmt::to_string(taken_) },
               { "limit", fmt::to_string(limit_) } });
}

size_t headLimit(size_t machineBytes)
{
    return static_cast<size_t>(kOfMachine * static_cast<double>(machineBytes));
}

} // namespace bamboogap
