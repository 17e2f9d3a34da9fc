// An HTTP client of the library that bounds what an answer takes: time and bytes.
//
// The library's own timeouts end only a wait for bytes, and it keeps lines of a head, chunk lines and bodies
// of any length.
#pragma once

#include "marigoldladder/settings.h"

#include <chrono>
#include <cstddef>
#include <httplib.h>

namespace marigoldladder {

struct AnswerBounds {
    std::chrono::milliseconds m_connect { 500 };
    std::chrono::milliseconds m_silence { 2'000 }; // Without a byte, or without one being taken.
    std::chrono::milliseconds m_total { 2'000 }; // From the request's first byte to the answer's last one.
    std::size_t m_bytes = std::size_t { 16 } << 20; // Of head and body, framing included.
};

// An exchange that exceeds its bounds ends like one whose connection broke.
class BoundedClient : public httplib::ClientImpl {
public:
    BoundedClient(const Address&, const AnswerBounds&);

    // To be called from a receiver of the answer: so many further bytes may come before the next call.
    auto allowBytes(std::size_t) -> void;

private:
    class BoundedStream;

    auto process_socket(const Socket&, std::function<bool(httplib::Stream&)>) -> bool override;

    AnswerBounds m_bounds;
    std::size_t m_bytesLeft = 0;
};

} // namespace marigoldladder
