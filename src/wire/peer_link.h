// The client's side of a connection to a peer, with many exchanges at once over it.
#pragma once

#include "core/posix_thread.h"
#include "wire/peer_connection.h"

#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace marigoldladder {

// Called on the link's receiving thread for each answer, and with null once if the connection is lost
// before the exchange is closed. Returns whether more answers are expected; if not, the exchange is
// closed. It must not wait for this link.
using AnswerHandler = std::function<bool(wire::EnvelopeT*)>;

class PeerLink {
public:
    // Connects and proves itself; fails with `NotRun`, as no request has been sent.
    static auto connect(const Address&, const PeerIdentity&, Metrics&,
        std::chrono::milliseconds timeout = handshakeTimeout) -> Result<std::shared_ptr<PeerLink>>;

    explicit PeerLink(std::shared_ptr<PeerConnection>);
    PeerLink(const PeerLink&) = delete;
    auto operator=(const PeerLink&) -> PeerLink& = delete;
    ~PeerLink();

    auto peerVm() const -> const VmName& { return m_connection->peerVm(); }
    auto peerIncarnation() const -> Incarnation { return m_connection->peerIncarnation(); }
    auto alive() const -> bool { return m_connection->alive(); }

    // Whether an exchange is open.
    auto busy() -> bool;

    // Opens an exchange and sends its first message. Returns its correlation number, or nothing when the
    // connection was lost before or while sending; the handler is then not called.
    template <typename Message>
    auto open(Message message, AnswerHandler handler) -> std::optional<std::uint64_t>
    {
        const auto correlation = registerExchange(std::move(handler));
        if (m_connection->send(makeEnvelope(correlation, std::move(message))))
            return correlation;
        closeExchange(correlation);
        return std::nullopt;
    }

    // Sends a further message of an open exchange.
    template <typename Message> auto send(std::uint64_t correlation, Message message) -> bool
    {
        return m_connection->send(makeEnvelope(correlation, std::move(message)));
    }

    // Later answers of the exchange are dropped.
    auto closeExchange(std::uint64_t correlation) -> void;

    // Sends a message and waits for its one answer. A failure after sending is `MayHaveRun`.
    template <typename Message>
    auto call(Message message, std::chrono::milliseconds timeout) -> Result<wire::EnvelopeT>
    {
        auto slot = makeCallSlot();
        const auto correlation = open(std::move(message), slotHandler(slot));
        if (!correlation)
            return mayHaveRun(FailureType::Unavailable, "connection to " + peerVm().value() + " lost");
        return awaitCall(*slot, *correlation, timeout);
    }

private:
    struct CallSlot;

    static auto makeCallSlot() -> std::shared_ptr<CallSlot>;
    static auto slotHandler(const std::shared_ptr<CallSlot>&) -> AnswerHandler;
    auto registerExchange(AnswerHandler) -> std::uint64_t;
    auto awaitCall(CallSlot&, std::uint64_t correlation, std::chrono::milliseconds timeout)
        -> Result<wire::EnvelopeT>;
    auto receiveLoop() -> void;
    auto failAllExchanges() -> void;

    std::shared_ptr<PeerConnection> m_connection;
    std::mutex m_mutex;
    std::unordered_map<std::uint64_t, std::shared_ptr<AnswerHandler>> m_exchanges;
    std::uint64_t m_nextCorrelation = 1;
    PosixThread m_thread;
};

} // namespace marigoldladder
