// Placement by weighted rendezvous hashing.
//
// Within one capacity the score grows with the hash alone, so the logarithm is
// needed only for the best few of each capacity. The scan is one hash for each
// endpoint of the pool: 770 endpoints cost about a microsecond.

#include "routing/placement.h"

#include <algorithm>
#include <map>

#include "base/hash.h"

namespace bamboogap {

namespace {

struct Scored
{
    double score = 0;
    BoardIndex index = 0;
};

struct Hashed
{
    uint64_t hash = 0;
    BoardIndex index = 0;
};

// The `count` endpoints with the highest hash, best first.
void keepBest(std::vector<Hashed> &hashed, size_t count)
{
    const auto better
            = [](const Hashed &left, const Hashed &right) { return left.hash > right.hash; };
    count = std::min(count, hashed.size());
    std::partial_sort(hashed.begin(), hashed.begin() + count, hashed.end(), better);
    hashed.resize(count);
}

// Eligible endpoints in service by falling score, `count` at most.
std::vector<Scored> bestScored(const LoadBoard &board, const PlacementAsk &ask, size_t count)
{
    std::map<uint32_t, std::vector<Hashed>> byCapacity;
    for (const std::string &pool : ask.pools) {
        for (const BoardIndex index : board.pool(pool)) {
            const BoardEndpoint &endpoint = board.at(index);
            if (endpoint.inService)
                byCapacity[endpoint.capacity].push_back(
                        { combineHashes(ask.chat, endpoint.key), index });
        }
    }
    std::vector<Scored> scored;
    for (auto &[capacity, hashed] : byCapacity) {
        std::erase_if(hashed, [&](const Hashed &item) {
            return ask.eligible && !ask.eligible(board.at(item.index));
        });
        keepBest(hashed, count);
        for (const Hashed &item : hashed) {
            const double score = rendezvousScore(ask.chat, board.at(item.index).key, capacity);
            scored.push_back({ score, item.index });
        }
    }
    std::sort(scored.begin(), scored.end(),
              [](const Scored &left, const Scored &right) { return left.score > right.score; });
    if (scored.size() > count)
        scored.resize(count);
    return scored;
}

} // namespace

Candidates placeChat(const LoadBoard &board, const PlacementSettings &settings,
                     const PlacementAsk &ask)
{
    Candidates candidates;
    const double multiple = ask.returning ? board.multiple()
                                          : std::min(settings.newChatMultiple, board.multiple());
    const std::vector<Scored> scored = bestScored(board, ask, settings.maxCandidates);
    for (const Scored &item : scored) {
        const BoardEndpoint &endpoint = board.at(item.index);
        candidates.order.push_back(
                { endpoint.id, endpoint.key, board.room(endpoint, multiple) > 0 });
    }
    if (candidates.order.empty())
        return candidates;
    const EndpointKey home = candidates.order.front().key;
    // A returning chat asks its first choice before all others, whose owner
    // knows exactly and remembers where the chat went.
    const auto begin = candidates.order.begin() + (ask.returning ? 1 : 0);
    std::stable_partition(begin, candidates.order.end(),
                          [](const Candidate &candidate) { return candidate.hasRoom; });
    const auto homePlace
            = std::find_if(candidates.order.begin(), candidates.order.end(),
                           [home](const Candidate &candidate) { return candidate.key == home; });
    candidates.homeIndex = homePlace - candidates.order.begin();
    return candidates;
}

} // namespace bamboogap
