// The quarantined and the watched requests as several replicas have told them to a router.
//
// Each replica tells its own sets, and a replica that has just started knows less than the
// others: so a request has the highest status that any of them has told.

#ifndef BAMBOOGAP_CONTROL_SUSPECTLISTS_H
#define BAMBOOGAP_CONTROL_SUSPECTLISTS_H

#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "control/fingerprintchanges.h"
#include "control/suspects.h"

namespace bamboogap {

class SuspectLists
{
public:
    // Replaces both sets of a replica.
    void assign(std::string_view replica, std::span<const SuspectRequest> suspects);
    void applyQuarantined(std::string_view replica, const FingerprintChange &change);
    void applyWatched(std::string_view replica, const FingerprintChange &change);
    // Drops the watched requests of a replica that tells them no longer.
    void dropWatched(std::string_view replica);
    // Drops the sets of a replica that has left the group.
    void remove(std::string_view replica);

    SuspicionStatus statusOf(Fingerprint fingerprint) const;
    // Requests whose answers are to be reported: at most maxCount of the watched ones, then of the
    // quarantined ones, since an answer may be reported after the verdict.
    std::set<Fingerprint> toReport(size_t maxCount) const;

private:
    struct Sets
    {
        std::set<Fingerprint> quarantined;
        std::set<Fingerprint> watched;
    };

    std::map<std::string, Sets, std::less<>> byReplica_;
};

} // namespace bamboogap

#endif
