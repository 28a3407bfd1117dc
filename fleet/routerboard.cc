#include "fleet/routerboard.h"

namespace bamboogap {

void RouterBoard::report(RouterReport report, Instant now)
{
    Entry &entry = routers_[report.name];
    if (report.incarnation < entry.report.incarnation)
        return;
    entry.report = std::move(report);
    entry.heardAt = now;
}

void RouterBoard::leave(std::string_view name)
{
    const auto found = routers_.find(name);
    if (found != routers_.end())
        routers_.erase(found);
}

std::vector<EndpointUse> RouterBoard::usesOfOthers(std::string_view name, Instant now) const
{
    std::map<EndpointKey, EndpointUse> sums;
    for (const auto &[router, entry] : routers_) {
        if (router == name || now - entry.heardAt > kAlive)
            continue;
        for (const EndpointUse &use : entry.report.uses) {
            EndpointUse &sum = sums[use.key];
            sum.key = use.key;
            sum.running += use.running;
            sum.unreadTokens += use.unreadTokens;
        }
    }
    std::vector<EndpointUse> list;
    list.reserve(sums.size());
    for (const auto &[key, sum] : sums)
        list.push_back(sum);
    return list;
}

uint32_t RouterBoard::aliveCount(Instant now) const
{
    uint32_t count = 0;
    for (const auto &[name, entry] : routers_)
        count += now - entry.heardAt <= kAlive;
    return count;
}

uint32_t RouterBoard::rankOf(std::string_view name, Instant now) const
{
    uint32_t rank = 0;
    for (const auto &[router, entry] : routers_) {
        if (router >= name)
            break;
        rank += now - entry.heardAt <= kAlive;
    }
    return rank;
}

} // namespace bamboogap
