#include "faults/checkers.h"

#include <algorithm>
#include <functional>
#include <set>
#include <unordered_map>

namespace marigoldladder::fakes {

namespace {

    constexpr auto millisecondsPerSecond = 1000.0;

    // A stretch of time during which something was the case; open at the end when it never ended.
    struct Period {
        std::string m_subject;
        std::int64_t m_fromMs = 0;
        std::int64_t m_toMs = INT64_MAX;
    };

    // Returns the periods that begin with events of one type and end with the same subject's event of
    // another.
    auto periodsBetween(const RunRecords& run, RunEventType begin, RunEventType end) -> std::vector<Period>
    {
        auto periods = std::vector<Period>();
        for (const auto& event : run.m_events) {
            if (event.m_type == begin)
                periods.push_back({ event.m_subject, event.m_atMs, INT64_MAX });
            for (auto& period : periods) {
                if (event.m_type == end && event.m_subject == period.m_subject && period.m_toMs == INT64_MAX)
                    period.m_toMs = event.m_atMs;
            }
        }
        return periods;
    }

    auto overlaps(const Period& period, std::int64_t fromMs, std::int64_t toMs) -> bool
    {
        return period.m_fromMs <= toMs && fromMs <= period.m_toMs;
    }

    auto reportOf(bool exercised, std::vector<std::string> breaches) -> CheckReport
    {
        if (!breaches.empty())
            return { CheckOutcome::Breached, std::move(breaches) };
        return { exercised ? CheckOutcome::Held : CheckOutcome::NotExercised, {} };
    }

    // Lists the calls that breach a promise, out of those it speaks of.
    auto checkCalls(const RunRecords& run, const std::function<bool(const LoadRecord&)>& concerns,
        const std::function<bool(const LoadRecord&)>& breaches) -> CheckReport
    {
        auto exercised = false;
        auto found = std::vector<std::string>();
        for (const auto& call : run.m_calls) {
            if (!concerns(call))
                continue;
            exercised = true;
            if (breaches(call))
                found.push_back(toJson(call).dump());
        }
        return reportOf(exercised, std::move(found));
    }

    auto isCompletion(const LoadRecord& call) -> bool
    {
        return call.m_kind == RequestKind::Completion || call.m_kind == RequestKind::Stream;
    }

    auto checkRightAdapter(const RunRecords& run) -> CheckReport
    {
        return checkCalls(
            run, isCompletion, [](const auto& call) { return call.m_outcome == Outcome::Wrong; });
    }

    auto checkNoEvictionInUse(const RunRecords& run) -> CheckReport
    {
        auto breaches = std::vector<std::string>();
        if (run.m_evictedInUse > 0)
            breaches.push_back(std::to_string(run.m_evictedInUse) + " adapters were evicted while in use");
        return reportOf(!run.m_requests.empty(), std::move(breaches));
    }

    auto checkRightOrganisation(const RunRecords& run) -> CheckReport
    {
        auto organisations = std::unordered_map<RequestId, OrganisationName>();
        auto breaches = std::vector<std::string>();
        for (const auto& call : run.m_calls) {
            if (call.m_kind == RequestKind::Lookup || call.m_requestId.empty())
                continue;
            organisations[call.m_requestId] = call.m_organisation;
            const auto holdsKey = std::any_of(run.m_rates.begin(), run.m_rates.end(),
                [&](const auto& rate) { return rate.m_name == call.m_organisation; });
            if (!holdsKey && call.m_outcome == Outcome::Served)
                breaches.push_back("served without a key: " + toJson(call).dump());
        }
        for (const auto& request : run.m_requests) {
            const auto found = organisations.find(request.m_requestId);
            if (found != organisations.end() && found->second != request.m_organisation)
                breaches.push_back(
                    "ran for " + request.m_organisation.value() + " instead of " + found->second.value());
        }
        return reportOf(!organisations.empty(), std::move(breaches));
    }

