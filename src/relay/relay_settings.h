// The settings of a relay node: one JSON file, validated in full before the node starts.
#pragma once

#include "marigoldladder/settings.h"
#include "relay/allowance_shards.h"
#include "relay/routing_configuration.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace marigoldladder::relay {

// Limits that all nodes must keep together, and deadlines for changes to be in force.
struct FleetBounds {
    double m_retryRatio = 0.2; // Retries for each request of a service.
    double m_retryExtra = 50; // Further retries in one window.
    Milliseconds m_retryWindow { 10'000 };
    Milliseconds m_drainTime { 2'000 }; // A leaving upstream gets no request after it.
    Milliseconds m_stopTime { 8'000 }; // From the stop signal until the process is killed.
    Milliseconds m_leaseTime { 3'000 }; // Least time between the orders of two successive lease holders.
    // From the announcement of an adapter's version until no request may begin on an older one.
    Milliseconds m_versionTime { 5'000 };
    AllowanceBounds m_allowance; // On the cost of each organisation's requests.
};

struct RelaySettings {
    VmName m_vm;
    DataCentreName m_dataCentre;
    std::string m_region;
    std::map<DataCentreName, std::string> m_regions; // Of each data centre.
    Address m_callerAddress;
    Address m_readinessAddress;
    Address m_directoryAddress;
    Address m_peerAddress;
    Address m_metricsAddress;
    Address m_storeAddress;
    bool m_firstStart = false; // This is the first start of the whole system.
    std::size_t m_maxDescriptors = 1024;
    std::size_t m_memoryBytes = std::size_t { 256 } << 20; // That the process may use.
    double m_processorShare = 1; // Cores that this node may use.
    FleetBounds m_bounds;
    std::string m_logLevel = "info";
    std::vector<std::string> m_unknownFields; // Paths of fields that are passed over.
};

// Parses the settings from JSON text. Returns all faults if there is any. Fields that are missing or null
// have their defaults, and fields that aren't known are passed over.
auto parseRelaySettings(std::string_view json) -> CheckedSettings<RelaySettings>;

} // namespace marigoldladder::relay
