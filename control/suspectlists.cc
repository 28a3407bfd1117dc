#include "control/suspectlists.h"

namespace bamboogap {

void SuspectLists::assign(std::string_view replica, std::span<const SuspectRequest> suspects)
{
    Sets &sets = byReplica_[std::string(replica)];
    sets = {};
    for (const SuspectRequest &item : suspects) {
        if (item.status == SuspicionStatus::Quarantined)
            sets.quarantined.insert(item.fingerprint);
        else if (item.status == SuspicionStatus::Suspect)
            sets.watched.insert(item.fingerprint);
    }
}

void SuspectLists::applyQuarantined(std::string_view replica, const FingerprintChange &change)
{
    change.applyTo(byReplica_[std::string(replica)].quarantined);
}

void SuspectLists::applyWatched(std::string_view replica, const FingerprintChange &change)
{
    change.applyTo(byReplica_[std::string(replica)].watched);
}

void SuspectLists::dropWatched(std::string_view replica)
{
    if (const auto found = byReplica_.find(replica); found != byReplica_.end())
        found->second.watched.clear();
}

void SuspectLists::remove(std::string_view replica)
{
    if (const auto found = byReplica_.find(replica); found != byReplica_.end())
        byReplica_.erase(found);
}

SuspicionStatus SuspectLists::statusOf(Fingerprint fingerprint) const
{
    SuspicionStatus status = SuspicionStatus::Clear;
    for (const auto &[replica, sets] : byReplica_) {
        if (sets.quarantined.count(fingerprint) > 0)
            return SuspicionStatus::Quarantined;
        if (sets.watched.count(fingerprint) > 0)
            status = SuspicionStatus::Suspect;
    }
    return status;
}

std::set<Fingerprint> SuspectLists::toReport(size_t maxCount) const
{
    std::set<Fingerprint> subjects;
    for (const auto member : { &Sets::watched, &Sets::quarantined }) {
        for (const auto &[replica, sets] : byReplica_) {
            for (const Fingerprint fingerprint : sets.*member) {
                if (subjects.size() >= maxCount)
                    return subjects;
                subjects.insert(fingerprint);
            }
        }
    }
    return subjects;
}

} // namespace bamboogap
