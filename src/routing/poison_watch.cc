#include "routing/poison_watch.h"

#include "core/log.h"

#include <condition_variable>
#include <utility>
#include <vector>

namespace marigoldladder {

namespace {

    constexpr auto acknowledgementTime = std::chrono::milliseconds(500);

    auto now() -> MonotonicTime
    {
        return std::chrono::steady_clock::now();
    }

} // namespace

// Counts the peers that have not answered a notice yet.
struct PoisonWatch::Acknowledgements {
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::size_t m_missing = 0;

    auto add(int change) -> void
    {
        const auto lock = std::lock_guard(m_mutex);
        m_missing += static_cast<std::size_t>(change);
        m_changed.notify_all();
    }

    auto wait() -> void
    {
        auto lock = std::unique_lock(m_mutex);
        m_changed.wait_for(lock, acknowledgementTime, [this] { return m_missing == 0; });
    }
};

PoisonWatch::PoisonWatch(Blackboard& blackboard, PeerLinks& links, VmName self)
    : m_blackboard(blackboard)
    , m_links(links)
    , m_self(std::move(self))
{
}

auto PoisonWatch::stateOf(std::uint64_t fingerprint) const -> PoisonState
{
    if (fingerprint == 0)
        return PoisonState::Clean;
    const auto lock = std::lock_guard(m_mutex);
    return poisonState(m_table, fingerprint, now());
}

auto PoisonWatch::clearingProgressOf(std::uint64_t fingerprint) const -> std::uint32_t
{
    const auto lock = std::lock_guard(m_mutex);
    return clearingProgress(m_table, fingerprint);
}

auto PoisonWatch::reportCrash(std::uint64_t fingerprint, std::uint32_t progress) -> void
{
    auto report = CrashReport();
    {
        const auto lock = std::lock_guard(m_mutex);
        report = noteCrash(m_table, m_self, fingerprint, progress, now());
    }
    tellPeers(fingerprint, report)->wait();
}

auto PoisonWatch::reportCleared(std::uint64_t fingerprint) -> void
{
    {
        const auto lock = std::lock_guard(m_mutex);
        if (!clearSuspect(m_table, fingerprint, now()))
            return;
    }
    tellPeers(fingerprint, CrashReport());
}

auto PoisonWatch::tellPeers(std::uint64_t fingerprint, const CrashReport& report)
    -> std::shared_ptr<Acknowledgements>
{
    auto missing = std::make_shared<Acknowledgements>();
    const auto membership = m_blackboard.m_membership.copy();
    for (const auto& [vm, member] : membership.m_members) {
        if (vm == m_self || member.m_state == MemberState::Gone)
            continue;
        const auto link = m_links.to(vm);
        if (!link)
            continue;
        auto notice = wire::PoisonNoticeT();
        notice.fingerprint = fingerprint;
        notice.crashes = report.m_crashes;
        notice.progress = report.m_progress;
        missing->add(1);
        const auto sent = link.value()->open(notice, [missing](wire::EnvelopeT*) {
            missing->add(-1);
            return false;
        });
        if (!sent)
            missing->add(-1);
    }
    return missing;
}

auto PoisonWatch::handleNotice(
    const std::shared_ptr<PeerConnection>& connection, const wire::EnvelopeT& envelope) -> void
{
    const auto& notice = *envelope.body.AsPoisonNotice();
    {
        const auto lock = std::lock_guard(m_mutex);
        const auto report = CrashReport { notice.crashes, notice.progress };
        mergeReport(m_table, connection->peerVm(), notice.fingerprint, report, now());
    }
    connection->send(makeEnvelope(envelope.correlation, wire::PoisonNoticeT(notice)));
}

} // namespace marigoldladder
