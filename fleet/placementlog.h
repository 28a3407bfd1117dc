// Where prompts were placed lately, so that routers that share endpoints know which
// engine holds which prompt in its cache.
//
// A router reports a placement only when it believes that the engine did not hold the
// prompt before; repeats in the same place cost no message.

#ifndef BAMBOOGAP_FLEET_PLACEMENTLOG_H
#define BAMBOOGAP_FLEET_PLACEMENTLOG_H

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/announcement.h"

namespace bamboogap {

// A part of a prompt together with all parts before it.
struct ChainPart
{
    uint64_t chain = 0; // hash of this part and all before it
    uint32_t tokens = 0; // of this part

    bool operator==(const ChainPart &) const = default;
};

struct PromptPlacement
{
    EndpointKey endpoint = 0;
    std::vector<ChainPart> parts; // the shared parts of the prompt, in order

    bool operator==(const PromptPlacement &) const = default;
};

// The placements that a control replica was told, newest last. Bounded: a router that
// starts learns the last ones, which cover the prompts in use.
class PlacementLog
{
public:
    static constexpr size_t kKept = 4096;

    void add(std::string_view router, PromptPlacement placement);

    // The newest placements by other routers after the version, at most `most` of
    // them, oldest first; version is moved to the end. What a router misses by that it
    // learns when the prompt is placed again.
    std::vector<PromptPlacement> since(uint64_t &version, std::string_view router,
                                       size_t most) const;
    uint64_t version() const { return first_ + entries_.size(); }

private:
    struct Entry
    {
        std::string router;
        PromptPlacement placement;
    };

    uint64_t first_ = 0; // version before the oldest entry
    std::deque<Entry> entries_;
};

} // namespace bamboogap

#endif
