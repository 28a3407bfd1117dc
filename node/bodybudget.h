// The memory that the bodies of requests may take in a process, whole or not.
//
// A body is admitted by the length that its head declares, before any of it is read. Large bodies
// leave room for small ones, and less important ones for others, so that callers who send slowly
// can fill only their own part.

#ifndef BAMBOOGAP_NODE_BODYBUDGET_H
#define BAMBOOGAP_NODE_BODYBUDGET_H

#include <cstddef>
#include <cstdint>

namespace bamboogap {

class BodyBudget
{
public:
    // Bodies up to this size count as small, in bytes.
    static constexpr size_t kSmallBody = 64 << 10;

    explicit BodyBudget(size_t limitBytes)
        : limit_(limitBytes)
    {
    }

    // Takes `more` bytes for a body of `whole` bytes; false, and nothing taken, if its share is
    // used up. Priority 0 is the most important.
    bool take(size_t more, size_t whole, uint32_t priority);
    void release(size_t bytes);

    size_t taken() const { return taken_; }
    size_t limit() const { return limit_; }
    // How many bytes there may be of all bodies when one of this kind is admitted.
    size_t share(size_t whole, uint32_t priority) const;

private:
    size_t limit_ = 0;
    size_t taken_ = 0;
};

// The part of the machine's memory that bodies may take. A whole body is held twice while it is
// sent on.
size_t bodyLimit(size_t machineBytes);

} // namespace bamboogap

#endif
