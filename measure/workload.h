// Scripted arrivals of chats that return, and model engines with limited prefix
// caches, for bamboogap_measure.

#ifndef BAMBOOGAP_MEASURE_WORKLOAD_H
#define BAMBOOGAP_MEASURE_WORKLOAD_H

#include <cstdint>
#include <list>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "routing/waitqueue.h"

namespace bamboogap {

// Times of the scripts are in seconds from their start.
using ScriptTime = double;

struct Kind
{
    double share = 1; // of the turns
    ScriptTime generation = 1; // time to generate the answer
    Priority priority = Priority::Normal;
    ScriptTime startWithin = 30;
};

struct Deployment
{
    std::string name;
    size_t engines = 20;
    size_t dataCentres = 3;
    size_t routers = 7;
    size_t workspaces = 10;
    uint32_t capacity = 8; // requests an engine runs at once
    uint32_t coldCapacity = 2;
    size_t cachedChats = 60; // whose prefix an engine keeps
    double newChatsPerSecond = 4;
    double meanTurns = 5;
    ScriptTime meanPause = 20; // between turns; log-normal, so long-tailed
    ScriptTime rebuild = 0.4; // time to the first token without the cache
    ScriptTime reuse = 0.05; // and with it
    std::vector<Kind> kinds;
    ScriptTime length = 600;
    ScriptTime outFrom = 0; // the first data centre is out in this time
    ScriptTime outUntil = 0;
    bool churn = false; // engines restart, with empty caches, at random moments
    uint64_t seed = 1;
};

struct Turn
{
    uint64_t chat = 0;
    size_t workspace = 0;
    bool returning = false;
    size_t kind = 0;
    size_t turnsLeft = 0;
};

// An engine's prefix cache: the chats used last.
class PrefixCache
{
public:
    explicit PrefixCache(size_t capacity)
        : capacity_(capacity)
    {
    }

    bool holds(uint64_t chat) const { return places_.count(chat) > 0; }
    void use(uint64_t chat);
    void clear();

private:
    size_t capacity_;
    std::list<uint64_t> order_;
    std::unordered_map<uint64_t, std::list<uint64_t>::iterator> places_;
};

Deployment brno();
Deployment perth();
// The target of letter 1, at a part of its length.
Deployment target();

} // namespace bamboogap

#endif
