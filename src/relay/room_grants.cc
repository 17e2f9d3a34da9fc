#include "relay/room_grants.h"

#include <algorithm>

namespace marigoldladder::relay {

namespace {

    constexpr auto notOwnerRetryAfter = Milliseconds(200); // Until nodes agree on the owner.
    constexpr auto minRetryAfter = Milliseconds(10);
    constexpr auto maxRetryAfter = Milliseconds(1'000);
    constexpr auto maxTryInterval = Milliseconds(5'000);
    // An upstream refuses at once, so it has taken what it has had for this time.
    constexpr auto takenAfter = Milliseconds(300);
    constexpr auto initialMeanTime = 0.1; // In seconds.
    constexpr auto newestWeight = 0.1; // Of the latest request in the mean time.
    // Requests that weren't granted are forgotten one by one, in case their reports never end.
    constexpr auto otherRequestLifetime = Milliseconds(1'000);

    auto requestsAt(const RoomLedger& ledger) -> std::size_t
    {
        return ledger.m_grants.size() + ledger.m_otherRequests;
    }

    // Returns how many of the grants have this age.
    auto grantsOlderThan(const RoomLedger& ledger, Milliseconds age, MonotonicTime now) -> std::size_t
    {
        const auto first = std::partition_point(ledger.m_grants.begin(), ledger.m_grants.end(),
            [&](const RoomGrant& grant) { return grant.m_grantedAt + age <= now; });
        return static_cast<std::size_t>(first - ledger.m_grants.begin());
    }

    // The reports contain all requests that are older than their delay, and possibly younger ones.
    auto applyReports(RoomLedger& ledger, MonotonicTime now) -> void
    {
        const auto reported = grantsOlderThan(ledger, ledger.m_state.m_reportDelay, now);
        const auto others = ledger.m_state.m_inFlight - std::min(ledger.m_state.m_inFlight, reported);
        ledger.m_otherRequests = std::min(ledger.m_otherRequests, others);
        if (ledger.m_otherRequests > 0 && now >= ledger.m_othersCountedAt + otherRequestLifetime) {
            --ledger.m_otherRequests;
            ledger.m_othersCountedAt = now;
        }
        const auto lost = reported - std::min(ledger.m_state.m_inFlight, reported);
        ledger.m_grants.erase(
            ledger.m_grants.begin(), ledger.m_grants.begin() + static_cast<std::ptrdiff_t>(lost));
    }

    auto startOwning(RoomLedger& ledger, MonotonicTime now) -> void
    {
        ledger.m_grantsFrom = MonotonicTime();
        ledger.m_otherRequests = ledger.m_state.m_inFlight;
        ledger.m_othersCountedAt = now;
        ledger.m_taken = 1;
        ledger.m_triedAt = now; // A former owner may just have tried.
    }

    auto recordTaken(RoomLedger& ledger, std::size_t atOnce) -> void
    {
        if (atOnce <= ledger.m_taken)
            return;
        ledger.m_taken = std::min(atOnce, ledger.m_state.m_slots);
        ledger.m_tryInterval = Milliseconds(0);
    }

    // Young requests may yet be refused.
    auto recordTakenByAge(RoomLedger& ledger, MonotonicTime now) -> void
    {
        auto atOnce = std::size_t { 0 };
        for (auto index = std::size_t { 0 }; index < grantsOlderThan(ledger, takenAfter, now); ++index)
            atOnce = std::max(atOnce, ledger.m_grants.at(index).m_atOnce);
        recordTaken(ledger, atOnce);
    }

    // A request that the upstream didn't take was not there beside the others.
    auto discountFromOthers(RoomLedger& ledger) -> void
    {
        for (auto& grant : ledger.m_grants)
            grant.m_atOnce -= grant.m_atOnce > 1 ? 1 : 0;
    }

    auto recordRefused(RoomLedger& ledger, MonotonicTime now) -> void
    {
        ledger.m_taken = std::min(ledger.m_taken, std::max<std::size_t>(requestsAt(ledger), 1));
        const auto doubled = std::min(ledger.m_tryInterval * 2, maxTryInterval);
        ledger.m_tryInterval = std::max(doubled, ledger.m_state.m_refusalInterval);
        ledger.m_triedAt = now;
        ledger.m_closedUntil = now + ledger.m_tryInterval;
    }

    auto toMilliseconds(MonotonicTime::duration time) -> Milliseconds
    {
        return std::chrono::ceil<Milliseconds>(time);
    }

    // Stagger by the time in which a slot becomes free.
    auto reserveRetry(RoomLedger& ledger, MonotonicTime now) -> Milliseconds
    {
        const auto slots = static_cast<double>(std::max<std::size_t>(ledger.m_state.m_slots, 1));
        const auto meanTime = ledger.m_meanTime > 0 ? ledger.m_meanTime : initialMeanTime;
        const auto step = std::chrono::duration<double>(meanTime / slots);
        const auto at = std::max(now, ledger.m_reservedUntil)
            + std::chrono::duration_cast<MonotonicTime::duration>(step);
        ledger.m_reservedUntil = std::min<MonotonicTime>(at, now + maxRetryAfter);
        return std::clamp(toMilliseconds(at - now), minRetryAfter, maxRetryAfter);
    }

} // namespace

auto setRoomOwned(RoomLedger& ledger, bool isOwned, Milliseconds reportDelay, MonotonicTime now) -> void
{
    if (ledger.m_isOwned == isOwned)
        return;
    ledger = RoomLedger();
    ledger.m_isOwned = isOwned;
    ledger.m_grantsFrom = now + reportDelay;
}

auto grantRoom(RoomLedger& ledger, const RoomState& state, RoomRequestId id, MonotonicTime now) -> RoomAnswer
{
    ledger.m_askedAt = now;
    ledger.m_state = state;
    if (!ledger.m_isOwned)
        return { RoomOutcome::NotOwner, notOwnerRetryAfter };
    if (now < ledger.m_grantsFrom)
        return { RoomOutcome::Full, toMilliseconds(ledger.m_grantsFrom - now) };
    if (ledger.m_grantsFrom != MonotonicTime())
        startOwning(ledger, now);
    applyReports(ledger, now);
    recordTakenByAge(ledger, now);
    if (now < ledger.m_closedUntil)
        return { RoomOutcome::Full, toMilliseconds(ledger.m_closedUntil - now) };
    const auto atOnce = requestsAt(ledger) + 1;
    if (atOnce > state.m_slots)
        return { RoomOutcome::Full, reserveRetry(ledger, now) };
    if (atOnce > ledger.m_taken) {
        if (now < ledger.m_triedAt + std::max(ledger.m_tryInterval, state.m_refusalInterval))
            return { RoomOutcome::Full, reserveRetry(ledger, now) };
        ledger.m_triedAt = now;
    }
    ledger.m_grants.push_back({ id, atOnce, now });
    return { RoomOutcome::Granted, Milliseconds(0) };
}

auto endGrant(RoomLedger& ledger, RoomRequestId id, RoomEnd end, MonotonicTime now) -> void
{
    const auto found = std::find_if(ledger.m_grants.begin(), ledger.m_grants.end(),
        [&](const RoomGrant& grant) { return grant.m_id == id; });
    if (found == ledger.m_grants.end())
        return;
    const auto grant = *found;
    ledger.m_grants.erase(found);
    if (end != RoomEnd::Taken)
        discountFromOthers(ledger);
    switch (end) {
    case RoomEnd::Unknown:
        return;
    case RoomEnd::Refused:
        recordRefused(ledger, now);
        return;
    case RoomEnd::Taken:
        recordTaken(ledger, grant.m_atOnce);
        break;
    }
    const auto time = std::chrono::duration<double>(now - grant.m_grantedAt).count();
    ledger.m_meanTime
        = ledger.m_meanTime > 0 ? ledger.m_meanTime + newestWeight * (time - ledger.m_meanTime) : time;
}

auto keepGrantsOf(RoomLedger& ledger, const std::vector<std::uint64_t>& incarnations) -> void
{
    std::erase_if(ledger.m_grants, [&](const RoomGrant& grant) {
        return std::find(incarnations.begin(), incarnations.end(), grant.m_id.m_asker) == incarnations.end();
    });
}

} // namespace marigoldladder::relay
