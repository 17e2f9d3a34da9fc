#include "soak/fault_player.h"

#include "soak/soak_callers.h"

#include <chrono>
#include <csignal>
#include <gtest/gtest.h>
#include <iostream>
#include <thread>
#include <utility>

namespace marigoldladder::soak {

using std::chrono::milliseconds;

namespace {

    auto signalTwice(const RelayProcess& relay) -> void
    {
        relay.m_relay.signal(SIGHUP);
        relay.m_relay.signal(SIGHUP);
    }

} // namespace

FaultPlayer::FaultPlayer(RelaySite& site, std::vector<Fault> kinds, std::uint32_t seed, SoakRecord& record)
    : m_site(site)
    , m_record(record)
    , m_kinds(std::move(kinds))
    , m_random(seed)
{
}

auto FaultPlayer::play(int rounds) -> void
{
    for (auto round = 0; round < rounds; ++round) {
        begin(m_kinds[m_random() % m_kinds.size()]);
        std::this_thread::sleep_for(std::chrono::milliseconds(100 + m_random() % 900));
        if (m_random() % 3 == 0)
            mend();
    }
    mend();
}

auto FaultPlayer::anyRelay() -> RelayProcess&
{
    return m_site.relays()[m_random() % m_site.relays().size()];
}

auto FaultPlayer::anyUpstream() -> ProxiedUpstream&
{
    return m_site.upstreams()[m_random() % m_site.upstreams().size()];
}

auto FaultPlayer::setProxy(const harness::ChildProcess& proxy, const nlohmann::json& fault) -> void
{
    m_site.orderProxy(proxy, "/fault", fault);
}

auto FaultPlayer::begin(Fault fault) -> void
{
    const auto nothing = nlohmann::json::object();
    switch (fault) {
    case Fault::KillRelay:
        m_site.kill(anyRelay());
        break;
    case Fault::FreezeRelay:
        m_site.freeze(anyRelay());
        break;
    case Fault::StopRelay:
        m_site.tellToStop(anyRelay());
        break;
    case Fault::StoreRefuses:
        setProxy(anyRelay().m_storeProxy, { { "mode", "refuse" } });
        break;
    case Fault::StoreSilent:
        setProxy(anyRelay().m_storeProxy, { { "mode", "hang" } });
        break;
    case Fault::StoreLosesReplies:
        setProxy(anyRelay().m_storeProxy, { { "mode", "drop_replies" } });
        break;
    case Fault::StoreSlow:
        setProxy(anyRelay().m_storeProxy, { { "mode", "pass" }, { "delay_ms", 200 } });
        break;
    case Fault::StoreConnectionsSilent:
        m_site.orderProxy(anyRelay().m_storeProxy, "/silence", nothing);
        break;
    case Fault::StoreForgets:
        m_site.discardStoreHistory();
        break;
    case Fault::UpstreamHangs:
        setProxy(anyUpstream().m_proxy, { { "mode", "hang" } });
        break;
    case Fault::UpstreamRefuses:
        setProxy(anyUpstream().m_proxy, { { "mode", "refuse" } });
        break;
    case Fault::UpstreamLosesReplies:
        setProxy(anyUpstream().m_proxy, { { "mode", "drop_replies" } });
        break;
    case Fault::UpstreamConnectionsCut:
        m_site.orderProxy(anyUpstream().m_proxy, "/cut", nothing);
        break;
    case Fault::UpstreamConnectionsSilent:
        m_site.orderProxy(anyUpstream().m_proxy, "/silence", nothing);
        break;
    case Fault::UpstreamReadsLate:
        anyUpstream().m_proxy.signal(SIGSTOP);
        break;
    case Fault::UpstreamFailsLikeRefusing:
        *anyUpstream().m_mode = UpstreamMode::FailsLikeRefusing;
        break;
    case Fault::UpstreamRefusesUnidentified:
        *anyUpstream().m_mode = UpstreamMode::RefusesUnidentified;
        break;
    case Fault::UpstreamRepeatsRefusals:
        *anyUpstream().m_mode = UpstreamMode::RepeatsRefusals;
        break;
    case Fault::ConfigurationChanges:
        m_site.writeConfiguration();
        break;
    case Fault::SettingsChange:
        anyRelay().m_relay.signal(SIGHUP);
        break;
    case Fault::RestartOntoHeldPort:
        restartOntoHeldPort(anyRelay());
        break;
    case Fault::SettingsRewritten:
        rewriteSettings();
        break;
    case Fault::KillAll:
        killAll();
        break;
    case Fault::ReplaceRelay:
        m_site.replace(anyRelay());
        break;
    case Fault::CallersReset:
        resetCallers();
        break;
    case Fault::CallersHalfClose:
        halfCloseCallers();
        break;
    case Fault::ConfigurationChangesAndKillAll:
        m_site.writeConfiguration();
        std::this_thread::sleep_for(milliseconds(m_random() % 6));
        killAll();
        break;
    case Fault::RestartsInTurn:
        restartInTurn();
        break;
    case Fault::ConfigurationGrows:
        m_site.enlargeConfiguration();
        break;
    case Fault::VersionAnnounced:
        m_site.announceVersion("a" + std::to_string(m_random() % 8));
        break;
    case Fault::StoreConnectionsReset:
        for (auto& relay : m_site.relays())
            m_site.orderProxy(relay.m_storeProxy, "/reset", nothing);
        break;
    case Fault::UpstreamConnectionsReset:
        resetUpstreams();
        break;
    }
}

auto FaultPlayer::resetUpstreams() -> void
{
    for (const auto& address : m_site.callerAddresses())
        m_record.noteOutage(formatAddress(address), std::chrono::steady_clock::now());
    for (auto& upstream : m_site.upstreams())
        m_site.orderProxy(upstream.m_proxy, "/reset", nlohmann::json::object());
    for (auto& relay : m_site.relays()) {
        if (!m_site.hasEnded(relay) && !relay.m_isFrozen && !relay.m_toldToStop)
            m_record.noteOutageEnd(formatAddress(relay.m_callerAddress));
    }
}

auto FaultPlayer::restartInTurn() -> void
{
    auto& relays = m_site.relays();
    const auto stopping = (relays.size() + 1) / 2;
    for (auto number = std::size_t { 0 }; number < relays.size(); ++number) {
        if (number < stopping)
            m_site.tellToStop(relays[number]);
        std::this_thread::sleep_for(milliseconds(m_random() % 1'200));
        restartEndedBesideSignals();
    }
    const auto until = std::chrono::steady_clock::now() + milliseconds(stopMilliseconds);
    while (std::chrono::steady_clock::now() < until) {
        std::this_thread::sleep_for(milliseconds(50 + m_random() % 400));
        restartEndedBesideSignals();
    }
}

auto FaultPlayer::restartEndedBesideSignals() -> void
{
    for (auto& relay : m_site.relays()) {
        if (m_site.hasEnded(relay)) {
            m_site.restart(relay, harness::ReadyLine::NotAwaited);
            EXPECT_TRUE(RelaySite::awaitFirstInstruction(relay));
        }
        signalTwice(relay);
    }
}

auto FaultPlayer::rewriteSettings() -> void
{
    m_site.kill(anyRelay());
    m_site.tellToStop(anyRelay());
    for (auto& relay : m_site.relays()) {
        m_site.rewriteSettings(relay, [&] {
            if (m_site.hasEnded(relay)) {
                m_site.restart(relay, harness::ReadyLine::NotAwaited);
                EXPECT_TRUE(RelaySite::awaitFirstInstruction(relay));
            }
            std::this_thread::sleep_for(milliseconds(1 + m_random() % 5));
            signalTwice(relay);
        });
        signalTwice(relay);
    }
}

auto FaultPlayer::killAll() -> void
{
    for (auto& relay : m_site.relays())
        m_site.kill(relay);
    for (auto& relay : m_site.relays())
        m_site.restart(relay, harness::ReadyLine::NotAwaited);
}

auto FaultPlayer::resetCallers() -> void
{
    for (const auto& address : m_site.callerAddresses()) {
        for (const auto percent : { std::size_t { 10 }, std::size_t { 95 }, std::size_t { 100 } }) {
            const auto id = "reset-" + std::to_string(++m_callers);
            m_record.noteAttempt(resetAfter(address, id, percent, milliseconds(m_random() % 4)));
        }
    }
}

auto FaultPlayer::halfCloseCallers() -> void
{
    for (const auto& address : m_site.callerAddresses()) {
        const auto id = "half-closed-" + std::to_string(++m_callers);
        std::cout << id << (isAnsweredHalfClosed(address, id) ? " answered" : " not answered") << '\n';
    }
}

auto FaultPlayer::restartOntoHeldPort(RelayProcess& relay) -> void
{
    m_site.kill(relay);
    // A relay whose port is held already waits for it.
    if (!m_heldPorts.contains(&relay))
        m_heldPorts.emplace(&relay, std::make_unique<HeldPort>(relay.m_callerAddress));
    m_site.restart(relay);
    relay.m_relay.signal(SIGHUP);
}

auto FaultPlayer::mend() -> void
{
    const auto sound = nlohmann::json { { "mode", "pass" } };
    m_heldPorts.clear();
    for (auto& relay : m_site.relays()) {
        m_site.thaw(relay);
        setProxy(relay.m_storeProxy, sound);
    }
    for (auto& upstream : m_site.upstreams()) {
        upstream.m_proxy.signal(SIGCONT);
        *upstream.m_mode = UpstreamMode::Sound;
        setProxy(upstream.m_proxy, sound);
    }
    for (auto& relay : m_site.relays()) {
        if (m_site.hasEnded(relay))
            m_site.restart(relay);
    }
}

} // namespace marigoldladder::soak
