// A budget that keeps retries from multiplying the load in an outage.
//
// Every first try earns a share of a retry; every retry costs one. Retries are
// thus at most that share of the requests, plus a small reserve for quiet times.

#ifndef BAMBOOGAP_ROUTING_RETRYBUDGET_H
#define BAMBOOGAP_ROUTING_RETRYBUDGET_H

#include <algorithm>

namespace bamboogap {

struct RetryBudgetSettings
{
    double share = 0.1; // retries for each first try
    double reserve = 10; // retries that a quiet router may make at once
};

class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetSettings settings = {})
        : settings_(settings)
        , balance_(settings.reserve)
    {
    }

    void onFirstTry() { balance_ = std::min(settings_.reserve, balance_ + settings_.share); }

    // Takes one retry from the budget; false if there is none left.
    bool takeRetry()
    {
        if (balance_ < 1)
            return false;
        balance_ -= 1;
        return true;
    }

    double balance() const { return balance_; }

private:
    RetryBudgetSettings settings_;
    double balance_;
};

} // namespace bamboogap

#endif
