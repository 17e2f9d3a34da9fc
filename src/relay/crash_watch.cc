#include "relay/crash_watch.h"

#include "core/log.h"
#include "relay/blackboard_updates.h"
#include "relay/rendezvous_hash.h"
#include "relay/task.h"
#include "relay/upstream_health.h"

#include <algorithm>
#include <charconv>
#include <xxhash.h>

namespace marigoldladder::relay {

namespace {

    using Clock = std::chrono::steady_clock;

    constexpr auto checkDelay = Milliseconds(15);
    constexpr auto checkTimeout = Milliseconds(500);
    constexpr auto judgeInterval = Milliseconds(50);
    constexpr auto minRetryAfter = Milliseconds(1'000);
    constexpr auto maxLoggedSuspects = std::size_t { 8 };
    constexpr auto maxPosition = std::size_t { 255 };

    // Longer than it takes until the other nodes know of a trial.
    constexpr auto trialStaggerInSmallFleet = Milliseconds(400);
    constexpr auto trialStaggerInLargeFleet = Milliseconds(2'500);

    // Hashes path, organisation and body, so that a request is recognised when it is sent under another id.
    auto fingerprintOf(const CallState& state) -> std::uint64_t
    {
        const auto target
            = std::string_view(state.m_message.target().data(), state.m_message.target().size());
        const auto path = target.substr(0, target.find('?'));
        const auto& body = state.m_message.body();
        const auto& organisation = state.m_organisation.value();
        // Each hash is the seed of the next.
        const auto pathHash = XXH3_64bits(path.data(), path.size());
        const auto organisationHash
            = XXH3_64bits_withSeed(organisation.data(), organisation.size(), pathHash);
        return XXH3_64bits_withSeed(body.data(), body.size(), organisationHash);
    }

    auto runIdOf(const Upstream& upstream) -> UpstreamRunId
    {
        const auto& name = upstream.m_record.m_name.value();
        return static_cast<UpstreamRunId>(
            XXH3_64bits_withSeed(name.data(), name.size(), upstream.m_record.m_startedAt));
    }

    auto formatSuspect(const Suspect& suspect) -> std::string
    {
        constexpr auto hexadecimal = 16;
        auto digits = std::array<char, hexadecimal>();
        const auto [end, error]
            = std::to_chars(digits.data(), digits.data() + digits.size(), suspect.m_id, hexadecimal);
        return std::string(nameOf(suspectKindNames, suspect.m_kind)) + " " + std::string(digits.data(), end);
    }

    // Whether the call was at work on an answer of which the caller has a part. A resumed run is, also before
    // it sends an event: runs got past the request's beginning.
    auto isInAnswer(const CallState& state, const CallProgress& call) -> bool
    {
        return call.m_answerBegan || resumesAnswer(state);
    }

    // Sorts the requests by how likely they are the cause: those without an answer, and then those that were
    // sent last, come first.
    auto sortByLikelihood(std::vector<BrokenRequest>& requests) -> void
    {
        std::stable_sort(requests.begin(), requests.end(), [](const auto& left, const auto& right) {
            if (left.m_answerBegan != right.m_answerBegan)
                return !left.m_answerBegan;
            return left.m_sentAt > right.m_sentAt;
        });
    }

    // Returns one notice for each suspect, those that have other causes less likely first.
    auto noticesOf(const std::vector<BrokenRequest>& requests, UpstreamRunId run, MonotonicTime crashedAt)
        -> std::vector<CrashNotice>
    {
        auto notices = std::vector<CrashNotice>();
        for (const auto& request : requests) {
            const auto& suspects = request.m_suspects;
            for (auto index = std::size_t { 0 }; index < suspects.size(); ++index) {
                const auto isListed = [&](const auto& notice) { return notice.m_suspect == suspects[index]; };
                if (notices.size() >= maxSuspectsPerCrash
                    || std::any_of(notices.begin(), notices.end(), isListed))
                    continue;
                const auto position = static_cast<std::uint8_t>(std::min(index, maxPosition));
                notices.push_back({ suspects[index], run, crashedAt, position, ReportSource::Self });
            }
        }
        return notices;
    }

} // namespace

auto suspectsOf(const CallState& state) -> std::vector<Suspect>
{
    auto suspects = std::vector<Suspect>();
    suspects.reserve(state.m_request.m_sharedParts.size() + 1);
    for (const auto part : state.m_request.m_sharedParts)
        suspects.push_back({ SuspectKind::PromptPart, part });
    suspects.push_back({ SuspectKind::Request, fingerprintOf(state) });
    return suspects;
}

auto resumesAnswer(const CallState& state) -> bool
{
    return !state.m_lastEventId.empty() || !state.m_request.m_lastEventId.empty();
}

CrashWatch::CrashWatch(
    Executor executor, const RelaySettings& settings, RelayBoard& board, UpstreamConnector& connector)
    : m_executor(std::move(executor))
    , m_settings(settings)
    , m_board(board)
    , m_connector(connector)
{
}

auto CrashWatch::noteBroken(const UpstreamPointer& upstream, const CallState& state, const CallProgress& call)
    -> void
{
    auto& broken = m_broken[upstream.get()];
    if (++broken.m_requests == 1) {
        broken.m_firstAt = Clock::now();
        runTask(m_executor, "crash_check", m_board.m_metrics, check(upstream));
    }
    auto suspects = isInAnswer(state, call) ? suspectsDuringAnswer(state.m_suspects) : state.m_suspects;
    broken.m_cut.push_back({ std::move(suspects), call.m_answerBegan, call.m_versions.m_sentAt });
}

// Checks whether connections broke because the upstream crashed: after a crash, new connections are refused.
auto CrashWatch::check(UpstreamPointer upstream) -> Awaitable<void>
{
    co_await sleepFor(checkDelay);
    auto stream = tcp_stream(m_executor);
    const auto result = co_await m_connector.connect(stream, upstream, checkTimeout);
    auto broken = std::move(m_broken[upstream.get()]);
    m_broken.erase(upstream.get());
    const auto refused = result.m_outcome == ConnectOutcome::Refused;
    if (result.m_nobodyListens)
        recordNobodyListens(*upstream, Clock::now());
    // One that said that it would leave has ended as it said.
    if (!refused || upstream->m_record.m_leaving)
        co_return;
    recordCallEnd(upstream->m_health, CallEnd::TimedOut, Clock::now());
    recordCrashOf(*upstream, std::move(broken));
}

auto CrashWatch::recordCrashOf(const Upstream& upstream, BrokenConnections broken) -> void
{
    sortByLikelihood(broken.m_cut);
    const auto notices = noticesOf(broken.m_cut, runIdOf(upstream), broken.m_firstAt);
    const auto unanswered = std::count_if(
        broken.m_cut.begin(), broken.m_cut.end(), [](const auto& request) { return !request.m_answerBegan; });
    auto names = std::string();
    for (auto index = std::size_t { 0 }; index < notices.size(); ++index) {
        recordCrash(m_board.m_crashEvidence, notices[index], Clock::now());
        if (index < maxLoggedSuspects)
            names += (names.empty() ? "" : ", ") + formatSuspect(notices[index].m_suspect);
    }
    m_board.m_metrics.add(Counter::UpstreamCrashes);
    logChange("upstream_crashed",
        { { "upstream", upstream.m_record.m_name.value() }, { "requests", std::to_string(broken.m_requests) },
            { "unanswered", std::to_string(unanswered) }, { "suspects", names } });
    if (!notices.empty())
        m_board.m_crashEvidenceChanged();
}

auto CrashWatch::judge() -> void
{
    auto& evidence = m_board.m_crashEvidence;
    const auto now = Clock::now();
    if (evidence.m_records.empty() || m_judgedAt + judgeInterval > now)
        return;
    m_judgedAt = now;
    dropOldEvidence(evidence, now);
    const auto convicted = convictSuspects(evidence, m_board.m_upstreams.m_upstreams.size(), now);
    for (const auto& suspect : convicted) {
        m_board.m_metrics.add(Counter::SuspectsConvicted);
        const auto crashes = evidence.m_records.at(suspect).m_crashes.size();
        logChange("suspect_convicted",
            { { "suspect", formatSuspect(suspect) }, { "crashes", std::to_string(crashes) } });
    }
    if (!convicted.empty())
        m_board.m_crashEvidenceChanged();
}

// The nodes' order for a suspect's trials differs from suspect to suspect.
auto CrashWatch::trialWait(const Suspect& suspect) const -> Milliseconds
{
    const auto own = rendezvousRank(m_settings.m_vm, suspect.m_id);
    const auto now = Clock::now();
    const auto& peers = m_board.m_fleet.m_peers;
    const auto earlier = std::count_if(peers.begin(), peers.end(), [&](const auto& entry) {
        return rendezvousRank(entry.first, suspect.m_id) < own && isAlive(entry.second, now);
    });
    const auto stagger = isSmallFleet(m_board.m_fleet) ? trialStaggerInSmallFleet : trialStaggerInLargeFleet;
    return stagger * earlier;
}

auto CrashWatch::refusalFor(const Suspect& suspect) -> Failure
{
    m_board.m_metrics.add(Counter::PoisonRefusals);
    auto failure = notRun(FailureType::Unavailable,
        "upstreams crash under this " + formatSuspect(suspect) + "; it is not sent");
    const auto dueAt = trialDueAt(m_board.m_crashEvidence, suspect, Milliseconds(0));
    failure.m_retryAfter
        = std::max(minRetryAfter, std::chrono::duration_cast<Milliseconds>(dueAt - Clock::now()));
    return failure;
}

auto CrashWatch::findConvictedOf(const CallState& state) const -> std::optional<Suspect>
{
    const auto& evidence = m_board.m_crashEvidence;
    if (evidence.m_convictions == 0)
        return std::nullopt;
    const auto suspect = findConvicted(evidence, state.m_suspects);
    return suspect ? suspect : findConvicted(evidence, suspectsDuringAnswer(state.m_suspects));
}

auto CrashWatch::refusalOf(const CallState& state) -> std::optional<Failure>
{
    judge();
    const auto suspect = findConvictedOf(state);
    if (!suspect || trialDueAt(m_board.m_crashEvidence, *suspect, trialWait(*suspect)) <= Clock::now())
        return std::nullopt;
    return refusalFor(*suspect);
}

auto CrashWatch::refusalAtDispatch(const CallState& state) -> std::optional<Failure>
{
    judge();
    const auto suspect = findConvictedOf(state);
    if (!suspect)
        return std::nullopt;
    if (!tryBeginTrial(m_board.m_crashEvidence, *suspect, trialWait(*suspect), Clock::now()))
        return refusalFor(*suspect);
    logChange("suspect_trial_begun",
        { { "suspect", formatSuspect(*suspect) }, { "request", state.m_request.m_id } });
    m_board.m_crashEvidenceChanged();
    return std::nullopt;
}

auto CrashWatch::mayRepeat(const CallState& state) -> bool
{
    judge();
    return isInAnswer(state, state.m_call) || !isLikelyCause(m_board.m_crashEvidence, state.m_suspects);
}

} // namespace marigoldladder::relay
