#include "node/bodybudget.h"

#include <algorithm>

namespace bamboogap {

namespace {

constexpr double kOfMachine = 0.2;
constexpr double kOfLargeBodies = 0.75;
constexpr double kLessPerPriority = 0.05;
constexpr uint32_t kLeastImportant = 9;

} // namespace

size_t BodyBudget::share(size_t whole, uint32_t priority) const
{
    if (whole <= kSmallBody)
        return limit_;
    const double important = 1 - kLessPerPriority * std::min(priority, kLeastImportant);
    return static_cast<size_t>(kOfLargeBodies * important * static_cast<double>(limit_));
}

bool BodyBudget::take(size_t more, size_t whole, uint32_t priority)
{
    const size_t most = share(whole, priority);
    if (more > most || taken_ > most - more)
        return false;
    taken_ += more;
    return true;
}

void BodyBudget::release(size_t bytes)
{
    taken_ -= std::min(bytes, taken_);
}

size_t bodyLimit(size_t machineBytes)
{
    return static_cast<size_t>(kOfMachine * static_cast<double>(machineBytes));
}

} // namespace bamboogap
