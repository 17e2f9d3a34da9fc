// An answer as a caller of a relay node gets it.
#pragma once

#include <string>

namespace marigoldladder::platform {

// A caller's view of one answer.
struct CallerReply {
    int m_status = 0; // 0: no answer.
    std::string m_head; // Status line and headers.
    std::string m_body; // Without chunk framing.
    std::string m_rest; // All that came behind the head, as it came.
    bool m_complete = false; // The body is complete by its framing.
    bool m_closed = false; // The connection was closed after the answer.
};

// Reads what has come of an answer; its status is 0 before its head is whole.
auto parseReply(const std::string& text) -> CallerReply;

} // namespace marigoldladder::platform
