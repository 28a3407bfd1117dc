// What a router tells each replica once, such as crashes: a bounded list whose entries keep
// their positions when old ones are dropped.

#ifndef BAMBOOGAP_FLEET_REPORTLOG_H
#define BAMBOOGAP_FLEET_REPORTLOG_H

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <span>
#include <utility>
#include <vector>

namespace bamboogap {

template<typename Entry> class ReportLog
{
public:
    // Entries kept for replicas that cannot be reached; older ones are dropped.
    static constexpr size_t kKept = 256;

    void add(Entry entry)
    {
        if (entries_.size() == kKept) {
            constexpr size_t kDropped = kKept / 2;
            entries_.erase(entries_.begin(), entries_.begin() + kDropped);
            first_ += kDropped;
        }
        entries_.push_back(std::move(entry));
    }

    // The position after the newest entry.
    uint64_t end() const { return first_ + entries_.size(); }
    // The entries from a position on, as far as they are kept.
    std::span<const Entry> since(uint64_t position) const
    {
        const uint64_t from = std::clamp(position, first_, end());
        return std::span(entries_).subspan(from - first_);
    }

private:
    uint64_t first_ = 0; // position of the oldest entry
    std::vector<Entry> entries_;
};

} // namespace bamboogap

#endif
