// The rollouts of a deployment, as all replicas agree on them; see fleet/rollout.h.
//
// The latest rollout of each service is kept. An order that is resent gets the answer that it got
// before; another order for a service whose rollout is in progress is rejected. Operators resend an
// order for 5 s, to any replica, so that a copy may arrive after the rollout has ended or after
// the next one has begun.

#ifndef BAMBOOGAP_CONTROL_ROLLOUTS_H
#define BAMBOOGAP_CONTROL_ROLLOUTS_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "base/error.h"
#include "fleet/rollout.h"

namespace bamboogap {

// Starts a rollout.
struct StartRolloutCommand
{
    std::string service;
    std::string version;
    uint64_t durationMillis = 0;
    int64_t nowMillis = 0;
    // Number of the service's latest rollout at the replica that received the order, 0 if there was
    // none. Without it the order is accepted whatever was ordered since.
    std::optional<uint64_t> base;
};

// A step of the leader: another share, or the end. Applied only to the rollout `number` while it is
// in progress.
struct AdvanceRolloutCommand
{
    std::string service;
    uint64_t number = 0;
    RolloutState state = RolloutState::InProgress;
    uint32_t sharePermille = 0;
    std::string reason;
    int64_t nowMillis = 0; // wall clock of the leader; 0 if not told
};

// The state of that name; see rolloutStateName().
std::optional<RolloutState> parseRolloutState(std::string_view name);

// Deterministic: equal calls in equal order give equal states on every replica.
class Rollouts
{
public:
    // An order with the same content as the service's latest rollout is a resent one while that is
    // in progress and for this long after its order and its end; with the content of an earlier
    // rollout, for this long after its order.
    static constexpr int64_t kResentMillis = 15000;
    // Routers are told of all rollouts in one message, so that their number has to be bounded. The
    // oldest one that has ended makes room for a new one.
    static constexpr size_t kMaxServices = 128;

    enum class StartResult : uint8_t {
        Started,
        Known, // a resent order, which has taken effect before
        OtherInProgress,
        Superseded, // another order for the service was accepted since `base`
        TooMany, // kMaxServices rollouts are in progress
    };

    StartResult start(const StartRolloutCommand &command);
    // Returns whether it was applied.
    bool advance(const AdvanceRolloutCommand &command);

    // Increases with every change.
    uint64_t revision() const { return revision_; }
    // Null if the service never had one.
    const Rollout *find(std::string_view service) const;
    std::vector<Rollout> all() const;
    // Those that changed after `revision`.
    std::vector<Rollout> changedSince(uint64_t revision) const;

    nlohmann::json save() const;
    // Returns StorageDamaged if a field is missing or has another type.
    static Result<Rollouts> load(const nlohmann::json &saved);

private:
    struct EarlierOrder
    {
        std::string version;
        uint64_t durationMillis = 0;
        int64_t orderedAtMillis = 0;
    };
    struct Entry
    {
        Rollout latest;
        int64_t endedAtMillis = 0; // meaningful once it has ended
        std::vector<EarlierOrder> earlier; // oldest first
    };
    static constexpr size_t kMaxEarlierOrders = 8; // of a service

    static bool isResent(const StartRolloutCommand &command, const Entry &entry);
    // Makes room for a rollout of another service. Returns false if that is not possible.
    bool makeRoom();
    static nlohmann::json save(const Entry &entry);
    static Result<Entry> loadEntry(const nlohmann::json &saved);

    uint64_t revision_ = 0;
    uint64_t lastNumber_ = 0;
    std::map<std::string, Entry, std::less<>> entries_; // by service
};

} // namespace bamboogap

#endif
