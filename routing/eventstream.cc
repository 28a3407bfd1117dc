#include "routing/eventstream.h"

#include <algorithm>
#include <utility>

namespace bamboogap {

namespace {

constexpr std::string_view kByteOrderMark = "\xef\xbb\xbf";
constexpr std::string_view kDataField = "data";
constexpr std::string_view kIdField = "id";
constexpr std::string_view kFinalData = "[DONE]";

// Whether a line holds the field; its value then begins after the colon and one space.
bool hasField(std::string_view line, std::string_view field)
{
    return line.starts_with(field) && (line.size() == field.size() || line[field.size()] == ':');
}

std::string_view valueOf(std::string_view line, std::string_view field)
{
    if (line.size() == field.size())
        return {};
    line.remove_prefix(field.size() + 1);
    if (line.starts_with(' '))
        line.remove_prefix(1);
    return line;
}

} // namespace

std::string EventStream::feed(std::string_view data)
{
    pending_ += data;
    bytesWithoutEvent_ += data.size();
    while (scanned_ < pending_.size()) {
        if (std::exchange(afterReturn_, false) && pending_[scanned_] == '\n') {
            // A block that ended with the CR ends with its LF.
            if (blockEnd_ == scanned_)
                ++blockEnd_;
            lineBegin_ = ++scanned_;
            continue;
        }
        const auto lineEnd = std::find_if(pending_.begin() + ptrdiff_t(scanned_), pending_.end(),
                                          [](char byte) { return byte == '\n' || byte == '\r'; });
        const size_t end = lineEnd - pending_.begin();
        if (end == pending_.size()) {
            scanned_ = end;
            break;
        }
        const std::string_view line
                = std::string_view(pending_).substr(lineBegin_, end - lineBegin_);
        afterReturn_ = pending_[end] == '\r';
        scanned_ = end + 1;
        lineBegin_ = scanned_;
        if (line.empty())
            endBlock();
        else
            takeLine(line);
    }
    if (events_ == 0)
        return {};
    std::string complete = pending_.substr(0, blockEnd_);
    pending_.erase(0, blockEnd_);
    scanned_ -= blockEnd_;
    lineBegin_ -= blockEnd_;
    blockEnd_ = 0;
    return complete;
}

void EventStream::takeLine(std::string_view line)
{
    if (std::exchange(isFirstLine_, false) && line.starts_with(kByteOrderMark))
        line.remove_prefix(kByteOrderMark.size());
    if (hasField(line, kDataField)) {
        hasData_ = true;
        isFinal_ = isFinal_ || valueOf(line, kDataField) == kFinalData;
    } else if (hasField(line, kIdField)) {
        // An empty id would have a stream resumed from its begin.
        if (const std::string_view id = valueOf(line, kIdField); !id.empty())
            id_ = id;
    }
}

void EventStream::endBlock()
{
    isFirstLine_ = false;
    blockEnd_ = scanned_;
    if (!id_.empty())
        lastId_ = std::exchange(id_, {});
    if (std::exchange(hasData_, false)) {
        ++events_;
        bytesWithoutEvent_ = pending_.size() - scanned_;
    }
    finished_ = std::exchange(isFinal_, false) || finished_;
}

void EventStream::dropPartial()
{
    if (events_ == 0)
        lastId_.clear();
    pending_.clear();
    scanned_ = 0;
    lineBegin_ = 0;
    blockEnd_ = 0;
    afterReturn_ = false;
    isFirstLine_ = true;
    hasData_ = false;
    isFinal_ = false;
    id_.clear();
    bytesWithoutEvent_ = 0;
}

} // namespace bamboogap
