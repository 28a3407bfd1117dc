// A set of fingerprints that many receivers follow.
//
// A receiver names the version up to which it was told and is sent what has changed since, so that
// the bytes follow the changes and not the size of the set.

#ifndef BAMBOOGAP_CONTROL_FINGERPRINTCHANGES_H
#define BAMBOOGAP_CONTROL_FINGERPRINTCHANGES_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "control/suspects.h"

namespace bamboogap {

// What a receiver is told at a time.
struct FingerprintChange
{
    uint64_t version = 0; // to be named the next time
    bool full = false; // replaces all that the receiver was told before
    std::vector<Fingerprint> added;
    std::vector<Fingerprint> removed;

    bool empty() const { return !full && added.empty() && removed.empty(); }
    void applyTo(std::set<Fingerprint> &members) const;
};

class FingerprintChanges
{
public:
    // With more removed members than this, receivers are told the whole set once more.
    static constexpr size_t kMaxRemoved = 1024;

    // `version` is that of the empty set. It differs from those of an earlier process, so that
    // whoever knew that one is told everything.
    explicit FingerprintChanges(uint64_t version = 1);

    void assign(const std::set<Fingerprint> &members);
    const std::set<Fingerprint> &members() const { return members_; }
    uint64_t version() const { return version_; }
    // At most maxCount changes after `version`, the oldest first; the rest follows when the
    // returned version is named. The whole set if `version` is not one of this one's.
    FingerprintChange since(uint64_t version, size_t maxCount) const;

private:
    void stamp(Fingerprint fingerprint);
    void forgetRemoved();

    uint64_t firstVersion_;
    uint64_t version_;
    std::set<Fingerprint> members_;
    // The last change of each member, and of each that was removed.
    std::map<uint64_t, Fingerprint> changes_; // by version
    std::map<Fingerprint, uint64_t> changedAt_;
};

} // namespace bamboogap

#endif
