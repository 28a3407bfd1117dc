#include "node/rosterwire.h"

#include <algorithm>

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include "base/compress.h"
#include "node/convert.h"

namespace bamboogap {

namespace {

// More than 10,000 records before compression; protects against a broken peer.
constexpr size_t kMostBytes = 8 << 20;

tl::unexpected<Error> unreadable(std::string_view reason)
{
    return failure(ErrorKind::PeerFailed,
                   std::string("endpoint records from a replica cannot be read: ")
                           + std::string(reason),
                   "run the same version on replicas and routers");
}

} // namespace

void writeRecord(const EndpointRecord &record, wire::EndpointRecord::Builder builder)
{
    builder.setId(record.id);
    builder.setBornMillis(record.startMillis);
    builder.setSequence(record.sequence);
    builder.setService(record.service);
    builder.setAddress(record.address);
    builder.setDataCentre(record.dataCentre);
    builder.setSlots(record.slots);
    builder.setWarmupLeftMillis(record.warmupLeftMillis);
    builder.setState(static_cast<uint8_t>(record.state));
    builder.setHeard(record.alive);
    builder.setKnownForMillis(record.knownForMillis);
    auto models = builder.initModels(record.models.size());
    for (size_t i = 0; i < record.models.size(); ++i) {
        models[i].setName(record.models[i].name);
        models[i].setVersion(record.models[i].version);
    }
    if (!record.softwareVersion.empty())
        builder.setSoftwareVersion(record.softwareVersion);
}

EndpointRecord readRecord(wire::EndpointRecord::Reader reader)
{
    EndpointRecord record;
    record.id = toView(reader.getId());
    record.startMillis = reader.getBornMillis();
    record.sequence = reader.getSequence();
    record.service = toView(reader.getService());
    record.address = toView(reader.getAddress());
    record.dataCentre = toView(reader.getDataCentre());
    record.slots = reader.getSlots();
    record.warmupLeftMillis = reader.getWarmupLeftMillis();
    record.state = static_cast<EndpointState>(
            std::min<uint8_t>(reader.getState(), static_cast<uint8_t>(EndpointState::Gone)));
    record.alive = reader.getHeard();
    record.knownForMillis = reader.getKnownForMillis();
    for (const auto model : reader.getModels())
        record.models.push_back({ std::string(toView(model.getName())), model.getVersion() });
    record.softwareVersion = toView(reader.getSoftwareVersion());
    return record;
}

std::string packRecords(std::span<const EndpointRecord> records)
{
    if (records.empty())
        return {};
    capnp::MallocMessageBuilder message;
    auto list = message.initRoot<wire::EndpointRecords>().initRecords(records.size());
    for (size_t i = 0; i < records.size(); ++i)
        writeRecord(records[i], list[i]);
    kj::VectorOutputStream packed;
    capnp::writePackedMessage(packed, message);
    const auto bytes = packed.getArray();
    return compress({ reinterpret_cast<const char *>(bytes.begin()), bytes.size() });
}

Result<std::vector<EndpointRecord>> unpackRecords(std::string_view bytes)
{
    std::vector<EndpointRecord> records;
    if (bytes.empty())
        return records;
    const auto packed = decompress(bytes, kMostBytes);
    if (!packed)
        return unreadable(packed.error().message);
    const auto problem = kj::runCatchingExceptions([&] {
        kj::ArrayInputStream stream(toData(*packed));
        capnp::PackedMessageReader message(stream);
        for (const auto record : message.getRoot<wire::EndpointRecords>().getRecords())
            records.push_back(readRecord(record));
    });
    KJ_IF_MAYBE (thrown, problem)
        return unreadable(thrown->getDescription().cStr());
    return records;
}

} // namespace bamboogap
