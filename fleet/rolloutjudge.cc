#include "fleet/rolloutjudge.h"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

namespace bamboogap {

namespace {

// Shares of the tests in the false-alarm rate. Those of routes divide theirs as 1/(k (k + 1)).
constexpr double kFailuresWeight = 0.4;
constexpr double kSlowWeight = 0.25;
constexpr double kRoutesWeight = 0.3;
constexpr double kAloneWeight = 0.05;
constexpr double kRouteFailures = 0.6; // the rest goes to slow responses

// The fault begins with the first period, or with one of the next ones.
constexpr double kFromStart = 0.5;
constexpr uint32_t kLaterPeriods = 60;

// Fewer responses elsewhere than this share are no comparison.
constexpr double kLeastOthers = 0.02;
// Without a comparison, failures below this rate may be a fault of both versions.
constexpr double kLeastAloneRate = 0.2;
constexpr double kAloneRate = 0.6;

// A period has at least so many responses, and so has a route in it to be compared by itself: the
// failures of fewer tell nothing once their sum is given.
constexpr uint64_t kLeastInPeriod = 20;
constexpr uint64_t kLeastOnRoute = 10;

// A bucket has to have been seen this often before it tells a median.
constexpr uint64_t kLeastForMedian = 10;

// Logarithm of the mean of ratio^k over the central hypergeometric distribution, up to a
// constant that depends on the sample only.
double logMoment(const RolloutSample &sample, double ratio)
{
    const double bad = double(sample.badOnTarget + sample.badElsewhere);
    const double target = double(sample.target);
    const double total = double(sample.target + sample.others);
    const double least = std::max(0.0, target + bad - total);
    const double most = std::min(bad, target);
    const double logOdds = std::log(ratio);
    double term = least * logOdds;
    double largest = term;
    double sum = 1; // in units of exp(largest)
    for (double k = least; k < most; ++k) {
        term += logOdds
                + std::log((bad - k) * (target - k) / ((k + 1) * (total - bad - target + k + 1)));
        if (term > largest) {
            sum = sum * std::exp(largest - term) + 1;
            largest = term;
        } else {
            sum += std::exp(term - largest);
        }
    }
    return largest + std::log(sum);
}

RolloutSample failuresOf(const RolloutSides &period)
{
    return { period.target.finished(), period.target.failed, period.others.finished(),
             period.others.failed };
}

uint64_t answeredFrom(const RolloutSide &side, size_t bucket)
{
    uint64_t count = 0;
    for (size_t i = bucket; i < side.latency.size(); ++i)
        count += side.latency[i];
    return count;
}

// The first bucket that counts as slow, by what the others have answered; none if they have
// answered too little.
size_t slowBucket(const RolloutSide &others)
{
    const uint64_t answered = others.answered();
    if (answered < kLeastForMedian)
        return RolloutCounts::kBuckets;
    uint64_t below = 0;
    size_t median = 0;
    while (median + 1 < RolloutCounts::kBuckets && 2 * (below + others.latency[median]) < answered)
        below += others.latency[median++];
    return std::min(median + RolloutJudge::kSlowBuckets, RolloutCounts::kBuckets);
}

RolloutSample slowOf(const RolloutSides &period, size_t bucket)
{
    return { period.target.answered(), answeredFrom(period.target, bucket),
             period.others.answered(), answeredFrom(period.others, bucket) };
}

// `earlier` holds the responses before the period.
double logRatioOfHealth(const RolloutSample &period, const RolloutSample &earlier, double fault)
{
    // What the others did before counts as so many responses of the period, so that a burst of
    // both versions is told apart and a short period has a rate.
    constexpr double kEarlier = 60;
    const double usual = (double(earlier.badElsewhere) + 1) / (double(earlier.others) + 20);
    const double same
            = (double(period.badElsewhere) + kEarlier * usual) / (double(period.others) + kEarlier);
    const double worse = same + fault * (1 - same);
    const auto bad = double(period.badOnTarget);
    return bad * std::log(same / worse)
            + (double(period.target) - bad) * std::log((1 - same) / (1 - worse));
}

// While the others fail, too, a response tells less, and the time does not suffice for the usual
// ratio.
double healthyLogRatioWanted(const RolloutSide &others)
{
    constexpr double kLeastPart = 0.25;
    constexpr double kPerRate = 5;
    const double rate = double(others.failed) / double(others.finished() + 1);
    return std::log(RolloutJudge::kHealthyRatio) * std::max(kLeastPart, 1 - kPerRate * rate);
}

template<size_t kCount>
std::array<double, kCount> logRatios(const RolloutSample &sample, double null,
                                     const std::array<double, kCount> &alternatives)
{
    std::array<double, kCount> ratios {};
    for (size_t i = 0; i < kCount; ++i)
        ratios[i] = rolloutLogRatio(sample, null, alternatives[i]);
    return ratios;
}

template<size_t kCount>
void add(std::array<double, kCount> &sums, const std::array<double, kCount> &added)
{
    for (size_t i = 0; i < kCount; ++i)
        sums[i] += added[i];
}

std::string failuresText(const RolloutSides &sides)
{
    return fmt::format("{} of {} responses of the new version failed, {} of {} of the others",
                       sides.target.failed, sides.target.finished(), sides.others.failed,
                       sides.others.finished());
}

std::string slowText(const RolloutSides &sides)
{
    const size_t bucket = slowBucket(sides.others);
    return fmt::format("{} of {} responses of the new version took longer than {} ms, {} of {} of "
                       "the others",
                       answeredFrom(sides.target, bucket), sides.target.answered(),
                       bucket == 0 ? 0
                                   : uint64_t { RolloutCounts::kFirstBucketMillis } << (bucket - 1),
                       answeredFrom(sides.others, bucket), sides.others.answered());
}

} // namespace

std::string_view rolloutVerdictName(RolloutVerdict verdict)
{
    switch (verdict) {
    case RolloutVerdict::None:
        return "none";
    case RolloutVerdict::Healthy:
        return "healthy";
    case RolloutVerdict::Bad:
        return "bad";
    }
    return "unknown";
}

double rolloutLogRatio(const RolloutSample &sample, double null, double alternative)
{
    if (sample.target == 0 || sample.others == 0 || sample.badOnTarget + sample.badElsewhere == 0)
        return 0;
    return double(sample.badOnTarget) * std::log(alternative / null) + logMoment(sample, null)
            - logMoment(sample, alternative);
}

void RolloutJudge::Evidence::add(const std::array<double, kAlternatives.size()> &logRatios)
{
    // Keeps the products finite; any value this large decides.
    constexpr double kMost = 1e100;
    const double entering = periods_ == 0 ? kFromStart
            : periods_ <= kLaterPeriods   ? (1 - kFromStart) / kLaterPeriods
                                          : 0;
    ++periods_;
    for (size_t i = 0; i < mixtures_.size(); ++i) {
        mixtures_[i] = std::min(
                kMost, (mixtures_[i] + entering) * std::exp(std::min(logRatios[i], 200.0)));
    }
}

double RolloutJudge::Evidence::value() const
{
    double sum = 0;
    for (const double mixture : mixtures_)
        sum += mixture;
    return sum / double(mixtures_.size());
}

void RolloutJudge::observe(const RolloutSums &sums)
{
    if (verdict_ == RolloutVerdict::Bad)
        return;
    const RolloutSides period { sums.all.target.since(before_.all.target),
                                sums.all.others.since(before_.all.others) };
    if (period.target.finished() + period.others.finished() < kLeastInPeriod)
        return;
    judge(sums, period);
    before_ = sums;
}

void RolloutJudge::judge(const RolloutSums &sums, const RolloutSides &period)
{
    // Of the counts before the period, so that the choice does not depend on its responses.
    const size_t slow = slowBucket(before_.all.others);
    std::array<double, kAlternatives.size()> allFailures {};
    std::array<double, kAlternatives.size()> allSlow {};
    RolloutSides smallRoutes;
    double evidence = 0;
    double strongest = 0;
    std::string strongestText;
    const auto take = [&](double weighted, const auto &text) {
        evidence += weighted;
        if (weighted <= strongest)
            return;
        strongest = weighted;
        strongestText = text();
    };
    for (const auto &entry : sums.routes) {
        const uint32_t id = entry.first;
        const RolloutSides &sides = entry.second;
        const RolloutSides &earlier = before_.routes[id];
        const RolloutSides part { sides.target.since(earlier.target),
                                  sides.others.since(earlier.others) };
        const double order = double(routes_.size() + 1);
        Route &route = routes_.try_emplace(id, Route { 1 / (order * (order + 1)), {}, {} })
                               .first->second;
        const auto failures = logRatios(failuresOf(part), kToleratedFailures, kAlternatives);
        // Routes differ in latency, so each has its own median once it has enough responses.
        const size_t own = slowBucket(earlier.others);
        const auto slowness = logRatios(slowOf(part, own == RolloutCounts::kBuckets ? slow : own),
                                        kToleratedSlow, kAlternatives);
        route.failures.add(failures);
        route.slow.add(slowness);
        if (part.target.finished() + part.others.finished() >= kLeastOnRoute) {
            add(allFailures, failures);
            add(allSlow, slowness);
        } else {
            smallRoutes.target += part.target;
            smallRoutes.others += part.others;
        }
        const auto prefix = [id] { return fmt::format("on route {:08x} ", id); };
        take(kRoutesWeight * route.weight * kRouteFailures * route.failures.value(),
             [&] { return prefix() + failuresText(sides); });
        take(kRoutesWeight * route.weight * (1 - kRouteFailures) * route.slow.value(),
             [&] { return prefix() + slowText(sides); });
    }
    add(allFailures, logRatios(failuresOf(smallRoutes), kToleratedFailures, kAlternatives));
    add(allSlow, logRatios(slowOf(smallRoutes, slow), kToleratedSlow, kAlternatives));
    failures_.add(allFailures);
    slow_.add(allSlow);
    take(kFailuresWeight * failures_.value(), [&] { return failuresText(sums.all); });
    take(kSlowWeight * slow_.value(), [&] { return slowText(sums.all); });
    judgeWithoutComparison(period);
    take(kAloneWeight * alone_.value(), [&] { return failuresText(period); });
    if (evidence * kFalseAlarm >= 1) {
        verdict_ = RolloutVerdict::Bad;
        reason_ = strongestText;
        return;
    }
    const auto update = [](double &logRatio, double added) {
        logRatio = std::min(logRatio + added, kMostLogRatio);
    };
    update(failuresLogRatio_,
           logRatioOfHealth(failuresOf(period), failuresOf(before_.all), kLeastFault));
    if (slow < RolloutCounts::kBuckets)
        update(slowLogRatio_,
               logRatioOfHealth(slowOf(period, slow), slowOf(before_.all, slow), kLeastSlow));
    verdict_ = failuresLogRatio_ >= healthyLogRatioWanted(sums.all.others) && slowLogRatio_ >= 0
            ? RolloutVerdict::Healthy
            : RolloutVerdict::None;
    reason_ = failuresText(sums.all);
}

// At the full share nothing is left to compare with but the earlier responses of the others.
void RolloutJudge::judgeWithoutComparison(const RolloutSides &period)
{
    const auto target = double(period.target.finished());
    const auto others = double(period.others.finished());
    if (target == 0 || others > kLeastOthers * (target + others))
        return;
    const RolloutSide &earlier = before_.all.others;
    const double rate = std::max(
            kLeastAloneRate, 2 * (double(earlier.failed) + 1) / (double(earlier.finished()) + 2));
    if (rate >= kAloneRate)
        return;
    const auto failed = double(period.target.failed);
    const double logRatio = failed * std::log(kAloneRate / rate)
            + (target - failed) * std::log((1 - kAloneRate) / (1 - rate));
    alone_.add({ logRatio, logRatio, logRatio });
}

} // namespace bamboogap
