// Room at an upstream that was granted for one request.
#pragma once

#include "relay/room_grants.h"

#include <functional>
#include <utility>

namespace marigoldladder::relay {

// Reports the end of the request when it is destroyed.
class RoomPermit {
public:
    explicit RoomPermit(std::function<void(RoomEnd)> reportEnd)
        : m_reportEnd(std::move(reportEnd))
    {
    }
    ~RoomPermit() { m_reportEnd(m_end); }
    RoomPermit(const RoomPermit&) = delete;
    auto operator=(const RoomPermit&) -> RoomPermit& = delete;

    auto setEnd(RoomEnd end) -> void { m_end = end; }

private:
    std::function<void(RoomEnd)> m_reportEnd;
    RoomEnd m_end = RoomEnd::Unknown;
};

} // namespace marigoldladder::relay
