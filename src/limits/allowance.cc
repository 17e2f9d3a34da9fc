#include "limits/allowance.h"

#include "core/random_bytes.h"

#include <algorithm>
#include <utility>

namespace marigoldladder {

namespace {

    constexpr auto transferMemory = std::chrono::minutes(2);
    constexpr auto maxRememberedTransfers = std::size_t { 4096 }; // In each group of organisations.
    constexpr auto maxUnlistedPeers = std::size_t { 8 };
    constexpr auto hintLifetime = std::chrono::milliseconds(100);
    constexpr auto avoidTime = std::chrono::milliseconds(1000);
    constexpr auto transferIdBytes = std::size_t { 8 };

    auto rateFor(const Organisation& organisation, double fraction) -> BucketRate
    {
        return { organisation.m_tokensPerSecond * fraction, organisation.m_burstTokens * fraction };
    }

    // Peers to ask while the table of slots is not known, as after a start during an outage.
    auto anyPeers(const Membership& membership, const VmName& self) -> std::vector<VmName>
    {
        auto peers = std::vector<VmName>();
        for (const auto& [vm, member] : membership.m_members) {
            if (vm != self && member.m_state == MemberState::Alive && peers.size() < maxUnlistedPeers)
                peers.push_back(vm);
        }
        return peers;
    }

    auto isReachable(const Membership& membership, const VmName& vm) -> bool
    {
        const auto found = membership.m_members.find(vm);
        return found != membership.m_members.end()
            && (found->second.m_state == MemberState::Alive
                || found->second.m_state == MemberState::Draining);
    }

    // Charges all of it to the bucket; nothing when the bucket holds less.
    auto chargeWhole(TokenBucket& bucket, const OrganisationName& name, double tokens)
        -> std::optional<Reservation>
    {
        const auto id = charge(bucket, tokens);
        return id ? std::optional(Reservation { name, tokens, tokens, *id, {} }) : std::nullopt;
    }

