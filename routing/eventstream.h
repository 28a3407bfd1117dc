// Splits a stream of server-sent events into complete events.
//
// Only complete events are forwarded, so that a broken stream can be resumed after the last
// forwarded event without losing or repeating a token.

#ifndef BAMBOOGAP_ROUTING_EVENTSTREAM_H
#define BAMBOOGAP_ROUTING_EVENTSTREAM_H

#include <cstddef>
#include <string>
#include <string_view>

namespace bamboogap {

class EventStream
{
public:
    // Longer events are treated as an error; see overlong().
    static constexpr size_t kMaxEventBytes = 1 << 20;

    // Appends data and returns the events that it completes.
    std::string feed(std::string_view data);

    // Discards an incomplete event before a stream is resumed.
    void dropPartial() { partial_.clear(); }

    size_t events() const { return events_; }
    // The id of the last returned event that had one; empty if none had.
    const std::string &lastId() const { return lastId_; }
    // Whether an incomplete event is buffered.
    bool hasPartial() const { return !partial_.empty(); }
    // The final event, [DONE], was returned.
    bool finished() const { return finished_; }
    bool overlong() const { return partial_.size() > kMaxEventBytes; }

private:
    std::string partial_;
    std::string lastId_;
    size_t events_ = 0;
    bool finished_ = false;
};

} // namespace bamboogap

#endif
