#include "node/fleetmemo.h"

#include <algorithm>

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include "base/compress.h"
#include "node/convert.h"
#include "node/rosterwire.h"

namespace bamboogap {

namespace {

constexpr std::string_view kFile = "fleet";
constexpr std::string_view kNewFile = "fleet-new";
// More than 10,000 endpoints before compression.
constexpr size_t kMostBytes = 8 << 20;

tl::unexpected<Error> damaged(std::string_view reason)
{
    return failure(ErrorKind::StorageDamaged,
                   "what was known of the fleet cannot be read: " + std::string(reason),
                   "none is needed: endpoints announce themselves again");
}

} // namespace

std::string encodeMemo(const FleetMemo &memo)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<wire::FleetMemo>();
    auto routers = root.initRouters(memo.routers.size());
    for (size_t i = 0; i < memo.routers.size(); ++i)
        routers.set(i, memo.routers[i]);
    auto endpoints = root.initEndpoints(memo.endpoints.size());
    for (size_t i = 0; i < memo.endpoints.size(); ++i)
        writeRecord(memo.endpoints[i], endpoints[i]);
    kj::VectorOutputStream packed;
    capnp::writePackedMessage(packed, message);
    const auto bytes = packed.getArray();
    return compress({ reinterpret_cast<const char *>(bytes.begin()), bytes.size() });
}

Result<FleetMemo> decodeMemo(std::string_view bytes)
{
    const auto packed = decompress(bytes, kMostBytes);
    if (!packed)
        return damaged(packed.error().message);
    FleetMemo memo;
    const auto problem = kj::runCatchingExceptions([&] {
        kj::ArrayInputStream stream(toData(*packed));
        capnp::PackedMessageReader message(stream);
        const auto root = message.getRoot<wire::FleetMemo>();
        for (const auto router : root.getRouters())
            memo.routers.emplace_back(toView(router));
        for (const auto endpoint : root.getEndpoints())
            memo.endpoints.push_back(readRecord(endpoint));
    });
    KJ_IF_MAYBE (thrown, problem)
        return damaged(thrown->getDescription().cStr());
    return memo;
}

MemoFile::MemoFile(Disk disk)
    : disk_(std::move(disk))
{
}

Result<FleetMemo> MemoFile::load() const
{
    const auto names = disk_.list();
    if (!names)
        return tl::unexpected(names.error());
    if (std::find(names->begin(), names->end(), kFile) == names->end())
        return FleetMemo {};
    const auto bytes = disk_.read(kFile);
    if (!bytes)
        return tl::unexpected(bytes.error());
    return decodeMemo(*bytes);
}

Result<void> MemoFile::store(const FleetMemo &memo)
{
    const Instant began = BootClock::now();
    auto stored = [&]() -> Result<void> {
        const auto names = disk_.list();
        if (!names)
            return tl::unexpected(names.error());
        // Left by a save that was cut off.
        if (std::find(names->begin(), names->end(), kNewFile) != names->end()) {
            if (auto removed = disk_.remove(kNewFile); !removed)
                return removed;
        }
        if (auto written = disk_.append(kNewFile, encodeMemo(memo)); !written)
            return written;
        if (auto synced = disk_.sync(kNewFile); !synced)
            return synced;
        if (auto renamed = disk_.rename(kNewFile, kFile); !renamed)
            return renamed;
        return disk_.syncFolder();
    }();
    const Instant now = BootClock::now();
    nextAt_ = now + std::max<Duration>(kLeastPause, (now - began) * kPausePerSave);
    return stored;
}

} // namespace bamboogap
