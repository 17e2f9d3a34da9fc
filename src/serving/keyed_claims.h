// Claims of plain idempotency keys: objects on the platform that name the process which may run a key.
//
// A claim is created once and never changed. It is deleted after its life, by one node of the fleet; a key
// used again later counts as a new one.
#pragma once

#include "core/blackboard.h"
#include "limits/token_bucket.h"
#include "objects/platform_client.h"
#include "serving/idempotency.h"

#include <functional>
#include <mutex>
#include <variant>

namespace marigoldladder {

inline constexpr auto claimLife = std::chrono::hours(24);

// The process that may run a key.
struct ClaimHolder {
    VmName m_vm;
    Incarnation m_incarnation = 0;

    auto operator<=>(const ClaimHolder&) const = default;
};

struct ClaimOutcome {
    ClaimHolder m_holder;
    bool m_createdNow = false; // By this very call.
};

using WallClock = std::function<std::chrono::system_clock::time_point()>;

// Thread-safe.
class KeyedClaims {
public:
    KeyedClaims(Blackboard&, PlatformClient&, ClaimHolder self, WallClock);

    // Claims the key for this process unless it is taken, and says who holds it. A failure leaves open
    // whether the claim was made.
    auto claim(const ScopedKey&) -> Result<ClaimOutcome>;

    // Deletes claims past their life: one list and a bounded number of deletions, on one node of the fleet.
    auto removeExpired() -> void;

private:
    auto mayCall() -> bool;
    auto readClaim(const std::string& kind, const ScopedKey&, const std::string& claimId)
        -> Result<ClaimOutcome>;
    auto isCleaner() const -> bool;

    Blackboard& m_blackboard;
    PlatformClient& m_platform;
    ClaimHolder m_self;
    WallClock m_clock;
    std::mutex m_mutex;
    TokenBucket m_calls; // This node's part of the calls that claims may cost the platform.
    std::size_t m_nextShard = 0;
};

} // namespace marigoldladder
