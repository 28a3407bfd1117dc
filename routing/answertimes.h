// When requests were last answered at this router, by what they hold: evidence that it does not
// crash endpoints (see control/crashsuspects.h).

#ifndef BAMBOOGAP_ROUTING_ANSWERTIMES_H
#define BAMBOOGAP_ROUTING_ANSWERTIMES_H

#include <cstddef>
#include <optional>
#include <span>
#include <unordered_map>

#include "base/clock.h"
#include "control/suspects.h"

namespace bamboogap {

class AnswerTimes
{
public:
    // Between so many and twice as many of the latest subjects are remembered.
    static constexpr size_t kSubjects = 8192;

    // A request with these subjects was answered in full.
    void record(std::span<const Fingerprint> subjects, Instant now)
    {
        last_ = now;
        for (const Fingerprint subject : subjects) {
            if (recent_.size() >= kSubjects && recent_.count(subject) == 0) {
                older_ = std::move(recent_);
                recent_.clear();
            }
            recent_[subject] = now;
        }
    }

    // Nothing if none is remembered.
    std::optional<Instant> lastOf(Fingerprint subject) const
    {
        for (const auto *generation : { &recent_, &older_ }) {
            if (const auto found = generation->find(subject); found != generation->end())
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
