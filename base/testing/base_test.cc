#include <cstdlib>
#include <sys/wait.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "base/compress.h"
#include "base/jsontext.h"
#include "base/log.h"
#include "base/pausewatch.h"

namespace bamboogap {
namespace {

TEST_CASE("decompress reverses compress and rejects truncated or oversized input")
{
    const std::string text(100000, 'a');
    const std::string compressed = compress(text);
    CHECK(compressed.size() < text.size() / 50);
    CHECK(*decompress(compressed) == text);
    CHECK(decompress(compress(""))->empty());
    CHECK_FALSE(decompress(compressed.substr(0, compressed.size() / 2)));
    CHECK_FALSE(decompress("short"));
    CHECK_FALSE(decompress(compressed, 10));
}

TEST_CASE("log lines that cannot be written are dropped and counted")
{
    detail::LogBuffer buffer;
    const std::string line(1000, 'x');
    size_t accepted = 0;
    for (int second = 0; second < 100; ++second)
        accepted += buffer.add(line, false, second);
    CHECK(buffer.pending().size() == accepted * line.size());
    for (int i = 0; i < 1000; ++i)
        buffer.add(line, true, 1000 + i);
    CHECK(buffer.pending().size() <= detail::LogBuffer::kMaxBytes);
    CHECK(buffer.takeDroppedCount() > 0);
    CHECK(buffer.takeDroppedCount() == 0);
    buffer.consume(buffer.pending().size());
    CHECK(buffer.add(line, false, 5000));
}

// Guards against a buffer that is destroyed before its lines are written at exit.
TEST_CASE("lines that are pending at exit are written whole")
{
    constexpr int kLines = 40; // fewer than are written at once
    int ends[2];
    REQUIRE(pipe(ends) == 0);
    const pid_t child = fork();
    REQUIRE(child >= 0);
    if (child == 0) {
        dup2(ends[1], STDOUT_FILENO);
        for (int i = 0; i < kLines; ++i)
            logEvent(LogLevel::Info, "pending", { { "line", std::to_string(i) } });
        std::exit(0);
    }
    close(ends[1]);
    std::string written;
    char block[4096];
    for (ssize_t size = 0; (size = read(ends[0], block, sizeof block)) > 0;)
        written.append(block, static_cast<size_t>(size));
    close(ends[0]);
    int status = 0;
    REQUIRE(waitpid(child, &status, 0) == child);
    CHECK(status == 0);
    CHECK(std::count(written.begin(), written.end(), '\n') >= kLines);
    const size_t first = written.find("event=pending line=0\n");
    REQUIRE(first != std::string::npos);
    const size_t begin = written.rfind('\n', first) + 1; // npos + 1 is 0
    CHECK(written.substr(begin, 2) == "20"); // the year
}

TEST_CASE("lines are rate-limited per second, except urgent ones")
{
    detail::LogBuffer buffer;
    for (uint64_t i = 0; i < 2 * detail::LogBuffer::kMaxLinesPerSecond; ++i)
        buffer.add("x", false, 7);
    CHECK(buffer.pending().size() == detail::LogBuffer::kMaxLinesPerSecond);
    CHECK(buffer.add("urgent", true, 7));
    CHECK(buffer.add("x", false, 8));
}

TEST_CASE("messages that are read after a pause may have waited through it")
{
    PauseWatch pauses;
    Instant now { std::chrono::seconds(1000) };
    CHECK_FALSE(pauses.isAfterPause(now)); // the process has just started
    for (int i = 0; i < 10; ++i) {
        pauses.tick(now);
        now += PauseWatch::kTick;
    }
    CHECK_FALSE(pauses.isAfterPause(now));
    now += std::chrono::seconds(2);
    CHECK(pauses.isAfterPause(now)); // read before the next tick
    pauses.tick(now);
    CHECK(pauses.isAfterPause(now + PauseWatch::kTick));
    for (Instant end = now + PauseWatch::kAftermath; now < end; now += PauseWatch::kTick)
        pauses.tick(now);
    CHECK_FALSE(pauses.isAfterPause(now));
}

// Serializing an id that was no UTF-8 used to end the process (review/8).
TEST_CASE("text that is not UTF-8 is replaced in JSON")
{
    const nlohmann::json value { { "id", "i-\xff\xfe" }, { "text", "d\xc3\xa9j\xc3\xa0" } };
    const nlohmann::json back = nlohmann::json::parse(jsonText(value));
    CHECK(back["text"] == value["text"]);
    CHECK(back["id"] == "i-\xef\xbf\xbd\xef\xbf\xbd");
    CHECK(isUtf8("i-7f3a91c2"));
    CHECK(isUtf8("d\xc3\xa9j\xc3\xa0"));
    CHECK_FALSE(isUtf8("i-\xff\xfe"));
    CHECK_FALSE(isUtf8("\xc3")); // incomplete
    CHECK_FALSE(isUtf8("\xed\xa0\x80")); // a surrogate
    CHECK_FALSE(isUtf8("\xc0\xaf")); // overlong
}

} // namespace
} // namespace bamboogap
