#include "fleet/routertable.h"

#include <algorithm>
#include <unordered_map>

#include "base/hash.h"

namespace bamboogap {

namespace {

constexpr size_t kBytesPerUse = 8;
constexpr uint32_t kTokensUnit = 64;

// Little-endian on every platform.
void append(std::string &bytes, uint32_t value, size_t size)
{
    for (size_t i = 0; i < size; ++i)
        bytes += static_cast<char>((value >> (8 * i)) & 0xff);
}

uint32_t extract(std::string_view bytes, size_t at, size_t size)
{
    uint32_t value = 0;
    for (size_t i = 0; i < size; ++i)
        value |= uint32_t { static_cast<uint8_t>(bytes[at + i]) } << (8 * i);
    return value;
}

} // namespace

std::string packUses(const std::vector<EndpointUse> &uses)
{
    std::string bytes;
    bytes.reserve(uses.size() * kBytesPerUse);
    for (const EndpointUse &use : uses) {
        append(bytes, static_cast<uint32_t>(use.key), 4);
        append(bytes, std::min<uint32_t>(use.running, UINT16_MAX), 2);
        append(bytes, std::min<uint32_t>(use.pendingPrefillTokens / kTokensUnit, UINT16_MAX), 2);
    }
    return bytes;
}

std::vector<EndpointUse> unpackUses(std::string_view bytes)
{
    std::vector<EndpointUse> uses;
    uses.reserve(bytes.size() / kBytesPerUse);
    for (size_t at = 0; at + kBytesPerUse <= bytes.size(); at += kBytesPerUse) {
        uses.push_back({ extract(bytes, at, 4), extract(bytes, at + 4, 2),
                         extract(bytes, at + 6, 2) * kTokensUnit });
    }
    return uses;
}

void unpackUses(std::string_view bytes, std::vector<EndpointUse> &uses)
{
    std::unordered_map<uint32_t, size_t> byKey;
    for (size_t i = 0; i < uses.size(); ++i) {
        uses[i].running = 0;
        uses[i].pendingPrefillTokens = 0;
        byKey[static_cast<uint32_t>(uses[i].key)] = i;
    }
    for (const EndpointUse &received : unpackUses(bytes)) {
        const auto found = byKey.find(static_cast<uint32_t>(received.key));
        if (found == byKey.end())
            continue;
        uses[found->second].running = received.running;
        uses[found->second].pendingPrefillTokens = received.pendingPrefillTokens;
    }
}

std::string reportTargetOf(std::string_view router, std::span<const std::string> replicas)
{
    const uint64_t own = hashBytes(router);
    const auto score
            = [own](const std::string &replica) { return combineHashes(own, hashBytes(replica)); };
    const auto best = std::max_element(
            replicas.begin(), replicas.end(),
            [&](const auto &left, const auto &right) { return score(left) < score(right); });
    return best == replicas.end() ? std::string() : *best;
}

uint64_t digestOfReplicas(std::span<const std::string> replicas)
{
    uint64_t digest = 0;
    for (const std::string &replica : replicas)
        digest = combineHashes(digest, hashBytes(replica));
    return digest;
}

bool RouterTable::report(RouterReport report, Instant now)
{
    Entry &entry = routers_[report.name];
    if (report.incarnation < entry.report.incarnation)
        return false;
    if (report.incarnation > entry.report.incarnation && entry.lastSeen != Instant {})
        restarted_.insert(report.name);
    if (report.peerAddress.empty())
        report.peerAddress = std::move(entry.report.peerAddress);
    entry.report = std::move(report);
    entry.lastSeen = now;
    if (left_.erase(entry.report.name) > 0)
        restarted_.insert(entry.report.name);
    return true;
}

void RouterTable::leave(std::string_view name, Instant now)
{
    const auto found = routers_.find(name);
    if (found == routers_.end())
        return;
    routers_.erase(found);
    left_[std::string(name)] = now;
}

void RouterTable::recall(uint32_t routers, bool firstStart, Instant now)
{
    recalled_ = routers;
    firstStart_ = firstStart && routers == 0;
    startedAt_ = now;
}

void RouterTable::removeExpired(Instant now)
{
    std::erase_if(routers_,
                  [now](const auto &item) { return now - item.second.lastSeen > kRetention; });
    std::erase_if(restarted_, [this](const auto &name) { return routers_.count(name) == 0; });
    std::erase_if(left_, [now](const auto &item) { return now - item.second > kRetention; });
}

Duration RouterTable::aliveTimeout() const
{
    return std::max<Duration>(kAliveTimeout, routers_.size() * kAliveTimeoutPerRouter);
}

uint32_t RouterTable::aliveCount(Instant now) const
{
    uint32_t count = 0;
    const Duration alive = aliveTimeout();
    for (const auto &[name, entry] : routers_)
        count += now - entry.lastSeen <= alive;
    return count;
}

uint32_t RouterTable::sharerCount(Instant now) const
{
    const Duration up = now - startedAt_;
    if (up < aliveTimeout() && !firstStart_)
        return 0;
    const auto known = static_cast<uint32_t>(routers_.size() + left_.size());
    return up <= kRetention ? std::max(known, recalled_) : known;
}

bool RouterTable::mayHavePredecessor(std::string_view name, Instant now) const
{
    const bool young = now - startedAt_ <= kRetention && !firstStart_;
    return young || restarted_.count(name) > 0;
}

std::vector<std::string> RouterTable::aliveAddresses(Instant now) const
{
    std::vector<std::string> addresses;
    const Duration alive = aliveTimeout();
    for (const auto &[name, entry] : routers_) {
        if (now - entry.lastSeen <= alive && !entry.report.peerAddress.empty())
            addresses.push_back(entry.report.peerAddress);
    }
    return addresses;
}

bool RouterTable::maySendUses(std::string_view name, size_t bytes, Instant now)
{
    const auto found = routers_.find(name);
    if (found == routers_.end() || now < found->second.usesDueAt)
        return false;
    const std::chrono::duration<double> pause(double(bytes) / kUsesBytesPerSecond);
    found->second.usesDueAt = now + std::chrono::duration_cast<Duration>(pause);
    return true;
}

uint32_t RouterTable::rankOf(std::string_view name, Instant now) const
{
    uint32_t rank = 0;
    const Duration alive = aliveTimeout();
    for (const auto &[router, entry] : routers_) {
        if (router >= name)
            break;
        rank += now - entry.lastSeen <= alive;
    }
    return rank;
}

} // namespace bamboogap
