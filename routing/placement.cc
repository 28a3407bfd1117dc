// Placement by weighted rendezvous hashing.
//
// Among endpoints of equal capacity the score grows with the hash, so the logarithm is
// computed only for the few highest hashes of each capacity, and eligibility is checked only
// for endpoints that would be among them. The scan computes one hash per endpoint of the
// pool.

#include "routing/placement.h"

#include <algorithm>

#include "base/hash.h"

namespace bamboogap {

namespace {

struct Scored
{
    double score = 0;
    EndpointIndex index = 0;
};

struct Hashed
{
    uint64_t hash = 0;
    EndpointIndex index = 0;
};

// The endpoints of one capacity with the highest hashes, highest first.
struct BestOfCapacity
{
    uint32_t capacity = 0;
    std::vector<Hashed> best;

    bool accepts(uint64_t hash, size_t count) const
    {
        return best.size() < count || hash > best.back().hash;
    }

    void add(Hashed item, size_t count)
    {
        const auto position = std::find_if(best.begin(), best.end(), [&](const Hashed &other) {
            return item.hash > other.hash;
        });
        best.insert(position, item);
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

// The eligible endpoints in service with the highest scores, at most `count`, highest first.
std::vector<Scored> bestScored(const LoadTable &loadTable, const ChatPlacementRequest &request,
                               size_t count)
{
    std::vector<BestOfCapacity> classes;
    for (const std::string &pool : request.pools) {
        for (const PoolMember &member : loadTable.pool(pool)) {
            if (!member.inService)
                continue;
            const uint64_t hash = combineHashes(request.chat, member.key);
            BestOfCapacity &best = bestOf(classes, member.capacity);
            if (best.accepts(hash, count)
                && (!request.eligible || request.eligible(loadTable.at(member.index))))
                best.add({ hash, member.index }, count);
        }
    }
    std::vector<Scored> scored;
    for (const BestOfCapacity &best : classes) {
        for (const Hashed &item : best.best) {
            const uint64_t key = loadTable.at(item.index).key;
            scored.push_back({ rendezvousScore(request.chat, key, best.capacity), item.index });
        }
    }
    std::sort(scored.begin(), scored.end(),
              [](const Scored &left, const Scored &right) { return left.score > right.score; });
    if (scored.size() > count)
        scored.resize(count);
    return scored;
}

} // namespace

Candidates placeChat(const LoadTable &loadTable, const PlacementSettings &settings,
                     const ChatPlacementRequest &request)
{
    Candidates candidates;
    const double multiple = request.returning
            ? loadTable.multiple()
            : std::min(settings.newChatMultiple, loadTable.multiple());
    const std::vector<Scored> scored = bestScored(loadTable, request, settings.maxCandidates);
    for (const Scored &item : scored) {
        const EndpointLoad &endpoint = loadTable.at(item.index);
        candidates.order.push_back(
                { endpoint.id, endpoint.key, loadTable.freeSlots(endpoint, multiple) > 0 });
    }
    if (candidates.order.empty())
        return candidates;
    const EndpointKey primary = candidates.order.front().key;
    // A returning chat tries its primary endpoint first: that endpoint's owner knows the
    // exact load and the endpoints that ran the chat.
    const auto begin = candidates.order.begin() + (request.returning ? 1 : 0);
    std::stable_partition(begin, candidates.order.end(),
                          [](const Candidate &candidate) { return candidate.hasFreeSlot; });
    const auto primaryPosition = std::find_if(
            candidates.order.begin(), candidates.order.end(),
            [primary](const Candidate &candidate) { return candidate.key == primary; });
    candidates.primaryIndex = primaryPosition - candidates.order.begin();
    return candidates;
}

} // namespace bamboogap
