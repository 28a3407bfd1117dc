// Distribution of large documents to routers: a replica decides from which node a router that asks
// it fetches the document.
//
// The links of the replicas also carry the heartbeats of the replicated log, so documents may use
// only a share of a replica's link. Routers that already have the document serve it to others.
// Their number doubles with each round of transfers, so the total time grows with the logarithm of
// the number of routers.

#ifndef BAMBOOGAP_FLEET_DOCUMENTDISTRIBUTOR_H
#define BAMBOOGAP_FLEET_DOCUMENTDISTRIBUTOR_H

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "base/clock.h"

namespace bamboogap {

struct DistributionSettings
{
    double linkBytesPerSecond = 12.5e6; // bandwidth of the replica's own link
};

// Tracks the transfers of the newest document version of one replica.
class DocumentDistributor
{
public:
    // Documents up to this size are always sent by the replica itself.
    static constexpr size_t kMaxDirectBytes = 2000;
    // Average share of the replica's link that documents may use, and the burst that is allowed on
    // top, as transmission time at full link rate.
    static constexpr double kLinkShare = 0.25;
    static constexpr Duration kBurst = std::chrono::milliseconds(50);
    // Share of a router's link that documents may use. Routers carry no log heartbeats, so it can
    // be larger than for a replica. Their links are assumed to be as fast as the replica's.
    static constexpr double kPeerLinkShare = 0.5;
    // Time after a transfer until the receiver can serve the document to others.
    static constexpr Duration kApplyTime = std::chrono::milliseconds(100);
    // Time for which a peer that could not be reached is not selected again.
    static constexpr Duration kFailedPeerBackoff = std::chrono::seconds(1);
    // Bounds of Answer::wait.
    static constexpr Duration kMinWait = std::chrono::milliseconds(30);
    static constexpr Duration kMaxWait = std::chrono::milliseconds(200);

    explicit DocumentDistributor(DistributionSettings settings = {})
        : settings_(settings)
    {
    }

    struct Requester
    {
        std::string address; // at which other routers can reach it; may be empty
        std::string dataCentre;
        // Peer that the requester was referred to and that did not deliver the document; empty if
        // there is none.
        std::string failedPeer;
    };
    enum class Decision { Send, AskPeer, Wait };
    struct Answer
    {
        Decision decision = Decision::Send;
        std::string peer; // for AskPeer: address of the router that has the document
        Duration wait {}; // for Wait: time until the router should ask again
    };

    // Decides how a router obtains a document of `bytes` bytes in the given version.
    Answer decide(const Requester &requester, uint64_t version, size_t bytes, Instant now);
    // A router reports that it has applied this version, so it can serve the document to others.
    void addPeer(std::string_view address, std::string_view dataCentre, uint64_t version,
                 Instant now);
    // Removes a router that has shut down.
    void removePeer(std::string_view address);

private:
    struct Peer
    {
        std::string dataCentre;
        Instant availableAt {}; // when it can serve its next transfer
    };

    void startVersion(uint64_t version);
    Duration transferTime(size_t bytes, double share) const;
    void setPeer(const Requester &requester, Instant availableAt);

    DistributionSettings settings_;
    uint64_t version_ = 0;
    // Routers that have or are receiving version_, by address.
    std::map<std::string, Peer, std::less<>> peers_;
    // When kLinkShare of the replica's link will have carried all documents sent so far. In the
    // past if there is no backlog.
    Instant linkFreeAt_ {};
};

} // namespace bamboogap

#endif
