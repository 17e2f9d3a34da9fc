#include "limits/share_controller.h"

#include <algorithm>

namespace marigoldladder {

auto refreshShares(Blackboard& blackboard) -> void
{
    const auto nodes
        = blackboard.m_membership.read([](const Membership& value) { return value.m_members.size(); });
    const auto fraction = 1.0 / static_cast<double>(std::max(std::size_t { 1 }, nodes));
    blackboard.m_shares.write([&](ShareTable& table) { table.m_defaultFraction = fraction; });
}

} // namespace marigoldladder
