// Keeps this node's part of the organisations' allowances: reads the table of slots from the platform, takes
// over what it holds, and gives away what others should hold.
//
// While the platform can't be reached everything stays as it is. A part that is given away is lowered here
// before the platform is told, and stays lowered until the platform has said for certain what became of it.
#pragma once

#include "core/blackboard.h"
#include "limits/allowance.h"
#include "limits/share_slots.h"
#include "objects/platform_client.h"

#include <mutex>
#include <optional>

namespace marigoldladder {

class ShareController {
public:
    ShareController(Blackboard&, PlatformClient&, Allowance&, VmName self, Incarnation);

    // Does one round if it is due: one read, and a write when something is to change.
    auto step() -> void;

    // Gives all slots away, for a node that leaves; false when the platform did not take it.
    auto release() -> bool;

private:
    auto round(bool leaving) -> bool;
    auto createTable() -> bool;
    auto takePart(PlatformObject&, SlotTable&) -> bool;
    auto giveAway(const PlatformObject&, const SlotTable& current, const SlotTable& planned) -> bool;
    auto finishUncertainWrite() -> bool;
    auto write(PlatformObject) -> bool;
    auto publish(const SlotTable&) -> void;

    Blackboard& m_blackboard;
    PlatformClient& m_platform;
    Allowance& m_allowance;
    VmName m_self;
    Incarnation m_incarnation;
    std::mutex m_mutex;
    MonotonicTime m_nextRound {};
    std::optional<PlatformObject> m_uncertainWrite; // Its reply was lost; tried again until it is certain.
    bool m_left = false;
};

} // namespace marigoldladder
