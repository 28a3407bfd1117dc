// Property tests of deltas on random edits.

#include <random>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "base/delta.h"

namespace bamboogap {
namespace {

std::string randomText(std::mt19937_64 &random, size_t length)
{
    std::string text;
    while (text.size() < length)
        text += static_cast<char>('a' + random() % 4);
    return text;
}

TEST_CASE("applying a delta restores the target after random erasures, insertions and copies")
{
    rc::prop("applyDelta restores the target of makeDelta", [](uint64_t seed) {
        std::mt19937_64 random(seed);
        const std::string base = randomText(random, random() % 3000);
        std::string target = base;
        for (size_t change = random() % 8; change > 0; --change) {
            const size_t from = target.empty() ? 0 : random() % target.size();
            const size_t length = random() % 200;
            switch (random() % 3) {
            case 0:
                target.erase(from, length);
                break;
            case 1:
                target.insert(from, randomText(random, length));
                break;
            default:
                target += target.substr(from, length);
            }
        }
        const auto applied = applyDelta(base, makeDelta(base, target));
        RC_ASSERT(applied.has_value());
        RC_ASSERT(*applied == target);
    });
}

TEST_CASE("corrupt deltas and deltas of another base are rejected")
{
    rc::prop("corruption is detected", [](uint64_t seed) {
        std::mt19937_64 random(seed);
        const std::string base = randomText(random, 2000);
        const std::string target = base.substr(0, 900) + "new" + base.substr(1000);
        std::string delta = makeDelta(base, target);
        RC_ASSERT(!applyDelta(base + "x", delta));
        RC_ASSERT(!applyDelta(base, delta.substr(0, random() % delta.size())));
        delta[random() % delta.size()] ^= static_cast<char>(1U << (random() % 8));
        const auto applied = applyDelta(base, delta);
        RC_ASSERT(!applied || *applied == target);
    });
    const std::string base(5000, 'a');
    CHECK_FALSE(applyDelta(base, makeDelta(base, base + base), 6000));
    CHECK(makeDelta(base, base).size() < 100);
}

} // namespace
} // namespace bamboogap
