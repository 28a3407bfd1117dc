// The simulated deployments and the prefix cache model.

#include "measure/workload.h"

namespace bamboogap {

void SimulatedPrefixCache::touch(uint64_t chat)
{
    const auto found = positions_.find(chat);
    if (found != positions_.end())
        recency_.erase(found->second);
    recency_.push_front(chat);
    positions_[chat] = recency_.begin();
    if (positions_.size() > capacity_) {
        positions_.erase(recency_.back());
        recency_.pop_back();
    }
}

void SimulatedPrefixCache::clear()
{
    recency_.clear();
    positions_.clear();
}

// Long condition reports, crack descriptions, and urgent hazard flags, in the order of
// the kinds.
SimulatedDeployment brnoDeployment()
{
    SimulatedDeployment deployment;
    deployment.name = "brno";
    deployment.kinds = { { 0.2, 6.0, Priority::Normal, 30 },
                         { 0.4, 2.0, Priority::Normal, 30 },
                         { 0.4, 0.3, Priority::Urgent, 5 } };
    return deployment;
}

// Lesson plans, replies to parents, and screened notes, in the order of the kinds.
SimulatedDeployment perthDeployment()
{
    SimulatedDeployment deployment;
    deployment.name = "perth";
    deployment.engines = 10;
    deployment.newChatsPerSecond = 2;
    deployment.meanTurns = 8;
    deployment.cachedChatsPerEngine = 80;
    deployment.uncachedPrefillTime = 1.0;
    deployment.kinds = { { 0.2, 6.0, Priority::Patient, 300 },
                         { 0.6, 1.5, Priority::Urgent, 10 },
                         { 0.2, 1.0, Priority::Normal, 30 } };
    return deployment;
}

SimulatedDeployment targetDeployment()
{
    SimulatedDeployment deployment;
    deployment.name = "target";
    deployment.engines = 770;
    deployment.dataCentres = 8;
    deployment.routers = 410;
    deployment.workspaces = 1500;
    deployment.capacity = 84;
    deployment.coldCapacity = 8;
    deployment.cachedChatsPerEngine = 800;
    deployment.newChatsPerSecond = 1620;
    deployment.meanTurns = 5;
    deployment.meanPauseBetweenTurns = 15;
    deployment.kinds = { { 0.3, 8.0, Priority::Normal, 30 },
                         { 0.4, 3.0, Priority::Normal, 30 },
                         { 0.3, 1.0, Priority::Urgent, 5 } };
    deployment.duration = 60;
    return deployment;
}

} // namespace bamboogap
