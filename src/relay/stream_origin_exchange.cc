#include "relay/stream_origin_exchange.h"

#include "relay/peer_message.h"
#include "relay/task.h"

#include <algorithm>

namespace marigoldladder::relay {

namespace {

    using Clock = std::chrono::steady_clock;

    constexpr auto keepers = std::size_t { 3 }; // Of each origin, besides the node where the stream began.
    // More than keep it, since the views of the fleet differ after nodes were lost.
    constexpr auto askedNodes = std::size_t { 5 };
    constexpr auto answerTimeout = Milliseconds(80);
    constexpr auto secondTimeout = Milliseconds(250); // A datagram may be lost, a node may pause.
    constexpr auto watchInterval = Milliseconds(100);
    // A node that stood still for longer may have missed upstreams that came and went.
    constexpr auto longestWatchPause = Milliseconds(1'000);
    constexpr auto maxOriginsInNotice = std::size_t { 64 }; // About a kilobyte.
    constexpr auto longestStatedWatch = Milliseconds(std::chrono::hours(24));
    constexpr auto maxCandidates = std::size_t { 16 }; // That are read from an answer.

    auto poolsOf(const RelayBoard& board) -> std::vector<PoolName>
    {
        auto pools = std::vector<PoolName>();
        if (!board.m_configuration)
            return pools;
        for (const auto& [name, pool] : board.m_configuration->m_pools)
            pools.push_back(name);
        return pools;
    }

} // namespace

StreamOriginExchange::StreamOriginExchange(
    Executor executor, RelayBoard& board, PeerSocket& socket, Incarnation incarnation)
    : m_executor(std::move(executor))
    , m_board(board)
    , m_socket(socket)
    , m_lastNumber(incarnation)
{
}

auto StreamOriginExchange::start() -> void
{
    m_startedAt = Clock::now();
    runLoop(m_executor, "stream_origins", m_board.m_metrics, [this] { return watchPools(); });
}

auto StreamOriginExchange::watchPools() -> Awaitable<void>
{
    for (;;) {
        updateWatch();
        updateSharingSoftware();
        co_await sleepFor(watchInterval);
    }
}

auto StreamOriginExchange::updateWatch() -> void
{
    const auto now = Clock::now();
    if (stoodStill(now) || !m_board.m_upstreams.m_known)
        m_watchedSince.reset();
    if (!m_watchedSince && m_board.m_upstreams.m_known)
        m_watchedSince = now;
    m_lastWatchAt = now;
}

auto StreamOriginExchange::stoodStill(MonotonicTime now) const -> bool
{
    return m_lastWatchAt + longestWatchPause < now;
}

auto StreamOriginExchange::watchedFor() const -> Milliseconds
{
    const auto now = Clock::now();
    if (!m_watchedSince || stoodStill(now))
        return Milliseconds(0);
    return std::chrono::duration_cast<Milliseconds>(now - *m_watchedSince);
}

// Streams that began while their pool had one version become worth keeping elsewhere as it gets a second one.
auto StreamOriginExchange::updateSharingSoftware() -> void
{
    const auto now = Clock::now();
    auto sharing = std::set<SoftwareId>();
    for (const auto& pool : poolsOf(m_board)) {
        const auto software = softwareOf(m_board.m_upstreams, pool, now);
        if (software.size() > 1)
            sharing.insert(software.begin(), software.end());
    }
    for (const auto software : sharing) {
        if (!m_sharing.contains(software))
            sendNotices(localStreamsOf(m_origins, software, now), software);
    }
    m_sharing = std::move(sharing);
}

auto StreamOriginExchange::noteBegan(StreamKey stream, SoftwareId software) -> void
{
    recordOrigin(m_origins, stream, { software, Clock::now(), true });
    if (m_sharing.contains(software))
        sendNotices({ stream }, software);
}

auto StreamOriginExchange::sendNotices(const std::vector<StreamKey>& streams, SoftwareId software) -> void
{
    const auto now = Clock::now();
    auto notices = std::map<std::string, std::pair<Address, messages::OriginNoticeT>>();
    const auto send
        = [this](const auto& addressed) { m_socket.send(addressed.first, encodeDatagram(addressed.second)); };
    for (const auto stream : streams) {
        for (const auto& keeper : originKeepers(m_board.m_fleet, stream, keepers, now)) {
            auto& addressed = notices[formatAddress(keeper)];
            addressed.first = keeper;
            auto& origins = addressed.second.origins;
            origins.emplace_back(stream, software);
            if (origins.size() < maxOriginsInNotice)
                continue;
            send(addressed);
            origins.clear();
        }
    }
    for (const auto& [text, addressed] : notices) {
        if (!addressed.second.origins.empty())
            send(addressed);
    }
}

auto StreamOriginExchange::candidatesOf(const std::vector<PoolName>& pools) const -> std::vector<SoftwareId>
{
    auto candidates = std::vector<SoftwareId>();
    for (const auto& pool : pools) {
        const auto software = softwareOf(m_board.m_upstreams, pool, Clock::now());
        candidates.insert(candidates.end(), software.begin(), software.end());
    }
    return candidates;
}

auto StreamOriginExchange::find(StreamKey stream, std::vector<PoolName> pools) -> Awaitable<FoundOrigin>
{
    auto found = FoundOrigin();
    found.m_software = findOrigin(m_origins, stream, Clock::now());
    if (found.m_software) {
        found.m_source = OriginSource::ThisNode;
        co_return found;
    }
    for (const auto timeout : { answerTimeout, secondTimeout }) {
        const auto nodes = originKeepers(m_board.m_fleet, stream, askedNodes, Clock::now());
        const auto others = co_await ask(stream, pools, nodes, timeout);
        found = judge(stream, pools, others);
        found.m_nodesAsked = nodes.size();
        if (found.m_software)
            break;
    }
    co_return found;
}

auto StreamOriginExchange::judge(StreamKey stream, const std::vector<PoolName>& pools,
    const std::vector<OriginKnowledge>& others) const -> FoundOrigin
{
    const auto local
        = OriginKnowledge { findOrigin(m_origins, stream, Clock::now()), candidatesOf(pools), watchedFor() };
    auto found = judgeOrigin(local, others);
    if (others.empty() && !local.m_software && !mayJudgeAlone())
        found.m_software.reset();
    return found;
}

auto StreamOriginExchange::mayJudgeAlone() const -> bool
{
    const auto& fleet = m_board.m_fleet;
    const auto isAlone = fleet.m_membersRead && fleet.m_peers.empty();
    return isAlone || m_startedAt + streamLifetime <= Clock::now();
}

auto StreamOriginExchange::ask(StreamKey stream, const std::vector<PoolName>& pools,
    const std::vector<Address>& nodes, Milliseconds timeout) -> Awaitable<std::vector<OriginKnowledge>>
{
    auto message = messages::OriginQuestionT();
    message.number = ++m_lastNumber;
    message.stream = stream;
    for (const auto& pool : pools)
        message.pools.push_back(shortId(pool.value()));
    const auto datagram = encodeDatagram(message);
    for (const auto& node : nodes)
        m_socket.send(node, datagram);
    auto question = Question { net::steady_timer(m_executor, timeout), nodes.size(), {} };
    if (nodes.empty())
        co_return std::move(question.m_answers);
    m_questions[message.number] = &question;
    auto error = ErrorCode();
    co_await question.m_timer.async_wait(errorTo(error));
    m_questions.erase(message.number);
    co_return std::move(question.m_answers);
}

auto StreamOriginExchange::handle(const messages::OriginNotice& notice) -> void
{
    if (!notice.origins())
        return;
    for (const auto* origin : *notice.origins())
        recordOrigin(m_origins, origin->stream(), { origin->software(), Clock::now(), false });
}

auto StreamOriginExchange::handle(const messages::OriginQuestion& question, const Address& from) -> void
{
    auto answer = messages::OriginAnswerT();
    answer.number = question.number();
    answer.software = findOrigin(m_origins, question.stream(), Clock::now()).value_or(0);
    auto pools = poolsOf(m_board);
    std::erase_if(pools, [&](const PoolName& pool) {
        const auto* asked = question.pools();
        return !asked || std::find(asked->begin(), asked->end(), shortId(pool.value())) == asked->end();
    });
    answer.candidates = candidatesOf(pools);
    answer.watched_ms = static_cast<std::uint32_t>(std::min(watchedFor(), longestStatedWatch).count());
    m_socket.send(from, encodeDatagram(answer));
}

auto StreamOriginExchange::handle(const messages::OriginAnswer& answer) -> void
{
    const auto found = m_questions.find(answer.number());
    if (found == m_questions.end())
        return;
    auto knowledge = OriginKnowledge();
    knowledge.m_watchedFor = Milliseconds(answer.watched_ms());
    if (answer.software() != 0)
        knowledge.m_software = answer.software();
    if (const auto* candidates = answer.candidates()) {
        const auto count = std::min<std::size_t>(candidates->size(), maxCandidates);
        knowledge.m_candidates.assign(candidates->begin(), candidates->begin() + count);
    }
    auto& question = *found->second;
    question.m_answers.push_back(std::move(knowledge));
    if (question.m_answers.back().m_software || question.m_answers.size() >= question.m_asked)
        question.m_timer.cancel();
}

} // namespace marigoldladder::relay
