#include "node/departurestore.h"

#include <algorithm>
#include <charconv>
#include <cstring>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "base/hash.h"
#include "base/log.h"
#include "node/rosterwire.h"

namespace bamboogap {

namespace {

using nlohmann::json;

constexpr std::string_view kFilePrefix = "departures-";

// Precedes each record, in the byte order of the machine.
struct RecordHeader
{
    uint64_t bytes = 0;
    uint64_t checksum = 0; // of the record
};

std::string fileName(uint64_t number)
{
    return fmt::format("{}{}", kFilePrefix, number);
}

std::optional<uint64_t> fileNumber(std::string_view name)
{
    if (!name.starts_with(kFilePrefix))
        return std::nullopt;
    name.remove_prefix(kFilePrefix.size());
    uint64_t number = 0;
    const auto [end, error] = std::from_chars(name.data(), name.data() + name.size(), number);
    if (error != std::errc() || end != name.data() + name.size())
        return std::nullopt;
    return number;
}

// The incarnation, and whether it is gone for good.
std::pair<int64_t, EndpointState> rank(const Departure &departure)
{
    return departure.record ? std::pair { departure.record->startMillis, departure.record->state }
                            : std::pair { departure.wallMillis, EndpointState::Gone };
}

std::string encode(const Departure &departure)
{
    const std::string packed
            = departure.record ? packRecords(std::span(&*departure.record, 1)) : std::string();
    const json value { { "id", departure.endpointId },
                       { "wall", departure.wallMillis },
                       { "record",
                         json::binary(std::vector<uint8_t>(packed.begin(), packed.end())) } };
    const std::vector<uint8_t> bytes = json::to_cbor(value);
    const RecordHeader header {
        bytes.size(), hashBytes({ reinterpret_cast<const char *>(bytes.data()), bytes.size() })
    };
    std::string framed(sizeof header, '\0');
    std::memcpy(framed.data(), &header, sizeof header);
    framed.append(bytes.begin(), bytes.end());
    return framed;
}

Result<Departure> decode(std::string_view bytes)
{
    try {
        const json value = json::from_cbor(bytes.begin(), bytes.end());
        const auto &packed = value.at("record").get_binary();
        auto records
                = unpackRecords({ reinterpret_cast<const char *>(packed.data()), packed.size() });
        if (!records)
            return tl::unexpected(records.error());
        Departure departure { value.at("id").get<std::string>(), std::nullopt,
                              value.at("wall").get<int64_t>() };
        if (!records->empty())
            departure.record = std::move(records->front());
        return departure;
    } catch (const json::exception &problem) {
        return failure(ErrorKind::StorageDamaged, problem.what(),
                       "none is needed if the other replicas hold the departure");
    }
}

// The departures of a file up to its end or to a record that is cut off or damaged.
std::vector<Departure> decodeFile(const std::string &name, std::string_view bytes)
{
    std::vector<Departure> departures;
    while (!bytes.empty()) {
        RecordHeader header;
        std::string problem;
        if (bytes.size() >= sizeof header)
            std::memcpy(&header, bytes.data(), sizeof header);
        if (bytes.size() < sizeof header || header.bytes > bytes.size() - sizeof header) {
            problem = "the last record is cut off";
        } else {
            const std::string_view record = bytes.substr(sizeof header, header.bytes);
            auto departure = decode(record);
            if (hashBytes(record) != header.checksum || !departure) {
                problem = "a record is damaged";
            } else {
                departures.push_back(std::move(*departure));
                bytes.remove_prefix(sizeof header + header.bytes);
            }
        }
        if (!problem.empty()) {
            // Of a write that was not synced, and so not acknowledged, unless the disk is faulty.
            logEvent(LogLevel::Warning, "departures_cut_off",
                     { { "file", name },
                       { "problem", problem },
                       { "bytes_left", fmt::to_string(bytes.size()) } });
            break;
        }
    }
    return departures;
}

} // namespace

DepartureStore::DepartureStore(Disk disk)
    : disk_(std::move(disk))
{
}

Result<std::vector<Departure>> DepartureStore::load(Instant now)
{
    const auto names = disk_.list();
    if (!names)
        return tl::unexpected(names.error());
    for (const std::string &name : *names) {
        const auto number = fileNumber(name);
        if (!number)
            continue;
        fileNumber_ = std::max(fileNumber_, *number);
        const auto bytes = disk_.read(name);
        if (!bytes)
            return tl::unexpected(bytes.error());
        for (Departure &departure : decodeFile(name, *bytes))
            keep(std::move(departure), now);
    }
    std::vector<Departure> departures;
    for (const auto &[id, stored] : stored_)
        departures.push_back(stored.departure);
    return departures;
}

bool DepartureStore::holds(const Departure &departure) const
{
    const auto found = stored_.find(departure.endpointId);
    return found != stored_.end() && rank(found->second.departure) >= rank(departure);
}

Result<void> DepartureStore::store(std::span<const Departure> departures, Instant now)
{
    if (!fileBytes_ || *fileBytes_ > kMaxFileBytes) {
        if (auto begun = beginFile(now); !begun)
            return begun;
    }
    std::string records;
    for (const Departure &departure : departures)
        records += encode(departure);
    if (auto written = write(records); !written)
        return written;
    for (const Departure &departure : departures)
        keep(departure, now);
    return {};
}

// Appends to the file and syncs it. After a failure the file may end within a record.
Result<void> DepartureStore::write(const std::string &records)
{
    const std::string name = fileName(fileNumber_);
    const size_t before = fileBytes_.value_or(0);
    fileBytes_.reset();
    if (auto written = disk_.append(name, records); !written)
        return written;
    if (auto synced = disk_.sync(name); !synced)
        return synced;
    fileBytes_ = before + records.size();
    return {};
}

Result<void> DepartureStore::beginFile(Instant now)
{
    std::erase_if(stored_, [now](const auto &item) { return now - item.second.at > kRetention; });
    std::string records;
    for (const auto &[id, stored] : stored_)
        records += encode(stored.departure);
    ++fileNumber_;
    if (auto written = write(records); !written) {
        // On a full disk the attempts must not leave a file each.
        if (disk_.remove(fileName(fileNumber_)))
            --fileNumber_;
        return written;
    }
    if (auto synced = disk_.syncFolder(); !synced) {
        fileBytes_.reset();
        return synced;
    }
    const auto names = disk_.list();
    if (!names)
        return tl::unexpected(names.error());
    for (const std::string &name : *names) {
        const auto number = fileNumber(name);
        if (!number || *number >= fileNumber_)
            continue;
        if (auto removed = disk_.remove(name); !removed)
            return removed;
    }
    return {};
}

void DepartureStore::keep(Departure departure, Instant at)
{
    const auto found = stored_.find(departure.endpointId);
    if (found != stored_.end() && rank(found->second.departure) > rank(departure))
        return;
    const std::string id = departure.endpointId;
    stored_[id] = { std::move(departure), at };
}

} // namespace bamboogap
