// Transfers route documents from a replica to routers and between routers, in any order and with
// gaps.

#include <random>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "base/compress.h"
#include "control/documentpiece.h"

namespace bamboogap {
namespace {

std::string documentOf(uint64_t version)
{
    std::mt19937_64 random(1);
    std::string text = "version " + std::to_string(version) + "\n";
    for (int route = 0; route < 1600; ++route)
        text += "route " + std::to_string(random()) + "\n";
    return text + "last of " + std::to_string(version);
}

TEST_CASE("a small change is sent as a small delta")
{
    DocumentHistory history;
    CHECK(history.newestUpdateFor(0).version == 0);
    history.add(7, compress(documentOf(7)));
    history.add(9, compress(documentOf(9)));
    const DocumentUpdate &update = history.newestUpdateFor(7);
    CHECK(update.version == 9);
    CHECK(update.base == 7);
    CHECK(update.bytes.size() < 200);
    CHECK(history.newestUpdateFor(8).base == 0);
    CHECK(history.newestUpdateFor(0).bytes == compress(documentOf(9)));
    history.add(3, compress(documentOf(3))); // an older version is ignored
    CHECK(history.version() == 9);
}

TEST_CASE("routers reconstruct the installed document from any sequence of updates")
{
    rc::prop("texts are equal", [](uint64_t seed) {
        std::mt19937_64 random(seed);
        DocumentHistory history;
        std::vector<InstalledDocument> routers(4);
        uint64_t version = 0;
        for (int step = 0; step < 60; ++step) {
            if (step == 0 || random() % 4 == 0) {
                version += 1 + random() % 3;
                history.add(version, compress(documentOf(version)));
            }
            InstalledDocument &router = routers[random() % routers.size()];
            InstalledDocument &other = routers[random() % routers.size()];
            const uint64_t knownVersion = random() % 3 == 0 ? 0 : router.version();
            DocumentUpdate update = random() % 2 == 0 ? history.newestUpdateFor(knownVersion)
                                                      : other.updateFor(knownVersion);
            if (update.version <= router.version())
                continue;
            auto text = router.decode(update);
            if (!text) {
                // Only a delta to another version than the installed one may be rejected.
                RC_ASSERT(update.base != 0 && update.base != router.version());
                continue;
            }
            RC_ASSERT(*text == documentOf(update.version));
            router.assign(std::move(update), std::move(*text));
            RC_ASSERT(router.text() == documentOf(router.version()));
        }
    });
}

} // namespace
} // namespace bamboogap
