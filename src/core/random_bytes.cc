#include "core/random_bytes.h"

#include "core/secret_digest.h"

#include <openssl/rand.h>
#include <stdexcept>
#include <vector>

namespace marigoldladder {

auto randomHex(std::size_t bytes) -> std::string
{
    auto buffer = std::vector<unsigned char>(bytes);
    if (RAND_bytes(buffer.data(), static_cast<int>(buffer.size())) != 1)
        throw std::runtime_error("the system gives no random bytes");
    return toHex(buffer.data(), buffer.size());
}

} // namespace marigoldladder
