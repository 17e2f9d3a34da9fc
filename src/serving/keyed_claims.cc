#include "serving/keyed_claims.h"

#include "core/json_fields.h"
#include "core/random_bytes.h"

#include <algorithm>
#include <utility>

namespace marigoldladder {

namespace {

    // Claims lie in several kinds, so that one list stays small.
    constexpr auto kindPrefix = "idempotencyclaims";
    constexpr auto shardCount = std::size_t { 16 };
    constexpr auto maxDeletionsAtOnce = std::size_t { 500 };
    constexpr auto fleetClaimsPerSecond = 200.0;
    constexpr auto leastClaimsPerSecond = 0.5;
    constexpr auto burstSeconds = 10.0;
    constexpr auto claimAttempts = 3;
    constexpr auto claimIdBytes = std::size_t { 8 };

    auto kindOfShard(std::size_t shard) -> std::string
    {
        return std::string(kindPrefix) + static_cast<char>('a' + static_cast<char>(shard));
    }

    auto kindOf(const ScopedKey& key) -> std::string
    {
        constexpr auto hexBase = 16;
        return kindOfShard(std::stoul(key.value().substr(0, 1), nullptr, hexBase));
    }

    auto secondsOf(std::chrono::system_clock::time_point time) -> std::int64_t
    {
        return std::chrono::duration_cast<std::chrono::seconds>(time.time_since_epoch()).count();
    }

    auto unclaimed() -> Failure
    {
        return mayHaveRun(FailureType::Unavailable,
            "the idempotency key can't be claimed now; this request was not dispatched, an earlier one may "
            "have been");
    }

} // namespace

KeyedClaims::KeyedClaims(Blackboard& blackboard, PlatformClient& platform, ClaimHolder self, WallClock clock)
    : m_blackboard(blackboard)
    , m_platform(platform)
    , m_self(std::move(self))
    , m_clock(std::move(clock))
{
}

auto KeyedClaims::mayCall() -> bool
{
    const auto nodes
        = m_blackboard.m_membership.read([](const Membership& value) { return value.m_members.size(); });
    const auto perSecond = std::max(
        leastClaimsPerSecond, fleetClaimsPerSecond / static_cast<double>(std::max<std::size_t>(1, nodes)));
    const auto lock = std::lock_guard(m_mutex);
    refill(m_calls, { perSecond, perSecond * burstSeconds }, std::chrono::steady_clock::now());
    const auto call = charge(m_calls, 1);
    if (call)
        refund(m_calls, *call, 0);
    return call.has_value();
}

auto KeyedClaims::claim(const ScopedKey& key) -> Result<ClaimOutcome>
{
    if (!mayCall())
        return unclaimed();
    const auto kind = kindOf(key);
    const auto claimId = randomHex(claimIdBytes); // Tells this claim from an older one of this process.
    const auto spec = nlohmann::json {
        { "claim_id", claimId },
        { "vm", m_self.m_vm.value() },
        { "incarnation", m_self.m_incarnation },
        { "expires_at", secondsOf(m_clock() + claimLife) },
    };
    for (auto attempt = 0; attempt < claimAttempts; ++attempt) {
        const auto created = m_platform.create(kind, key.value(), spec);
        if (created)
            return ClaimOutcome { m_self, true };
        if (created.error().m_type == FailureType::Conflict) {
            return readClaim(kind, key, claimId);
        }
        if (created.error().m_verdict == Verdict::NotRun)
            return unclaimed();
    }
    return unclaimed();
}

auto KeyedClaims::readClaim(const std::string& kind, const ScopedKey& key, const std::string& claimId)
    -> Result<ClaimOutcome>
{
    const auto found = m_platform.get(kind, key.value());
    if (!found || !found.value())
        return unclaimed();
    const auto& spec = found.value()->m_spec;
    const auto holder = ClaimHolder { VmName(textOr(spec, "vm", "")), countOr(spec, "incarnation", 0) };
    return ClaimOutcome { holder, textOr(spec, "claim_id", "") == claimId };
}

auto KeyedClaims::isCleaner() const -> bool
{
    return m_blackboard.m_membership.read([&](const Membership& membership) {
        const auto first = std::find_if(membership.m_members.begin(), membership.m_members.end(),
            [](const auto& entry) { return entry.second.m_state == MemberState::Alive; });
        return first != membership.m_members.end() && first->first == m_self.m_vm;
    });
}

auto KeyedClaims::removeExpired() -> void
{
    if (!isCleaner())
        return;
    const auto kind = kindOfShard(m_nextShard);
    m_nextShard = (m_nextShard + 1) % shardCount;
    const auto list = m_platform.list(kind);
    if (!list)
        return;
    const auto now = static_cast<double>(secondsOf(m_clock()));
    auto deletions = std::size_t { 0 };
    for (const auto& object : list.value().m_objects) {
        if (numberOr(object.m_spec, "expires_at", now) >= now)
            continue;
        if (++deletions > maxDeletionsAtOnce || !m_platform.remove(kind, object.m_name))
            return;
    }
}

} // namespace marigoldladder
