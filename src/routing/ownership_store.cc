#include "routing/ownership_store.h"

#include "core/json_fields.h"

#include <utility>

namespace marigoldladder {

namespace {

    constexpr auto leaseKind = "nodeleases";
    constexpr auto ownershipKind = "ownerships";

    auto writeStart(const NodeStart& start) -> nlohmann::json
    {
        return { { "vm", start.m_vm.value() }, { "incarnation", start.m_incarnation } };
    }

    auto readStart(const nlohmann::json& json) -> NodeStart
    {
        return { VmName(textOr(json, "vm", "")), countOr(json, "incarnation", 0) };
    }

    auto writeRecord(const OwnershipRecord& record) -> nlohmann::json
    {
        auto earlier = nlohmann::json::array();
        for (const auto& start : record.m_earlierOwners)
            earlier.push_back(writeStart(start));
        return { { "owner", writeStart(record.m_owner) }, { "fencing", record.m_fencing },
            { "earlier_owners", earlier } };
    }

    auto readRecord(const nlohmann::json& json) -> OwnershipRecord
    {
        auto record = OwnershipRecord();
        record.m_owner = readStart(objectIn(json, "owner"));
        record.m_fencing = countOr(json, "fencing", 0);
        for (const auto& start : elements(json, "earlier_owners"))
            record.m_earlierOwners.push_back(readStart(start));
        return record;
    }

    auto leaseSpec(const LeaseRecord& lease) -> nlohmann::json
    {
        return { { "incarnation", lease.m_holder.m_incarnation }, { "duration_ms", lease.m_duration.count() },
            { "ended", lease.m_ended } };
    }

    auto readLease(const PlatformObject& object) -> LeaseRecord
    {
        auto lease = LeaseRecord();
        lease.m_holder = { VmName(object.m_name), countOr(object.m_spec, "incarnation", 0) };
        lease.m_duration = std::chrono::milliseconds(countOr(object.m_spec, "duration_ms", 0));
        lease.m_version = object.m_version;
        lease.m_ended = flagOr(object.m_spec, "ended", false);
        return lease;
    }

} // namespace

auto readOwnerships(PlatformClient& platform) -> Result<OwnershipObjects>
{
    const auto list = platform.list(ownershipKind);
    if (!list)
        return list.error();
    auto objects = OwnershipObjects();
    for (const auto& object : list.value().m_objects) {
        auto& read = objects[DataCentreName(object.m_name)];
        read.m_version = object.m_version;
        for (const auto& [name, json] : objectIn(object.m_spec, "upstreams").items())
            read.m_records.emplace(UpstreamName(name), readRecord(json));
    }
    return objects;
}

auto writeOwnerships(
    PlatformClient& platform, const DataCentreName& dataCentre, const OwnershipObject& object) -> Result<void>
{
    auto upstreams = nlohmann::json::object();
    for (const auto& [name, record] : object.m_records)
        upstreams[name.value()] = writeRecord(record);
    const auto spec = nlohmann::json { { "upstreams", upstreams } };
    const auto written = object.m_version == 0
        ? platform.create(ownershipKind, dataCentre.value(), spec)
        : platform.update(ownershipKind, { dataCentre.value(), object.m_version, spec });
    if (!written)
        return written.error();
    return boost::outcome_v2::success();
}

auto readLeases(PlatformClient& platform) -> Result<std::vector<LeaseRecord>>
{
    const auto list = platform.list(leaseKind);
    if (!list)
        return list.error();
    auto leases = std::vector<LeaseRecord>();
    for (const auto& object : list.value().m_objects)
        leases.push_back(readLease(object));
    return leases;
}

auto renewLease(PlatformClient& platform, const LeaseRecord& lease) -> Result<void>
{
    const auto& vm = lease.m_holder.m_vm;
    const auto found = platform.get(leaseKind, vm.value());
    if (!found)
        return found.error();
    if (found.value()) {
        const auto known = readLease(*found.value());
        const auto ended = known.m_ended && known.m_holder == lease.m_holder;
        if (ended || known.m_holder.m_incarnation > lease.m_holder.m_incarnation)
            return notRun(FailureType::Conflict, "the lease was ended, or is a later process's");
    }
    const auto written = found.value()
        ? platform.update(leaseKind, { vm.value(), found.value()->m_version, leaseSpec(lease) })
        : platform.create(leaseKind, vm.value(), leaseSpec(lease));
    if (!written)
        return written.error();
    return boost::outcome_v2::success();
}

auto endLease(PlatformClient& platform, const NodeStart& holder) -> Result<void>
{
    const auto found = platform.get(leaseKind, holder.m_vm.value());
    if (!found)
        return found.error();
    if (!found.value())
        return boost::outcome_v2::success();
    auto lease = readLease(*found.value());
    if (lease.m_holder != holder || lease.m_ended)
        return boost::outcome_v2::success();
    lease.m_ended = true;
    const auto written
        = platform.update(leaseKind, { holder.m_vm.value(), found.value()->m_version, leaseSpec(lease) });
    if (!written)
        return written.error();
    return boost::outcome_v2::success();
}

} // namespace marigoldladder
