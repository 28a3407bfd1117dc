#include "fleet/servicedemand.h"

#include <algorithm>
#include <cmath>

namespace bamboogap {

namespace {

constexpr char kFormat = 1;
constexpr size_t kMaxName = 255;
constexpr size_t kMaxEndpoints = 255;
// Steps in which figures are packed: up to 16,383 a second, and means of up to 1,023 requests.
constexpr double kPerSecondSteps = 4;
constexpr double kMeanSteps = 64;

void putU16(std::string &out, double value)
{
    const auto packed = static_cast<uint16_t>(std::clamp(std::round(value), 0.0, 65535.0));
    out += static_cast<char>(packed & 0xff);
    out += static_cast<char>(packed >> 8);
}

// Reads figures from the front of bytes; `ok` is false after the end.
struct Reader
{
    std::string_view bytes;
    bool ok = true;

    uint32_t take(size_t count)
    {
        if (bytes.size() < count) {
            ok = false;
            return 0;
        }
        uint32_t value = 0;
        for (size_t i = 0; i < count; ++i)
            value |= uint32_t(static_cast<unsigned char>(bytes[i])) << (8 * i);
        bytes.remove_prefix(count);
        return value;
    }
    double takeU16() { return take(2); }
    std::string takeText(size_t size)
    {
        ok = ok && bytes.size() >= size;
        std::string text(bytes.substr(0, ok ? size : 0));
        bytes.remove_prefix(text.size());
        return text;
    }
};

} // namespace

void ServiceDemand::add(const ServiceDemand &other)
{
    for (size_t i = 0; i < arrivals.size(); ++i)
        arrivals[i] += other.arrivals[i];
    for (const Endpoint &from : other.endpoints) {
        auto to = std::lower_bound(
                endpoints.begin(), endpoints.end(), from.key,
                [](const Endpoint &endpoint, uint32_t key) { return endpoint.key < key; });
        if (to == endpoints.end() || to->key != from.key)
            to = endpoints.insert(to, Endpoint { from.key });
        to->answers += from.answers;
        to->samples += from.samples;
        to->running += from.running;
        to->waiting += from.waiting;
        to->percent += from.percent;
    }
}

double ServiceDemand::totalArrivals() const
{
    double total = 0;
    for (const double rate : arrivals)
        total += rate;
    return total;
}

std::string packDemands(const ServiceDemands &demands)
{
    std::string out(1, kFormat);
    for (const auto &[service, demand] : demands) {
        if (service.size() > kMaxName)
            continue;
        out += static_cast<char>(service.size());
        out += service;
        for (const double rate : demand.arrivals)
            putU16(out, rate * kPerSecondSteps);
        const size_t count = std::min(demand.endpoints.size(), kMaxEndpoints);
        out += static_cast<char>(count);
        for (size_t i = 0; i < count; ++i) {
            const ServiceDemand::Endpoint &endpoint = demand.endpoints[i];
            const double samples = std::max(endpoint.samples, 1e-9);
            for (size_t byte = 0; byte < sizeof(endpoint.key); ++byte)
                out += static_cast<char>((endpoint.key >> (8 * byte)) & 0xff);
            putU16(out, endpoint.answers * kPerSecondSteps);
            putU16(out, endpoint.samples * kPerSecondSteps);
            putU16(out, endpoint.running / samples * kMeanSteps);
            putU16(out, endpoint.waiting / samples * kMeanSteps);
            putU16(out, endpoint.percent / samples);
        }
    }
    return out;
}

ServiceDemands unpackDemands(std::string_view bytes)
{
    ServiceDemands demands;
    if (bytes.empty() || bytes.front() != kFormat)
        return demands;
    Reader reader { bytes.substr(1) };
    while (!reader.bytes.empty()) {
        const std::string service = reader.takeText(reader.take(1));
        ServiceDemand demand;
        for (double &rate : demand.arrivals)
            rate = reader.takeU16() / kPerSecondSteps;
        const size_t count = reader.take(1);
        for (size_t i = 0; i < count && reader.ok; ++i) {
            ServiceDemand one;
            ServiceDemand::Endpoint endpoint;
            endpoint.key = reader.take(sizeof(endpoint.key));
            endpoint.answers = reader.takeU16() / kPerSecondSteps;
            endpoint.samples = reader.takeU16() / kPerSecondSteps;
            endpoint.running = reader.takeU16() / kMeanSteps * endpoint.samples;
            endpoint.waiting = reader.takeU16() / kMeanSteps * endpoint.samples;
            endpoint.percent = reader.takeU16() * endpoint.samples;
            one.endpoints.push_back(endpoint);
            if (reader.ok)
                demand.add(one);
        }
        if (!reader.ok)
            break;
        demands[service].add(demand);
    }
    return demands;
}

void DemandSums::report(std::string_view router, std::string_view packed, Instant now)
{
    routers_[std::string(router)] = { unpackDemands(packed), now };
}

void DemandSums::remove(std::string_view router)
{
    if (const auto found = routers_.find(router); found != routers_.end())
        routers_.erase(found);
}

void DemandSums::groupReport(std::string_view replica, std::string_view packed, Instant now)
{
    if (!packed.empty())
        groups_[std::string(replica)] = { unpackDemands(packed), now };
}

void DemandSums::tick(Instant now)
{
    const auto outdated
            = [now](const auto &item) { return now - item.second.updatedAt > kTimeout; };
    std::erase_if(routers_, outdated);
    std::erase_if(groups_, outdated);
}

void DemandSums::sum(const Items &items, ServiceDemands &sums)
{
    for (const auto &[name, item] : items) {
        for (const auto &[service, demand] : item.demands)
            sums[service].add(demand);
    }
}

std::string DemandSums::group() const
{
    if (routers_.empty())
        return {};
    ServiceDemands sums;
    sum(routers_, sums);
    return packDemands(sums);
}

const std::string &DemandSums::total(Instant now)
{
    if (total_.empty() || now - totalAt_ >= kMinAge) {
        ServiceDemands sums;
        sum(routers_, sums);
        sum(groups_, sums);
        total_ = packDemands(sums);
        totalAt_ = now;
    }
    return total_;
}

} // namespace bamboogap
