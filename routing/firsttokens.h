// When requests with a prompt part last got a first token at this router: evidence that the part
// does not crash engines (see control/partsuspects.h).

#ifndef BAMBOOGAP_ROUTING_FIRSTTOKENS_H
#define BAMBOOGAP_ROUTING_FIRSTTOKENS_H

#include <cstddef>
#include <optional>
#include <span>
#include <unordered_map>

#include "base/clock.h"
#include "control/suspects.h"

namespace bamboogap {

class FirstTokens
{
public:
    // Between so many and twice as many of the latest parts are remembered.
    static constexpr size_t kParts = 4096;

    void record(std::span<const Fingerprint> parts, Instant now)
    {
        last_ = now;
        for (const Fingerprint part : parts) {
            if (recent_.size() >= kParts && recent_.count(part) == 0) {
                older_ = std::move(recent_);
                recent_.clear();
            }
            recent_[part] = now;
        }
    }

    // Nothing if none is remembered.
    std::optional<Instant> lastOf(Fingerprint part) const
    {
        for (const auto *generation : { &recent_, &older_ }) {
            if (const auto found = generation->find(part); found != generation->end())
                return found->second;
        }
        return std::nullopt;
    }
    // Of any request.
    std::optional<Instant> last() const { return last_; }

private:
    std::unordered_map<Fingerprint, Instant> recent_;
    std::unordered_map<Fingerprint, Instant> older_;
    std::optional<Instant> last_;
};

} // namespace bamboogap

#endif
