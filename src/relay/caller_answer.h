// Writes one answer to a caller: whole, or event by event.
#pragma once

#include "marigoldladder/verdict.h"
#include "relay/dialect.h"
#include "relay/tcp.h"

#include <string>
#include <string_view>

namespace marigoldladder::relay {

// An answer of this node's own.
struct LocalAnswer {
    unsigned m_status = 503;
    Failure m_failure;
};

// How an answer on a connection ended.
enum class SendOutcome {
    Sent,
    CallerGone,
};

class CallerAnswer {
public:
    // `keepAlive` tells whether the connection serves further requests after a complete answer.
    CallerAnswer(tcp_stream&, bool keepAlive);

    // Sends an upstream's answer whose body is whole.
    auto sendWhole(unsigned status, const HeaderFields&, std::string_view body, bool bodyless)
        -> Awaitable<SendOutcome>;

    // Sends an answer of this node's own, with a JSON body that gives its verdict.
    auto sendLocalAnswer(const LocalAnswer&) -> Awaitable<SendOutcome>;

    // Prepares an upstream's answer whose body comes bit by bit; its head goes out with the first bytes.
    auto beginStream(unsigned status, const HeaderFields&) -> void;
    auto sendPart(std::string_view data) -> Awaitable<SendOutcome>;
    auto endStream() -> Awaitable<SendOutcome>;

    // Whether a stream was begun, so that no other answer can be given any more.
    auto begun() const -> bool { return m_begun; }
    // Whether the answer is whole and the connection may go on.
    auto reusable() const -> bool { return m_complete && m_keepAlive; }
    auto complete() const -> bool { return m_complete; }
    // Ends the connection with this answer.
    auto closeAfter() -> void { m_keepAlive = false; }

private:
    auto write(std::string) -> Awaitable<SendOutcome>;
    auto head(unsigned status, const HeaderFields&) const -> std::string;

    tcp_stream& m_stream;
    bool m_keepAlive;
    bool m_begun = false;
    bool m_complete = false;
    std::string m_pendingHead;
};

} // namespace marigoldladder::relay
