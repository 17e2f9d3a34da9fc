#include "wire/peer_link.h"

#include <algorithm>
#include <condition_variable>
#include <utility>

namespace marigoldladder {

namespace {

    constexpr auto connectTimeout = std::chrono::milliseconds(500);

} // namespace

// Where `call` waits for its answer.
struct PeerLink::CallSlot {
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_done = false;
    bool m_lost = false;
    wire::EnvelopeT m_answer;
};

auto PeerLink::connect(const Address& address, const PeerIdentity& self, Metrics& metrics,
    std::chrono::milliseconds timeout) -> Result<std::shared_ptr<PeerLink>>
{
    auto socket = connectTo(address, std::min(connectTimeout, timeout));
    if (!socket)
        return socket.error();
    auto connection = std::make_shared<PeerConnection>(std::move(socket.value()), metrics);
    if (!connection->handshakeAsClient(self, timeout))
        return notRun(FailureType::Unavailable, "no handshake with the peer at " + formatAddress(address));
    return std::make_shared<PeerLink>(std::move(connection));
}

PeerLink::PeerLink(std::shared_ptr<PeerConnection> connection)
    : m_connection(std::move(connection))
    , m_thread("peer-link", [this] { receiveLoop(); })
{
}

PeerLink::~PeerLink()
{
    m_connection->close();
}

auto PeerLink::busy() -> bool
{
    const auto lock = std::lock_guard(m_mutex);
    return !m_exchanges.empty();
}

auto PeerLink::registerExchange(AnswerHandler handler) -> std::uint64_t
{
    const auto lock = std::lock_guard(m_mutex);
    const auto correlation = m_nextCorrelation++;
    m_exchanges.emplace(correlation, std::make_shared<AnswerHandler>(std::move(handler)));
    return correlation;
}

auto PeerLink::closeExchange(std::uint64_t correlation) -> void
{
    const auto lock = std::lock_guard(m_mutex);
    m_exchanges.erase(correlation);
}

auto PeerLink::makeCallSlot() -> std::shared_ptr<CallSlot>
{
    return std::make_shared<CallSlot>();
}

auto PeerLink::slotHandler(const std::shared_ptr<CallSlot>& slot) -> AnswerHandler
{
    return [slot](wire::EnvelopeT* answer) {
        const auto lock = std::lock_guard(slot->m_mutex);
        slot->m_done = true;
        slot->m_lost = answer == nullptr;
        if (answer)
            slot->m_answer = std::move(*answer);
        slot->m_changed.notify_all();
        return false;
    };
}

auto PeerLink::awaitCall(CallSlot& slot, std::uint64_t correlation, std::chrono::milliseconds timeout)
    -> Result<wire::EnvelopeT>
{
    {
        auto lock = std::unique_lock(slot.m_mutex);
        slot.m_changed.wait_for(lock, timeout, [&] { return slot.m_done; });
    }
    closeExchange(correlation);
    const auto lock = std::lock_guard(slot.m_mutex);
    if (!slot.m_done)
        return mayHaveRun(FailureType::DeadlineExceeded, "no answer from " + peerVm().value());
    if (slot.m_lost)
        return mayHaveRun(FailureType::Unavailable, "connection to " + peerVm().value() + " lost");
    return std::move(slot.m_answer);
}

auto PeerLink::receiveLoop() -> void
{
    auto envelope = wire::EnvelopeT();
    while (m_connection->receive(envelope)) {
        auto handler = std::shared_ptr<AnswerHandler>();
        {
            const auto lock = std::lock_guard(m_mutex);
            const auto found = m_exchanges.find(envelope.correlation);
            if (found != m_exchanges.end())
                handler = found->second;
        }
        const auto correlation = envelope.correlation;
        if (handler && !(*handler)(&envelope))
            closeExchange(correlation);
    }
    failAllExchanges();
}

auto PeerLink::failAllExchanges() -> void
{
    auto exchanges = decltype(m_exchanges)();
    {
        const auto lock = std::lock_guard(m_mutex);
        exchanges.swap(m_exchanges);
    }
    for (const auto& [correlation, handler] : exchanges)
        (*handler)(nullptr);
}

} // namespace marigoldladder
