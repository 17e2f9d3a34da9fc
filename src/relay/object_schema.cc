#include "relay/object_schema.h"

#include "relay/task.h"

#include <utility>

namespace marigoldladder::relay {

namespace {

    // An unreadable configuration doesn't replace a readable one.
    auto isEarlierConfiguration(
        const ObjectSchema& schema, const nlohmann::json& known, const nlohmann::json& update) -> bool
    {
        return schema.m_readConfigurationVersion(update) < schema.m_readConfigurationVersion(known);
    }

    auto isEarlierVersion(
        const ObjectSchema& schema, const nlohmann::json& known, const nlohmann::json& update) -> bool
    {
        const auto knownAdapter = schema.m_readVersion(known);
        const auto updatedAdapter = schema.m_readVersion(update);
        return knownAdapter && updatedAdapter && knownAdapter->m_key == updatedAdapter->m_key
            && updatedAdapter->m_version < knownAdapter->m_version;
    }

    // A run that leaves never becomes available again.
    auto isEarlierUpstream(
        const ObjectSchema& schema, const nlohmann::json& known, const nlohmann::json& update) -> bool
    {
        const auto knownRecord = schema.m_readUpstream("upstream", known);
        const auto updatedRecord = schema.m_readUpstream("upstream", update);
        if (!knownRecord || !updatedRecord || knownRecord->m_startedAt == 0
            || updatedRecord->m_startedAt == 0)
            return false;
        return std::pair(updatedRecord->m_startedAt, updatedRecord->m_leaving)
            < std::pair(knownRecord->m_startedAt, knownRecord->m_leaving);
    }

    template <typename Object, typename... Arguments>
    auto withRecordedException(std::function<std::optional<Object>(Arguments...)> read, Metrics& metrics)
        -> std::function<std::optional<Object>(Arguments...)>
    {
        return [read = std::move(read), &metrics](Arguments... arguments) -> std::optional<Object> {
            try {
                return read(arguments...);
            } catch (...) {
                recordFailure("read_object", metrics, std::current_exception());
                return std::nullopt;
            }
        };
    }

} // namespace

auto withRecordedExceptions(const ObjectSchema& schema, Metrics& metrics) -> ObjectSchema
{
    auto guarded = schema;
    guarded.m_readConfiguration = withRecordedException(schema.m_readConfiguration, metrics);
    guarded.m_readConfigurationVersion = withRecordedException(schema.m_readConfigurationVersion, metrics);
    guarded.m_readUpstream = withRecordedException(schema.m_readUpstream, metrics);
    guarded.m_readVersion = withRecordedException(schema.m_readVersion, metrics);
    return guarded;
}

auto kindName(const ObjectSchema& schema, ObjectKind kind) -> const std::string&
{
    switch (kind) {
    case ObjectKind::Configuration:
        return schema.m_configurationKind;
    case ObjectKind::Upstreams:
        return schema.m_upstreamKind;
    case ObjectKind::Evacuations:
        return schema.m_evacuationKind;
    case ObjectKind::AdapterVersions:
        break;
    }
    return schema.m_versionKind;
}

auto rulesOf(const ObjectSchema& schema, ObjectKind kind) -> KindRules
{
    const auto with = [&schema](auto isEarlier) {
        return [&schema, isEarlier](const nlohmann::json& known, const nlohmann::json& update) {
            return isEarlier(schema, known, update);
        };
    };
    switch (kind) {
    case ObjectKind::Configuration:
        return KindRules { with(isEarlierConfiguration), true, true };
    case ObjectKind::Upstreams:
        return KindRules { with(isEarlierUpstream), false, false };
    case ObjectKind::AdapterVersions:
        return KindRules { with(isEarlierVersion), true, true };
    case ObjectKind::Evacuations:
        break;
    }
    return KindRules();
}

} // namespace marigoldladder::relay
