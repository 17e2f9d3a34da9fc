#include "relay/caller_room.h"

#include <optional>
#include <utility>

namespace marigoldladder::relay {

namespace {

    auto mayYieldMemory(const CallerPlace& place) -> bool
    {
        const auto waits = place.m_phase == SessionPhase::Reading || place.m_phase == SessionPhase::Answering;
        return waits && place.m_memory.bytes() > 0;
    }

    // The higher, the more a connection is needed. What hasn't brought a request yet may never do.
    enum class Need {
        Closing,
        NeverServed,
        Idle,
        Reading,
        Answering,
    };

    // Returns nothing while a request runs, which its caller is owed an answer to.
    auto needOf(const CallerPlace& place) -> std::optional<Need>
    {
        switch (place.m_phase) {
        case SessionPhase::Closing:
            return Need::Closing;
        case SessionPhase::Idle:
            return place.m_hasServed ? Need::Idle : Need::NeverServed;
        case SessionPhase::Reading:
            return place.m_hasServed ? Need::Reading : Need::NeverServed;
        case SessionPhase::Answering:
            return Need::Answering;
        case SessionPhase::Running:
            return std::nullopt;
        }
        return std::nullopt;
    }

    // Of equal need, the one that has waited for its caller for longest goes first.
    auto isNeededLess(const CallerPlace& left, const CallerPlace& right) -> bool
    {
        return std::pair(needOf(left), left.m_since) < std::pair(needOf(right), right.m_since);
    }

} // namespace

auto enterPhase(CallerPlace& place, SessionPhase phase) -> void
{
    place.m_phase = phase;
    place.m_since = std::chrono::steady_clock::now();
}

CallerRoom::CallerRoom(const NodeCapacity& capacity)
    : m_budget { capacity.m_callerBytes }
    , m_maxConnections(capacity.m_callerConnections)
{
}

auto CallerRoom::nextToClose() const -> CallerPlace*
{
    auto* next = static_cast<CallerPlace*>(nullptr);
    for (auto* place : m_places) {
        if (needOf(*place) && (!next || isNeededLess(*place, *next)))
            next = place;
    }
    return next;
}

auto CallerRoom::makeRoomForConnection() -> bool
{
    while (m_places.size() >= m_maxConnections) {
        auto* closed = nextToClose();
        if (!closed)
            return false;
        remove(*closed); // Its descriptor is free at once, though its session ends a little later.
        closed->m_close();
    }
    return true;
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
    while (!place.m_memory.tryResize(beyondFree(bytes))) {
        auto* yielding = nextToYield();
        if (!yielding || yielding == &place)
            return false;
        yielding->m_memory.release();
        yielding->m_giveUp();
    }
    return true;
}

} // namespace marigoldladder::relay
