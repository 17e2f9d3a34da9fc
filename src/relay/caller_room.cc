#include "relay/caller_room.h"

namespace marigoldladder::relay {

namespace {

    auto mayYieldMemory(const CallerPlace& place) -> bool
    {
        return place.m_phase == SessionPhase::Reading && place.m_memory.bytes() > 0;
    }

} // namespace

auto enterPhase(CallerPlace& place, SessionPhase phase) -> void
{
    place.m_phase = phase;
    place.m_since = std::chrono::steady_clock::now();
}

CallerRoom::CallerRoom(const NodeCapacity& capacity)
    : m_budget { capacity.m_callerBytes }
{
}

auto CallerRoom::closeIdle() -> void
{
    for (auto* place : m_places)
        place->m_closeIfIdle();
}

auto CallerRoom::nextToYield() const -> CallerPlace*
{
    auto* next = static_cast<CallerPlace*>(nullptr);
    for (auto* place : m_places) {
        if (mayYieldMemory(*place) && (!next || place->m_since < next->m_since))
            next = place;
    }
    return next;
}

auto CallerRoom::reserve(CallerPlace& place, std::size_t bytes) -> bool
{
    const auto charged = bytes > freeBytesOfConnection ? bytes - freeBytesOfConnection : 0;
    while (!place.m_memory.tryResize(charged)) {
        auto* yielding = nextToYield();
        if (!yielding || yielding == &place)
            return false;
        yielding->m_memory.release();
        yielding->m_refuse();
    }
    return true;
}

} // namespace marigoldladder::relay
