#include "marigoldladder/settings.h"

#include "core/json_reader.h"

#include <algorithm>

namespace marigoldladder {

namespace {

    constexpr auto minFleetSecretLength = std::size_t { 16 };
    constexpr auto requestBytesRange = NumberRange { 1024, 64.0 * 1024 * 1024 };
    constexpr auto heldBytesRange = NumberRange { 64.0 * 1024, 64.0 * 1024 * 1024 * 1024 };
    constexpr auto connectionsRange = NumberRange { 8, 10000 };
    constexpr auto loadRateRange = NumberRange { 0.01, 100'000 };
    constexpr auto loadsInFlightRange = NumberRange { 1, 100'000 };
    constexpr auto millisecondsRange = NumberRange { 10, 3'600'000 };

    auto readOperators(JsonReader& reader, std::vector<FieldFault>& faults) -> std::vector<OperatorGrant>
    {
        auto operators = std::vector<OperatorGrant>();
        const auto* array = reader.child("operators");
        if (!array)
            return operators;
        if (!array->is_array()) {
            reader.fault("operators", "must be an array of objects");
            return operators;
        }
        for (auto i = std::size_t { 0 }; i < array->size(); ++i) {
            auto item = JsonReader((*array)[i], reader.pathOf("operators") + "/" + std::to_string(i), faults);
            auto grant = OperatorGrant();
            grant.m_name = item.requiredText("name");
            grant.m_office = item.requiredText("office");
            grant.m_salt = item.requiredText("salt");
            grant.m_credentialDigest = item.requiredText("credential_digest");
            item.rejectUnknownFields();
            const auto sameName = [&](const OperatorGrant& other) { return other.m_name == grant.m_name; };
            if (std::any_of(operators.begin(), operators.end(), sameName))
                item.fault("name", "is there twice");
            operators.push_back(std::move(grant));
        }
        return operators;
    }

    auto readRoles(JsonReader& reader, NodeSettings& settings) -> void
    {
        if (!reader.has("roles"))
            return;
        const auto roles = reader.optionalTexts("roles");
        settings.m_entryRole = std::find(roles.begin(), roles.end(), "entry") != roles.end();
        settings.m_ownerRole = std::find(roles.begin(), roles.end(), "owner") != roles.end();
        const auto known
            = static_cast<std::size_t>(settings.m_entryRole) + static_cast<std::size_t>(settings.m_ownerRole);
        if (known == 0 || known != roles.size())
            reader.fault("roles", "must be a list of \"entry\", \"owner\" or both, each once");
    }

    auto readLimits(JsonReader& reader, std::vector<FieldFault>& faults) -> IntakeLimits
    {
        auto limits = IntakeLimits();
        const auto* object = reader.child("limits");
        if (!object)
            return limits;
        auto item = JsonReader(*object, reader.pathOf("limits"), faults);
        const auto milliseconds = [&](std::string_view field, std::chrono::milliseconds fallback) {
            const auto number
                = item.optionalNumber(field, static_cast<double>(fallback.count()), millisecondsRange);
            return std::chrono::milliseconds(static_cast<std::int64_t>(number));
        };
        limits.m_maxRequestBytes = static_cast<std::size_t>(item.optionalNumber(
            "max_request_bytes", static_cast<double>(limits.m_maxRequestBytes), requestBytesRange));
        limits.m_maxConnections = static_cast<std::size_t>(item.optionalNumber(
            "max_connections", static_cast<double>(limits.m_maxConnections), connectionsRange));
        limits.m_maxHeldBytes = static_cast<std::size_t>(item.optionalNumber(
            "max_held_bytes", static_cast<double>(limits.m_maxHeldBytes), heldBytesRange));
        limits.m_requestDeadline = milliseconds("request_deadline_ms", limits.m_requestDeadline);
        limits.m_readTimeout = milliseconds("read_timeout_ms", limits.m_readTimeout);
        item.rejectUnknownFields();
        return limits;
    }

    auto readWeightStore(JsonReader& reader, std::vector<FieldFault>& faults) -> WeightStoreLimits
    {
        auto limits = WeightStoreLimits();
        const auto* object = reader.child("weight_store");
        if (!object)
            return limits;
        auto item = JsonReader(*object, reader.pathOf("weight_store"), faults);
        limits.m_loadsPerSecond
            = item.optionalNumber("loads_per_second", limits.m_loadsPerSecond, loadRateRange);
        limits.m_maxInFlight = static_cast<std::size_t>(item.optionalNumber(
            "max_in_flight", static_cast<double>(limits.m_maxInFlight), loadsInFlightRange));
        item.rejectUnknownFields();
        return limits;
    }

    auto readSeedPeers(JsonReader& reader) -> std::vector<Address>
    {
        auto peers = std::vector<Address>();
        for (const auto& text : reader.optionalTexts("seed_peers")) {
            if (const auto address = parseAddress(text))
                peers.push_back(*address);
            else
                reader.fault("seed_peers", "holds \"" + text + "\", which is no address");
        }
        return peers;
    }

    auto readLogLevel(JsonReader& reader) -> std::string
    {
        constexpr auto levels = std::array<std::string_view, 5> { "debug", "info", "warn", "error", "off" };
        auto level = reader.optionalText("log_level", "info");
        if (std::find(levels.begin(), levels.end(), level) == levels.end())
            reader.fault("log_level", "must be debug, info, warn, error or off");
        return level;
    }

} // namespace

auto parseNodeSettings(std::string_view json) -> CheckedSettings<NodeSettings>
{
    auto faults = std::vector<FieldFault>();
    const auto document = parseJsonObject(json, faults);
    if (!document)
        return SettingsFaults { std::move(faults) };
    auto reader = JsonReader(*document, "", faults);
    auto settings = NodeSettings();
    settings.m_vm = VmName(reader.requiredText("vm"));
    settings.m_dataCentre = DataCentreName(reader.requiredText("data_centre"));
    settings.m_callerAddress = reader.requiredAddress("caller_address");
    settings.m_operatorAddress = reader.requiredAddress("operator_address");
    settings.m_peerAddress = reader.requiredAddress("peer_address");
    settings.m_advertisedCallerAddress
        = reader.optionalAddress("advertised_caller_address", settings.m_callerAddress);
    settings.m_advertisedPeerAddress
        = reader.optionalAddress("advertised_peer_address", settings.m_peerAddress);
    settings.m_platformAddress = reader.requiredAddress("platform_address");
    settings.m_fleetSecret = reader.requiredText("fleet_secret");
    if (!settings.m_fleetSecret.empty() && settings.m_fleetSecret.size() < minFleetSecretLength)
        reader.fault("fleet_secret", "must have 16 characters or more");
    settings.m_operators = readOperators(reader, faults);
    settings.m_seedPeers = readSeedPeers(reader);
    readRoles(reader, settings);
    settings.m_limits = readLimits(reader, faults);
    settings.m_weightStore = readWeightStore(reader, faults);
    settings.m_logLevel = readLogLevel(reader);
    reader.rejectUnknownFields();
    if (!faults.empty())
        return SettingsFaults { std::move(faults) };
    return settings;
}

} // namespace marigoldladder
