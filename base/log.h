// Structured logging to standard output, one event per line.
//
//   logEvent(LogLevel::Info, "placement", {{"request", id}, {"endpoint", name}});
//
// Lines are formatted as key=value pairs or JSON. Logging never blocks: while the reader of
// the pipe is slow, lines are kept in a bounded buffer. Lines that do not fit are dropped,
// and a later log_lines_dropped line reports their number. Lines below Warning that exceed
// a rate limit are dropped and reported in the same way.

#ifndef BAMBOOGAP_BASE_LOG_H
#define BAMBOOGAP_BASE_LOG_H

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace bamboogap {

enum class LogLevel { Debug, Info, Warning, Error };
enum class LogFormat { KeyValue, Json };

struct LogField
{
    std::string_view key;
    std::string value;
};

// Sets the line format, the lowest level that is written and the name of this node.
void configureLog(LogFormat format, LogLevel minLevel, std::string node);

// Writes one line: time, level, node, event, then the fields in order. Lines at Warning and
// above are flushed at once; others once 8 KiB are pending.
void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields);

// Writes pending lines to standard output until it would block. The daemon calls this a few
// times per second; it also runs when the process exits.
void flushLog();

namespace detail {

// Buffer of lines not written yet, with a size limit and a rate limit.
class LogBuffer
{
public:
    static constexpr size_t kMaxBytes = 256 << 10; // a few seconds of lines at kMaxLinesPerSecond
    static constexpr uint64_t kMaxLinesPerSecond = 1000;

    // Appends a line; returns false if it was dropped. Urgent lines are exempt from the rate
    // limit, but not from the size limit.
    bool add(std::string_view line, bool urgent, int64_t nowSeconds);

    // Removes the first `bytes` bytes, which have been written.
    void consume(size_t bytes);

    // Bytes that are not written yet.
    std::string_view pending() const { return bytes_; }
    // Returns the number of lines dropped since the last call, and resets it.
    uint64_t takeDroppedCount();
    // The same number, without a reset.
    uint64_t dropped() const { return dropped_; }

private:
    std::string bytes_;
    int64_t second_ = 0; // the second that linesThisSecond_ counts
    uint64_t linesThisSecond_ = 0;
    uint64_t dropped_ = 0;
};

} // namespace detail

} // namespace bamboogap

#endif
