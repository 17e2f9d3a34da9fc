#include "fleet/peer_links.h"

#include <utility>
#include <vector>

namespace marigoldladder {

PeerLinks::PeerLinks(Blackboard& blackboard, PeerIdentity self)
    : m_blackboard(blackboard)
    , m_self(std::move(self))
{
}

auto PeerLinks::to(const VmName& vm, std::chrono::milliseconds timeout) -> Result<std::shared_ptr<PeerLink>>
{
    if (auto link = existing(vm))
        return link;
    return reconnect(vm, timeout);
}

auto PeerLinks::existing(const VmName& vm) -> std::shared_ptr<PeerLink>
{
    const auto lock = std::lock_guard(m_mutex);
    const auto found = m_links.find(vm);
    if (found == m_links.end() || !found->second.m_link->alive())
        return nullptr;
    found->second.m_usedAt = std::chrono::steady_clock::now();
    return found->second.m_link;
}

auto PeerLinks::reconnect(const VmName& vm, std::chrono::milliseconds timeout)
    -> Result<std::shared_ptr<PeerLink>>
{
    const auto address = m_blackboard.m_membership.read([&](const Membership& value) {
        const auto found = value.m_members.find(vm);
        return found == value.m_members.end() ? Address() : found->second.m_peerAddress;
    });
    if (address.m_port == 0)
        return notRun(FailureType::Unavailable, "no address is known for " + vm.value());
    auto link = PeerLink::connect(address, m_self, m_blackboard.m_metrics, timeout);
    if (!link)
        return link.error();
    if (link.value()->peerVm() != vm)
        return notRun(FailureType::Unavailable, "another node answers at the address of " + vm.value());
    hold(link.value());
    return link.value();
}

auto PeerLinks::toAddress(const Address& address) -> Result<std::shared_ptr<PeerLink>>
{
    return PeerLink::connect(address, m_self, m_blackboard.m_metrics, handshakeTimeout);
}

auto PeerLinks::hold(const std::shared_ptr<PeerLink>& link) -> void
{
    auto replaced = HeldLink { link, std::chrono::steady_clock::now() };
    {
        const auto lock = std::lock_guard(m_mutex);
        std::swap(m_links[link->peerVm()], replaced);
    }
    // The old link ends here, outside of the lock, as its end waits for its thread.
}

auto PeerLinks::dropIdle() -> void
{
    const auto bound = std::chrono::steady_clock::now() - linkIdleBound;
    auto dropped = std::vector<HeldLink>(); // Ends after the lock, as a link's end waits for its thread.
    const auto lock = std::lock_guard(m_mutex);
    for (auto next = m_links.begin(); next != m_links.end();) {
        const auto& [link, usedAt] = next->second;
        const auto idle = usedAt < bound && link.use_count() == 1 && !link->busy();
        if (link->alive() && !idle) {
            ++next;
            continue;
        }
        dropped.push_back(std::move(next->second));
        next = m_links.erase(next);
    }
}

} // namespace marigoldladder
