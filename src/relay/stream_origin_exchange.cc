#include "relay/stream_origin_exchange.h"

#include "relay/peer_message.h"
#include "relay/task.h"

#include <algorithm>
#include <array>

namespace marigoldladder::relay {

namespace {

    using Clock = std::chrono::steady_clock;

    constexpr auto keepers = std::size_t { 3 }; // Of each origin, besides the node where the stream began.
    // More than keep it, since the views of the fleet differ after nodes were lost.
    constexpr auto askedNodes = std::size_t { 5 };
    // Asked next: the nodes that keep it may have been lost, or started again, and the one where the stream
    // began needn't be among the first.
    constexpr auto askedAgain = std::size_t { 20 };
    constexpr auto answerTimeout = Milliseconds(80);
    constexpr auto secondTimeout = Milliseconds(250); // A datagram may be lost, a node may pause.
    constexpr auto maxOriginsInNotice = std::size_t { 64 }; // About a kilobyte.
    constexpr auto longestStatedWatch = Milliseconds(std::chrono::hours(24));
    constexpr auto maxCandidates = std::size_t { 16 }; // That are read from an answer.

    struct Round {
        std::size_t m_nodes = 0;
        Milliseconds m_timeout { 0 };
    };

    constexpr auto rounds
        = std::array { Round { askedNodes, answerTimeout }, Round { askedAgain, secondTimeout } };

    // Returns the pools that a question names; nothing if the configuration lacks one of them.
    auto askedPools(const RelayBoard& board, const messages::OriginQuestion& question)
        -> std::optional<RoutePools>
    {
        auto pools = RoutePools();
        if (!board.m_configuration || !question.pools())
            return std::nullopt;
        const auto& asked = *question.pools();
        for (const auto& [name, pool] : board.m_configuration->m_pools) {
            if (std::find(asked.begin(), asked.end(), shortId(name.value())) != asked.end())
                pools.insert(name);
        }
        if (pools.size() != asked.size())
            return std::nullopt;
        return pools;
    }

} // namespace

StreamOriginExchange::StreamOriginExchange(Executor executor, RelayBoard& board, PeerSocket& socket,
    SoftwareWatch& software, Incarnation incarnation)
    : m_executor(std::move(executor))
    , m_board(board)
    , m_socket(socket)
    , m_software(software)
    , m_lastNumber(incarnation)
{
}

auto StreamOriginExchange::start() -> void
{
    m_software.start([this](SoftwareId software) { tellKeepersOf(software); });
}

// Streams that began while their software was alone become worth keeping elsewhere once it isn't.
auto StreamOriginExchange::tellKeepersOf(SoftwareId software) -> void
{
    sendNotices(localStreamsOf(m_origins, software, Clock::now()), software);
}

auto StreamOriginExchange::noteBegan(StreamKey stream, SoftwareId software) -> void
{
    recordOrigin(m_origins, stream, { software, Clock::now(), true });
    if (!m_software.isAlone(software))
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

auto StreamOriginExchange::find(StreamKey stream, RoutePools pools) -> Awaitable<FoundOrigin>
{
    auto found = FoundOrigin();
    found.m_software = findOrigin(m_origins, stream, Clock::now());
    if (found.m_software) {
        found.m_source = OriginSource::ThisNode;
        co_return found;
    }
    for (const auto& round : rounds) {
        const auto nodes = originKeepers(m_board.m_fleet, stream, round.m_nodes, Clock::now());
        const auto others = co_await ask(stream, pools, nodes, round.m_timeout);
        found = judge(stream, pools, others);
        found.m_nodesAsked = nodes.size();
        if (found.m_software)
            break;
    }
    co_return found;
}

auto StreamOriginExchange::judge(
    StreamKey stream, const RoutePools& pools, const std::vector<OriginKnowledge>& others) -> FoundOrigin
{
    const auto local = OriginKnowledge { findOrigin(m_origins, stream, Clock::now()),
        m_software.candidatesFor(pools), m_software.knowsAll(), m_software.watchedFor() };
    return judgeOrigin(local, others);
}

auto StreamOriginExchange::ask(StreamKey stream, const RoutePools& pools, const std::vector<Address>& nodes,
    Milliseconds timeout) -> Awaitable<std::vector<OriginKnowledge>>
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
    if (const auto pools = askedPools(m_board, question)) {
        answer.candidates = m_software.candidatesFor(*pools);
        answer.knows_all = m_software.knowsAll();
    }
    answer.watched_ms
        = static_cast<std::uint32_t>(std::min(m_software.watchedFor(), longestStatedWatch).count());
    m_socket.send(from, encodeDatagram(answer));
}

auto StreamOriginExchange::handle(const messages::OriginAnswer& answer) -> void
{
    const auto found = m_questions.find(answer.number());
    if (found == m_questions.end())
        return;
    auto knowledge = OriginKnowledge();
    knowledge.m_knowsAll = answer.knows_all();
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
