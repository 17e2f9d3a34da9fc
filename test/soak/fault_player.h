// The kinds of faults that the soak plays on a site, and what plays them.
#pragma once

#include "soak/relay_site.h"

#include <map>
#include <memory>
#include <random>
#include <vector>

namespace marigoldladder::soak {

inline constexpr auto stopMilliseconds = 9'000; // A stopping relay may take 8 s.

enum class Fault {
    KillRelay,
    FreezeRelay,
    StopRelay,
    StoreRefuses,
    StoreSilent,
    StoreLosesReplies,
    StoreSlow,
    StoreConnectionsSilent,
    StoreForgets,
    UpstreamHangs,
    UpstreamRefuses,
    UpstreamLosesReplies,
    UpstreamConnectionsCut,
    UpstreamConnectionsSilent,
    ConfigurationChanges,
    UpstreamReadsLate, // Its requests stay in their sockets until it goes on.
    UpstreamFailsLikeRefusing,
    UpstreamRefusesUnidentified,
    UpstreamRepeatsRefusals,
    SettingsChange, // SIGHUP, also to a relay that is just starting or stopping.
    RestartOntoHeldPort, // A relay is killed and started again while its port is held.
    SettingsRewritten, // In place on every relay with SIGHUP in series, also as one starts and one stops.
    KillAll, // And all are started again at once.
    ReplaceRelay, // For good, by one at other ports.
    CallersReset, // In the middle of a request.
    CallersHalfClose, // After the request.
    ConfigurationChangesAndKillAll, // Within some milliseconds.
    RestartsInTurn, // Half of the relays stop and start in turn; all get SIGHUP meanwhile.
    ConfigurationGrows, // By many routes.
    VersionAnnounced, // Of an adapter.
    StoreConnectionsReset, // Those of every relay.
    UpstreamConnectionsReset, // Those to every upstream.
};

// Plays one seed's faults, some of them at the same time, and mends what still lasts at its end.
class FaultPlayer {
public:
    FaultPlayer(RelaySite&, std::vector<Fault> kinds, std::uint32_t seed, SoakRecord&);

    auto play(int rounds) -> void;

private:
    auto anyRelay() -> RelayProcess&;
    auto anyUpstream() -> ProxiedUpstream&;
    auto setProxy(const harness::ChildProcess&, const nlohmann::json& fault) -> void;
    auto begin(Fault) -> void;
    // Answers that this breaks off aren't the relays' to bring.
    auto resetUpstreams() -> void;
    auto restartInTurn() -> void;
    auto restartEndedBesideSignals() -> void;
    auto rewriteSettings() -> void;
    auto killAll() -> void;
    auto resetCallers() -> void;
    // A close of the sending side can't be told from a close of the connection, so that such a request
    // may end without an answer; the others must go on.
    auto halfCloseCallers() -> void;
    auto restartOntoHeldPort(RelayProcess&) -> void;
    auto mend() -> void;

    RelaySite& m_site;
    SoakRecord& m_record;
    int m_callers = 0;
    std::vector<Fault> m_kinds;
    std::mt19937 m_random;
    std::map<RelayProcess*, std::unique_ptr<HeldPort>> m_heldPorts;
};

} // namespace marigoldladder::soak
