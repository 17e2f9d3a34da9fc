#include "relay/caller_server.h"

#include "relay/caller_session.h"
#include "relay/task.h"

namespace marigoldladder::relay {

namespace {

    auto runSession(std::shared_ptr<CallerSession> session) -> Awaitable<void>
    {
        co_await session->run();
    }

} // namespace

CallerServer::CallerServer(Executor executor, const NodeCapacity& capacity, RelayBoard& board,
    RequestRunner& runner, WaitList& waitList)
    : m_executor(std::move(executor))
    , m_board(board)
    , m_runner(runner)
    , m_waitList(waitList)
    , m_room(capacity.m_callers)
    , m_acceptor(m_executor)
{
}

auto CallerServer::listen(const Address& address) -> bool
{
    if (!openListener(m_acceptor, address))
        return false;
    auto startSession = [this](net::ip::tcp::socket socket) {
        if (!m_room.hasRoomForConnection())
            m_board.m_metrics.add(Counter::ConnectionsWithoutRoom);
        if (!m_room.makeRoomForConnection())
            return; // The socket closes itself.
        auto session
            = std::make_shared<CallerSession>(std::move(socket), m_room, m_board, m_runner, m_waitList);
        runTask(m_executor, "session", m_board.m_metrics, runSession(std::move(session)));
    };
    runLoop(m_executor, "accept " + formatAddress(address), m_board.m_metrics,
        [this, startSession] { return acceptConnections(m_acceptor, startSession); });
    return true;
}

} // namespace marigoldladder::relay
