// Structured log lines on standard output, one event a line.
//
//   logEvent(LogLevel::Info, "placement", {{"request", id}, {"endpoint", name}});
//
// The form is key=value or JSON by setting. Writing never blocks: lines wait in a
// bounded buffer while the reader of the pipe is slow, and lines that do not fit
// are dropped, counted and reported by a later line. Above a number of lines a
// second, lines below Warning are dropped in the same way.

#ifndef BAMBOOGAP_BASE_LOG_H
#define BAMBOOGAP_BASE_LOG_H

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace bamboogap {

enum class LogLevel { Debug, Info, Warning, Error };
enum class LogForm { KeyValue, Json };

struct LogField
{
    std::string_view key;
    std::string value;
};

// Sets the form, the least level that is written and the name of this node.
void configureLog(LogForm form, LogLevel least, std::string node);

// Writes one line: time, level, node, event, then the fields in order. Lines at
// Warning and above are flushed at once, others when enough of them wait.
void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields);

// Hands waiting lines to standard output as far as it takes them. The daemon
// calls it a few times a second; it also runs when the process exits.
void flushLog();

namespace detail {

// Lines that wait to be written, with the limits on them.
class LogBuffer
{
public:
    static constexpr size_t kMaxBytes = 256 << 10; // a few seconds of lines at the highest rate
    static constexpr uint64_t kMaxLinesPerSecond = 1000;

    // False if the line was dropped. urgent lines are exempt from the rate limit.
    bool add(std::string_view line, bool urgent, int64_t nowSeconds);

    // Removes what was written.
    void consume(size_t bytes);

    std::string_view waiting() const { return bytes_; }
    // Lines dropped since the last call.
    uint64_t takeDropped();
    uint64_t dropped() const { return dropped_; }

private:
    std::string bytes_;
    int64_t second_ = 0;
    uint64_t linesThisSecond_ = 0;
    uint64_t dropped_ = 0;
};

} // namespace detail

} // namespace bamboogap

#endif
