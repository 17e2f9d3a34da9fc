#include "relay/relay_settings.h"

#include "core/json_reader.h"

namespace marigoldladder::relay {

namespace {

    constexpr auto maxTimeMs = 3'600'000.0; // An hour.
    constexpr auto maxTimeSeconds = 3'600.0;
    constexpr auto maxDescriptors = 1'048'576.0;
    constexpr auto maxCores = 4'096.0;
    constexpr auto minMemoryMegabytes = 16.0;
    constexpr auto maxMemoryMegabytes = 16'777'216.0;
    constexpr auto bytesPerMegabyte = double { 1 << 20 };

    auto milliseconds(double value) -> Milliseconds
    {
        return Milliseconds(static_cast<std::int64_t>(value));
    }

    // Removes fields that are null, which the platform writes for what a deployment doesn't state.
    auto removeNulls(nlohmann::json& object) -> void
    {
        for (auto field = object.begin(); field != object.end();) {
            if (field->is_null()) {
                field = object.erase(field);
                continue;
            }
            if (field->is_object())
                removeNulls(*field);
            ++field;
        }
    }

    auto appendUnknownFields(const JsonReader& reader, RelaySettings& settings) -> void
    {
        const auto unknown = reader.unknownFields();
        settings.m_unknownFields.insert(settings.m_unknownFields.end(), unknown.begin(), unknown.end());
    }

    auto readBounds(const nlohmann::json& object, std::vector<FieldFault>& faults, RelaySettings& settings)
        -> FleetBounds
    {
        constexpr auto millisecondsPerSecond = 1'000.0;
        const auto defaults = FleetBounds();
        auto reader = JsonReader(object, "/bounds", faults);
        auto bounds = FleetBounds();
        bounds.m_retryRatio = reader.optionalNumber("retry_ratio", defaults.m_retryRatio, { 0, 10 });
        bounds.m_retryExtra = reader.optionalNumber("retry_extra", defaults.m_retryExtra, { 0, 1e6 });
        bounds.m_retryWindow = milliseconds(
            reader.optionalNumber("retry_window_s", 10, { 1, maxTimeSeconds }) * millisecondsPerSecond);
        bounds.m_drainTime = milliseconds(reader.optionalNumber("drain_ms", 2'000, { 0, maxTimeMs }));
        bounds.m_stopTime
            = milliseconds(reader.optionalNumber("stop_s", 8, { 0, maxTimeSeconds }) * millisecondsPerSecond);
        bounds.m_leaseTime = milliseconds(reader.optionalNumber("lease_ms", 3'000, { 0, maxTimeMs }));
        bounds.m_versionTime
            = milliseconds(reader.optionalNumber("adapter_version_ms", 5'000, { 0, maxTimeMs }));
        const auto allowance = AllowanceBounds();
        const auto seconds = static_cast<double>(allowance.m_window.count());
        bounds.m_allowance.m_window = std::chrono::seconds(
            static_cast<int>(reader.optionalNumber("allowance_window_s", seconds, { 1, maxTimeSeconds })));
        bounds.m_allowance.m_excess
            = reader.optionalNumber("allowance_excess", allowance.m_excess, { 0, 10 });
        appendUnknownFields(reader, settings);
        return bounds;
    }

    auto readRegions(const nlohmann::json& object, std::vector<FieldFault>& faults)
        -> std::map<DataCentreName, std::string>
    {
        auto regions = std::map<DataCentreName, std::string>();
        if (!object.is_object()) {
            faults.push_back({ "/data_centre_regions", "must be an object" });
            return regions;
        }
        auto reader = JsonReader(object, "/data_centre_regions", faults);
        for (const auto& [dataCentre, region] : object.items())
            regions[DataCentreName(dataCentre)] = reader.requiredText(dataCentre);
        return regions;
    }

} // namespace

auto parseRelaySettings(std::string_view json) -> CheckedSettings<RelaySettings>
{
    auto faults = std::vector<FieldFault>();
    auto object = parseJsonObject(json, faults);
    if (!object)
        return SettingsFaults { std::move(faults) };
    removeNulls(*object);
    auto reader = JsonReader(*object, "", faults);
    auto settings = RelaySettings();
    settings.m_vm = VmName(reader.requiredText("vm"));
    settings.m_dataCentre = DataCentreName(reader.requiredText("data_centre"));
    settings.m_region = reader.optionalText("region", "");
    settings.m_callerAddress = reader.requiredAddress("caller_address");
    settings.m_readinessAddress = reader.requiredAddress("readiness_address");
    settings.m_directoryAddress = reader.requiredAddress("directory_address");
    settings.m_peerAddress = reader.requiredAddress("peer_address");
    settings.m_metricsAddress = reader.requiredAddress("metrics_address");
    settings.m_storeAddress = reader.requiredAddress("store_address");
    settings.m_firstStart = reader.optionalBool("first_start", false);
    settings.m_maxDescriptors
        = static_cast<std::size_t>(reader.optionalNumber("max_descriptors", 1024, { 64, maxDescriptors }));
    const auto defaultMemoryMegabytes = static_cast<double>(settings.m_memoryBytes) / bytesPerMegabyte;
    const auto memoryMegabytes = reader.optionalNumber(
        "memory_megabytes", defaultMemoryMegabytes, { minMemoryMegabytes, maxMemoryMegabytes });
    settings.m_memoryBytes = static_cast<std::size_t>(memoryMegabytes * bytesPerMegabyte);
    const auto cores = reader.optionalNumber("processor_cores", 1, { 0.001, maxCores });
    settings.m_processorShare = cores * reader.optionalNumber("processor_share", 1, { 0.001, 1 });
    settings.m_logLevel = reader.optionalText("log_level", "info");
    if (const auto* regions = reader.child("data_centre_regions"))
        settings.m_regions = readRegions(*regions, faults);
    if (const auto* bounds = reader.child("bounds"))
        settings.m_bounds = readBounds(*bounds, faults, settings);
    appendUnknownFields(reader, settings);
    if (!faults.empty())
        return SettingsFaults { std::move(faults) };
    return settings;
}

} // namespace marigoldladder::relay
