// The route documents that a leader has proposed and not applied yet.
//
// The highest version wins, so an order for a version that is not higher than a proposed one has
// its effect once that one is committed. It is not logged: the same order comes again through
// other replicas when its sender got no answer, and each entry with a large document takes a
// noticeable time of the leader's link.

#ifndef BAMBOOGAP_CONTROL_PROPOSEDINSTALLS_H
#define BAMBOOGAP_CONTROL_PROPOSEDINSTALLS_H

#include <cstdint>
#include <map>
#include <optional>

#include "control/raft.h"

namespace bamboogap {

class ProposedInstalls
{
public:
    void add(LogIndex index, uint64_t version) { versions_[index] = version; }
    void removeUpTo(LogIndex applied)
    {
        versions_.erase(versions_.begin(), versions_.upper_bound(applied));
    }
    void clear() { versions_.clear(); }

    // The first entry that makes an order for `version` needless once it is committed.
    std::optional<LogIndex> covering(uint64_t version) const
    {
        for (const auto &[index, proposed] : versions_) {
            if (proposed >= version)
                return index;
        }
        return std::nullopt;
    }

private:
    std::map<LogIndex, uint64_t> versions_;
};

} // namespace bamboogap

#endif
