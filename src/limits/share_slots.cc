#include "limits/share_slots.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace marigoldladder {

namespace {

    using SlotCounts = std::map<VmName, std::size_t>;

    // Serving VMs that take part, with the slots each holds.
    auto countSlots(const SlotTable& table, const FleetView& fleet) -> SlotCounts
    {
        auto counts = SlotCounts();
        for (const auto& [vm, incarnation] : table.m_holders) {
            if (fleet.m_serving.contains(vm))
                counts[vm] = 0;
        }
        for (const auto& vm : table.m_slots) {
            const auto found = counts.find(vm);
            if (found != counts.end())
                ++found->second;
        }
        return counts;
    }

    auto slotsInGroup(const SlotTable& table, std::size_t group, const VmName& vm) -> std::size_t
    {
        const auto begin = table.m_slots.begin() + static_cast<std::ptrdiff_t>(group * slotsPerGroup);
        return static_cast<std::size_t>(
            std::count(begin, begin + static_cast<std::ptrdiff_t>(slotsPerGroup), vm));
    }

    // Gives the slot to the VM that holds the fewest; among equals, to one not yet in the slot's group.
    auto giveSlot(SlotTable& table, SlotCounts& counts, std::size_t slot) -> void
    {
        const auto group = slot / slotsPerGroup;
        const auto rank = [&](const auto& entry) {
            return std::pair(entry.second, slotsInGroup(table, group, entry.first));
        };
        const auto least = std::min_element(counts.begin(), counts.end(),
            [&](const auto& left, const auto& right) { return rank(left) < rank(right); });
        table.m_slots[slot] = least->first;
        ++least->second;
    }

    auto isGone(const SlotTable& table, const FleetView& fleet, const VmName& vm) -> bool
    {
        const auto gone = fleet.m_gone.find(vm);
        const auto known = table.m_holders.find(vm);
        return gone != fleet.m_gone.end()
            && (known == table.m_holders.end() || known->second <= gone->second);
    }

    auto giveSlotsOfTheGone(SlotTable& table, const FleetView& fleet, SlotCounts& counts) -> void
    {
        for (auto slot = std::size_t { 0 }; slot < slotCount; ++slot) {
            if (isGone(table, fleet, table.m_slots[slot]))
                giveSlot(table, counts, slot);
        }
        std::erase_if(table.m_holders, [&](const auto& entry) { return isGone(table, fleet, entry.first); });
    }

    // Gives away own slots until `kept` are left; groups where this VM holds most come first.
    auto giveOwnSlots(SlotTable& table, SlotCounts& counts, const VmName& self, std::size_t kept) -> void
    {
        auto own = std::vector<std::size_t>();
        for (auto slot = std::size_t { 0 }; slot < slotCount; ++slot) {
            if (table.m_slots[slot] == self)
                own.push_back(slot);
        }
        counts.erase(self);
        if (counts.empty() || own.size() <= kept)
            return;
        std::stable_sort(own.begin(), own.end(), [&](std::size_t left, std::size_t right) {
            return left % slotsPerGroup > right % slotsPerGroup;
        });
        own.resize(own.size() - kept);
        for (const auto slot : own)
            giveSlot(table, counts, slot);
    }

} // namespace

auto shareGroupOf(const OrganisationName& name) -> std::size_t
{
    return XXH3_64bits(name.value().data(), name.value().size()) % shareGroupCount;
}

auto fractionOf(const std::vector<VmName>& slots, std::size_t group, const VmName& vm) -> double
{
    if (slots.size() != slotCount)
        return 0;
    const auto begin = slots.begin() + static_cast<std::ptrdiff_t>(group * slotsPerGroup);
    const auto held = std::count(begin, begin + static_cast<std::ptrdiff_t>(slotsPerGroup), vm);
    return static_cast<double>(held) / static_cast<double>(slotsPerGroup);
}

auto fractionsOf(const SlotTable& table, const VmName& vm) -> GroupFractions
{
    auto fractions = GroupFractions();
    for (auto group = std::size_t { 0 }; group < shareGroupCount; ++group)
        fractions.at(group) = fractionOf(table.m_slots, group, vm);
    return fractions;
}

auto holdersOf(const std::vector<VmName>& slots, std::size_t group) -> std::vector<VmName>
{
    if (slots.size() != slotCount)
        return {};
    const auto begin = slots.begin() + static_cast<std::ptrdiff_t>(group * slotsPerGroup);
    auto holders = std::vector<VmName>(begin, begin + static_cast<std::ptrdiff_t>(slotsPerGroup));
    std::sort(holders.begin(), holders.end());
    holders.erase(std::unique(holders.begin(), holders.end()), holders.end());
    return holders;
}

auto makeSlotTable(const VmName& self, Incarnation incarnation) -> SlotTable
{
    return { std::vector<VmName>(slotCount, self), { { self, incarnation } } };
}

auto writeSlotTable(const SlotTable& table) -> nlohmann::json
{
    auto slots = nlohmann::json::array();
    for (const auto& vm : table.m_slots)
        slots.push_back(vm.value());
    auto holders = nlohmann::json::object();
    for (const auto& [vm, incarnation] : table.m_holders)
        holders[vm.value()] = incarnation;
    return { { "slots", slots }, { "holders", holders } };
}

auto readSlotTable(const nlohmann::json& json) -> std::optional<SlotTable>
{
    try {
        auto table = SlotTable();
        for (const auto& name : json.at("slots"))
            table.m_slots.emplace_back(name.get<std::string>());
        for (const auto& [name, incarnation] : json.at("holders").items())
            table.m_holders[VmName(name)] = incarnation.get<Incarnation>();
        return table.m_slots.size() == slotCount ? std::optional(std::move(table)) : std::nullopt;
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

auto planSlots(SlotTable table, const FleetView& fleet, const VmName& self, bool leaving) -> SlotTable
{
    auto counts = countSlots(table, fleet);
    if (leaving) {
        giveOwnSlots(table, counts, self, 0);
        return table;
    }
    if (counts.empty())
        return table;
    if (counts.begin()->first == self)
        giveSlotsOfTheGone(table, fleet, counts);
    const auto part = (slotCount + counts.size() - 1) / counts.size();
    const auto own = counts.find(self);
    if (own != counts.end() && own->second > part)
        giveOwnSlots(table, counts, self, part);
    return table;
}

} // namespace marigoldladder
