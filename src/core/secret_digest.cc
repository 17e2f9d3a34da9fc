#include "core/secret_digest.h"

#include <array>
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
    auto input = std::string(salt);
    input.append(secret);
    auto digest = std::array<unsigned char, EVP_MAX_MD_SIZE> {};
    auto size = 0U;
    EVP_Digest(input.data(), input.size(), digest.data(), &size, EVP_sha256(), nullptr);
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
