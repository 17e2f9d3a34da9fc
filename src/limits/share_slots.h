// Who holds which part of the organisations' allowances: slots that VMs hold, as one platform object.
//
// Organisations fall into groups by their names, and each group's allowance into equal slots. A VM may
// spend, of each organisation in a group, the part for which it holds slots. A slot has one holder, so the
// parts never sum to more than the whole. It is the holder that gives a slot away; only the slots of a VM
// that is gone are given away by others.
#pragma once

#include "core/blackboard.h"

#include <array>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <vector>

namespace marigoldladder {

inline constexpr auto shareGroupCount = std::size_t { 64 };
inline constexpr auto slotsPerGroup = std::size_t { 8 };
inline constexpr auto slotCount = shareGroupCount * slotsPerGroup;

// The part of each group's allowance that one VM holds, from 0 to 1.
using GroupFractions = std::array<double, shareGroupCount>;

struct SlotTable {
    std::vector<VmName> m_slots; // The holder of each slot; slots of one group follow each other.
    std::map<VmName, Incarnation> m_holders; // Processes that took part, and may be given slots.
};

// Returns the group that an organisation belongs to.
auto shareGroupOf(const OrganisationName&) -> std::size_t;

auto fractionsOf(const SlotTable&, const VmName&) -> GroupFractions;

// Returns the fraction of one VM in one group.
auto fractionOf(const std::vector<VmName>& slots, std::size_t group, const VmName&) -> double;

// Returns the VMs that hold slots of a group, each once.
auto holdersOf(const std::vector<VmName>& slots, std::size_t group) -> std::vector<VmName>;

// Makes the first table of a fleet: the VM that creates it holds everything.
auto makeSlotTable(const VmName& self, Incarnation) -> SlotTable;

auto writeSlotTable(const SlotTable&) -> nlohmann::json;

// Reads a table; nothing when the JSON is none.
auto readSlotTable(const nlohmann::json&) -> std::optional<SlotTable>;

// What this node knows of the others when it plans.
struct FleetView {
    std::set<VmName> m_serving; // Alive, and neither draining nor out of service.
    std::map<VmName, Incarnation> m_gone; // The last incarnation of each VM that is gone.
};

// Returns the table as this node wants it: slots that it holds beyond its part go to those with the
// fewest, and the first of the serving VMs gives out the slots of VMs that are gone. A VM leaving gives all
// that it has. Slots of other VMs stay as they are.
auto planSlots(SlotTable, const FleetView&, const VmName& self, bool leaving) -> SlotTable;

} // namespace marigoldladder
