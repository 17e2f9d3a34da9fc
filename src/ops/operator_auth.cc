#include "ops/operator_auth.h"

#include "core/random_bytes.h"
#include "core/secret_digest.h"

#include <charconv>

namespace marigoldladder {

namespace {

    constexpr auto bearerPrefix = std::string_view("Bearer ");
    constexpr auto proofPrefix = std::string_view("Proof ");
    constexpr auto nonceBytes = std::size_t { 16 };
    constexpr auto nonceSecretBytes = std::size_t { 32 };
    constexpr auto saltDigits = std::size_t { 16 };

    // A text split at its first separator; the second part is empty when there is none.
    struct SplitText {
        std::string_view m_first;
        std::string_view m_rest;
    };

    auto splitAt(std::string_view text, char separator) -> SplitText
    {
        const auto position = text.find(separator);
        if (position == std::string_view::npos)
            return { text, {} };
        return { text.substr(0, position), text.substr(position + 1) };
    }

    auto proofOf(std::string_view credentialDigest, std::string_view nonce, const ProvenCall& call)
        -> std::string
    {
        auto message = std::string(nonce);
        message.append("\n").append(call.m_method).append("\n").append(call.m_target);
        message.append("\n").append(saltedDigest("", call.m_body));
        return messageProof(credentialDigest, message);
    }

    auto millisecondsNow() -> std::int64_t
    {
        const auto now = std::chrono::steady_clock::now().time_since_epoch();
        return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    }

} // namespace

auto answerChallenge(const OperatorChallenge& challenge, std::string_view credential, const ProvenCall& call)
    -> std::string
{
    const auto [name, secret] = splitAt(credential, '.');
    auto header = std::string(proofPrefix);
    header.append(name).append(":").append(challenge.m_nonce).append(":");
    return header + proofOf(saltedDigest(challenge.m_salt, secret), challenge.m_nonce, call);
}

OperatorAuthenticator::OperatorAuthenticator(const NodeSettings& settings)
    : m_settings(settings)
    , m_nonceSecret(randomHex(nonceSecretBytes))
{
}

auto OperatorAuthenticator::signNonce(std::string_view unsignedNonce) const -> std::string
{
    return messageProof(m_nonceSecret, unsignedNonce);
}

auto OperatorAuthenticator::challenge(const std::string& name) const -> OperatorChallenge
{
    const auto* grant = find(name);
    const auto salt = grant ? grant->m_salt : signNonce(name).substr(0, saltDigits);
    const auto unsignedNonce = std::to_string(millisecondsNow()) + "." + randomHex(nonceBytes);
    return { salt, unsignedNonce + "." + signNonce(unsignedNonce) };
}

auto OperatorAuthenticator::find(std::string_view name) const -> const OperatorGrant*
{
    for (const auto& grant : m_settings.m_operators) {
        if (grant.m_name == name)
            return &grant;
    }
    return nullptr;
}

auto OperatorAuthenticator::authenticate(std::string_view authorization, const ProvenCall& call)
    -> const OperatorGrant*
{
    if (authorization.starts_with(bearerPrefix))
        return checkBearer(authorization.substr(bearerPrefix.size()));
    if (authorization.starts_with(proofPrefix))
        return checkProof(authorization.substr(proofPrefix.size()), call);
    return nullptr;
}

auto OperatorAuthenticator::checkBearer(std::string_view credential) const -> const OperatorGrant*
{
    const auto [name, secret] = splitAt(credential, '.');
    const auto* grant = find(name);
    if (!grant || !equalInConstantTime(saltedDigest(grant->m_salt, secret), grant->m_credentialDigest))
        return nullptr;
    return grant;
}

auto OperatorAuthenticator::checkProof(std::string_view text, const ProvenCall& call) -> const OperatorGrant*
{
    const auto [name, rest] = splitAt(text, ':');
    const auto [nonce, proof] = splitAt(rest, ':');
    const auto* grant = find(name);
    if (!grant || !isFresh(nonce))
        return nullptr;
    if (!equalInConstantTime(proofOf(grant->m_credentialDigest, nonce, call), proof))
        return nullptr;
    return useOnce(nonce) ? grant : nullptr;
}

// Whether this node gave the nonce out and not too long ago.
auto OperatorAuthenticator::isFresh(std::string_view nonce) const -> bool
{
    const auto end = nonce.rfind('.');
    if (end == std::string_view::npos
        || !equalInConstantTime(signNonce(nonce.substr(0, end)), nonce.substr(end + 1)))
        return false;
    auto givenAt = std::int64_t { 0 };
    std::from_chars(nonce.data(), nonce.data() + end, givenAt);
    return millisecondsNow() - givenAt <= challengeLifetime.count();
}

auto OperatorAuthenticator::useOnce(std::string_view nonce) -> bool
{
    const auto now = std::chrono::steady_clock::now();
    const auto lock = std::lock_guard(m_mutex);
    std::erase_if(m_usedNonces, [&](const auto& used) { return used.second < now; });
    return m_usedNonces.emplace(nonce, now + challengeLifetime).second;
}

} // namespace marigoldladder
