// The memory that the heads of requests may take in a process, whole or not.
//
// A head is counted by its lines as well as its bytes, before evhttp allocates anything for it: a
// line of three bytes takes over 100 there, and as much again in each list of fields. Heads as
// ordinary clients send them have a part of the memory that larger ones cannot take.

#ifndef BAMBOOGAP_NODE_HEADBUDGET_H
#define BAMBOOGAP_NODE_HEADBUDGET_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>

#include "base/clock.h"
#include "node/messageframing.h"

namespace bamboogap {

enum class HeadRefusal : uint8_t {
    Lines, // it has too many
    Memory, // there is no room for it
    Evicted, // it was not finished, and others needed its room
};

class HeadBudget
{
public:
    // Heads up to this cost have the reserved part: 30 lines with 5 kB.
    static constexpr size_t kSmallHead = 32 << 10;

    explicit HeadBudget(size_t limitBytes)
        : limit_(limitBytes)
    {
    }

    // What a head takes at most while its request waits and is sent on.
    static size_t cost(const HeadSize &size);

    // Takes `more` bytes for heads that cost `whole` on their connection; false, and nothing taken,
    // if their share is used up.
    bool take(size_t more, size_t whole);
    void release(size_t bytes);

    size_t taken() const { return taken_; }
    size_t limit() const { return limit_; }
    // How many bytes there may be of all heads when one of this cost is admitted.
    size_t share(size_t whole) const;

    // Counts a refusal and logs it, at most once a second.
    void noteRefusal(HeadRefusal refusal);
    // Called for each refusal with its kind, for metrics.
    void setRefused(std::function<void(std::string_view)> hook) { refused_ = std::move(hook); }

private:
    size_t limit_ = 0;
    size_t taken_ = 0;
    Instant loggedAt_ {};
    uint64_t unloggedRefusals_ = 0;
    std::function<void(std::string_view)> refused_;
};

// The part of the machine's memory that heads may take, unless the settings give it.
size_t headLimit(size_t machineBytes);

} // namespace bamboogap

#endif
