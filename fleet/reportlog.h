// Entries that a router reports to each replica once, such as endpoint crashes: a bounded list
// whose entries keep their positions when older entries are dropped.

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
    // Limit of the entries kept for replicas that are unreachable. Older entries are dropped.
    static constexpr size_t kMaxEntries = 256;

    void add(Entry entry)
    {
        if (entries_.size() == kMaxEntries) {
            constexpr size_t kDropped = kMaxEntries / 2;
            entries_.erase(entries_.begin(), entries_.begin() + kDropped);
            first_ += kDropped;
        }
        entries_.push_back(std::move(entry));
    }

    // The position after the newest entry.
    uint64_t end() const { return first_ + entries_.size(); }
    // The entries from `position` on that have not been dropped.
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
