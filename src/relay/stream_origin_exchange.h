// Tells other nodes which software began this node's streams, and asks them about streams that callers take
// up here.
#pragma once

#include "relay/peer_socket.h"
#include "relay/relay_board.h"
#include "relay/software_watch.h"
#include "relay/stream_origins.h"

#include <boost/asio/steady_timer.hpp>
#include <map>

namespace marigoldladder::relay::messages {
struct OriginNotice;
struct OriginQuestion;
struct OriginAnswer;
} // namespace marigoldladder::relay::messages

namespace marigoldladder::relay {

class StreamOriginExchange {
public:
    StreamOriginExchange(Executor, RelayBoard&, PeerSocket&, SoftwareWatch&, Incarnation);

    // Starts to watch the upstreams' software.
    auto start() -> void;

    // Records the software that began the stream. Called before the caller gets the first event, so that
    // other nodes know it when the caller comes back.
    auto noteBegan(StreamKey, SoftwareId) -> void;

    // Finds the software at which a stream may go on that is taken up on a route to these pools. Takes no
    // longer than two round trips between nodes, or two short timeouts if some don't answer.
    auto find(StreamKey, RoutePools) -> Awaitable<FoundOrigin>;

    // Handle messages received from peers.
    auto handle(const messages::OriginNotice&) -> void;
    auto handle(const messages::OriginQuestion&, const Address& from) -> void;
    auto handle(const messages::OriginAnswer&) -> void;

private:
    // A question that was sent to several nodes.
    struct Question {
        net::steady_timer m_timer; // Cancelled when no further answer is needed.
        std::size_t m_asked = 0;
        std::vector<OriginKnowledge> m_answers;
    };

    auto tellKeepersOf(SoftwareId) -> void;
    auto sendNotices(const std::vector<StreamKey>&, SoftwareId) -> void;
    auto judge(StreamKey, const RoutePools&, const std::vector<OriginKnowledge>& others) -> FoundOrigin;
    auto ask(StreamKey, const RoutePools&, const std::vector<Address>& nodes, Milliseconds timeout)
        -> Awaitable<std::vector<OriginKnowledge>>;

    Executor m_executor;
    RelayBoard& m_board;
    PeerSocket& m_socket;
    SoftwareWatch& m_software;
    StreamOrigins m_origins;
    std::uint64_t m_lastNumber; // Of a question; starts at one that no earlier process has used.
    std::map<std::uint64_t, Question*> m_questions; // By number; each lives in its call of `ask`.
};

} // namespace marigoldladder::relay
