// Placement by weighted rendezvous hashing.
//
// Within one capacity the score grows with the hash alone, so the logarithm is
// needed only for the best few of each capacity, and whether an endpoint is
// eligible only for those that would be among them. The scan is one hash for
// each endpoint of the pool.

#include "routing/placement.h"

#include <algorithm>

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

// The few endpoints of one capacity with the highest hashes, best first.
struct BestOfCapacity
{
    uint32_t capacity = 0;
    std::vector<Hashed> best;

    bool wants(uint64_t hash, size_t count) const
    {
        return best.size() < count || hash > best.back().hash;
    }

    void add(Hashed item, size_t count)
    {
        const auto place = std::find_if(best.begin(), best.end(), [&](const Hashed &other) {
            return item.hash > other.hash;
        });
        best.insert(place, item);
        if (best.size() > count)
            best.pop_back();
    }
};

BestOfCapacity &bestOf(std::vector<BestOfCapacity> &classes, uint32_t capacity)
{
    for (BestOfCapacity &known : classes) {
        if (known.capacity == capacity)
            return known;
    }
    classes.push_back({ capacity, {} });
    return classes.back();
}

// Eligible endpoints in service by falling score, `count` at most.
std::vector<Scored> bestScored(const LoadBoard &board, const PlacementAsk &ask, size_t count)
{
    std::vector<BestOfCapacity> classes;
    for (const std::string &pool : ask.pools) {
        for (const PoolMember &member : board.pool(pool)) {
            if (!member.inService)
                continue;
            const uint64_t hash = combineHashes(ask.chat, member.key);
            BestOfCapacity &best = bestOf(classes, member.capacity);
            if (best.wants(hash, count) && (!ask.eligible || ask.eligible(board.at(member.index))))
                best.add({ hash, member.index }, count);
        }
    }
    std::vector<Scored> scored;
    for (const BestOfCapacity &best : classes) {
        for (const Hashed &item : best.best) {
            const uint64_t key = board.at(item.index).key;
            scored.push_back({ rendezvousScore(ask.chat, key, best.capacity), item.index });
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
