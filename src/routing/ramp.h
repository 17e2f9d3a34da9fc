// How many calls at once an upstream bears, as far as its answers have shown.
//
// An upstream in cold start falls over under full load, and nobody announces that it restarted. So the
// limit starts low at first contact, grows with successes, and falls back to the start when calls break,
// when the upstream names another run, or after it stood idle, as it may have restarted meanwhile.
#pragma once

#include "core/blackboard.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace marigoldladder {

struct RampBounds {
    double m_start = 2; // Calls at once that a cold upstream bears.
    double m_cap = 16; // Calls at once that a warm one bears.
    double m_growth = 0.5; // How much each success adds to the limit.
};

// Idle upstreams that don't name their run count as cold after this time.
inline constexpr auto coldAfterIdle = std::chrono::milliseconds(100);

struct Ramp {
    RampBounds m_bounds;
    double m_limit = 2;
    double m_provenLimit = 2; // Reached before the last start; holds again if the run turns out the same.
    std::uint64_t m_epoch = 0; // Raised whenever the ramp starts again; results of older calls don't count.
    std::string m_bootId; // The upstream's run as it last told; empty when it never did.
    bool m_confirmed = false; // It has answered since it last stood idle.
    MonotonicTime m_idleSince {};
    double m_usualDelay = 0; // Seconds to the first event, averaged over many calls; 0 before the first.
    double m_recentDelay = 0; // The same over few calls.
};

auto makeRamp(const RampBounds&) -> Ramp;

// Returns how many calls may be in flight now.
auto rampLimit(const Ramp&) -> std::size_t;

// Tells that a call starts while `inFlight` others run; returns the epoch to give with its results.
auto rampStarted(Ramp&, std::size_t inFlight, MonotonicTime now) -> std::uint64_t;

// Tells that a call's answer began, naming the upstream's run. Returns whether the run is another one than
// before, so that all the upstream had is lost.
auto rampAnswered(Ramp&, std::uint64_t epoch, const std::string& bootId, double delaySeconds) -> bool;

// Tells that a call ended well.
auto rampSucceeded(Ramp&, std::uint64_t epoch) -> void;

// Tells that the upstream refused for load: the limit is halved.
auto rampOverloaded(Ramp&, std::uint64_t epoch) -> void;

// Tells that a call broke: the upstream counts as cold.
auto rampBroken(Ramp&, std::uint64_t epoch) -> void;

// Tells that no call is in flight any longer.
auto rampIdle(Ramp&, MonotonicTime now) -> void;

} // namespace marigoldladder
