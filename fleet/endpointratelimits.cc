#include "fleet/endpointratelimits.h"

#include <algorithm>
#include <cmath>

namespace bamboogap {

namespace {

bool isSameLimit(std::optional<double> a, std::optional<double> b)
{
    if (!a || !b)
        return a.has_value() == b.has_value();
    return std::abs(*a - *b) <= EndpointRateLimits::kTolerance * std::max(*a, *b);
}

// Whether an observation supersedes the last one of the same incarnation.
bool supersedes(const LimitObservation &observation, const LimitObservation &last)
{
    if (!observation.perSecond && last.perSecond)
        return observation.sentAt > last.answeredAt;
    return observation.answeredAt > last.answeredAt;
}

} // namespace

EndpointRateLimits::EndpointRateLimits(uint64_t version)
    : firstVersion_(version)
    , version_(version)
{
}

bool EndpointRateLimits::observe(const LimitObservation &observation)
{
    const auto found = entries_.find(observation.key);
    if (found == entries_.end()) {
        if (!observation.perSecond)
            return false;
        entries_[observation.key] = { observation, ++version_ };
        return true;
    }
    Entry &entry = found->second;
    const LimitObservation last = entry.last;
    if (observation.startMillis < last.startMillis
        || (observation.startMillis == last.startMillis && !supersedes(observation, last)))
        return false;
    entry.last = observation;
    // Those who know the limit of the incarnation before have to be told.
    const bool isFirstOfIncarnation
            = observation.perSecond && observation.startMillis > last.startMillis;
    if (!isFirstOfIncarnation && isSameLimit(observation.perSecond, last.perSecond)) {
        entry.last.perSecond = last.perSecond; // small changes must not add up unnoticed
        return false;
    }
    entry.changedAt = ++version_;
    return true;
}

std::optional<double> EndpointRateLimits::limitOf(EndpointKey key, int64_t startMillis) const
{
    const auto found = entries_.find(key);
    if (found == entries_.end() || found->second.last.startMillis != startMillis)
        return std::nullopt;
    return found->second.last.perSecond;
}

void EndpointRateLimits::expire(Instant now)
{
    std::erase_if(entries_, [now](const auto &item) {
        return now - item.second.last.answeredAt > kRetention;
    });
}

std::vector<LimitObservation> EndpointRateLimits::changesSince(uint64_t &version,
                                                               size_t maxCount) const
{
    const bool all = version < firstVersion_ || version > version_;
    std::vector<const Entry *> changed;
    for (const auto &[key, entry] : entries_) {
        if (all || entry.changedAt > version)
            changed.push_back(&entry);
    }
    std::sort(changed.begin(), changed.end(), [](const Entry *left, const Entry *right) {
        return left->changedAt < right->changedAt;
    });
    version = version_;
    if (changed.size() > maxCount) {
        changed.resize(maxCount);
        version = changed.back()->changedAt;
    }
    std::vector<LimitObservation> observations;
    for (const Entry *entry : changed)
        observations.push_back(entry->last);
    return observations;
}

} // namespace bamboogap
