#include "routing/ramp.h"

#include <algorithm>

namespace marigoldladder {

namespace {

    constexpr auto usualDelayShare = 0.02; // Of each new delay in the average.
    constexpr auto recentDelayShare = 0.3;
    constexpr auto delayStepRatio = 4.0;
    constexpr auto delayStepSeconds = 0.05; // Steps smaller than this are noise.

    auto startAgain(Ramp& ramp) -> void
    {
        ramp.m_provenLimit = std::max(ramp.m_provenLimit, ramp.m_limit);
        ramp.m_limit = ramp.m_bounds.m_start;
        ++ramp.m_epoch;
        ramp.m_confirmed = false;
        ramp.m_usualDelay = 0;
        ramp.m_recentDelay = 0;
    }

    auto noteDelay(Ramp& ramp, double seconds) -> void
    {
        if (ramp.m_usualDelay <= 0) {
            ramp.m_usualDelay = seconds;
            ramp.m_recentDelay = seconds;
            return;
        }
        ramp.m_usualDelay += usualDelayShare * (seconds - ramp.m_usualDelay);
        ramp.m_recentDelay += recentDelayShare * (seconds - ramp.m_recentDelay);
        const auto step = ramp.m_recentDelay > delayStepRatio * ramp.m_usualDelay
            && ramp.m_recentDelay > ramp.m_usualDelay + delayStepSeconds;
        if (!step)
            return;
        ramp.m_limit = std::max(ramp.m_bounds.m_start, ramp.m_limit / 2);
        ramp.m_usualDelay = ramp.m_recentDelay;
    }

} // namespace

auto makeRamp(const RampBounds& bounds) -> Ramp
{
    auto ramp = Ramp();
    ramp.m_bounds = bounds;
    ramp.m_limit = bounds.m_start;
    return ramp;
}

auto rampLimit(const Ramp& ramp) -> std::size_t
{
    const auto limit = ramp.m_confirmed ? ramp.m_limit : std::min(ramp.m_limit, ramp.m_bounds.m_start);
    return static_cast<std::size_t>(limit);
}

auto rampStarted(Ramp& ramp, std::size_t inFlight, MonotonicTime now) -> std::uint64_t
{
    if (inFlight > 0)
        return ramp.m_epoch;
    ramp.m_confirmed = false;
    if (ramp.m_bootId.empty() && now - ramp.m_idleSince >= coldAfterIdle)
        startAgain(ramp);
    return ramp.m_epoch;
}

auto rampAnswered(Ramp& ramp, std::uint64_t epoch, const std::string& bootId, double delaySeconds) -> bool
{
    if (epoch != ramp.m_epoch)
        return false;
    const auto restarted = !ramp.m_bootId.empty() && bootId != ramp.m_bootId;
    if (restarted)
        startAgain(ramp);
    else if (!bootId.empty())
        ramp.m_limit = std::max(ramp.m_limit, ramp.m_provenLimit);
    ramp.m_provenLimit = ramp.m_bounds.m_start;
    ramp.m_bootId = bootId;
    ramp.m_confirmed = true;
    noteDelay(ramp, delaySeconds);
    return restarted;
}

auto rampSucceeded(Ramp& ramp, std::uint64_t epoch) -> void
{
    if (epoch == ramp.m_epoch)
        ramp.m_limit = std::min(ramp.m_bounds.m_cap, ramp.m_limit + ramp.m_bounds.m_growth);
}

auto rampOverloaded(Ramp& ramp, std::uint64_t epoch) -> void
{
    if (epoch == ramp.m_epoch)
        ramp.m_limit = std::max(1.0, ramp.m_limit / 2);
}

auto rampBroken(Ramp& ramp, std::uint64_t epoch) -> void
{
    if (epoch == ramp.m_epoch)
        startAgain(ramp);
}

auto rampIdle(Ramp& ramp, MonotonicTime now) -> void
{
    ramp.m_idleSince = now;
    ramp.m_confirmed = false;
}

} // namespace marigoldladder
