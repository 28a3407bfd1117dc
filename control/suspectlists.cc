#include "control/suspectlists.h"

#include <algorithm>

namespace bamboogap {

void SuspectLists::assign(std::string_view replica, std::span<const SuspectRequest> suspects)
{
    auto &list = byReplica_[std::string(replica)];
    list.clear();
    for (const SuspectRequest &item : suspects)
        list[item.fingerprint] = item.status;
}

void SuspectLists::remove(std::string_view replica)
{
    if (const auto found = byReplica_.find(replica); found != byReplica_.end())
        byReplica_.erase(found);
}

SuspicionStatus SuspectLists::statusOf(Fingerprint fingerprint) const
{
    SuspicionStatus status = SuspicionStatus::Clear;
    for (const auto &[replica, list] : byReplica_) {
        if (const auto found = list.find(fingerprint); found != list.end())
            status = std::max(status, found->second);
    }
    return status;
}

} // namespace bamboogap
