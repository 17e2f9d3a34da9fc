// Proves who an operator is.
//
// Two ways: `Bearer NAME.CREDENTIAL`, which whoever reads the wire can use again, and `Proof
// NAME:NONCE:PROOF`, which shows that the operator knows the credential without sending it. A proof is bound
// to one call and one challenge of one node, and is taken once.
#pragma once

#include "marigoldladder/settings.h"

#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace marigoldladder {

// What a node asks an operator to prove.
struct OperatorChallenge {
    std::string m_salt;
    std::string m_nonce;
};

// The part of a call that a proof covers.
struct ProvenCall {
    std::string_view m_method;
    std::string_view m_target; // Path and query.
    std::string_view m_body;
};

// How long a challenge can be answered.
inline constexpr auto challengeLifetime = std::chrono::milliseconds(30'000);

// Returns the value of the header `Authorization` that answers a challenge for one call. `credential` is
// NAME.CREDENTIAL.
auto answerChallenge(const OperatorChallenge&, std::string_view credential, const ProvenCall&) -> std::string;

// Checks the headers of one node's operator port. Thread-safe.
class OperatorAuthenticator {
public:
    explicit OperatorAuthenticator(const NodeSettings&);

    // Returns a challenge for the operator. For an unknown name it looks the same.
    auto challenge(const std::string& name) const -> OperatorChallenge;

    // Returns who called, or a null pointer when the header proves nobody.
    auto authenticate(std::string_view authorization, const ProvenCall&) -> const OperatorGrant*;

private:
    using Time = std::chrono::steady_clock::time_point;

    auto find(std::string_view name) const -> const OperatorGrant*;
    auto checkBearer(std::string_view credential) const -> const OperatorGrant*;
    auto checkProof(std::string_view proof, const ProvenCall&) -> const OperatorGrant*;
    auto signNonce(std::string_view unsignedNonce) const -> std::string;
    auto isFresh(std::string_view nonce) const -> bool;
    auto useOnce(std::string_view nonce) -> bool;

    const NodeSettings& m_settings;
    std::string m_nonceSecret;
    std::mutex m_mutex;
    std::map<std::string, Time, std::less<>> m_usedNonces; // Until they could not be answered any more.
};

} // namespace marigoldladder
