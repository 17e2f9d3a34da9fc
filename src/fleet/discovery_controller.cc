#include "fleet/discovery_controller.h"

#include "core/json_fields.h"
#include "fleet/member_merge.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace marigoldladder {

namespace {

    constexpr auto vmKind = "vms";
    constexpr auto nodeKind = "nodes";
    constexpr auto glanceDuration = std::chrono::milliseconds(100);
    constexpr auto leastGlancePause = std::chrono::milliseconds(30'000);
    constexpr auto mostGlancePause = std::chrono::milliseconds(60'000);

    auto readUpstream(const PlatformObject& object) -> std::optional<Upstream>
    {
        const auto& spec = object.m_spec;
        if (textOr(spec, "role", "") != "upstream")
            return std::nullopt;
        const auto address = parseAddress(textOr(spec, "address", ""));
        const auto kind = valueNamed(upstreamKindNames, textOr(spec, "kind", ""));
        if (!address || !kind)
            return std::nullopt;
        auto upstream = Upstream();
        upstream.m_name = UpstreamName(object.m_name);
        upstream.m_pool = PoolName(textOr(spec, "pool", ""));
        upstream.m_dataCentre = DataCentreName(textOr(spec, "data_centre", ""));
        upstream.m_address = *address;
        upstream.m_kind = *kind;
        upstream.m_leaving = textOr(spec, "state", "live") == "leaving";
        upstream.m_checksFencing = flagOr(spec, "checks_fencing", false);
        upstream.m_version = object.m_version;
        return upstream;
    }

    auto removeUpstream(UpstreamTable& table, const UpstreamName& name, ObjectVersion version) -> void
    {
        const auto found = table.m_upstreams.find(name);
        if (found == table.m_upstreams.end() || found->second.m_version > version)
            return;
        table.m_upstreams.erase(found);
        table.m_removed[name] = version;
        table.m_version = std::max(table.m_version, version);
    }

    auto putUpstream(UpstreamTable& table, Upstream upstream) -> void
    {
        const auto known = table.m_upstreams.find(upstream.m_name);
        if (known != table.m_upstreams.end() && known->second.m_version >= upstream.m_version)
            return;
        table.m_version = std::max(table.m_version, upstream.m_version);
        table.m_removed.erase(upstream.m_name);
        auto name = upstream.m_name;
        table.m_upstreams.insert_or_assign(std::move(name), std::move(upstream));
    }

    auto isNodeVm(const PlatformObject& object) -> bool
    {
        return textOr(object.m_spec, "role", "") != "upstream";
    }

    // Marks nodes gone whose VMs were listed once and are not any more, and removes their records.
    auto noteNodeVmsGone(Blackboard& blackboard, PlatformClient& platform, const std::set<VmName>& gone)
        -> void
    {
        const auto now = std::chrono::steady_clock::now();
        blackboard.m_membership.write([&](Membership& membership) {
            for (const auto& vm : gone)
                markMemberGone(membership, vm, now);
        });
        for (const auto& vm : gone)
            (void)platform.remove(nodeKind, vm.value());
    }

    auto nodeVmsIn(const ObjectList& list) -> std::set<VmName>
    {
        auto vms = std::set<VmName>();
        for (const auto& object : list.m_objects) {
            if (isNodeVm(object))
                vms.insert(VmName(object.m_name));
        }
        return vms;
    }

    auto readList(Blackboard& blackboard, PlatformClient& platform, DiscoveryState& state) -> Result<void>
    {
        const auto list = platform.list(vmKind);
        if (!list)
            return list.error();
        blackboard.m_upstreams.write([&](UpstreamTable& table) { applyVmList(table, list.value()); });
        state.m_readUntil = list.value().m_version;
        const auto before = std::exchange(state.m_nodeVms, nodeVmsIn(list.value()));
        auto gone = std::set<VmName>();
        std::set_difference(before.begin(), before.end(), state.m_nodeVms.begin(), state.m_nodeVms.end(),
            std::inserter(gone, gone.end()));
        noteNodeVmsGone(blackboard, platform, gone);
        return boost::outcome_v2::success();
    }

    auto takeEvent(Blackboard& blackboard, PlatformClient& platform, DiscoveryState& state,
        const WatchEvent& event) -> void
    {
        state.m_readUntil = std::max(state.m_readUntil.value_or(0), event.m_object.m_version);
        if (!isNodeVm(event.m_object)) {
            blackboard.m_upstreams.write([&](UpstreamTable& table) { applyVmEvent(table, event); });
            return;
        }
        const auto vm = VmName(event.m_object.m_name);
        if (event.m_type == WatchEventType::Deleted) {
            state.m_nodeVms.erase(vm);
            noteNodeVmsGone(blackboard, platform, { vm });
        } else
            state.m_nodeVms.insert(vm);
    }

    auto watchList(Blackboard& blackboard, PlatformClient& platform, DiscoveryState& state,
        std::chrono::milliseconds duration) -> Result<void>
    {
        auto watched = platform.watch(vmKind, *state.m_readUntil, duration, [&](const WatchEvent& event) {
            takeEvent(blackboard, platform, state, event);
            return true;
        });
        // The platform no longer keeps the changes since then: read the whole list again.
        if (!watched && watched.error().m_type == FailureType::BadRequest)
            state.m_readUntil.reset();
        return watched;
    }

    auto glancePause(std::mt19937_64& random) -> std::chrono::milliseconds
    {
        auto pause = std::uniform_int_distribution<long>(leastGlancePause.count(), mostGlancePause.count());
        return std::chrono::milliseconds(pause(random));
    }

} // namespace

auto isPlatformReader(const Membership& membership, const VmName& self) -> bool
{
    const auto hashOf = [](const VmName& vm) { return XXH3_64bits(vm.value().data(), vm.value().size()); };
    const auto own = hashOf(self);
    auto higher = std::size_t { 0 };
    for (const auto& [vm, member] : membership.m_members) {
        const auto heard = member.m_heardAt != MonotonicTime();
        if (vm != self && heard && member.m_state == MemberState::Alive && hashOf(vm) > own)
            ++higher;
    }
    return higher < platformReaders;
}

auto applyVmList(UpstreamTable& table, const ObjectList& list) -> void
{
    auto listed = std::set<UpstreamName>();
    for (const auto& object : list.m_objects) {
        auto upstream = readUpstream(object);
        if (!upstream)
            continue;
        listed.insert(upstream->m_name);
        putUpstream(table, std::move(*upstream));
    }
    auto missing = std::vector<UpstreamName>();
    for (const auto& [name, upstream] : table.m_upstreams) {
        if (!listed.contains(name))
            missing.push_back(name);
    }
    for (const auto& name : missing)
        removeUpstream(table, name, list.m_version);
    table.m_known = true;
}

auto applyVmEvent(UpstreamTable& table, const WatchEvent& event) -> void
{
    const auto name = UpstreamName(event.m_object.m_name);
    auto upstream = readUpstream(event.m_object);
    if (event.m_type == WatchEventType::Deleted || !upstream)
        removeUpstream(table, name, event.m_object.m_version);
    else
        putUpstream(table, std::move(*upstream));
}

auto followVms(Blackboard& blackboard, PlatformClient& platform, const VmName& self, DiscoveryState& state)
    -> void
{
    const auto reader = blackboard.m_membership.read(
        [&](const Membership& membership) { return isPlatformReader(membership, self); });
    const auto due = std::chrono::steady_clock::now() >= state.m_notBefore;
    const auto mayCall = due || (reader && state.m_backoff.m_failures == 0);
    if (!mayCall)
        return;
    const auto duration = reader ? watchDuration : glanceDuration;
    const auto followed = state.m_readUntil ? watchList(blackboard, platform, state, duration)
                                            : readList(blackboard, platform, state);
    auto pause = std::chrono::milliseconds(0);
    if (!followed)
        pause = waitAfterFailure(state.m_backoff, state.m_random);
    else {
        noteSuccess(state.m_backoff);
        pause = reader ? pause : glancePause(state.m_random);
    }
    state.m_notBefore = std::chrono::steady_clock::now() + pause;
}

} // namespace marigoldladder
