#include "relay/software_history.h"

#include "core/json_fields.h"
#include "relay/stream_origins.h"

#include <algorithm>

namespace marigoldladder::relay {

namespace {

    // Returns the set; nothing if an element is no number.
    auto toSoftware(const nlohmann::json& json) -> std::optional<std::set<SoftwareId>>
    {
        auto software = std::set<SoftwareId>();
        if (!json.is_array())
            return std::nullopt;
        for (const auto& item : json) {
            if (!item.is_number_unsigned())
                return std::nullopt;
            software.insert(item.get<SoftwareId>());
        }
        return software;
    }

} // namespace

auto toJson(const SoftwareHistory& history) -> nlohmann::json
{
    auto pools = nlohmann::json::object();
    for (const auto& [pool, software] : history.m_software)
        pools[pool.value()] = software;
    return nlohmann::json { { "pools", std::move(pools) }, { "complete", history.m_isComplete },
        { "era", history.m_era } };
}

auto toHistory(const nlohmann::json& json) -> std::optional<SoftwareHistory>
{
    auto history = SoftwareHistory();
    const auto* pools = member(json, "pools");
    if (!pools || !pools->is_object())
        return std::nullopt;
    for (const auto& [pool, content] : pools->items()) {
        auto software = toSoftware(content);
        if (!software)
            return std::nullopt;
        history.m_software[PoolName(pool)] = std::move(*software);
    }
    history.m_isComplete = flagOr(json, "complete", false);
    history.m_era = countOr(json, "era", 0);
    return history;
}

auto addSoftware(SoftwareByPool& all, const SoftwareByPool& added) -> void
{
    for (const auto& [pool, software] : added)
        all[pool].insert(software.begin(), software.end());
}

auto nextHistory(const HistoryView& view) -> SoftwareHistory
{
    auto next = SoftwareHistory { view.m_seen, view.m_knowsAll, view.m_era };
    if (!view.m_stored)
        return next;
    next.m_isComplete
        = next.m_isComplete || (view.m_stored->m_isComplete && view.m_stored->m_era == view.m_era);
    if (std::min(view.m_watchedFor, view.m_readAgo) < streamLifetime)
        addSoftware(next.m_software, view.m_stored->m_software);
    return next;
}

} // namespace marigoldladder::relay
