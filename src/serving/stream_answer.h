// One request's answer, whole, though its parts may come from several tries.
//
// A try is given up when its upstream, its owner or a connection in between is lost or silent. The next one
// goes on where the answer stopped: over a new connection to the same upstream first, as only the
// connection may have been lost, then to another upstream. The caller sees one answer.
#pragma once

#include "routing/owner_client.h"
#include "routing/upstream_choice.h"
#include "serving/retry_budget.h"

#include <memory>
#include <random>
#include <set>

namespace marigoldladder {

// What answers need of the node.
struct AnswerServices {
    Blackboard& m_blackboard;
    OwnerClient& m_owners;
    PoisonWatch& m_poison;
    RetryBudget& m_retries;
    UpstreamChooser& m_chooser;
};

// Used by one thread.
class StreamAnswer {
public:
    StreamAnswer(const AnswerServices&, ServeCall, PoolName, MonotonicTime deadline);
    StreamAnswer(const StreamAnswer&) = delete;
    auto operator=(const StreamAnswer&) -> StreamAnswer& = delete;

    // Gives up what is still under way.
    ~StreamAnswer();

    // Returns the next event; nothing when none came until the time given. The first is a head, or the end
    // of a request that failed; after the end it returns the end again.
    auto next(MonotonicTime until) -> std::optional<AnswerEvent>;

private:
    auto startTry() -> void;
    auto startAt(const UpstreamName&) -> void;
    auto chooseUpstream() -> UpstreamName;
    auto judge(AnswerEvent) -> std::optional<AnswerEvent>;
    auto judgeHead(AnswerHead) -> std::optional<AnswerEvent>;
    auto judgeChunk(AnswerChunk) -> std::optional<AnswerEvent>;
    auto judgeFailure(AnswerEnd) -> std::optional<AnswerEvent>;
    auto finish(AnswerEnd) -> AnswerEvent;
    auto mayTryAgain(const Failure&) -> bool;
    auto planNextTry(const Failure&) -> void;
    auto giveUpTry() -> void;
    auto drop() -> void;

    AnswerServices m_services;
    ServeCall m_call;
    PoolName m_pool;
    MonotonicTime m_deadline;
    std::optional<OwnedCall> m_try;
    MonotonicTime m_nextTryAt {}; // Not before this time.
    std::set<UpstreamName> m_failed; // Upstreams to leave out until all have been tried.
    std::set<UpstreamName> m_triedTwice; // Upstreams whose connection was lost once already.
    bool m_sameUpstream = false; // The next try goes to the same upstream.
    bool m_mayHaveRun = false; // An earlier try may have run the request.
    bool m_headPassed = false;
    bool m_complete = false; // The caller has all of the answer.
    std::uint32_t m_tries = 0;
    std::uint32_t m_failures = 0; // Tries that failed, those that met a change of owners left out.
    std::optional<AnswerEnd> m_end;
    std::minstd_rand m_random { std::random_device()() };
};

} // namespace marigoldladder
