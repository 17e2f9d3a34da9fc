// Texts larger than one value of the platform may be, kept as a row of objects.
#pragma once

#include "objects/platform_client.h"

#include <cstddef>
#include <string>

namespace marigoldladder {

// Bytes of text in one object. Quoting can double them, which still fits the platform's limit of 1 MiB.
inline constexpr auto shardBytes = std::size_t { 500'000 };

// Where a sharded text is: objects named PREFIX-0 to PREFIX-(count-1).
struct ShardedText {
    std::string m_prefix;
    std::size_t m_count = 0;
};

// Writes an ASCII text. The same prefix must always stand for the same text, so that shards which are
// already there are right and a lost reply does no harm.
auto writeShards(PlatformClient&, const std::string& prefix, const std::string& text) -> Result<ShardedText>;

// Reads a text; `NotFound` when a shard of it has been removed.
auto readShards(PlatformClient&, const ShardedText&) -> Result<std::string>;

auto removeShards(PlatformClient&, const ShardedText&) -> Result<void>;

// Writes and reads where a text is as a JSON object.
auto formatShardedText(const ShardedText&) -> nlohmann::json;
auto parseShardedText(const nlohmann::json&) -> ShardedText;

} // namespace marigoldladder
