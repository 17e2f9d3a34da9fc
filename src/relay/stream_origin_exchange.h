// Tells other nodes which software began this node's streams, and asks them about streams that callers take
// up here.
#pragma once

#include "relay/peer_socket.h"
#include "relay/relay_board.h"
#include "relay/relay_settings.h"
#include "relay/stream_origins.h"

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <set>

namespace marigoldladder::relay::messages {
struct OriginNotice;
struct OriginQuestion;
struct OriginAnswer;
} // namespace marigoldladder::relay::messages

namespace marigoldladder::relay {

class StreamOriginExchange {
public:
    StreamOriginExchange(Executor, RelayBoard&, PeerSocket&, Incarnation);

    // Starts to watch for pools that get a second version of their software.
    auto start() -> void;

    // Records the software that began the stream. Called before the caller gets the first event, so that
    // other nodes know it when the caller comes back.
    auto noteBegan(StreamKey, SoftwareId) -> void;

    // Finds the software at which a stream of one of these pools may go on. Takes no longer than two round
    // trips between nodes, or two short timeouts if some don't answer.
    auto find(StreamKey, std::vector<PoolName>) -> Awaitable<FoundOrigin>;

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

    auto watchPools() -> Awaitable<void>;
    // Begins the watch again if this node stood still or lost its view of the upstreams since the last call.
    auto updateWatch() -> void;
    // Whether the last call of `updateWatch` is too long ago, as after the node was frozen.
    auto stoodStill(MonotonicTime now) const -> bool;
    auto watchedFor() const -> Milliseconds;
    auto updateSharingSoftware() -> void;
    auto sendNotices(const std::vector<StreamKey>&, SoftwareId) -> void;
    auto judge(StreamKey, const std::vector<PoolName>&, const std::vector<OriginKnowledge>& others) const
        -> FoundOrigin;
    auto ask(StreamKey, const std::vector<PoolName>&, const std::vector<Address>& nodes, Milliseconds timeout)
        -> Awaitable<std::vector<OriginKnowledge>>;
    // Whether this node knows by itself which software has served, as no other node can have begun a stream,
    // or as it has run for long enough.
    auto mayJudgeAlone() const -> bool;
    auto candidatesOf(const std::vector<PoolName>&) const -> std::vector<SoftwareId>;

    Executor m_executor;
    RelayBoard& m_board;
    PeerSocket& m_socket;
    StreamOrigins m_origins;
    MonotonicTime m_startedAt {};
    std::optional<MonotonicTime> m_watchedSince; // Empty: the list of upstreams hasn't been read.
    MonotonicTime m_lastWatchAt {};
    std::set<SoftwareId> m_sharing; // Software whose pool has, or lately had, other versions beside it.
    std::uint64_t m_lastNumber; // Of a question; starts at one that no earlier process has used.
    std::map<std::uint64_t, Question*> m_questions; // By number; each lives in its call of `ask`.
};

} // namespace marigoldladder::relay
