#include "base/log.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <poll.h>
#include <unistd.h>

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace bamboogap {
namespace detail {

struct LogConfiguration
{
    LogFormat format = LogFormat::KeyValue;
    LogLevel minLevel = LogLevel::Info;
    std::string node = "-";
};

static LogConfiguration &logConfiguration()
{
    static LogConfiguration configuration;
    return configuration;
}

// A pipe that polls as writable accepts PIPE_BUF (4096) bytes without blocking.
static constexpr size_t kWriteBytes = 4096;
// Pending lines are written once they take up this many bytes.
static constexpr size_t kFlushBytes = 8192;

static LogBuffer &logBuffer()
{
    static LogBuffer buffer;
    return buffer;
}

static void emit(std::string line, LogLevel level)
{
    // At exit, what was registered after the buffer was constructed runs before its destructor.
    LogBuffer &buffer = logBuffer();
    static const bool flushedAtExit = std::atexit(flushLog) == 0;
    line += '\n';
    const int64_t nowSeconds = std::chrono::duration_cast<std::chrono::seconds>(
                                       std::chrono::steady_clock::now().time_since_epoch())
                                       .count();
    const bool urgent = level >= LogLevel::Warning;
    buffer.add(line, urgent, nowSeconds);
    if (urgent || buffer.pending().size() >= kFlushBytes || !flushedAtExit)
        flushLog();
}

bool LogBuffer::add(std::string_view line, bool urgent, int64_t nowSeconds)
{
    if (nowSeconds != second_) {
        second_ = nowSeconds;
        linesThisSecond_ = 0;
    }
    const bool tooMany = !urgent && linesThisSecond_ >= kMaxLinesPerSecond;
    if (tooMany || bytes_.size() + line.size() > kMaxBytes) {
        ++dropped_;
        return false;
    }
    ++linesThisSecond_;
    bytes_ += line;
    return true;
}

void LogBuffer::consume(size_t bytes)
{
    bytes_.erase(0, bytes);
}

uint64_t LogBuffer::takeDroppedCount()
{
    return std::exchange(dropped_, 0);
}

static std::string_view levelName(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return "debug";
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        return "error";
    }
    return "error";
}

static std::string timestamp()
{
    const auto now = std::chrono::system_clock::now();
    const auto millis
            = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count()
            % 1000;
    return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z",
                       fmt::gmtime(std::chrono::system_clock::to_time_t(now)), millis);
}

static bool needsQuotes(std::string_view value)
{
    return value.empty() || value.find_first_of(" =\"\n\t\\") != std::string_view::npos;
}

static std::string quoted(const std::string &value)
{
    if (!needsQuotes(value))
        return value;
    return nlohmann::json(value).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace detail

void configureLog(LogFormat format, LogLevel minLevel, std::string node)
{
    detail::logConfiguration() = { format, minLevel, std::move(node) };
}

void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    const detail::LogConfiguration &configuration = detail::logConfiguration();
    if (level < configuration.minLevel)
        return;
    if (configuration.format == LogFormat::Json) {
        nlohmann::ordered_json line { { "time", detail::timestamp() },
                                      { "level", detail::levelName(level) },
                                      { "node", configuration.node },
                                      { "event", event } };
        for (const LogField &field : fields)
            line[std::string(field.key)] = field.value;
        detail::emit(line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace), level);
        return;
    }
    std::string line = fmt::format("{} level={} node={} event={}", detail::timestamp(),
                                   detail::levelName(level), configuration.node, event);
    for (const LogField &field : fields)
        line += fmt::format(" {}={}", field.key, detail::quoted(field.value));
    detail::emit(std::move(line), level);
}

void flushLog()
{
    detail::LogBuffer &buffer = detail::logBuffer();
    while (!buffer.pending().empty()) {
        pollfd out { STDOUT_FILENO, POLLOUT, 0 };
        if (::poll(&out, 1, 0) != 1 || !(out.revents & POLLOUT))
            return;
        const size_t size = std::min(buffer.pending().size(), detail::kWriteBytes);
        const ssize_t written = ::write(STDOUT_FILENO, buffer.pending().data(), size);
        if (written <= 0)
            return; // retried by the next flush
        buffer.consume(written);
    }
    if (const uint64_t dropped = buffer.takeDroppedCount(); dropped > 0)
        logEvent(LogLevel::Warning, "log_lines_dropped", { { "lines", fmt::to_string(dropped) } });
}

} // namespace bamboogap