    auto newTransferId() -> TransferId
    {
        return TransferId(randomHex(transferIdBytes));
    }

} // namespace

Allowance::Allowance(Blackboard& blackboard, VmName self, TokenTransport transport, MonotonicClock clock,
    std::vector<Organisation> fleetAccounts)
    : m_blackboard(blackboard)
    , m_self(std::move(self))
    , m_transport(std::move(transport))
    , m_clock(std::move(clock))
    , m_fleetAccounts(std::move(fleetAccounts))
{
}

auto Allowance::fleetAccountOf(const OrganisationName& name) const -> const Organisation*
{
    for (const auto& account : m_fleetAccounts) {
        if (account.m_name == name)
            return &account;
    }
    return nullptr;
}

auto Allowance::organisationOf(const OrganisationName& name) const -> Organisation
{
    if (const auto* account = fleetAccountOf(name))
        return *account;
    return m_blackboard.m_configuration.read([&](const Configuration& configuration) {
        const auto found = configuration.m_organisations.find(name);
        if (found != configuration.m_organisations.end())
            return found->second;
        auto unknown = Organisation();
        unknown.m_name = name;
        return unknown;
    });
}

auto Allowance::groupOf(const OrganisationName& name) -> Group&
{
    return m_groups.at(shareGroupOf(name));
}

// Brings the organisation's bucket up to date; call it with the group's lock held.
auto Allowance::currentAccount(Group& group, const Organisation& organisation, MonotonicTime now) -> Account&
{
    const auto [found, isNew] = group.m_accounts.try_emplace(organisation.m_name);
    auto& account = found->second;
    const auto rate = rateFor(organisation, group.m_fraction);
    if (isNew)
        account.m_bucket.m_filledAt = group.m_since;
    else if (account.m_rateRevision != organisation.m_changedIn)
        account.m_bucket.m_filledAt = std::max(account.m_bucket.m_filledAt, now);
    account.m_rateRevision = organisation.m_changedIn;
    clip(account.m_bucket, rate.m_burstTokens);
    refill(account.m_bucket, rate, now);
    return account;
}

auto Allowance::admit(const OrganisationName& name, double tokens) -> Result<Reservation>
{
    const auto organisation = organisationOf(name);
    auto& group = groupOf(name);
    auto gathering = Gathering();
    auto candidates = std::vector<Candidate>();
    {
        const auto lock = std::lock_guard(group.m_mutex);
        const auto now = m_clock();
        auto& account = currentAccount(group, organisation, now);
        auto& bucket = account.m_bucket;
        if (auto reservation = chargeWhole(bucket, name, tokens))
            return std::move(*reservation);
        candidates = candidatesFor(organisation, account, now);
        const auto own = std::max(0.0, bucket.m_tokens);
        auto expected = own;
        for (const auto& candidate : candidates)
            expected += candidate.m_stale ? organisation.m_burstTokens : candidate.m_estimate;
        if (expected < tokens || tokens > organisation.m_burstTokens)
            return refuse(bucket, organisation, tokens);
        gathering.m_deadline = now + transferTimeout;
        gathering.m_missing = tokens - own;
        gathering.m_reservation = { name, tokens, own, chargeHeld(bucket, own, gathering.m_deadline), {} };
    }
    gather(group, organisation, candidates, gathering);
    if (gathering.m_missing <= 0 && m_clock() < gathering.m_deadline)
        return std::move(gathering.m_reservation);
    giveAllBack(group, gathering.m_reservation);
    const auto lock = std::lock_guard(group.m_mutex);
    auto& bucket = currentAccount(group, organisation, m_clock()).m_bucket;
    if (auto reservation = chargeWhole(bucket, name, tokens)) // It was refilled meanwhile.
        return std::move(*reservation);
    return refuse(bucket, organisation, tokens);
}

auto Allowance::refuse(const TokenBucket& bucket, const Organisation& organisation, double tokens) -> Failure
{
    if (!fleetAccountOf(organisation.m_name))
        m_blackboard.m_metrics.add(Counter::AllowanceRefusals);
    auto failure = notRun(FailureType::AllowanceExceeded, "the organisation's allowance is spent");
    failure.m_retryAfter = timeUntil(bucket, rateFor(organisation, 1), tokens);
    return failure;
}

// Returns the peers to ask, the one with the most tokens first.
auto Allowance::candidatesFor(const Organisation& organisation, const Account& account,
    MonotonicTime now) const -> std::vector<Candidate>
{
    const auto slots = m_blackboard.m_shares.read([](const ShareTable& table) { return table.m_slots; });
    const auto number = shareGroupOf(organisation.m_name);
    auto peers = holdersOf(slots, number);
    if (slots.empty())
        peers = anyPeers(m_blackboard.m_membership.copy(), m_self);
    const auto reachable = [&](const VmName& vm) {
        return m_blackboard.m_membership.read(
            [&](const Membership& membership) { return isReachable(membership, vm); });
    };
    auto candidates = std::vector<Candidate>();
    for (auto& vm : peers) {
        const auto hint = account.m_hints.find(vm);
        const auto known = hint != account.m_hints.end();
        if (vm == m_self || !reachable(vm) || (known && now < hint->second.m_avoidUntil))
            continue;
        const auto fraction = slots.empty() ? 1 : fractionOf(slots, number, vm);
        const auto rate = rateFor(organisation, fraction);
        auto candidate = Candidate { std::move(vm), rate.m_burstTokens, true };
        if (known) {
            const auto age = now - hint->second.m_heardAt;
            const auto filled = std::chrono::duration<double>(age).count() * rate.m_tokensPerSecond;
            candidate.m_estimate = std::min(rate.m_burstTokens, hint->second.m_tokens + filled);
            candidate.m_stale = age > hintLifetime;
        }
        candidates.push_back(std::move(candidate));
    }
    std::sort(candidates.begin(), candidates.end(),
        [](const Candidate& left, const Candidate& right) { return left.m_estimate > right.m_estimate; });
    return candidates;
}

auto Allowance::gather(Group& group, const Organisation& organisation,
    const std::vector<Candidate>& candidates, Gathering& gathering) -> void
{
    for (const auto& candidate : candidates) {
        if (gathering.m_missing <= 0 || m_clock() >= gathering.m_deadline)
            return;
        if (candidate.m_estimate <= 0 && !candidate.m_stale)
            continue;
        const auto transfer = TokenTransfer { organisation.m_name, newTransferId(), gathering.m_missing };
        const auto gift = m_transport.m_ask(candidate.m_vm, transfer);
        rememberHint(group, organisation.m_name, candidate.m_vm, gift);
        if (!gift || gift->m_tokens <= 0)
            continue;
        const auto received = std::min(gift->m_tokens, transfer.m_tokens);
        gathering.m_missing -= received;
        gathering.m_reservation.m_received.push_back({ candidate.m_vm, transfer.m_id, received });
        m_blackboard.m_metrics.add(Counter::TokensTaken, static_cast<std::uint64_t>(received));
    }
}

auto Allowance::rememberHint(Group& group, const OrganisationName& name, const VmName& vm,
    const std::optional<TokenGift>& gift) -> void
{
    const auto lock = std::lock_guard(group.m_mutex);
    const auto now = m_clock();
    auto& hint = group.m_accounts[name].m_hints[vm];
    if (!gift) {
        hint.m_avoidUntil = now + avoidTime;
        return;
    }
    hint.m_tokens = gift->m_left;
    hint.m_heardAt = now;
}

auto Allowance::giveAllBack(Group& group, const Reservation& reservation) -> void
{
    {
        const auto lock = std::lock_guard(group.m_mutex);
        refund(group.m_accounts[reservation.m_organisation].m_bucket, reservation.m_charge,
            reservation.m_ownTokens);
    }
    for (const auto& part : reservation.m_received)
        m_transport.m_giveBack(part.m_giver, { reservation.m_organisation, part.m_transfer, part.m_tokens });
}

auto Allowance::settle(const Reservation& reservation, double usedTokens) -> void
{
    if (reservation.m_organisation.empty())
        return;
    auto unused = std::max(0.0, reservation.m_tokens - usedTokens);
    {
        auto& group = groupOf(reservation.m_organisation);
        const auto lock = std::lock_guard(group.m_mutex);
        auto& bucket = group.m_accounts[reservation.m_organisation].m_bucket;
        const auto own = std::min(unused, reservation.m_ownTokens);
        refund(bucket, reservation.m_charge, own);
        bucket.m_tokens -= std::max(0.0, usedTokens - reservation.m_tokens);
        unused -= own;
    }
    for (const auto& part : reservation.m_received) {
        const auto returned = std::min(unused, part.m_tokens);
        unused -= returned;
        if (returned > 0)
            m_transport.m_giveBack(part.m_giver, { reservation.m_organisation, part.m_transfer, returned });
    }
}

auto Allowance::give(const TokenTransfer& transfer) -> TokenGift
{
    const auto organisation = organisationOf(transfer.m_organisation);
    auto& group = groupOf(transfer.m_organisation);
    const auto lock = std::lock_guard(group.m_mutex);
    const auto known = group.m_given.find(transfer.m_id);
    if (known != group.m_given.end())
        return known->second.m_gift;
    const auto now = m_clock();
    forgetOldTransfers(group, now);
    auto& bucket = currentAccount(group, organisation, now).m_bucket;
    const auto tokens = std::min(transfer.m_tokens, bucket.m_tokens);
    if (!(tokens > 0))
        return { 0, std::max(0.0, bucket.m_tokens) };
    const auto id = chargeHeld(bucket, tokens, now + transferTimeout);
    const auto gift = TokenGift { tokens, bucket.m_tokens };
    group.m_given[transfer.m_id] = { transfer.m_organisation, id, gift, now };
    group.m_givenOrder.push_back(transfer.m_id);
    m_blackboard.m_metrics.add(Counter::TokensGiven, static_cast<std::uint64_t>(tokens));
    return gift;
}

auto Allowance::takeBack(const TokenTransfer& transfer) -> void
{
    auto& group = groupOf(transfer.m_organisation);
    const auto lock = std::lock_guard(group.m_mutex);
    const auto known = group.m_given.find(transfer.m_id);
    if (known == group.m_given.end() || known->second.m_organisation != transfer.m_organisation)
        return;
    refund(group.m_accounts[transfer.m_organisation].m_bucket, known->second.m_charge, transfer.m_tokens);
}

auto Allowance::forgetOldTransfers(Group& group, MonotonicTime now) -> void
{
    while (!group.m_givenOrder.empty()) {
        const auto oldest = group.m_given.find(group.m_givenOrder.front());
        const auto isOld = oldest == group.m_given.end() || oldest->second.m_at + transferMemory < now;
        if (!isOld && group.m_givenOrder.size() < maxRememberedTransfers)
            return;
        if (oldest != group.m_given.end())
            group.m_given.erase(oldest);
        group.m_givenOrder.pop_front();
    }
}

auto Allowance::setFractions(const GroupFractions& fractions) -> void
{
    for (auto number = std::size_t { 0 }; number < shareGroupCount; ++number) {
        auto& group = m_groups.at(number);
        const auto lock = std::lock_guard(group.m_mutex);
        if (group.m_fraction == fractions.at(number))
            continue;
        const auto now = m_clock();
        for (const auto& [name, account] : group.m_accounts)
            currentAccount(group, organisationOf(name), now);
        group.m_fraction = fractions.at(number);
        group.m_since = now;
    }
}

} // namespace marigoldladder
