#include "soak/soak_record.h"

#include <algorithm>

namespace marigoldladder::soak {

namespace {

    constexpr auto deliveryMargin = std::chrono::milliseconds(50); // Relays end so long before a deadline.
    constexpr auto eventsOfStream = 12;
    constexpr auto successStatus = 200;

    // The users' bounds of a planned stop.
    constexpr auto stopTime = std::chrono::milliseconds(8'000);
    constexpr auto addressLifetime = std::chrono::milliseconds(3'000); // Until then all is served.
    constexpr auto lastSixthFrom = stopTime * 5 / 6;
    constexpr auto unreadSlack = std::chrono::milliseconds(200); // For a request that crosses the close.

    auto endAll(std::vector<Outage>& outages, std::chrono::steady_clock::time_point now) -> void
    {
        for (auto& outage : outages)
            outage.m_to = std::min(outage.m_to, now);
    }

    auto isStream(RouteKind kind) -> bool
    {
        return kind == RouteKind::Resumable || kind == RouteKind::StreamOnce;
    }

    auto expectedBody(const Attempt& attempt) -> std::string
    {
        if (!isStream(attempt.m_kind))
            return wholeBody(attempt.m_id);
        auto body = std::string();
        for (const auto& event : streamEvents(attempt.m_id))
            body += event;
        return body;
    }

} // namespace

auto mayRunTwice(RouteKind kind) -> bool
{
    return kind == RouteKind::Repeatable || kind == RouteKind::Resumable;
}

auto saysNotRun(int status) -> bool
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

auto wholeBody(const std::string& requestId) -> std::string
{
    return "the answer to " + requestId;
}

auto streamEvents(const std::string& requestId) -> std::vector<std::string>
{
    auto events = std::vector<std::string>();
    for (auto number = 1; number <= eventsOfStream; ++number)
        events.push_back("id: " + std::to_string(number) + "\ndata: " + requestId + "\n\n");
    return events;
}

auto SoakRecord::noteRun(const std::string& requestId, const std::string& operation) -> void
{
    const auto lock = std::lock_guard(m_mutex);
    ++m_runs[requestId];
    ++m_operationRuns[operation];
}

auto SoakRecord::noteAttempt(Attempt attempt) -> void
{
    const auto lock = std::lock_guard(m_mutex);
    m_attempts.push_back(std::move(attempt));
}

auto SoakRecord::noteEnd(const std::string& what) -> void
{
    const auto lock = std::lock_guard(m_mutex);
    m_ends.push_back(what);
}

auto SoakRecord::noteOutage(const std::string& relay, std::chrono::steady_clock::time_point from) -> void
{
    const auto lock = std::lock_guard(m_mutex);
    m_outages[relay].push_back({ from });
}

auto SoakRecord::noteOutageEnd(const std::string& relay) -> void
{
    const auto lock = std::lock_guard(m_mutex);
    const auto now = std::chrono::steady_clock::now();
    endAll(m_outages[relay], now);
    endAll(m_stops[relay], now);
}

auto SoakRecord::noteStop(const std::string& relay, std::chrono::steady_clock::time_point at) -> void
{
    const auto lock = std::lock_guard(m_mutex);
    m_stops[relay].push_back({ at });
}

auto SoakRecord::mayEndByStop(const Attempt& attempt) const -> bool
{
    const auto found = m_stops.find(attempt.m_relay);
    if (found == m_stops.end())
        return false;
    const auto run = m_runs.find(attempt.m_id);
    const auto wasPassedOn = run != m_runs.end() && run->second > 0;
    const auto crossedTheClose = !wasPassedOn && attempt.m_ended - attempt.m_begun <= unreadSlack;
    return std::any_of(found->second.begin(), found->second.end(), [&](const Outage& stop) {
        if (attempt.m_ended < stop.m_from || attempt.m_begun > stop.m_to)
            return false;
        const auto wasAtWorkAtTheEnd = attempt.m_begun <= stop.m_from + addressLifetime
            && attempt.m_ended >= stop.m_from + lastSixthFrom;
        return crossedTheClose || wasAtWorkAtTheEnd;
    });
}

auto SoakRecord::wasOut(const Attempt& attempt) const -> bool
{
    const auto found = m_outages.find(attempt.m_relay);
    return found != m_outages.end()
        && std::any_of(found->second.begin(), found->second.end(), [&](const Outage& outage) {
               return outage.m_from <= attempt.m_ended && attempt.m_begun <= outage.m_to;
           });
}

auto SoakRecord::wasCutAtItsDeadline(const Attempt& attempt) -> bool
{
    return attempt.m_deadline > std::chrono::milliseconds(0) && attempt.m_status != 0
        && attempt.m_ended - attempt.m_begun >= attempt.m_deadline - deliveryMargin;
}

auto SoakRecord::lostAnswers() const -> std::vector<std::string>
{
    const auto lock = std::lock_guard(m_mutex);
    auto lost = std::vector<std::string>();
    for (const auto& attempt : m_attempts) {
        if (attempt.m_complete || !attempt.m_sent || wasOut(attempt) || mayEndByStop(attempt)
            || wasCutAtItsDeadline(attempt))
            continue;
        const auto time = std::chrono::ceil<std::chrono::milliseconds>(attempt.m_ended - attempt.m_begun);
        lost.push_back(attempt.m_id + " got no whole answer from " + attempt.m_relay + " in "
            + std::to_string(time.count()) + " ms: status " + std::to_string(attempt.m_status));
    }
    return lost;
}

auto SoakRecord::attempts() const -> std::size_t
{
    const auto lock = std::lock_guard(m_mutex);
    return m_attempts.size();
}

auto SoakRecord::sent() const -> std::size_t
{
    const auto lock = std::lock_guard(m_mutex);
    return static_cast<std::size_t>(std::count_if(
        m_attempts.begin(), m_attempts.end(), [](const Attempt& attempt) { return attempt.m_sent; }));
}

auto SoakRecord::served() const -> std::size_t
{
    const auto lock = std::lock_guard(m_mutex);
    auto count = std::size_t { 0 };
    for (const auto& attempt : m_attempts)
        count += attempt.m_status == successStatus && attempt.m_complete ? 1 : 0;
    return count;
}

auto SoakRecord::outcomes() const -> std::string
{
    const auto lock = std::lock_guard(m_mutex);
    auto counts = std::map<std::string, int>();
    for (const auto& attempt : m_attempts)
        ++counts[attempt.m_sent ? std::to_string(attempt.m_status) : "not sent"];
    auto text = std::string();
    for (const auto& [outcome, count] : counts)
        text += outcome + ": " + std::to_string(count) + ", ";
    return text;
}

auto SoakRecord::brokenByOperation() const -> std::vector<std::string>
{
    auto kinds = std::map<std::string, RouteKind>();
    for (const auto& attempt : m_attempts)
        kinds[attempt.m_operation] = attempt.m_kind;
    auto broken = std::vector<std::string>();
    for (const auto& [operation, kind] : kinds) {
        const auto found = m_operationRuns.find(operation);
        if (!mayRunTwice(kind) && found != m_operationRuns.end() && found->second > 1)
            broken.push_back(operation + " may run once and ran " + std::to_string(found->second)
                + " times over all attempts");
    }
    return broken;
}

auto SoakRecord::brokenPromises() const -> std::vector<std::string>
{
    const auto lock = std::lock_guard(m_mutex);
    auto broken = brokenByOperation();
    broken.insert(broken.end(), m_ends.begin(), m_ends.end());
    for (const auto& attempt : m_attempts) {
        const auto found = m_runs.find(attempt.m_id);
        const auto runs = found == m_runs.end() ? 0 : found->second;
        const auto expected = expectedBody(attempt);
        if (runs > 1 && !mayRunTwice(attempt.m_kind))
            broken.push_back(attempt.m_id + " may run once and ran " + std::to_string(runs) + " times");
        if (runs > 0 && saysNotRun(attempt.m_status) && !mayRunTwice(attempt.m_kind))
            broken.push_back(attempt.m_id + " ran and was answered " + std::to_string(attempt.m_status));
        if (attempt.m_status != successStatus)
            continue;
        if (!attempt.m_signed)
            broken.push_back(attempt.m_id + " was answered without an upstream's stamp");
        if (attempt.m_complete && attempt.m_body != expected)
            broken.push_back(attempt.m_id + " has another body than its upstream gave: " + attempt.m_body);
        if (!expected.starts_with(attempt.m_body))
            broken.push_back(attempt.m_id + " has pieces that are missing or come twice: " + attempt.m_body);
    }
    return broken;
}

} // namespace marigoldladder::soak
