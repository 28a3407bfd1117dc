// A budget that limits retries, so that they do not multiply the load in an outage.
//
// Each first attempt adds a fraction of a retry to the budget; each retry takes one. Retries
// are thus at most that fraction of the requests, plus a small reserve for times of little
// traffic.

#ifndef BAMBOOGAP_ROUTING_RETRYBUDGET_H
#define BAMBOOGAP_ROUTING_RETRYBUDGET_H

#include <algorithm>

namespace bamboogap {

struct RetryBudgetSettings
{
    double share = 0.1; // retries earned by each first attempt
    double reserve = 10; // largest balance, and the balance at the start
};

class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetSettings settings = {})
        : settings_(settings)
        , balance_(settings.reserve)
    {
    }

    void onFirstAttempt() { balance_ = std::min(settings_.reserve, balance_ + settings_.share); }

    // Takes one retry from the budget; false if less than one is left.
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
