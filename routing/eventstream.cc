// Events are separated by an empty line, with LF or CRLF line ends.

#include "routing/eventstream.h"

#include <algorithm>

namespace bamboogap {

namespace {

constexpr std::string_view kFinalEvent = "data: [DONE]";

constexpr std::string_view kIdField = "id:";

// The value of an event's id field; empty if it has none.
std::string_view eventId(std::string_view event)
{
    while (!event.empty()) {
        const size_t end = std::min(event.find('\n'), event.size());
        std::string_view line = event.substr(0, end);
        event.remove_prefix(std::min(end + 1, event.size()));
        if (line.substr(0, kIdField.size()) != kIdField)
            continue;
        line.remove_prefix(kIdField.size());
        if (!line.empty() && line.front() == ' ')
            line.remove_prefix(1);
        if (!line.empty() && line.back() == '\r')
            line.remove_suffix(1);
        return line;
    }
    return {};
}

} // namespace

std::string EventStream::feed(std::string_view data)
{
    constexpr size_t kMaxTerminatorBytes = 4; // of an event; may arrive in several pieces
    size_t from = partial_.size() - std::min(partial_.size(), kMaxTerminatorBytes - 1);
    partial_ += data;
    std::string whole;
    size_t begin = 0;
    while (true) {
        const size_t lineFeeds = partial_.find("\n\n", from);
        const size_t carriageReturns = partial_.find("\r\n\r\n", from);
        const bool crlf = carriageReturns < lineFeeds;
        const size_t end = crlf ? carriageReturns : lineFeeds;
        if (end == std::string::npos)
            break;
        const std::string_view event = std::string_view(partial_).substr(begin, end - begin);
        finished_ = finished_ || event.substr(0, kFinalEvent.size()) == kFinalEvent;
        if (const std::string_view id = eventId(event); !id.empty())
            lastId_ = id;
        ++events_;
        const size_t next = end + (crlf ? 4 : 2);
        whole += std::string_view(partial_).substr(begin, next - begin);
        begin = next;
        from = next;
    }
    partial_.erase(0, begin);
    return whole;
}

} // namespace bamboogap
