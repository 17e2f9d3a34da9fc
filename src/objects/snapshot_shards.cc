#include "objects/snapshot_shards.h"

#include "core/json_fields.h"

#include <algorithm>

namespace marigoldladder {

namespace {

    constexpr auto shardKind = "releaseshards";

    auto shardName(const std::string& prefix, std::size_t index) -> std::string
    {
        return prefix + "-" + std::to_string(index);
    }

    // Creates one shard; a reply that was lost is made good by creating it again.
    auto writeShard(PlatformClient& platform, const std::string& name, const std::string& text)
        -> Result<void>
    {
        constexpr auto attempts = 2;
        auto failure = Failure();
        for (auto i = 0; i < attempts; ++i) {
            const auto created = platform.create(shardKind, name, { { "text", text } });
            if (created || created.error().m_type == FailureType::Conflict)
                return boost::outcome_v2::success();
            failure = created.error();
        }
        return failure;
    }

} // namespace

auto writeShards(PlatformClient& platform, const std::string& prefix, const std::string& text)
    -> Result<ShardedText>
{
    const auto count = std::max(std::size_t { 1 }, (text.size() + shardBytes - 1) / shardBytes);
    for (auto i = std::size_t { 0 }; i < count; ++i) {
        const auto written
            = writeShard(platform, shardName(prefix, i), text.substr(i * shardBytes, shardBytes));
        if (!written)
            return written.error();
    }
    return ShardedText { prefix, count };
}

auto readShards(PlatformClient& platform, const ShardedText& where) -> Result<std::string>
{
    auto text = std::string();
    for (auto i = std::size_t { 0 }; i < where.m_count; ++i) {
        const auto shard = platform.get(shardKind, shardName(where.m_prefix, i));
        if (!shard)
            return shard.error();
        if (!shard.value())
            return notRun(FailureType::NotFound, shardName(where.m_prefix, i) + " is gone");
        text += textOr(shard.value()->m_spec, "text", "");
    }
    return text;
}

auto removeShards(PlatformClient& platform, const ShardedText& where) -> Result<void>
{
    for (auto i = std::size_t { 0 }; i < where.m_count; ++i) {
        const auto removed = platform.remove(shardKind, shardName(where.m_prefix, i));
        if (!removed)
            return removed.error();
    }
    return boost::outcome_v2::success();
}

auto formatShardedText(const ShardedText& where) -> nlohmann::json
{
    return { { "prefix", where.m_prefix }, { "count", where.m_count } };
}

auto parseShardedText(const nlohmann::json& json) -> ShardedText
{
    return { textOr(json, "prefix", ""), countOr(json, "count", 0) };
}

} // namespace marigoldladder
