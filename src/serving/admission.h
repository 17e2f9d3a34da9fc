// Decides whether a caller's request may run: whose key it carries, what it may use, and whether its
// organisation's allowance has room for it.
#pragma once

#include "core/blackboard.h"
#include "limits/allowance.h"
#include "routing/serve_call.h"

#include <string>

namespace marigoldladder {

// What the entry needs of a caller's HTTP request.
struct CallerRequest {
    std::string m_method;
    std::string m_path;
    std::string m_authorization;
    std::string m_contentType;
    std::string m_idempotencyKey;
    std::string m_body;
};

// A request that passed, with what it was charged.
struct AdmittedCall {
    ServeCall m_call;
    PoolName m_pool;
    RouteName m_route; // Empty for completions.
    Reservation m_reservation;
};

// Hash of a service call, the same for a call sent again.
auto serviceFingerprint(const std::string& method, const std::string& path, const std::string& body)
    -> std::uint64_t;

// Thread-safe. Refusals are `NotRun`.
class Admission {
public:
    Admission(Blackboard&, Allowance&);

    auto admitCompletion(const CallerRequest&) -> Result<AdmittedCall>;

    // Admits a call of a plain service; `path` is the part below the route. One that must not run twice is
    // not charged yet: that is for the node that runs it.
    auto admitService(const CallerRequest&, const RouteName&, const std::string& path)
        -> Result<AdmittedCall>;

    // Ends an admitted call's charge: `usedTokens` are spent, the rest goes back.
    auto settle(const Reservation&, double usedTokens) -> void;

private:
    auto charge(AdmittedCall) -> Result<AdmittedCall>;

    Blackboard& m_blackboard;
    Allowance& m_allowance;
};

} // namespace marigoldladder
