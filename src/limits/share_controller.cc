#include "limits/share_controller.h"

#include "core/log.h"

#include <algorithm>
#include <utility>

namespace marigoldladder {

namespace {

    constexpr auto shareKind = "allowanceshares";
    constexpr auto shareName = "fleet";

    // The rounds of all nodes together read this often at most, whatever the fleet's size.
    constexpr auto shortestPeriod = std::chrono::milliseconds(500);
    constexpr auto periodForEachNode = std::chrono::milliseconds(20);

    auto viewFleet(const Membership& membership, const Configuration& configuration) -> FleetView
    {
        auto fleet = FleetView();
        for (const auto& [vm, member] : membership.m_members) {
            if (member.m_state == MemberState::Gone)
                fleet.m_gone[vm] = member.m_incarnation;
            else if (member.m_state == MemberState::Alive && !isOut(configuration, vm, member.m_dataCentre))
                fleet.m_serving.insert(vm);
        }
        return fleet;
    }

    auto lowerOf(const GroupFractions& left, const GroupFractions& right) -> GroupFractions
    {
        auto lower = left;
        for (auto group = std::size_t { 0 }; group < lower.size(); ++group)
            lower.at(group) = std::min(left.at(group), right.at(group));
        return lower;
    }

} // namespace

ShareController::ShareController(Blackboard& blackboard, PlatformClient& platform, Allowance& allowance,
    VmName self, Incarnation incarnation)
    : m_blackboard(blackboard)
    , m_platform(platform)
    , m_allowance(allowance)
    , m_self(std::move(self))
    , m_incarnation(incarnation)
{
}

auto ShareController::step() -> void
{
    const auto lock = std::lock_guard(m_mutex);
    const auto now = std::chrono::steady_clock::now();
    if (now < m_nextRound || m_left)
        return;
    const auto nodes
        = m_blackboard.m_membership.read([](const Membership& value) { return value.m_members.size(); });
    const auto period = periodForEachNode * static_cast<int>(nodes);
    m_nextRound = now + std::max<std::chrono::milliseconds>(shortestPeriod, period);
    round(false);
}

auto ShareController::release() -> bool
{
    constexpr auto attempts = 3;
    const auto lock = std::lock_guard(m_mutex);
    m_left = true;
    m_allowance.setFractions(GroupFractions());
    for (auto attempt = 0; attempt < attempts; ++attempt) {
        if (round(true))
            return true;
    }
    return false;
}

// Returns whether nothing is left to change.
auto ShareController::round(bool leaving) -> bool
{
    if (m_uncertainWrite && !finishUncertainWrite())
        return false;
    auto found = m_platform.get(shareKind, shareName);
    if (!found)
        return false;
    if (!found.value())
        return !leaving && createTable();
    auto object = *found.value();
    auto table = readSlotTable(object.m_spec);
    if (!table)
        return false;
    if (!leaving && !takePart(object, *table))
        return false;
    if (!leaving)
        publish(*table);
    const auto membership = m_blackboard.m_membership.copy();
    const auto fleet = m_blackboard.m_configuration.read(
        [&](const Configuration& configuration) { return viewFleet(membership, configuration); });
    const auto planned = planSlots(*table, fleet, m_self, leaving);
    return planned.m_slots == table->m_slots || giveAway(object, *table, planned);
}

auto ShareController::createTable() -> bool
{
    const auto table = makeSlotTable(m_self, m_incarnation);
    const auto created = m_platform.create(shareKind, shareName, writeSlotTable(table));
    if (!created)
        return false; // Whatever became of it, the next round reads it.
    publish(table);
    return true;
}

// Enters this process into the table. It spends nothing before: a write of this VM's former process that
// is still on its way fails from then on.
auto ShareController::takePart(PlatformObject& object, SlotTable& table) -> bool
{
    const auto known = table.m_holders.find(m_self);
    if (known != table.m_holders.end() && known->second == m_incarnation)
        return true;
    table.m_holders[m_self] = m_incarnation;
    object.m_spec = writeSlotTable(table);
    const auto written = m_platform.update(shareKind, object);
    if (!written)
        return false;
    object = written.value();
    return true;
}

auto ShareController::giveAway(
    const PlatformObject& object, const SlotTable& current, const SlotTable& planned) -> bool
{
    m_allowance.setFractions(lowerOf(fractionsOf(current, m_self), fractionsOf(planned, m_self)));
    auto changed = object;
    changed.m_spec = writeSlotTable(planned);
    if (!write(std::move(changed)))
        return false;
    if (!m_left)
        publish(planned);
    return true;
}

auto ShareController::finishUncertainWrite() -> bool
{
    auto object = *m_uncertainWrite;
    write(std::move(object));
    return !m_uncertainWrite;
}

// Writes the object; remembers it when the reply is lost. Refused and taken are both certain.
auto ShareController::write(PlatformObject object) -> bool
{
    const auto written = m_platform.update(shareKind, object);
    const auto unanswered = !written && written.error().m_type == FailureType::Unavailable;
    const auto uncertain = unanswered && written.error().m_verdict != Verdict::NotRun;
    if (uncertain || (m_uncertainWrite && unanswered))
        m_uncertainWrite = std::move(object);
    else
        m_uncertainWrite.reset();
    return written.has_value();
}

auto ShareController::publish(const SlotTable& table) -> void
{
    const auto changed = m_blackboard.m_shares.write([&](ShareTable& shares) {
        const auto differs = shares.m_slots != table.m_slots;
        shares.m_slots = table.m_slots;
        return differs;
    });
    m_allowance.setFractions(fractionsOf(table, m_self));
    if (changed)
        logChange("allowance_shares_changed");
}

} // namespace marigoldladder
