// Recent prompt placements, shared between routers that use the same endpoints so that each knows
// which engine has which prompt in its cache.
//
// A router reports a placement only when it expects that the engine did not have the prompt in its
// cache yet, so repeated placements on the same engine cost no messages.

#ifndef BAMBOOGAP_FLEET_PLACEMENTLOG_H
#define BAMBOOGAP_FLEET_PLACEMENTLOG_H

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/announcement.h"

namespace bamboogap {

// One part of a prompt, identified by a hash that also covers all parts before it.
struct ChainPart
{
    uint64_t chain = 0; // hash of this part and all parts before it
    uint32_t tokens = 0; // length of this part

    bool operator==(const ChainPart &) const = default;
};

// The endpoint to which a prompt was sent.
struct PromptPlacement
{
    EndpointKey endpoint = 0;
    std::vector<ChainPart> parts; // shared parts of the prompt, in order

    bool operator==(const PromptPlacement &) const = default;
};

// Placements that routers have reported to a control replica, oldest first. The log is bounded: a
// router that starts receives only the latest entries, which cover the prompts in current use.
class PlacementLog
{
public:
    static constexpr size_t kMaxEntries = 4096;

    void add(std::string_view router, PromptPlacement placement);

    // Returns the latest placements by other routers after `version`, at most `maxCount`, oldest
    // first, and sets `version` to the end of the log. A router that misses older ones receives
    // them when those prompts are placed again.
    std::vector<PromptPlacement> since(uint64_t &version, std::string_view router,
                                       size_t maxCount) const;
    uint64_t version() const { return first_ + entries_.size(); }

private:
    struct Entry
    {
        std::string router;
        PromptPlacement placement;
    };

    uint64_t first_ = 0; // number of entries dropped so far
    std::deque<Entry> entries_;
};

} // namespace bamboogap

#endif
