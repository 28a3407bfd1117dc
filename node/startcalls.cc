#include "node/startcalls.h"

#include <fmt/format.h>

#include "base/log.h"
#include "node/convert.h"

namespace bamboogap {

namespace {

// A machine of the same region that is up answers within this; the last attempts are long
// enough for another region.
constexpr Duration kFirstLimit = std::chrono::milliseconds(40);
constexpr Duration kLongestLimit = std::chrono::milliseconds(400);
// Routers look for their seeds themselves meanwhile.
constexpr Duration kCallFor = std::chrono::seconds(4);
// Each call takes a connection and some of a small processor.
constexpr size_t kCallsAtOnce = 8;

} // namespace

StartCalls::StartCalls(EventLoop &loop, Peers &peers, std::string ownAddress)
    : loop_(loop)
    , peers_(peers)
    , ownAddress_(std::move(ownAddress))
{
}

void StartCalls::start(const std::vector<std::string> &routers)
{
    until_ = BootClock::now() + kCallFor;
    for (const std::string &router : routers)
        left_[router].limit = kFirstLimit;
    next();
}

void StartCalls::found(const std::string &router)
{
    left_.erase(router);
}

// Calls the routers with the shortest limits first: they were tried least often.
void StartCalls::next()
{
    if (BootClock::now() >= until_) {
        if (!left_.empty() && inFlight_ == 0) {
            logEvent(LogLevel::Info, "routers_not_called",
                     { { "left", fmt::to_string(left_.size()) },
                       { "reason", "no answer; they look for replicas themselves" } });
            left_.clear();
        }
        return;
    }
    while (inFlight_ < kCallsAtOnce) {
        auto chosen = left_.end();
        for (auto item = left_.begin(); item != left_.end(); ++item) {
            if (!item->second.inFlight
                && (chosen == left_.end() || item->second.limit < chosen->second.limit))
                chosen = item;
        }
        if (chosen == left_.end())
            return;
        call(chosen->first, chosen->second);
    }
}

void StartCalls::call(const std::string &router, Attempts &attempts)
{
    const Duration limit = attempts.limit;
    attempts.inFlight = true;
    attempts.limit = std::min(kLongestLimit, limit + limit / 2);
    ++inFlight_;
    auto request = peers_.node(router, Lane::Control).replicaStartedRequest();
    request.setAddress(ownAddress_);
    const Instant began = BootClock::now();
    loop_.detach(loop_.within(limit, request.send().ignoreResult())
                         .then([this, router] { ended(router, true); },
                               [this, router, limit, began](kj::Exception &&) {
                                   // One that is refused ends at once; the pause is the same.
                                   peers_.drop(router, Lane::Control);
                                   const Duration rest = limit - (BootClock::now() - began);
                                   loop_.detach(loop_.sleep(rest).then(
                                                        [this, router] { ended(router, false); }),
                                                "call a router again");
                               }),
                 "call a router at the start");
}

void StartCalls::ended(const std::string &router, bool told)
{
    --inFlight_;
    const auto found = left_.find(router);
    if (told) {
        left_.erase(router);
        logEvent(LogLevel::Info, "router_called",
                 { { "router", router }, { "left", fmt::to_string(left_.size()) } });
    } else if (found != left_.end()) {
        found->second.inFlight = false;
    }
    next();
}

} // namespace bamboogap
