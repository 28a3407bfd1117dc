#include "fleet/documentdistributor.h"

#include <algorithm>

namespace bamboogap {

DocumentDistributor::Answer DocumentDistributor::decide(const Requester &requester,
                                                        uint64_t version, size_t bytes, Instant now)
{
    startVersion(version);
    if (bytes <= kMaxDirectBytes)
        return { Decision::Send, {}, {} };
    if (const auto failed = peers_.find(requester.failedPeer); failed != peers_.end())
        failed->second.availableAt = std::max(failed->second.availableAt, now + kFailedPeerBackoff);

    // The replica sends the document itself while the backlog of its link is within the burst. The
    // backlog is the transmission time, at kLinkShare of the link, of the documents sent so far
    // that exceeds the time that has passed.
    const Duration burst = std::chrono::duration_cast<Duration>(kBurst / kLinkShare);
    if (linkFreeAt_ <= now + burst) {
        linkFreeAt_ = std::max(linkFreeAt_, now) + transferTime(bytes, kLinkShare);
        setPeer(requester, now + transferTime(bytes, kLinkShare) + kApplyTime);
        return { Decision::Send, {}, {} };
    }
    auto best = peers_.end();
    Instant earliest = linkFreeAt_ - burst;
    for (auto item = peers_.begin(); item != peers_.end(); ++item) {
        if (item->first == requester.address)
            continue;
        earliest = std::min(earliest, item->second.availableAt);
        if (item->second.availableAt > now)
            continue;
        const bool near = item->second.dataCentre == requester.dataCentre;
        if (best == peers_.end() || (near && best->second.dataCentre != requester.dataCentre))
            best = item;
    }
    if (best == peers_.end())
        return { Decision::Wait, {}, std::clamp<Duration>(earliest - now, kMinWait, kMaxWait) };
    const Duration transfer = transferTime(bytes, kPeerLinkShare);
    best->second.availableAt = now + transfer;
    const std::string peer = best->first;
    setPeer(requester, now + transfer + kApplyTime);
    return { Decision::AskPeer, peer, {} };
}

void DocumentDistributor::addPeer(std::string_view address, std::string_view dataCentre,
                                  uint64_t version, Instant now)
{
    if (address.empty() || version != version_)
        return;
    const auto found = peers_.find(address);
    if (found == peers_.end())
        peers_.emplace(std::string(address), Peer { std::string(dataCentre), now });
}

void DocumentDistributor::removePeer(std::string_view address)
{
    if (const auto found = peers_.find(address); found != peers_.end())
        peers_.erase(found);
}

void DocumentDistributor::startVersion(uint64_t version)
{
    if (version == version_)
        return;
    version_ = version;
    peers_.clear();
}

Duration DocumentDistributor::transferTime(size_t bytes, double share) const
{
    const std::chrono::duration<double> seconds(double(bytes)
                                                / (settings_.linkBytesPerSecond * share));
    return std::chrono::duration_cast<Duration>(seconds);
}

void DocumentDistributor::setPeer(const Requester &requester, Instant availableAt)
{
    if (!requester.address.empty())
        peers_[requester.address] = { requester.dataCentre, availableAt };
}

} // namespace bamboogap
