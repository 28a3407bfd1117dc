// Sums are updated with each report, so that a reply to a router needs no scan of all reports.

#include "fleet/worksums.h"

#include <algorithm>

namespace bamboogap {

namespace {

uint32_t scaled(int64_t value, double factor)
{
    return static_cast<uint32_t>(std::clamp(double(value) * factor, 0.0, double(UINT32_MAX)));
}

} // namespace

void WorkSums::add(Sums &sums, std::span<const EndpointUse> uses, int sign)
{
    for (const EndpointUse &use : uses) {
        const auto item = sums.try_emplace(use.key & UINT32_MAX).first;
        item->second.running += sign * int64_t { use.running };
        item->second.pendingPrefillTokens += sign * int64_t { use.pendingPrefillTokens };
        if (item->second.running == 0 && item->second.pendingPrefillTokens == 0)
            sums.erase(item);
    }
}

void WorkSums::updateTotals(const Reporter &reporter, int sign)
{
    add(total_, reporter.uses, sign);
    if (reporter.toAll)
        return;
    add(groupTotal_, reporter.uses, sign);
    groupSize_ += sign;
}

void WorkSums::report(std::string_view router, std::span<const EndpointUse> uses, bool toAll,
                      Instant now)
{
    const auto [item, added] = reporters_.try_emplace(std::string(router));
    Reporter &reporter = item->second;
    if (!added)
        updateTotals(reporter, -1);
    reporter.uses.assign(uses.begin(), uses.end());
    reporter.toAll = toAll;
    reporter.updatedAt = now;
    updateTotals(reporter, +1);
}

void WorkSums::remove(std::string_view router)
{
    const auto found = reporters_.find(router);
    if (found == reporters_.end())
        return;
    updateTotals(found->second, -1);
    reporters_.erase(found);
}

void WorkSums::groupReport(std::string_view replica, uint32_t routers, std::string_view packed,
                           Instant now)
{
    Group &group = groups_[std::string(replica)];
    add(total_, group.uses, -1);
    routersInOtherGroups_ -= group.routers;
    group.uses = unpackUses(packed);
    group.routers = routers;
    group.updatedAt = now;
    add(total_, group.uses, +1);
    routersInOtherGroups_ += group.routers;
}

void WorkSums::tick(Instant now, Duration routerTimeout)
{
    for (auto item = reporters_.begin(); item != reporters_.end();) {
        if (now - item->second.updatedAt <= routerTimeout) {
            ++item;
            continue;
        }
        updateTotals(item->second, -1);
        item = reporters_.erase(item);
    }
    for (auto item = groups_.begin(); item != groups_.end();) {
        if (now - item->second.updatedAt <= kGroupTimeout) {
            ++item;
            continue;
        }
        add(total_, item->second.uses, -1);
        routersInOtherGroups_ -= item->second.routers;
        item = groups_.erase(item);
    }
}

std::vector<EndpointUse> WorkSums::group() const
{
    std::vector<EndpointUse> uses;
    uses.reserve(groupTotal_.size());
    for (const auto &[key, sum] : groupTotal_)
        uses.push_back({ key, scaled(sum.running, 1), scaled(sum.pendingPrefillTokens, 1) });
    return uses;
}

std::vector<EndpointUse> WorkSums::othersOf(std::string_view router, uint32_t aliveRouters) const
{
    const auto own = reporters_.find(router);
    const bool known = own != reporters_.end();
    const uint32_t counted
            = static_cast<uint32_t>(reporters_.size()) + routersInOtherGroups_ - known;
    const uint32_t others = std::max(aliveRouters, 1U) - 1;
    const double scale
            = counted == 0 ? 1 : std::clamp(double(others) / double(counted), 1.0, kMaxScale);
    Sums ownSums;
    if (known)
        add(ownSums, own->second.uses, +1);
    std::vector<EndpointUse> uses;
    uses.reserve(total_.size());
    for (const auto &[key, sum] : total_) {
        Sum rest = sum;
        if (const auto found = ownSums.find(key); found != ownSums.end()) {
            rest.running -= found->second.running;
            rest.pendingPrefillTokens -= found->second.pendingPrefillTokens;
        }
        if (rest.running > 0 || rest.pendingPrefillTokens > 0)
            uses.push_back(
                    { key, scaled(rest.running, scale), scaled(rest.pendingPrefillTokens, scale) });
    }
    std::sort(uses.begin(), uses.end(), [](const EndpointUse &left, const EndpointUse &right) {
        return left.key < right.key;
    });
    return uses;
}

} // namespace bamboogap
