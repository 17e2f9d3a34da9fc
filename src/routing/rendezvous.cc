#include "routing/rendezvous.h"

#include <xxhash.h>

namespace marigoldladder {

auto rendezvousWeight(std::string_view key, std::string_view candidate) -> std::uint64_t
{
    const auto seed = XXH3_64bits(key.data(), key.size());
    return XXH3_64bits_withSeed(candidate.data(), candidate.size(), seed);
}

} // namespace marigoldladder
