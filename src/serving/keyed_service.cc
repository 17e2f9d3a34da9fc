#include "serving/keyed_service.h"

#include "core/posix_thread.h"
#include "routing/answer_stream.h"
#include "serving/admission.h"
#include "serving/keyed_call.h"

#include <algorithm>
#include <thread>
#include <utility>

namespace marigoldladder {

namespace {

    constexpr auto maxPeerCalls = std::size_t { 256 };
    constexpr auto passOnAttempts = 3;
    constexpr auto passOnPause = std::chrono::milliseconds(50);

    auto holderGone() -> Failure
    {
        return mayHaveRun(
            FailureType::Unavailable, "the node that holds the idempotency key is gone or can't be reached");
    }

    auto tooOld() -> Failure
    {
        return mayHaveRun(FailureType::Conflict, "the idempotency key is older than what the node remembers");
    }

    // A failure of one call, where another under the same key may have been dispatched.
    auto inDoubt(Failure failure) -> Failure
    {
        if (failure.m_verdict == Verdict::NotRun)
            failure.m_verdict = Verdict::MayHaveRun;
        return failure;
    }

} // namespace

auto makeKeyedDispatch(RequestRunner& runner) -> KeyedDispatch
{
    return
        [&runner](const ServeCall& call, const PoolName& pool, MonotonicTime deadline) -> Result<KeptAnswer> {
            auto started = runner.start(call, pool, deadline);
            if (!started)
                return started.error();
            const auto& head = started.value().m_head;
            const auto next = [&](MonotonicTime until) { return started.value().m_answer->next(until); };
            return collectAnswer(next, { head.m_status, head.m_contentType, "", head.m_upstream }, deadline);
        };
}

KeyedService::KeyedService(Blackboard& blackboard, PeerLinks& links, Allowance& allowance,
    KeyedClaims& claims, ClaimHolder self, WallClock clock, KeyedDispatch dispatch)
    : m_blackboard(blackboard)
    , m_links(links)
    , m_allowance(allowance)
    , m_claims(claims)
    , m_self(std::move(self))
    , m_clock(std::move(clock))
    , m_dispatch(std::move(dispatch))
    , m_ledger(LedgerBounds())
{
}

KeyedService::~KeyedService()
{
    auto lock = std::unique_lock(m_mutex);
    m_changed.wait(lock, [this] { return m_peerCalls == 0; });
}

auto KeyedService::currentEpoch() -> KeyEpoch
{
    auto epoch = keyEpochAt(m_clock());
    {
        const auto lock = std::lock_guard(m_mutex);
        epoch = std::max(epoch, m_latestEpoch);
        if (epoch == m_latestEpoch)
            return epoch;
        m_latestEpoch = epoch;
    }
    m_ledger.forgetBefore(epoch - rememberedEpochs);
    return epoch;
}

auto KeyedService::serve(const KeyedRequest& request, MonotonicTime deadline) -> Result<KeptAnswer>
{
    const auto bound = parseBoundKey(request.m_call.m_idempotencyKey);
    if (!bound)
        return servePlain(request, deadline);
    const auto holder = ClaimHolder { bound->m_vm, bound->m_incarnation };
    return holder == m_self ? serveBound(*bound, request, deadline) : passOn(holder, request, deadline);
}

// A peer passes on only what it takes to be this process's; a plain key must have been claimed here.
auto KeyedService::serveForPeer(const KeyedRequest& request, MonotonicTime deadline) -> Result<KeptAnswer>
{
    const auto& call = request.m_call;
    const auto bound = parseBoundKey(call.m_idempotencyKey);
    if (bound && ClaimHolder { bound->m_vm, bound->m_incarnation } == m_self)
        return serveBound(*bound, request, deadline);
    if (bound)
        return holderGone();
    const auto key = scopeKey(call.m_organisation, request.m_route, call.m_idempotencyKey);
    const auto turn = m_ledger.lookUp(key, call.m_fingerprint, deadline);
    return turn.m_type == KeyTurnType::Run ? run(key, request, deadline) : endTurn(turn);
}

auto KeyedService::serveBound(const BoundKey& bound, const KeyedRequest& request, MonotonicTime deadline)
    -> Result<KeptAnswer>
{
    const auto& call = request.m_call;
    const auto now = currentEpoch();
    if (bound.m_epoch && *bound.m_epoch > now + toleratedFutureEpochs)
        return notRun(FailureType::BadRequest, "the idempotency key's epoch lies in the future");
    const auto key = scopeKey(call.m_organisation, request.m_route, call.m_idempotencyKey);
    const auto turn = m_ledger.begin(key, call.m_fingerprint, bound.m_epoch, deadline);
    return turn.m_type == KeyTurnType::Run ? run(key, request, deadline) : endTurn(turn);
}

auto KeyedService::servePlain(const KeyedRequest& request, MonotonicTime deadline) -> Result<KeptAnswer>
{
    const auto& call = request.m_call;
    const auto key = scopeKey(call.m_organisation, request.m_route, call.m_idempotencyKey);
    const auto turn = m_ledger.begin(key, call.m_fingerprint, currentEpoch(), deadline);
    if (turn.m_type == KeyTurnType::Run)
        return claimAndRun(key, request, turn.m_triedBefore, deadline);
    auto ended = endTurn(turn);
    return ended ? std::move(ended) : Result<KeptAnswer>(inDoubt(ended.error()));
}

// A key that this process entered earlier and did not run needs no new claim: it has it.
auto KeyedService::claimAndRun(const ScopedKey& key, const KeyedRequest& request, bool triedBefore,
    MonotonicTime deadline) -> Result<KeptAnswer>
{
    if (triedBefore)
        return run(key, request, deadline);
    const auto claimed = m_claims.claim(key);
    if (claimed && claimed.value().m_createdNow)
        return run(key, request, deadline);
    m_ledger.abandon(key);
    m_blackboard.m_metrics.add(Counter::IdempotencyRefusals);
    if (!claimed)
        return inDoubt(claimed.error());
    if (claimed.value().m_holder == m_self)
        return tooOld();
    return passOn(claimed.value().m_holder, request, deadline);
}

auto KeyedService::run(const ScopedKey& key, const KeyedRequest& request, MonotonicTime deadline)
    -> Result<KeptAnswer>
{
    auto outcome = chargeAndDispatch(request, deadline);
    m_ledger.finish(key, outcome);
    return outcome;
}

auto KeyedService::chargeAndDispatch(const KeyedRequest& request, MonotonicTime deadline)
    -> Result<KeptAnswer>
{
    const auto route = m_blackboard.m_configuration.read([&](const Configuration& configuration) {
        const auto found = configuration.m_routes.find(request.m_route);
        return found == configuration.m_routes.end() ? std::nullopt : std::optional(found->second);
    });
    if (!route)
        return notRun(FailureType::NotFound, "there is no such route");
    auto call = request.m_call;
    auto charged = Reservation();
    if (!call.m_organisation.empty()) {
        call.m_costTokens = route->m_costTokens;
        auto admitted = m_allowance.admit(call.m_organisation, call.m_costTokens);
        if (!admitted)
            return admitted.error();
        charged = std::move(admitted.value());
    }
    auto outcome = m_dispatch(call, route->m_pool, deadline);
    const auto ran = outcome || outcome.error().m_verdict != Verdict::NotRun;
    m_allowance.settle(charged, ran ? charged.m_tokens : 0);
    return outcome;
}

auto KeyedService::endTurn(const KeyTurn& turn) -> Result<KeptAnswer>
{
    if (turn.m_type == KeyTurnType::Replay) {
        m_blackboard.m_metrics.add(Counter::IdempotentReplays);
        return *turn.m_answer;
    }
    m_blackboard.m_metrics.add(Counter::IdempotencyRefusals);
    return turn.m_failure;
}

// The holder remembers the key, so that asking it again is safe.
auto KeyedService::passOn(const ClaimHolder& holder, const KeyedRequest& request, MonotonicTime deadline)
    -> Result<KeptAnswer>
{
    auto last = holderGone();
    for (auto attempt = 0; attempt < passOnAttempts; ++attempt) {
        if (attempt > 0)
            std::this_thread::sleep_for(passOnPause);
        const auto link = attempt == 0 ? m_links.to(holder.m_vm) : m_links.reconnect(holder.m_vm);
        if (!link || std::chrono::steady_clock::now() >= deadline)
            return last;
        if (link.value()->peerIncarnation() != holder.m_incarnation)
            return holderGone();
        auto answer = askHolder(*link.value(), request, deadline);
        if (answer || link.value()->alive())
            return answer;
        last = answer.error();
    }
    return last;
}

auto KeyedService::askHolder(PeerLink& link, const KeyedRequest& request, MonotonicTime deadline)
    -> Result<KeptAnswer>
{
    auto stream = std::make_shared<AnswerStream>();
    const auto correlation
        = link.open(encodeKeyedCall(request, deadline), [stream](wire::EnvelopeT* envelope) {
              if (!envelope) {
                  stream->push(failedEnd(holderGone()));
                  return false;
              }
              const auto isEnd = envelope->body.type == wire::Body::ServeEnd;
              if (auto event = decodeAnswerEvent(*envelope))
                  stream->push(std::move(*event));
              return !isEnd;
          });
    if (!correlation)
        return holderGone();
    const auto next = [&](MonotonicTime until) { return stream->pop(until); };
    auto answer = collectAnswer(next, {}, deadline);
    link.closeExchange(*correlation);
    return answer;
}

auto KeyedService::enterPeerCall() -> bool
{
    const auto lock = std::lock_guard(m_mutex);
    if (m_peerCalls >= maxPeerCalls)
        return false;
    ++m_peerCalls;
    m_blackboard.m_health.write([](NodeHealth& health) { ++health.m_requestsInFlight; });
    return true;
}

auto KeyedService::leavePeerCall() -> void
{
    const auto lock = std::lock_guard(m_mutex);
    --m_peerCalls;
    m_blackboard.m_health.write([](NodeHealth& health) { --health.m_requestsInFlight; });
    m_changed.notify_all();
}

auto KeyedService::handleKeyedCall(
    const std::shared_ptr<PeerConnection>& connection, const wire::EnvelopeT& envelope) -> void
{
    const auto correlation = envelope.correlation;
    if (!enterPeerCall()) {
        const auto failure = mayHaveRun(FailureType::Overloaded, "too many calls were passed on to the node");
        connection->send(encodeAnswerEvent(correlation, failedEnd(failure)));
        return;
    }
    const auto& message = *envelope.body.AsKeyedCall();
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(message.deadline_ms);
    runDetached("keyed-call", [this, connection, correlation, request = decodeKeyedCall(message), deadline] {
        sendAnswer(*connection, correlation, serveForPeer(request, deadline));
        leavePeerCall();
    });
}

} // namespace marigoldladder
