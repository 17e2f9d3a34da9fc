#include "core/connection_room.h"

#include <optional>
#include <utility>

namespace marigoldladder {

namespace {

    auto mayYieldMemory(const ConnectionPlace& place) -> bool
    {
        const auto waits
            = place.m_phase == ConnectionPhase::Reading || place.m_phase == ConnectionPhase::Answering;
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
    auto needOf(const ConnectionPlace& place) -> std::optional<Need>
    {
        switch (place.m_phase) {
        case ConnectionPhase::Closing:
            return Need::Closing;
        case ConnectionPhase::Idle:
            return place.m_hasServed ? Need::Idle : Need::NeverServed;
        case ConnectionPhase::Reading:
            return place.m_hasServed ? Need::Reading : Need::NeverServed;
        case ConnectionPhase::Answering:
            return Need::Answering;
        case ConnectionPhase::Running:
            return std::nullopt;
        }
        return std::nullopt;
    }

    // Of equal need, the one that has waited for its caller for longest goes first.
    auto isNeededLess(const ConnectionPlace& left, const ConnectionPlace& right) -> bool
    {
        return std::pair(needOf(left), left.m_since) < std::pair(needOf(right), right.m_since);
    }

} // namespace

auto enterPhase(ConnectionPlace& place, ConnectionPhase phase) -> void
{
    place.m_phase = phase;
    place.m_since = std::chrono::steady_clock::now();
}

ConnectionRoom::ConnectionRoom(const ConnectionBounds& bounds)
    : m_budget { bounds.m_heldBytes }
    , m_maxConnections(bounds.m_connections)
{
}

auto ConnectionRoom::nextToClose() const -> ConnectionPlace*
{
    auto* next = static_cast<ConnectionPlace*>(nullptr);
    for (auto* place : m_places) {
        if (needOf(*place) && (!next || isNeededLess(*place, *next)))
            next = place;
    }
    return next;
}

auto ConnectionRoom::closeOne() -> bool
{
    auto* closed = nextToClose();
    if (!closed)
        return false;
    remove(*closed); // It takes nothing any more, though whoever serves it ends a little later.
    closed->m_close();
    return true;
}

auto ConnectionRoom::makeRoomForConnection() -> bool
{
    while (m_places.size() >= m_maxConnections) {
        if (!closeOne())
            return false;
    }
    return true;
}

auto ConnectionRoom::closeIdle() -> void
{
    for (auto* place : m_places)
        place->m_closeIfIdle();
}

auto ConnectionRoom::nextToYield() const -> ConnectionPlace*
{
    auto* next = static_cast<ConnectionPlace*>(nullptr);
    for (auto* place : m_places) {
        if (mayYieldMemory(*place) && (!next || place->m_since < next->m_since))
            next = place;
    }
    return next;
}

auto ConnectionRoom::reserve(ConnectionPlace& place, std::size_t bytes) -> bool
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

} // namespace marigoldladder
