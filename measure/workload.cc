// The deployments of the brief.

#include "measure/workload.h"

namespace bamboogap {

void PrefixCache::use(uint64_t chat)
{
    const auto found = places_.find(chat);
    if (found != places_.end())
        order_.erase(found->second);
    order_.push_front(chat);
    places_[chat] = order_.begin();
    if (places_.size() > capacity_) {
        places_.erase(order_.back());
        order_.pop_back();
    }
}

void PrefixCache::clear()
{
    order_.clear();
    places_.clear();
}

// Long condition reports, crack descriptions, hazard flags.
Deployment brno()
{
    Deployment deployment;
    deployment.name = "brno";
    deployment.kinds = { { 0.2, 6.0, Priority::Normal, 30 },
                         { 0.4, 2.0, Priority::Normal, 30 },
                         { 0.4, 0.3, Priority::Urgent, 5 } };
    return deployment;
}

// Lesson plans, replies to parents, screened notes.
Deployment perth()
{
    Deployment deployment;
    deployment.name = "perth";
    deployment.engines = 10;
    deployment.newChatsPerSecond = 2;
    deployment.meanTurns = 8;
    deployment.cachedChats = 80;
    deployment.rebuild = 1.0;
    deployment.kinds = { { 0.2, 6.0, Priority::Patient, 300 },
                         { 0.6, 1.5, Priority::Urgent, 10 },
                         { 0.2, 1.0, Priority::Normal, 30 } };
    return deployment;
}

Deployment target()
{
    Deployment deployment;
    deployment.name = "target";
    deployment.engines = 770;
    deployment.dataCentres = 8;
    deployment.routers = 410;
    deployment.workspaces = 1500;
    deployment.capacity = 84;
    deployment.coldCapacity = 8;
    deployment.cachedChats = 800;
    deployment.newChatsPerSecond = 1620;
    deployment.meanTurns = 5;
    deployment.meanPause = 15;
    deployment.kinds = { { 0.3, 8.0, Priority::Normal, 30 },
                         { 0.4, 3.0, Priority::Normal, 30 },
                         { 0.3, 1.0, Priority::Urgent, 5 } };
    deployment.length = 60;
    return deployment;
}

} // namespace bamboogap