    auto checkNoKeyUpstream(const RunRecords& run) -> CheckReport
    {
        auto breaches = std::vector<std::string>();
        for (const auto& request : run.m_requests) {
            for (const auto& secret : run.m_secrets) {
                if (request.m_everything.find(secret) != std::string::npos)
                    breaches.push_back(request.m_upstream.value() + " saw a key in " + request.m_everything);
            }
        }
        return reportOf(!run.m_requests.empty(), std::move(breaches));
    }

    auto checkWithdrawnKeyStops(const RunRecords& run) -> CheckReport
    {
        auto withdrawnAt = std::unordered_map<std::string, std::int64_t>();
        for (const auto& event : run.m_events) {
            if (event.m_type == RunEventType::KeyWithdrawn)
                withdrawnAt[event.m_subject] = event.m_atMs;
        }
        const auto concerns = [&](const LoadRecord& call) {
            const auto found = withdrawnAt.find(call.m_key);
            return found != withdrawnAt.end() && call.m_kind != RequestKind::Lookup
                && call.m_startedAtMs > found->second + withinSecondsMs;
        };
        return checkCalls(run, concerns, [](const auto& call) { return call.m_outcome == Outcome::Served; });
    }

    // Returns the most by which any window of the organisation's served calls exceeds burst plus rate times
    // its length. A call that began and ended inside a window was charged inside it.
    auto worstExcess(const RunRecords& run, const OrganisationRate& rate) -> double
    {
        auto calls = std::vector<const LoadRecord*>();
        for (const auto& call : run.m_calls) {
            if (call.m_organisation == rate.m_name && call.m_outcome == Outcome::Served
                && call.m_kind != RequestKind::Lookup)
                calls.push_back(&call);
        }
        std::sort(calls.begin(), calls.end(),
            [](const auto* left, const auto* right) { return left->m_endedAtMs < right->m_endedAtMs; });
        auto worst = 0.0;
        for (const auto* first : calls) {
            auto tokens = 0.0;
            for (const auto* call : calls) {
                if (call->m_startedAtMs < first->m_startedAtMs)
                    continue;
                tokens += call->m_tokens;
                const auto seconds
                    = static_cast<double>(call->m_endedAtMs - first->m_startedAtMs) / millisecondsPerSecond;
                worst = std::max(worst, tokens - rate.m_burstTokens - rate.m_tokensPerSecond * seconds);
            }
        }
        return worst;
    }

    auto checkAllowance(const RunRecords& run) -> CheckReport
    {
        auto breaches = std::vector<std::string>();
        for (const auto& rate : run.m_rates) {
            const auto excess = worstExcess(run, rate);
            if (excess > 0)
                breaches.push_back(
                    rate.m_name.value() + " got " + std::to_string(excess) + " tokens too many");
        }
        return reportOf(!run.m_rates.empty(), std::move(breaches));
    }

    auto checkNoOverload(const RunRecords& run) -> CheckReport
    {
        auto breaches = std::vector<std::string>();
        if (run.m_overloads > 0)
            breaches.push_back(
                std::to_string(run.m_overloads) + " requests beyond what a fresh engine bears");
        return reportOf(!run.m_requests.empty(), std::move(breaches));
    }

    // Requests that reached an upstream of the subject more than the time allowed after the period began.
    auto lateWork(const RunRecords& run, const std::vector<Period>& periods,
        const std::function<std::string(const UpstreamRequest&)>& subjectOf) -> std::vector<std::string>
    {
        auto late = std::vector<std::string>();
        for (const auto& request : run.m_requests) {
            for (const auto& period : periods) {
                if (period.m_subject == subjectOf(request)
                    && request.m_atMs > period.m_fromMs + withinSecondsMs && request.m_atMs < period.m_toMs)
                    late.push_back(request.m_upstream.value() + " got new work "
                        + std::to_string(request.m_atMs - period.m_fromMs) + " ms after it was taken out");
            }
        }
        return late;
    }

