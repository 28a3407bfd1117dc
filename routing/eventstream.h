// Splits a stream of server-sent events into whole events.
//
// Only whole events are handed on, so that a stream which breaks off can be
// resumed by the number of events that were handed on, without losing or
// doubling a token.

#ifndef BAMBOOGAP_ROUTING_EVENTSTREAM_H
#define BAMBOOGAP_ROUTING_EVENTSTREAM_H

#include <cstddef>
#include <string>
#include <string_view>

namespace bamboogap {

class EventStream
{
public:
    // An event longer than this is no event.
    static constexpr size_t kMaxEventBytes = 1 << 20;

    // Takes in data and returns the whole events that it completes.
    std::string feed(std::string_view data);

    // Forgets the part of an event that has come in, for a resumed stream.
    void dropPartial() { partial_.clear(); }

    size_t events() const { return events_; }
    // The id of the last event that was handed on; empty if it had none.
    const std::string &lastId() const { return lastId_; }
    // Whether part of an event has come in.
    bool hasPartial() const { return !partial_.empty(); }
    // The final event, [DONE], was handed on.
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
