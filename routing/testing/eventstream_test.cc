// EventStream against a plain reader of the format, and the work that it does for its bytes.

#include <array>
#include <ctime>
#include <random>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "base/clock.h"
#include "routing/eventstream.h"

namespace bamboogap {
namespace {

// What a reader of the format knows after a text.
struct Reading
{
    std::string complete; // up to the last empty line, if there was an event
    std::string lastId;
    size_t events = 0;
    bool finished = false;
    bool partial = false;
};

// Reads byte by byte and line by line.
Reading readPlainly(std::string_view text)
{
    Reading reading;
    std::string line;
    std::string id;
    bool hasData = false;
    bool isFinal = false;
    size_t complete = 0;
    for (size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '\n' && text[i] != '\r') {
            line += text[i];
            continue;
        }
        if (text[i] == '\r' && i + 1 < text.size() && text[i + 1] == '\n')
            ++i;
        if (line.empty()) {
            complete = i + 1;
            reading.events += hasData ? 1 : 0;
            reading.finished = reading.finished || isFinal;
            if (!id.empty())
                reading.lastId = id;
            id.clear();
            hasData = false;
            isFinal = false;
            continue;
        }
        const size_t colon = std::min(line.find(':'), line.size());
        const std::string field = line.substr(0, colon);
        std::string value = line.substr(std::min(colon + 1, line.size()));
        if (!value.empty() && value.front() == ' ')
            value.erase(0, 1);
        hasData = hasData || field == "data";
        isFinal = isFinal || (field == "data" && value == "[DONE]");
        if (field == "id" && !value.empty())
            id = value;
        line.clear();
    }
    if (reading.events > 0)
        reading.complete = text.substr(0, complete);
    reading.partial = complete < text.size();
    return reading;
}

constexpr std::array<std::string_view, 14> kUnits { "\n",          "\r",          "\r\n", "\n\n",
                                                    "\r\n\r\n",    "data: token", "data", "id: 7",
                                                    "id:42",       "id",          ":",    ": ping",
                                                    "event: note", "data: [DONE]" };

TEST_CASE("an event stream is read as by a plain reader, wherever it is cut", "[stream]")
{
    rc::prop("stream", [](uint64_t seed) {
        std::mt19937_64 random(seed);
        std::string text;
        for (size_t units = random() % 40; units > 0; --units)
            text += kUnits[random() % kUnits.size()];
        const size_t longest = 1 + random() % 9;
        EventStream stream;
        std::string returned;
        for (size_t position = 0; position < text.size();) {
            const size_t length = std::min(1 + random() % longest, text.size() - position);
            returned += stream.feed(std::string_view(text).substr(position, length));
            position += length;
            const Reading expected = readPlainly(std::string_view(text).substr(0, position));
            RC_ASSERT(returned == expected.complete);
            RC_ASSERT(stream.events() == expected.events);
            RC_ASSERT(stream.finished() == expected.finished);
            RC_ASSERT(stream.hasPartial() == expected.partial);
            RC_ASSERT(stream.lastId() == expected.lastId);
        }
    });
}

TEST_CASE("lines without data are no event and are not passed on before the first one", "[stream]")
{
    EventStream stream;
    CHECK(stream.feed("\r\n\n: ping\n\nid: 3\n\n").empty());
    CHECK(stream.events() == 0);
    CHECK_FALSE(stream.hasPartial());
    CHECK(stream.feed("data: a\n\n") == "\r\n\n: ping\n\nid: 3\n\ndata: a\n\n");
    CHECK(stream.events() == 1);
    CHECK(stream.feed(": ping\n\n") == ": ping\n\n");
    CHECK(stream.events() == 1);
}

TEST_CASE("what came before the first event of a broken attempt is discarded", "[stream]")
{
    EventStream stream;
    CHECK(stream.feed("id: 9\n\n: ping\n\ndata: a").empty());
    stream.dropPartial();
    CHECK(stream.lastId().empty());
    CHECK(stream.feed("\xef\xbb\xbf"
                      "data: b\n\n")
          == "\xef\xbb\xbf"
             "data: b\n\n");
    CHECK(stream.events() == 1);
}

TEST_CASE("a stream that brings bytes but no event is overlong", "[stream]")
{
    for (const std::string_view unit : { "\r\n", "\n", "\r", ": ping\n\n", "x", "data: x\n" }) {
        EventStream stream;
        stream.feed("data: first\n\n");
        size_t bytes = 0;
        while (!stream.overlong() && bytes < 2 * EventStream::kMaxEventBytes) {
            stream.feed(unit);
            bytes += unit.size();
        }
        CHECK(bytes > EventStream::kMaxEventBytes);
        CHECK(bytes <= EventStream::kMaxEventBytes + unit.size());
        stream.dropPartial();
        CHECK_FALSE(stream.overlong());
    }
}

Duration processorTime()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

// Processor time to read one piece of `bytes` bytes: the best of several.
Duration timeToRead(std::string_view unit, size_t bytes)
{
    std::string text;
    while (text.size() < bytes)
        text += unit;
    Duration best = Duration::max();
    for (int repetition = 0; repetition < 5; ++repetition) {
        EventStream stream;
        const Duration began = processorTime();
        stream.feed("data: first\n\n");
        stream.feed(text);
        best = std::min(best, processorTime() - began);
    }
    return best;
}

// Guards against review/12: a chunk of line ends cost its length squared, and stopped the router.
TEST_CASE("the work for a piece of an event stream grows with its length only", "[stream]")
{
    constexpr size_t kBytes = 4 << 10;
    constexpr size_t kGrowth = 16;
    constexpr size_t kTolerance = 4;
    for (const std::string_view unit : { "\r\n", "\n", "\r", "\n\r\n", "data: 1\r\n\r\n",
                                         "data: 1\n\n", "id: 1\n", ":\r\n", "x" }) {
        CAPTURE(unit);
        CHECK(timeToRead(unit, kGrowth * kBytes)
              <= kTolerance * kGrowth * timeToRead(unit, kBytes));
    }
}

} // namespace
} // namespace bamboogap
