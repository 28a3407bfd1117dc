// What parsing a document from outside costs.

#include <array>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "base/jsontext.h"
#include "base/testing/heapmeter.h"

namespace bamboogap {
namespace {

constexpr size_t kLargest = 4 << 20; // the default of limits.max_body_bytes
// Of a machine of 256 MB that also holds the document, another one and the process itself.
constexpr size_t kMostMemory = 96 << 20;
constexpr size_t kMostOfSmall = 16 << 20;
constexpr JsonLimits kLargeJson { kLargest, 32, 1'000'000 };

std::string repeated(std::string_view unit, size_t bytes)
{
    std::string text;
    while (text.size() + unit.size() <= bytes)
        text += unit;
    return text;
}

TEST_CASE("a document within its limits is parsed", "[json]")
{
    const auto value = parseJson(R"({"a":[1,"[[[[,\",,{",{"b":null}]})", { 64, 3, 9 });
    REQUIRE(value);
    CHECK((*value)["a"][1] == "[[[[,\",,{");
    CHECK(parseJson("7", kSmallJson)->get<int>() == 7);
}

TEST_CASE("the limit that a document exceeds is named", "[json]")
{
    const std::string text = R"({"a":[1,{"b":[]}]})";
    const auto problem
            = [&](const JsonLimits &limits) { return parseJson(text, limits).error().message; };
    CHECK(problem({ text.size() - 1, 9, 99 }) == "is longer than 17 bytes");
    CHECK(problem({ text.size(), 3, 99 }) == "is nested deeper than 3 levels");
    CHECK(problem({ text.size(), 4, 5 }) == "has more than 5 values");
    CHECK(parseJson("{\"a\":", kSmallJson).error().message == "is not valid JSON");
    CHECK(parseJson("", kSmallJson).error().kind == ErrorKind::InvalidRequest);
}

// Guards against review/14: a heartbeat of 4 MiB of "[" took a replica from 11 to over 256 MB.
TEST_CASE("the memory to parse a document is bounded, whatever its bytes are", "[json]")
{
    constexpr std::array<std::string_view, 12> kUnits { "[",    "{\"a\":", "[],",  "{},",
                                                        "0,",   "\"\",",   "1e1,", "[[],",
                                                        "[0],", "null,",   ":",    "\"\\\"," };
    for (const std::string_view unit : kUnits) {
        for (const char *begin : { "", "[" }) {
            CAPTURE(unit, begin);
            const std::string text = begin + repeated(unit, kLargest - 1);
            CHECK(peakHeapBytes([&] { CHECK_FALSE(parseJson(text, kSmallJson)); }) < 4096);
            CHECK(peakHeapBytes([&] { (void)parseJson(text, kLargeJson); }) < kMostMemory);
            const std::string longest = begin + repeated(unit, kSmallJson.bytes - 1);
            CHECK(peakHeapBytes([&] { (void)parseJson(longest, kSmallJson); }) < kMostOfSmall);
            const std::string most = begin + repeated(unit, kLargeJson.values) + "0]";
            CHECK(peakHeapBytes([&] { (void)parseJson(most, kLargeJson); }) < kMostMemory);
        }
    }
    std::string keys = "{";
    for (size_t i = 0; i < 480'000; ++i) {
        keys += '"' + std::to_string(i % 1000) + std::to_string(i) + "\":0,";
        if (keys.size() > kLargest - 10)
            break;
    }
    keys += "\"z\":0}";
    CHECK(peakHeapBytes([&] { (void)parseJson(keys, kLargeJson); }) < kMostMemory);
}

// Serializing a value calls itself for each level: 100,000 of them ended the process.
TEST_CASE("a document that is nested too deep is refused", "[json]")
{
    const std::string deep = std::string(100'000, '[') + std::string(100'000, ']');
    CHECK_FALSE(parseJson(deep, kLargeJson));
}

} // namespace
} // namespace bamboogap
