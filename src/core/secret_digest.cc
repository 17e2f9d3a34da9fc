#include "core/secret_digest.h"

#include <array>
#include <memory>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace marigoldladder {

auto toHex(const unsigned char* bytes, std::size_t size) -> std::string
{
    constexpr auto digits = std::string_view("0123456789abcdef");
    constexpr auto bitsPerDigit = 4U;
    constexpr auto digitMask = 0xFU;
    auto text = std::string();
    text.reserve(size * 2);
    for (auto i = std::size_t { 0 }; i < size; ++i) {
        text.push_back(digits[bytes[i] >> bitsPerDigit]);
        text.push_back(digits[bytes[i] & digitMask]);
    }
    return text;
}

auto saltedDigest(std::string_view salt, std::string_view secret) -> std::string
{
    // Looking the algorithm up takes longer than a short digest, so that is done once.
    static const auto* const algorithm = EVP_MD_fetch(nullptr, "SHA256", nullptr);
    thread_local const auto context
        = std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)>(EVP_MD_CTX_new(), &EVP_MD_CTX_free);
    auto digest = std::array<unsigned char, EVP_MAX_MD_SIZE> {};
    auto size = 0U;
    EVP_DigestInit_ex(context.get(), algorithm, nullptr);
    EVP_DigestUpdate(context.get(), salt.data(), salt.size());
    EVP_DigestUpdate(context.get(), secret.data(), secret.size());
    EVP_DigestFinal_ex(context.get(), digest.data(), &size);
    return toHex(digest.data(), size);
}

auto messageProof(std::string_view secret, std::string_view message) -> std::string
{
    auto digest = std::array<unsigned char, EVP_MAX_MD_SIZE> {};
    auto size = 0U;
    const auto* bytes = reinterpret_cast<const unsigned char*>(message.data());
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()), bytes, message.size(), digest.data(),
        &size);
    return toHex(digest.data(), size);
}

auto equalInConstantTime(std::string_view left, std::string_view right) -> bool
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace marigoldladder
