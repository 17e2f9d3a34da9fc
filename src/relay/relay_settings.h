// The settings of a relay node: one JSON file, checked whole before anything starts.
#pragma once

#include "marigoldladder/settings.h"
#include "relay/allowance_shards.h"
#include "relay/routing_configuration.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace marigoldladder::relay {

// Limits that all nodes together must keep, and how soon changes must be in force.
struct FleetBounds {
    double m_retryRatio = 0.2; // Repeats for each request of a service.
    double m_retryExtra = 50; // Repeats beyond that in one window.
    Milliseconds m_retryWindow { 10'000 };
    Milliseconds m_drainTime { 2'000 }; // After it a leaving upstream gets no request.
    Milliseconds m_stopTime { 8'000 }; // From the request to stop until the process is killed.
    Milliseconds m_leaseTime { 3'000 }; // Two nodes' orders must lie this far apart.
    Milliseconds m_versionTime { 5'000 }; // After it no request may begin on an older adapter.
    AllowanceBounds m_allowance; // Of what each organisation's requests come to.
};

struct RelaySettings {
    VmName m_vm;
    DataCentreName m_dataCentre;
    std::string m_region;
    std::map<DataCentreName, std::string> m_regions; // Of all data centres.
    Address m_callerAddress;
    Address m_readinessAddress;
    Address m_directoryAddress;
    Address m_peerAddress;
    Address m_metricsAddress;
    Address m_storeAddress;
    bool m_firstStart = false; // The whole system starts for the first time.
    std::size_t m_maxDescriptors = 1024;
    double m_processorShare = 1; // Cores that this node may use.
    FleetBounds m_bounds;
    std::string m_logLevel = "info";
};

// Reads the settings from JSON text; on any fault, returns all of them.
auto parseRelaySettings(std::string_view json) -> CheckedSettings<RelaySettings>;

} // namespace marigoldladder::relay
