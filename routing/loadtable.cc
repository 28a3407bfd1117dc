// Each pool's sums are updated as endpoints change, so computing a limit needs no scan.

#include "routing/loadtable.h"

#include <algorithm>
#include <cmath>

#include "base/hash.h"

namespace bamboogap {

EndpointIndex LoadTable::set(std::string_view id, std::string_view pool, uint32_t capacity,
                             bool inService)
{
    const std::string name(id);
    auto found = indexes_.find(name);
    if (found == indexes_.end()) {
        EndpointIndex index = 0;
        if (free_.empty()) {
            index = static_cast<EndpointIndex>(endpoints_.size());
            endpoints_.emplace_back();
        } else {
            index = free_.back();
            free_.pop_back();
        }
        found = indexes_.emplace(name, index).first;
        EndpointLoad &newEndpoint = endpoints_[index];
        newEndpoint = {};
        newEndpoint.id = name;
        newEndpoint.key = endpointKey(id);
        newEndpoint.present = true;
        newEndpoint.pool = poolIndex(pool);
        addToPool(index);
    }
    EndpointLoad &endpoint = endpoints_[found->second];
    addToSums(endpoint, -1);
    const uint32_t newPool = poolIndex(pool);
    removeFromPool(found->second);
    endpoint.pool = newPool;
    endpoint.capacity = std::max<uint32_t>(capacity, 1);
    endpoint.inService = inService;
    addToPool(found->second);
    addToSums(endpoint, +1);
    return found->second;
}

void LoadTable::remove(std::string_view id)
{
    const auto found = indexes_.find(std::string(id));
    if (found == indexes_.end())
        return;
    EndpointLoad &endpoint = endpoints_[found->second];
    addToSums(endpoint, -1);
    removeFromPool(found->second);
    endpoint = {};
    free_.push_back(found->second);
    indexes_.erase(found);
}

const EndpointLoad *LoadTable::find(std::string_view id) const
{
    const auto found = indexes_.find(std::string(id));
    return found == indexes_.end() ? nullptr : &endpoints_[found->second];
}

const std::vector<PoolMember> &LoadTable::pool(std::string_view name) const
{
    static const std::vector<PoolMember> none;
    const auto found = poolNames_.find(std::string(name));
    return found == poolNames_.end() ? none : pools_[found->second].members;
}

void LoadTable::addOwn(std::string_view id, int delta)
{
    EndpointLoad *endpoint = beginUpdate(id);
    if (!endpoint)
        return;
    endpoint->own = static_cast<uint32_t>(std::max<int64_t>(0, int64_t { endpoint->own } + delta));
    addToSums(*endpoint, +1);
}

void LoadTable::setOthersRunning(std::string_view id, uint32_t running)
{
    EndpointLoad *endpoint = beginUpdate(id);
    if (!endpoint)
        return;
    endpoint->others = running;
    addToSums(*endpoint, +1);
}

void LoadTable::setPoolSample(std::string_view pool, uint32_t running)
{
    pools_[poolIndex(pool)].sampled = running;
}

std::vector<PoolLoad> LoadTable::ownPools() const
{
    std::vector<PoolLoad> loads;
    for (const Pool &pool : pools_)
        loads.push_back({ hashBytes(pool.name), static_cast<uint32_t>(pool.own) });
    return loads;
}

void LoadTable::setSlowStartLimit(std::string_view id, uint32_t slowStartLimit)
{
    EndpointLoad *endpoint = beginUpdate(id);
    if (!endpoint)
        return;
    endpoint->slowStartLimit = slowStartLimit;
    addToSums(*endpoint, +1);
}

uint32_t LoadTable::multipleLimit(const EndpointLoad &endpoint) const
{
    return limitFor(endpoint, multiple_);
}

uint32_t LoadTable::limitFor(const EndpointLoad &endpoint, double multiple) const
{
    const Pool &pool = pools_[endpoint.pool];
    if (pool.usableCapacity == 0)
        return 1;
    const uint64_t total = std::max(pool.own, pool.sampled);
    const double share = static_cast<double>(endpoint.usableCapacity())
            / static_cast<double>(pool.usableCapacity);
    // Floating-point error must not round a whole number up to the next one.
    constexpr double kRounding = 1e-9;
    const double limit = std::ceil(multiple * static_cast<double>(total + 1) * share - kRounding);
    return std::max<uint32_t>(1, static_cast<uint32_t>(limit));
}

uint32_t LoadTable::freeSlots(const EndpointLoad &endpoint, double multiple) const
{
    const uint32_t limit = std::min(endpoint.usableCapacity(), limitFor(endpoint, multiple));
    return limit > endpoint.running() ? limit - endpoint.running() : 0;
}

double LoadTable::poolMean(const EndpointLoad &endpoint) const
{
    const Pool &pool = pools_[endpoint.pool];
    if (pool.inService == 0)
        return 0;
    return static_cast<double>(pool.own + pool.others) / pool.inService;
}

uint32_t LoadTable::poolIndex(std::string_view name)
{
    const auto [found, added]
            = poolNames_.try_emplace(std::string(name), static_cast<uint32_t>(pools_.size()));
    if (added)
        pools_.push_back({ {}, 0, std::string(name), 0, 0, 0, 0 });
    return found->second;
}

void LoadTable::addToPool(EndpointIndex index)
{
    const EndpointLoad &endpoint = endpoints_[index];
    pools_[endpoint.pool].members.push_back(
            { endpoint.key, index, endpoint.capacity, endpoint.inService });
}

void LoadTable::removeFromPool(EndpointIndex index)
{
    std::erase_if(pools_[endpoints_[index].pool].members,
                  [index](const PoolMember &member) { return member.index == index; });
}

// Returns the endpoint and subtracts it from its pool's sums; the caller changes it and adds
// it again with addToSums().
EndpointLoad *LoadTable::beginUpdate(std::string_view id)
{
    const auto found = indexes_.find(std::string(id));
    if (found == indexes_.end())
        return nullptr;
    addToSums(endpoints_[found->second], -1);
    return &endpoints_[found->second];
}

// Adds the endpoint to its pool's sums (sign 1) or subtracts it (sign -1).
void LoadTable::addToSums(const EndpointLoad &endpoint, int sign)
{
    if (!endpoint.inService)
        return;
    Pool &pool = pools_[endpoint.pool];
    pool.usableCapacity += sign * int64_t { endpoint.usableCapacity() };
    pool.own += sign * int64_t { endpoint.own };
    pool.others += sign * int64_t { endpoint.others };
    pool.inService += sign;
}

} // namespace bamboogap
