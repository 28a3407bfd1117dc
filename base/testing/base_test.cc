#include <catch2/catch.hpp>

#include "base/compress.h"
#include "base/log.h"

namespace bamboogap {
namespace {

TEST_CASE("a text comes back from its compressed form")
{
    const std::string text(100000, 'a');
    const std::string packed = compress(text);
    CHECK(packed.size() < text.size() / 50);
    CHECK(*decompress(packed) == text);
    CHECK(decompress(compress(""))->empty());
    CHECK_FALSE(decompress(packed.substr(0, packed.size() / 2)));
    CHECK_FALSE(decompress("short"));
    CHECK_FALSE(decompress(packed, 10));
}

TEST_CASE("log lines that cannot be written are dropped and counted")
{
    detail::LogBuffer buffer;
    const std::string line(1000, 'x');
    size_t kept = 0;
    for (int second = 0; second < 100; ++second)
        kept += buffer.add(line, false, second);
    CHECK(buffer.waiting().size() == kept * line.size());
    for (int i = 0; i < 1000; ++i)
        buffer.add(line, true, 1000 + i);
    CHECK(buffer.waiting().size() <= detail::LogBuffer::kMaxBytes);
    CHECK(buffer.takeDropped() > 0);
    CHECK(buffer.takeDropped() == 0);
    buffer.consume(buffer.waiting().size());
    CHECK(buffer.add(line, false, 5000));
}

TEST_CASE("a flood of log lines is bounded by the second, urgent ones are not")
{
    detail::LogBuffer buffer;
    for (uint64_t i = 0; i < 2 * detail::LogBuffer::kMaxLinesPerSecond; ++i)
        buffer.add("x", false, 7);
    CHECK(buffer.waiting().size() == detail::LogBuffer::kMaxLinesPerSecond);
    CHECK(buffer.add("urgent", true, 7));
    CHECK(buffer.add("x", false, 8));
}

} // namespace
} // namespace bamboogap
