// Draws a schedule of faults from a seed: which fault hits what, one or two at once in each round.
#pragma once

#include "marigoldladder/enum_names.h"

#include <array>
#include <cstdint>
#include <vector>

namespace marigoldladder::fakes {

enum class FaultKind {
    KillNode,
    FreezeNode,
    TerminateNode,
    RestartEngine,
    PlatformDown,
    PlatformHang,
    PlatformSlow,
    PlatformLosesReplies,
    CutPeers,
    SilencePeers,
    CutUpstream,
    SilenceUpstream,
    DropUpstreamReplies,
    DataCentreOut,
    UpstreamLeaves,
    WithdrawKey,
    OperatorsRace,
    GreedyOrganisation,
    CrashingRequest,
};

inline constexpr auto faultKindNames = std::array {
    EnumName<FaultKind> { FaultKind::KillNode, "kill_node" },
    EnumName<FaultKind> { FaultKind::FreezeNode, "freeze_node" },
    EnumName<FaultKind> { FaultKind::TerminateNode, "terminate_node" },
    EnumName<FaultKind> { FaultKind::RestartEngine, "restart_engine" },
    EnumName<FaultKind> { FaultKind::PlatformDown, "platform_down" },
    EnumName<FaultKind> { FaultKind::PlatformHang, "platform_hang" },
    EnumName<FaultKind> { FaultKind::PlatformSlow, "platform_slow" },
    EnumName<FaultKind> { FaultKind::PlatformLosesReplies, "platform_loses_replies" },
    EnumName<FaultKind> { FaultKind::CutPeers, "cut_peers" },
    EnumName<FaultKind> { FaultKind::SilencePeers, "silence_peers" },
    EnumName<FaultKind> { FaultKind::CutUpstream, "cut_upstream" },
    EnumName<FaultKind> { FaultKind::SilenceUpstream, "silence_upstream" },
    EnumName<FaultKind> { FaultKind::DropUpstreamReplies, "drop_upstream_replies" },
    EnumName<FaultKind> { FaultKind::DataCentreOut, "data_centre_out" },
    EnumName<FaultKind> { FaultKind::UpstreamLeaves, "upstream_leaves" },
    EnumName<FaultKind> { FaultKind::WithdrawKey, "withdraw_key" },
    EnumName<FaultKind> { FaultKind::OperatorsRace, "operators_race" },
    EnumName<FaultKind> { FaultKind::GreedyOrganisation, "greedy_organisation" },
    EnumName<FaultKind> { FaultKind::CrashingRequest, "crashing_request" },
};

struct Fault {
    FaultKind m_kind = FaultKind::KillNode;
    std::size_t m_target = 0; // Taken modulo the number of things that the fault can hit.
};

struct FaultRound {
    std::vector<Fault> m_faults; // One or two, of different kinds, begun together.
};

// Returns `rounds` rounds; the same seed gives the same ones.
auto drawSchedule(std::uint64_t seed, std::size_t rounds) -> std::vector<FaultRound>;

} // namespace marigoldladder::fakes
