#include "routing/fair_queue.h"

#include <algorithm>
#include <utility>

namespace marigoldladder {

namespace {

    // Of a contended upstream's tokens; by `Priority`.
    constexpr auto classWeights = std::array { 0.85, 0.10, 0.05 };
    constexpr auto servedShare = 0.1; // Of each new observation in the average of the speed.
    constexpr auto leastRetryAfter = std::chrono::milliseconds(100);
    constexpr auto mostRetryAfter = std::chrono::milliseconds(30'000);
    constexpr auto leastWeight = 0.001;

    auto classOf(FairQueue& queue, Priority priority) -> ClassQueue&
    {
        return queue.m_classes.at(static_cast<std::size_t>(priority));
    }

    auto weightOf(const QueuedCall& call) -> double
    {
        return std::max(call.m_weight, leastWeight);
    }

    auto toRetryAfter(double seconds) -> std::chrono::milliseconds
    {
        const auto wanted = std::chrono::milliseconds(static_cast<std::int64_t>(seconds * 1000));
        return std::clamp(wanted, leastRetryAfter, mostRetryAfter);
    }

    // Once nothing waits, the time of all that was served is over, and so is every debt.
    auto forgetSettled(ClassQueue& queue) -> void
    {
        if (queue.m_waiting == 0) {
            for (const auto& [name, organisation] : queue.m_organisations)
                queue.m_virtualTime = std::max(queue.m_virtualTime, organisation.m_finishTag);
        }
        std::erase_if(queue.m_organisations, [&](const auto& row) {
            return row.second.m_calls.empty() && row.second.m_finishTag <= queue.m_virtualTime;
        });
    }

    auto eraseAt(FairQueue& queue, ClassQueue& inClass, OrganisationQueue& organisation, std::size_t position)
        -> QueuedCall
    {
        auto call = std::move(organisation.m_calls[position]);
        organisation.m_calls.erase(organisation.m_calls.begin() + static_cast<std::ptrdiff_t>(position));
        organisation.m_waitingTokens -= call.m_costTokens;
        --inClass.m_waiting;
        --queue.m_waiting;
        return call;
    }

    struct LongestQueue {
        ClassQueue* m_class = nullptr;
        OrganisationQueue* m_organisation = nullptr;
    };

    // The lowest class goes first among queues of equal length.
    auto longestQueue(FairQueue& queue) -> LongestQueue
    {
        auto longest = LongestQueue();
        for (auto& inClass : queue.m_classes) {
            for (auto& [name, organisation] : inClass.m_organisations) {
                if (!longest.m_organisation
                    || organisation.m_calls.size() >= longest.m_organisation->m_calls.size())
                    longest = { &inClass, &organisation };
            }
        }
        return longest;
    }

    // Makes room in a full queue; nothing when the call itself waits in the longest one.
    auto displaceNewest(FairQueue& queue, std::size_t ownLength) -> std::optional<RequestId>
    {
        const auto longest = longestQueue(queue);
        if (!longest.m_organisation || longest.m_organisation->m_calls.size() <= ownLength + 1)
            return std::nullopt;
        const auto last = longest.m_organisation->m_calls.size() - 1;
        return eraseAt(queue, *longest.m_class, *longest.m_organisation, last).m_id;
    }

    struct Candidate {
        OrganisationName m_organisation;
        std::size_t m_position = 0;
        double m_startTag = 0;
    };

    auto firstReady(const OrganisationQueue& organisation, const ReadyCheck& ready)
        -> std::optional<std::size_t>
    {
        for (auto i = std::size_t { 0 }; i < organisation.m_calls.size(); ++i) {
            if (ready(organisation.m_calls[i]))
                return i;
        }
        return std::nullopt;
    }

    auto bestOfClass(const ClassQueue& queue, const ReadyCheck& ready) -> std::optional<Candidate>
    {
        auto best = std::optional<Candidate>();
        for (const auto& [name, organisation] : queue.m_organisations) {
            const auto start = std::max(queue.m_virtualTime, organisation.m_finishTag);
            if (best && start >= best->m_startTag)
                continue;
            if (const auto position = firstReady(organisation, ready))
                best = Candidate { name, *position, start };
        }
        return best;
    }

    auto serveCandidate(FairQueue& queue, std::size_t classIndex, const Candidate& candidate) -> QueuedCall
    {
        auto& inClass = queue.m_classes.at(classIndex);
        auto& organisation = inClass.m_organisations.at(candidate.m_organisation);
        auto call = eraseAt(queue, inClass, organisation, candidate.m_position);
        inClass.m_virtualTime = candidate.m_startTag;
        organisation.m_finishTag = candidate.m_startTag + call.m_costTokens / weightOf(call);
        queue.m_virtualTime = std::max(queue.m_virtualTime, inClass.m_finishTag);
        inClass.m_finishTag = queue.m_virtualTime + call.m_costTokens / classWeights.at(classIndex);
        forgetSettled(inClass);
        return call;
    }

} // namespace

auto estimatedWait(const FairQueue& queue, const QueuedCall& call) -> double
{
    if (queue.m_tokensPerSecond <= 0)
        return 0;
    const auto& inClass = queue.m_classes.at(static_cast<std::size_t>(call.m_priority));
    auto ownTokens = call.m_costTokens;
    auto allTokens = call.m_costTokens;
    auto weights = weightOf(call);
    for (const auto& [name, organisation] : inClass.m_organisations) {
        allTokens += organisation.m_waitingTokens;
        if (name == call.m_organisation)
            ownTokens += organisation.m_waitingTokens;
        else if (!organisation.m_calls.empty())
            weights += weightOf(organisation.m_calls.front());
    }
    const auto underContention = ownTokens * weights / weightOf(call);
    return std::min(underContention, allTokens) / queue.m_tokensPerSecond;
}

auto enqueueCall(FairQueue& queue, QueuedCall call, MonotonicTime now) -> QueueDecision
{
    auto decision = QueueDecision();
    const auto wait = estimatedWait(queue, call);
    decision.m_retryAfter = toRetryAfter(wait);
    const auto left = std::chrono::duration<double>(call.m_deadline - now).count();
    auto& inClass = classOf(queue, call.m_priority);
    const auto found = inClass.m_organisations.find(call.m_organisation);
    const auto ownLength = found == inClass.m_organisations.end() ? 0 : found->second.m_calls.size();
    if (wait >= left || ownLength >= queue.m_bounds.m_perOrganisation)
        return decision;
    if (queue.m_waiting >= queue.m_bounds.m_total) {
        decision.m_displaced = displaceNewest(queue, ownLength);
        if (!decision.m_displaced)
            return decision;
    }
    decision.m_accepted = true;
    auto& organisation = inClass.m_organisations[call.m_organisation];
    organisation.m_waitingTokens += call.m_costTokens;
    organisation.m_calls.push_back(std::move(call));
    ++inClass.m_waiting;
    ++queue.m_waiting;
    return decision;
}

auto takeNextCall(FairQueue& queue, const ReadyCheck& ready) -> std::optional<QueuedCall>
{
    auto best = std::optional<Candidate>();
    auto bestClass = std::size_t { 0 };
    auto bestTag = 0.0;
    for (auto i = std::size_t { 0 }; i < queue.m_classes.size(); ++i) {
        const auto& inClass = queue.m_classes.at(i);
        const auto tag = std::max(queue.m_virtualTime, inClass.m_finishTag);
        if (inClass.m_waiting == 0 || (best && tag >= bestTag))
            continue;
        if (auto candidate = bestOfClass(inClass, ready)) {
            best = std::move(candidate);
            bestClass = i;
            bestTag = tag;
        }
    }
    if (!best)
        return std::nullopt;
    return serveCandidate(queue, bestClass, *best);
}

auto removeCall(FairQueue& queue, const RequestId& id) -> bool
{
    for (auto& inClass : queue.m_classes) {
        for (auto& [name, organisation] : inClass.m_organisations) {
            for (auto i = std::size_t { 0 }; i < organisation.m_calls.size(); ++i) {
                if (organisation.m_calls[i].m_id != id)
                    continue;
                eraseAt(queue, inClass, organisation, i);
                forgetSettled(inClass);
                return true;
            }
        }
    }
    return false;
}

auto noteServed(FairQueue& queue, double tokens, double seconds, std::size_t inFlight) -> void
{
    if (seconds <= 0)
        return;
    const auto speed = tokens * static_cast<double>(inFlight) / seconds;
    if (queue.m_tokensPerSecond <= 0)
        queue.m_tokensPerSecond = speed;
    else
        queue.m_tokensPerSecond += servedShare * (speed - queue.m_tokensPerSecond);
}

} // namespace marigoldladder
