// Judges the target version of a rollout against the other versions of the service.
//
// A sequential test by e-processes: each period between two observations compares both sides,
// given how many responses failed (or were slow) on both sides together. A fault that both versions
// share, as a burst or a lossy link, therefore shifts nothing, whatever its rate and however
// it changes. The probability that a version with the same rates (odds up to kTolerated times as
// high) is ever judged bad is at most kFalseAlarm, over all looks, routes and measures together.

#ifndef BAMBOOGAP_FLEET_ROLLOUTJUDGE_H
#define BAMBOOGAP_FLEET_ROLLOUTJUDGE_H

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "fleet/rollouttotals.h"

namespace bamboogap {

enum class RolloutVerdict : uint8_t { None, Healthy, Bad };

std::string_view rolloutVerdictName(RolloutVerdict verdict);

// Responses of both sides in one period, and how many of them are bad.
struct RolloutSample
{
    uint64_t target = 0;
    uint64_t badOnTarget = 0;
    uint64_t others = 0;
    uint64_t badElsewhere = 0;
};

// Logarithm of the likelihood ratio of the odds ratio `alternative` to the odds ratio `null`
// between the target and the others, given the sums of the sample (Fisher's noncentral
// hypergeometric distribution). Its exponential is an e-value for each odds ratio up to `null`.
double rolloutLogRatio(const RolloutSample &sample, double null, double alternative);

class RolloutJudge
{
public:
    // Divided among all tests of one rollout. The required rate is 1 in 100.
    static constexpr double kFalseAlarm = 0.01;
    // Odds ratios up to these are no fault: versions differ slightly.
    static constexpr double kToleratedFailures = 1.25;
    static constexpr double kToleratedSlow = 2;
    // A response is slow this many buckets (factors of two) above the median of the others.
    static constexpr size_t kSlowBuckets = 2;
    // A bad version fails at least this share of the responses that the others do not.
    static constexpr double kLeastFault = 0.1;
    // A slow version makes at least this share of the responses slow.
    static constexpr double kLeastSlow = 0.4;
    // Likelihood of a healthy version relative to one of kLeastFault, to be judged healthy.
    static constexpr double kHealthyRatio = 20;
    // No more is credited to a version, since it may turn bad later.
    static constexpr double kMostLogRatio = 8;

    // The sums of the rollout by now, which never decrease; to be called some times a second.
    void observe(const RolloutSums &sums);

    RolloutVerdict verdict() const { return verdict_; }
    // Logarithm of the likelihood of the responses so far with a healthy version, relative to one
    // of kLeastFault, by the measure that speaks most against it.
    double healthyLogRatio() const { return std::min(failuresLogRatio_, slowLogRatio_); }
    // Why, with the counts that decided.
    const std::string &reason() const { return reason_; }

private:
    static constexpr std::array<double, 3> kAlternatives { 4, 12, 60 }; // odds ratios

    // Evidence for each alternative, mixed over the period in which the fault begins.
    class Evidence
    {
    public:
        void add(const std::array<double, kAlternatives.size()> &logRatios);
        // Expected to be at most 1 for a version without fault, at any time.
        double value() const;

    private:
        std::array<double, kAlternatives.size()> mixtures_ {};
        uint32_t periods_ = 0;
    };
    struct Route
    {
        double weight = 0;
        Evidence failures;
        Evidence slow;
    };

    void judge(const RolloutSums &sums, const RolloutSides &period);
    void judgeWithoutComparison(const RolloutSides &period);

    RolloutSums before_;
    Evidence failures_;
    Evidence slow_;
    std::map<uint32_t, Route> routes_;
    Evidence alone_; // of failures while nearly all requests go to the target
    double failuresLogRatio_ = 0;
    double slowLogRatio_ = 0;
    RolloutVerdict verdict_ = RolloutVerdict::None;
    std::string reason_;
};

} // namespace bamboogap

#endif