    auto checkDataCentreOut(const RunRecords& run) -> CheckReport
    {
        const auto periods = periodsBetween(run, RunEventType::DataCentreOut, RunEventType::DataCentreIn);
        return reportOf(!periods.empty(),
            lateWork(run, periods, [](const auto& request) { return request.m_dataCentre.value(); }));
    }

    auto checkLeavingUpstream(const RunRecords& run) -> CheckReport
    {
        const auto periods = periodsBetween(run, RunEventType::UpstreamLeaving, RunEventType::UpstreamBack);
        return reportOf(!periods.empty(),
            lateWork(run, periods, [](const auto& request) { return request.m_upstream.value(); }));
    }

    // Whether the process that served the call was killed meanwhile, which closes its connections.
    auto nodeWasKilled(const RunRecords& run, const LoadRecord& call) -> bool
    {
        return std::any_of(run.m_events.begin(), run.m_events.end(), [&](const RunEvent& event) {
            return event.m_type == RunEventType::NodeKilled && event.m_subject == call.m_node
                && event.m_atMs <= call.m_endedAtMs
                && call.m_startedAtMs <= event.m_atMs + withinSecondsMs + addressLifeMs;
        });
    }

    // Whether the process that had the call was frozen when the caller's patience ended.
    auto nodeStayedFrozen(const RunRecords& run, const LoadRecord& call) -> bool
    {
        const auto periods = periodsBetween(run, RunEventType::NodeFrozen, RunEventType::NodeResumed);
        return std::any_of(periods.begin(), periods.end(), [&](const Period& period) {
            return period.m_subject == call.m_node && overlaps(period, call.m_endedAtMs, call.m_endedAtMs);
        });
    }

    auto isBroken(const LoadRecord& call) -> bool
    {
        return call.m_outcome == Outcome::Cut || call.m_outcome == Outcome::Lost
            || call.m_outcome == Outcome::Wrong;
    }

    auto checkWholeAnswers(const RunRecords& run) -> CheckReport
    {
        return checkCalls(
            run, [](const auto&) { return true; },
            [&](const auto& call) {
                return isBroken(call) && !nodeWasKilled(run, call) && !nodeStayedFrozen(run, call);
            });
    }

    auto checkCrashingRequest(const RunRecords& run) -> CheckReport
    {
        constexpr auto mostCrashes = std::uint64_t { 2 };
        auto breaches = std::vector<std::string>();
        if (run.m_crashes > mostCrashes)
            breaches.push_back("one request brought down " + std::to_string(run.m_crashes) + " engines");
        return reportOf(run.m_crashes > 0, std::move(breaches));
    }

    auto checkNotRunIsTrue(const RunRecords& run) -> CheckReport
    {
        auto onlyNotRun = std::unordered_map<IdempotencyKey, bool>();
        auto refusedRequests = std::set<RequestId>();
        for (const auto& call : run.m_calls) {
            const auto notRun = call.m_outcome == Outcome::Refused && call.m_verdict == "not_run";
            if (call.m_kind == RequestKind::Booking) {
                const auto [found, added] = onlyNotRun.try_emplace(call.m_idempotencyKey, true);
                found->second = found->second && notRun;
            }
            if (notRun && isCompletion(call) && !call.m_requestId.empty())
                refusedRequests.insert(call.m_requestId);
        }
        auto breaches = std::vector<std::string>();
        for (const auto& [key, notRun] : onlyNotRun) {
            if (notRun && run.m_runs.contains(key))
                breaches.push_back("the key " + key.value() + " ran, though every answer said not_run");
        }
        for (const auto& request : run.m_requests) {
            if (refusedRequests.contains(request.m_requestId))
                breaches.push_back("the request " + request.m_requestId.value() + " reached "
                    + request.m_upstream.value() + ", though the answer said not_run");
        }
        const auto exercised = !refusedRequests.empty()
            || std::any_of(onlyNotRun.begin(), onlyNotRun.end(), [](const auto& row) { return row.second; });
        return reportOf(exercised, std::move(breaches));
    }

