// An event ends with an empty line.

#include "routing/eventstream.h"

namespace bamboogap {

namespace {

constexpr std::string_view kFinalEvent = "data: [DONE]";

} // namespace

std::string EventStream::feed(std::string_view data)
{
    partial_ += data;
    std::string whole;
    size_t begin = 0;
    while (true) {
        const size_t lineFeeds = partial_.find("\n\n", begin);
        const size_t carriageReturns = partial_.find("\r\n\r\n", begin);
        const bool crlf = carriageReturns < lineFeeds;
        const size_t end = crlf ? carriageReturns : lineFeeds;
        if (end == std::string::npos)
            break;
        const std::string_view event = std::string_view(partial_).substr(begin, end - begin);
        finished_ = finished_ || event.substr(0, kFinalEvent.size()) == kFinalEvent;
        ++events_;
        const size_t next = end + (crlf ? 4 : 2);
        whole += std::string_view(partial_).substr(begin, next - begin);
        begin = next;
    }
    partial_.erase(0, begin);
    return whole;
}

} // namespace bamboogap
