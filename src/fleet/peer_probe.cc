#include "fleet/peer_probe.h"

#include "fleet/gossip.h"

#include <algorithm>
#include <utility>

namespace marigoldladder {

namespace {

    constexpr auto helpersPerProbe = std::size_t { 2 };
    constexpr auto maxQueuedProbes = std::size_t { 4 };
    constexpr auto helpTimeout = std::chrono::milliseconds(600);

    auto isSuspect(const Blackboard& blackboard, const VmName& vm) -> bool
    {
        return blackboard.m_membership.read([&](const Membership& membership) {
            const auto found = membership.m_members.find(vm);
            return found != membership.m_members.end() && found->second.m_state == MemberState::Suspect;
        });
    }

    auto chooseHelpers(const Blackboard& blackboard, const VmName& self, const VmName& target,
        std::mt19937_64& random) -> std::vector<VmName>
    {
        const auto alive = blackboard.m_membership.read([&](const Membership& membership) {
            auto names = std::vector<VmName>();
            for (const auto& [vm, member] : membership.m_members) {
                if (vm != self && vm != target && member.m_state == MemberState::Alive)
                    names.push_back(vm);
            }
            return names;
        });
        auto helpers = std::vector<VmName>();
        std::sample(alive.begin(), alive.end(), std::back_inserter(helpers), helpersPerProbe, random);
        return helpers;
    }

    // Collects the helpers' answers, which come in on their links' threads.
    struct HelperVotes {
        std::mutex m_mutex;
        std::condition_variable m_changed;
        std::size_t m_pending = 0;
        bool m_reached = false;

        auto count(bool reached) -> void
        {
            const auto lock = std::lock_guard(m_mutex);
            --m_pending;
            m_reached = m_reached || reached;
            m_changed.notify_all();
        }
    };

    auto askHelper(PeerLinks& links, const VmName& helper, const VmName& target,
        const std::shared_ptr<HelperVotes>& votes) -> void
    {
        const auto takeAnswer = [votes](wire::EnvelopeT* envelope) {
            const auto* answer = envelope ? envelope->body.AsProbeAnswer() : nullptr;
            votes->count(answer && answer->reached);
            return false;
        };
        auto request = wire::ProbeRequestT();
        request.vm = target.value();
        const auto link = links.to(helper, probeTimeout);
        if (!link || !link.value()->open(std::move(request), takeAnswer))
            votes->count(false);
    }

    auto othersReach(Blackboard& blackboard, PeerLinks& links, const VmName& self, const VmName& target,
        std::mt19937_64& random) -> bool
    {
        const auto helpers = chooseHelpers(blackboard, self, target, random);
        auto votes = std::make_shared<HelperVotes>();
        votes->m_pending = helpers.size();
        for (const auto& helper : helpers)
            askHelper(links, helper, target, votes);
        auto lock = std::unique_lock(votes->m_mutex);
        votes->m_changed.wait_for(
            lock, helpTimeout, [&] { return votes->m_reached || votes->m_pending == 0; });
        return votes->m_reached;
    }

} // namespace

auto probeMember(Blackboard& blackboard, PeerLinks& links, const VmName& self, const VmName& target,
    const ProbeExchange& exchange, std::mt19937_64& random) -> bool
{
    const auto suspect = isSuspect(blackboard, target);
    if (!suspect) {
        const auto link = links.existing(target);
        if (link && exchange(*link))
            return true;
    }
    const auto fresh = links.reconnect(target, probeTimeout);
    if (fresh && exchange(*fresh.value()))
        return true;
    return !suspect && othersReach(blackboard, links, self, target, random);
}

ProbeService::ProbeService(Blackboard& blackboard, PeerLinks& links, VmName self)
    : m_blackboard(blackboard)
    , m_links(links)
    , m_self(std::move(self))
    , m_thread("peer-probe", [this] { run(); })
{
}

ProbeService::~ProbeService()
{
    {
        const auto lock = std::lock_guard(m_mutex);
        m_stopping = true;
        m_changed.notify_all();
    }
    m_thread.join();
}

auto ProbeService::handle(const std::shared_ptr<PeerConnection>& asker, const wire::EnvelopeT& envelope)
    -> void
{
    {
        const auto lock = std::lock_guard(m_mutex);
        if (m_orders.size() < maxQueuedProbes) {
            m_orders.push_back({ asker, envelope.correlation, VmName(envelope.body.AsProbeRequest()->vm) });
            m_changed.notify_all();
            return;
        }
    }
    asker->send(makeEnvelope(envelope.correlation, wire::ProbeAnswerT()));
}

auto ProbeService::run() -> void
{
    auto lock = std::unique_lock(m_mutex);
    while (true) {
        m_changed.wait(lock, [this] { return m_stopping || !m_orders.empty(); });
        if (m_stopping)
            return;
        const auto order = std::move(m_orders.front());
        m_orders.pop_front();
        lock.unlock();
        auto answer = wire::ProbeAnswerT();
        answer.reached = reaches(order.m_target);
        order.m_asker->send(makeEnvelope(order.m_correlation, answer));
        lock.lock();
    }
}

auto ProbeService::reaches(const VmName& target) -> bool
{
    const auto link = m_links.reconnect(target, probeTimeout);
    return link && exchangeGossip(m_blackboard, *link.value(), m_self, m_random);
}

} // namespace marigoldladder
