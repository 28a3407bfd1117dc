#include "control/fingerprintchanges.h"

namespace bamboogap {

void FingerprintChange::applyTo(std::set<Fingerprint> &members) const
{
    if (full)
        members.clear();
    members.insert(added.begin(), added.end());
    for (const Fingerprint fingerprint : removed)
        members.erase(fingerprint);
}

FingerprintChanges::FingerprintChanges(uint64_t version)
    : firstVersion_(version)
    , version_(version)
{
}

void FingerprintChanges::assign(const std::set<Fingerprint> &members)
{
    for (const Fingerprint fingerprint : members_) {
        if (members.count(fingerprint) == 0)
            stamp(fingerprint);
    }
    for (const Fingerprint fingerprint : members) {
        if (members_.count(fingerprint) == 0)
            stamp(fingerprint);
    }
    members_ = members;
    if (changedAt_.size() > members_.size() + kMaxRemoved)
        forgetRemoved();
}

void FingerprintChanges::stamp(Fingerprint fingerprint)
{
    const auto [item, added] = changedAt_.try_emplace(fingerprint);
    if (!added)
        changes_.erase(item->second);
    item->second = ++version_;
    changes_[version_] = fingerprint;
}

void FingerprintChanges::forgetRemoved()
{
    firstVersion_ = ++version_;
    changes_.clear();
    changedAt_.clear();
    for (const Fingerprint fingerprint : members_)
        stamp(fingerprint);
}

FingerprintChange FingerprintChanges::since(uint64_t version, size_t maxCount) const
{
    FingerprintChange change;
    change.full = version < firstVersion_ || version > version_;
    change.version = change.full ? firstVersion_ : version;
    for (auto item = changes_.upper_bound(change.version); item != changes_.end(); ++item) {
        const bool isMember = members_.count(item->second) > 0;
        if (isMember || !change.full) {
            if (change.added.size() + change.removed.size() == maxCount)
                return change;
            (isMember ? change.added : change.removed).push_back(item->second);
        }
        change.version = item->first;
    }
    change.version = version_;
    return change;
}

} // namespace bamboogap
