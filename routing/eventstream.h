// Splits a stream of server-sent events into complete events.
//
// Only complete events are forwarded, so that a broken stream can be resumed after the last
// forwarded event without losing or repeating a token.
//
// The format is that of the HTML standard: a line ends in LF, CR LF or CR, and an empty line ends
// a block of lines. A block is an event if one of its lines has the field "data"; comments, empty
// lines and other fields alone tell a reader nothing. Each byte is looked at once, however the
// stream is cut and whatever it holds.

#ifndef BAMBOOGAP_ROUTING_EVENTSTREAM_H
#define BAMBOOGAP_ROUTING_EVENTSTREAM_H

#include <cstddef>
#include <string>
#include <string_view>

namespace bamboogap {

class EventStream
{
public:
    // More bytes without a complete event are treated as an error; see overlong().
    static constexpr size_t kMaxEventBytes = 1 << 20;

    // Takes the next bytes and returns the blocks that they complete, byte for byte. Blocks before
    // the first event are returned together with it.
    std::string feed(std::string_view data);

    // Discards what was not returned before a stream is resumed.
    void dropPartial();

    // Number of events returned.
    size_t events() const { return events_; }
    // The id of the last returned block that had one; empty if none had.
    const std::string &lastId() const { return lastId_; }
    // Whether an incomplete block is buffered.
    bool hasPartial() const { return pending_.size() > blockEnd_; }
    // The final event, [DONE], was returned.
    bool finished() const { return finished_; }
    // More than kMaxEventBytes came since the last event.
    bool overlong() const { return bytesWithoutEvent_ > kMaxEventBytes; }

private:
    void takeLine(std::string_view line);
    void endBlock();

    std::string pending_; // not returned yet
    size_t scanned_ = 0; // bytes of pending_ that were looked at
    size_t lineBegin_ = 0; // in pending_
    size_t blockEnd_ = 0; // of the last complete block in pending_
    bool afterReturn_ = false; // the last line ended in CR; an LF that follows belongs to it
    bool isFirstLine_ = true;

    // The block under way.
    bool hasData_ = false;
    bool isFinal_ = false;
    std::string id_;

    std::string lastId_;
    size_t events_ = 0;
    size_t bytesWithoutEvent_ = 0;
    bool finished_ = false;
};

} // namespace bamboogap

#endif