    auto checkAtMostOnce(const RunRecords& run) -> CheckReport
    {
        auto breaches = std::vector<std::string>();
        for (const auto& [key, runs] : run.m_runs) {
            if (runs > 1)
                breaches.push_back("the key " + key.value() + " ran " + std::to_string(runs) + " times");
        }
        return reportOf(!run.m_runs.empty(), std::move(breaches));
    }

    auto checkGracefulShutdown(const RunRecords& run) -> CheckReport
    {
        auto breaches = std::vector<std::string>();
        const auto periods = periodsBetween(run, RunEventType::NodeTerminated, RunEventType::NodeEnded);
        for (const auto& call : run.m_calls) {
            for (const auto& period : periods) {
                if (call.m_node == period.m_subject && isBroken(call)
                    && overlaps(period, call.m_startedAtMs, call.m_endedAtMs))
                    breaches.push_back(toJson(call).dump());
            }
        }
        return reportOf(!periods.empty(), std::move(breaches));
    }

    // Whether the node can be expected to have heard of something accepted at a time.
    auto couldHaveHeard(const RunRecords& run, const RevisionSample& sample, std::int64_t acceptedAtMs)
        -> bool
    {
        for (const auto& event : run.m_events) {
            const auto restarted
                = event.m_type == RunEventType::NodeStarted || event.m_type == RunEventType::NodeResumed;
            if (restarted && event.m_subject == sample.m_node
                && event.m_atMs + withinSecondsMs > sample.m_atMs)
                return false;
        }
        return sample.m_atMs > acceptedAtMs + withinSecondsMs;
    }

    auto checkConfigurationSpreads(const RunRecords& run) -> CheckReport
    {
        auto breaches = std::vector<std::string>();
        auto highest = std::unordered_map<std::string, Revision>();
        auto exercised = false;
        for (const auto& sample : run.m_samples) {
            auto& best = highest[sample.m_node];
            if (sample.m_revision < best)
                breaches.push_back(sample.m_node + " went back to revision "
                    + std::to_string(sample.m_revision) + " from " + std::to_string(best));
            best = std::max(best, sample.m_revision);
            for (const auto& event : run.m_events) {
                if (event.m_type != RunEventType::RevisionAccepted
                    || !couldHaveHeard(run, sample, event.m_atMs))
                    continue;
                exercised = true;
                if (sample.m_revision < event.m_value)
                    breaches.push_back(sample.m_node + " has revision " + std::to_string(sample.m_revision)
                        + ", expected " + std::to_string(event.m_value));
            }
        }
        return reportOf(exercised, std::move(breaches));
    }

} // namespace

auto promiseCheckers() -> const std::vector<PromiseChecker>&
{
    static const auto checkers = std::vector<PromiseChecker> {
        { 1, "right adapter and version", checkRightAdapter },
        { 2, "no eviction in use", checkNoEvictionInUse },
        { 3, "right organisation", checkRightOrganisation },
        { 4, "no key upstream", checkNoKeyUpstream },
        { 5, "withdrawn key stops", checkWithdrawnKeyStops },
        { 6, "rate and burst", checkAllowance },
        { 7, "fresh upstreams are spared", checkNoOverload },
        { 8, "data centre out", checkDataCentreOut },
        { 9, "whole answers", checkWholeAnswers },
        { 10, "not_run is true", checkNotRunIsTrue },
        { 11, "at most once", checkAtMostOnce },
        { 12, "leaving upstream", checkLeavingUpstream },
        { 13, "graceful shutdown", checkGracefulShutdown },
        { 14, "configuration in force", checkConfigurationSpreads },
        { 15, "(failure) crashing request", checkCrashingRequest },
    };
    return checkers;
}

} // namespace marigoldladder::fakes
