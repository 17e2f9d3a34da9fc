#include "fleet/peer_links.h"

#include <utility>

namespace marigoldladder {

PeerLinks::PeerLinks(Blackboard& blackboard, PeerIdentity self)
    : m_blackboard(blackboard)
    , m_self(std::move(self))
{
}

auto PeerLinks::to(const VmName& vm) -> Result<std::shared_ptr<PeerLink>>
{
    {
        const auto lock = std::lock_guard(m_mutex);
        const auto found = m_links.find(vm);
        if (found != m_links.end() && found->second->alive())
            return found->second;
    }
    return reconnect(vm);
}

auto PeerLinks::reconnect(const VmName& vm) -> Result<std::shared_ptr<PeerLink>>
{
    const auto address = m_blackboard.m_membership.read([&](const Membership& value) {
        const auto found = value.m_members.find(vm);
        return found == value.m_members.end() ? Address() : found->second.m_peerAddress;
    });
    if (address.m_port == 0)
        return notRun(FailureType::Unavailable, "no address is known for " + vm.value());
    auto link = PeerLink::connect(address, m_self, m_blackboard.m_metrics);
    if (!link)
        return link.error();
    if (link.value()->peerVm() != vm)
        return notRun(FailureType::Unavailable, "another node answers at the address of " + vm.value());
    const auto lock = std::lock_guard(m_mutex);
    m_links[vm] = link.value();
    return link.value();
}

} // namespace marigoldladder
