// The suspects as several replicas have told them to a router.
//
// Each replica tells its own list, and a replica that has just started knows less than the
// others: so a request has the highest status that any of them has told.

#ifndef BAMBOOGAP_CONTROL_SUSPECTLISTS_H
#define BAMBOOGAP_CONTROL_SUSPECTLISTS_H

#include <map>
#include <span>
#include <string>
#include <string_view>

#include "control/suspects.h"

namespace bamboogap {

class SuspectLists
{
public:
    // Replaces the list of a replica.
    void assign(std::string_view replica, std::span<const SuspectRequest> suspects);
    // Drops the list of a replica that has left the group.
    void remove(std::string_view replica);
    SuspicionStatus statusOf(Fingerprint fingerprint) const;

private:
    std::map<std::string, std::map<Fingerprint, SuspicionStatus>, std::less<>> byReplica_;
};

} // namespace bamboogap

#endif
