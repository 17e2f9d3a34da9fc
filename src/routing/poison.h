// Which requests crash the upstreams that run them.
//
// What was in flight when an upstream crashed is suspect and runs alone from then on, until it has got
// past the point of the crash. A request under which upstreams crashed twice is refused. Requests are
// known by their fingerprint, so that one sent again under another id, or to another node, is still known.
#pragma once

#include "core/blackboard.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>

namespace marigoldladder {

enum class PoisonState {
    Clean,
    Suspect, // Runs alone.
    Refused,
};

// What one node saw of a fingerprint.
struct CrashReport {
    std::uint32_t m_crashes = 0; // 0 takes the suspicion back.
    std::uint32_t m_progress = 0; // Events of the stream that had come by the latest crash.
};

struct PoisonEntry {
    std::map<VmName, CrashReport> m_reports; // By the node that saw the crashes.
    MonotonicTime m_expiresAt {};
};

inline constexpr auto maxPoisonEntries = std::size_t { 4096 };
inline constexpr auto crashesUntilRefused = std::uint32_t { 2 };
inline constexpr auto suspectTime = std::chrono::milliseconds(60'000);
inline constexpr auto refusalTime = std::chrono::milliseconds(300'000);

struct PoisonTable {
    std::unordered_map<std::uint64_t, PoisonEntry> m_entries; // By fingerprint; at most `maxPoisonEntries`.
    std::uint32_t m_crashesUntilRefused = crashesUntilRefused;
    std::chrono::milliseconds m_refusalTime = refusalTime;
};

// Events past the point of the crash after which a suspect is cleared.
inline constexpr auto clearingMargin = std::uint32_t { 8 };

auto poisonState(const PoisonTable&, std::uint64_t fingerprint, MonotonicTime now) -> PoisonState;

// Returns the number of events after which a suspect that still runs is cleared.
auto clearingProgress(const PoisonTable&, std::uint64_t fingerprint) -> std::uint32_t;

// Enters one more crash that this node saw; returns its report, to be told to the others.
auto noteCrash(PoisonTable&, const VmName& self, std::uint64_t fingerprint, std::uint32_t progress,
    MonotonicTime now) -> CrashReport;

// Enters what a node told; of two reports of the same node the one with more crashes counts.
auto mergeReport(PoisonTable&, const VmName& reporter, std::uint64_t fingerprint, const CrashReport&,
    MonotonicTime now) -> void;

// Clears a suspect that got past the point of the crash; false when it was none.
auto clearSuspect(PoisonTable&, std::uint64_t fingerprint, MonotonicTime now) -> bool;

} // namespace marigoldladder
