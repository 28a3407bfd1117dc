// Sums of each pool are kept as endpoints change, so a limit costs no scan.

#include "routing/loadboard.h"

#include <algorithm>
#include <cmath>

#include "base/hash.h"

namespace bamboogap {

BoardIndex LoadBoard::set(std::string_view id, std::string_view pool, uint32_t capacity,
                          bool inService)
{
    const std::string name(id);
    auto found = indexes_.find(name);
    if (found == indexes_.end()) {
        BoardIndex index = 0;
        if (free_.empty()) {
            index = static_cast<BoardIndex>(endpoints_.size());
            endpoints_.emplace_back();
        } else {
            index = free_.back();
            free_.pop_back();
        }
        found = indexes_.emplace(name, index).first;
        BoardEndpoint &fresh = endpoints_[index];
        fresh = {};
        fresh.id = name;
        fresh.key = endpointKey(id);
        fresh.present = true;
        fresh.pool = poolIndex(pool);
        enterPool(index);
    }
    BoardEndpoint &endpoint = endpoints_[found->second];
    count(endpoint, -1);
    const uint32_t newPool = poolIndex(pool);
    leavePool(found->second);
    endpoint.pool = newPool;
    endpoint.capacity = std::max<uint32_t>(capacity, 1);
    endpoint.inService = inService;
    enterPool(found->second);
    count(endpoint, +1);
    return found->second;
}

void LoadBoard::remove(std::string_view id)
{
    const auto found = indexes_.find(std::string(id));
    if (found == indexes_.end())
        return;
    BoardEndpoint &endpoint = endpoints_[found->second];
    count(endpoint, -1);
    leavePool(found->second);
    endpoint = {};
    free_.push_back(found->second);
    indexes_.erase(found);
}

const BoardEndpoint *LoadBoard::find(std::string_view id) const
{
    const auto found = indexes_.find(std::string(id));
    return found == indexes_.end() ? nullptr : &endpoints_[found->second];
}

const std::vector<PoolMember> &LoadBoard::pool(std::string_view name) const
{
    static const std::vector<PoolMember> none;
    const auto found = poolNames_.find(std::string(name));
    return found == poolNames_.end() ? none : pools_[found->second].members;
}

void LoadBoard::addOwn(std::string_view id, int delta)
{
    BoardEndpoint *endpoint = edit(id);
    if (!endpoint)
        return;
    endpoint->own = static_cast<uint32_t>(std::max<int64_t>(0, int64_t { endpoint->own } + delta));
    count(*endpoint, +1);
}

void LoadBoard::reportOthers(std::string_view id, uint32_t running)
{
    BoardEndpoint *endpoint = edit(id);
    if (!endpoint)
        return;
    endpoint->others = running;
    count(*endpoint, +1);
}

void LoadBoard::reportPool(std::string_view pool, uint32_t running)
{
    pools_[poolIndex(pool)].sampled = running;
}

std::vector<PoolLoad> LoadBoard::ownPools() const
{
    std::vector<PoolLoad> loads;
    for (const Pool &pool : pools_)
        loads.push_back({ hashBytes(pool.name), static_cast<uint32_t>(pool.own) });
    return loads;
}

void LoadBoard::setRampLimit(std::string_view id, uint32_t rampLimit)
{
    BoardEndpoint *endpoint = edit(id);
    if (!endpoint)
        return;
    endpoint->rampLimit = rampLimit;
    count(*endpoint, +1);
}

uint32_t LoadBoard::multipleLimit(const BoardEndpoint &endpoint) const
{
    return limitFor(endpoint, multiple_);
}

uint32_t LoadBoard::limitFor(const BoardEndpoint &endpoint, double multiple) const
{
    const Pool &pool = pools_[endpoint.pool];
    if (pool.bears == 0)
        return 1;
    const uint64_t total = std::max(pool.own, pool.sampled);
    const double share = static_cast<double>(endpoint.bears()) / static_cast<double>(pool.bears);
    // Rounding noise must not lift a whole number to the next one.
    constexpr double kRounding = 1e-9;
    const double limit = std::ceil(multiple * static_cast<double>(total + 1) * share - kRounding);
    return std::max<uint32_t>(1, static_cast<uint32_t>(limit));
}

uint32_t LoadBoard::room(const BoardEndpoint &endpoint, double multiple) const
{
    const uint32_t limit = std::min(endpoint.bears(), limitFor(endpoint, multiple));
    return limit > endpoint.running() ? limit - endpoint.running() : 0;
}

double LoadBoard::poolMean(const BoardEndpoint &endpoint) const
{
    const Pool &pool = pools_[endpoint.pool];
    if (pool.inService == 0)
        return 0;
    return static_cast<double>(pool.own + pool.others) / pool.inService;
}

uint32_t LoadBoard::poolIndex(std::string_view name)
{
    const auto [found, added]
            = poolNames_.try_emplace(std::string(name), static_cast<uint32_t>(pools_.size()));
    if (added)
        pools_.push_back({ {}, 0, std::string(name), 0, 0, 0, 0 });
    return found->second;
}

void LoadBoard::enterPool(BoardIndex index)
{
    const BoardEndpoint &endpoint = endpoints_[index];
    pools_[endpoint.pool].members.push_back(
            { endpoint.key, index, endpoint.capacity, endpoint.inService });
}

void LoadBoard::leavePool(BoardIndex index)
{
    std::erase_if(pools_[endpoints_[index].pool].members,
                  [index](const PoolMember &member) { return member.index == index; });
}

// The endpoint, taken out of its pool's sums; the caller counts it again.
BoardEndpoint *LoadBoard::edit(std::string_view id)
{
    const auto found = indexes_.find(std::string(id));
    if (found == indexes_.end())
        return nullptr;
    count(endpoints_[found->second], -1);
    return &endpoints_[found->second];
}

// Adds the endpoint to the sums of its pool, or takes it out of them.
void LoadBoard::count(const BoardEndpoint &endpoint, int sign)
{
    if (!endpoint.inService)
        return;
    Pool &pool = pools_[endpoint.pool];
    pool.bears += sign * int64_t { endpoint.bears() };
    pool.own += sign * int64_t { endpoint.own };
    pool.others += sign * int64_t { endpoint.others };
    pool.inService += sign;
}

} // namespace bamboogap
