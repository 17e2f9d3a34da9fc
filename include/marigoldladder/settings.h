// A node's settings: one JSON file, checked whole before anything starts.
#pragma once

#include "marigoldladder/ids.h"

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/all_narrow.hpp>
#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace marigoldladder {

// An IP number and a port. Port 0 lets the system choose one.
struct Address {
    std::string m_host;
    int m_port = 0;

    auto operator<=>(const Address&) const = default; // NOLINT(modernize-use-nullptr): a false alarm.
};

// Returns `host:port`.
auto formatAddress(const Address&) -> std::string;

// Reads `host:port`; nothing when the host is empty or the port is not within 0 to 65535.
auto parseAddress(std::string_view) -> std::optional<Address>;

// Somebody who may hand over release notes.
struct OperatorGrant {
    std::string m_name;
    std::string m_office;
    std::string m_salt;
    std::string m_credentialDigest; // SHA-256 over salt and credential, in hexadecimal.
};

// Bounds on what one node takes in.
struct IntakeLimits {
    std::size_t m_maxRequestBytes = std::size_t { 1 } << 20;
    std::size_t m_maxConnections = 512;
    std::size_t m_maxHeldBytes = std::size_t { 64 } << 20; // Of all requests at once, beyond 16 kB each.
    std::chrono::milliseconds m_requestDeadline { 60'000 };
    std::chrono::milliseconds m_readTimeout { 5'000 };
};

// What the weight store bears from the whole fleet.
struct WeightStoreLimits {
    double m_loadsPerSecond = 4;
    std::size_t m_maxInFlight = 8;
};

struct NodeSettings {
    VmName m_vm;
    DataCentreName m_dataCentre;
    Address m_callerAddress;
    Address m_operatorAddress;
    Address m_peerAddress;
    Address m_advertisedCallerAddress; // What callers are told to use; the caller address by default.
    Address m_advertisedPeerAddress; // What peers are told to use; the peer address by default.
    Address m_platformAddress;
    std::string m_fleetSecret;
    std::vector<OperatorGrant> m_operators;
    std::vector<Address> m_seedPeers; // Peers to ask when the platform can't be asked.
    bool m_entryRole = true;
    bool m_ownerRole = true;
    IntakeLimits m_limits;
    WeightStoreLimits m_weightStore;
    std::string m_logLevel = "info";
};

// One fault in a JSON document: where it stands, and what is wrong there.
struct FieldFault {
    std::string m_path; // For example `/operators/0/name`.
    std::string m_message;
};

struct SettingsFaults {
    std::vector<FieldFault> m_faults;
};

template <typename T>
using CheckedSettings
    = boost::outcome_v2::basic_result<T, SettingsFaults, boost::outcome_v2::policy::all_narrow>;

// Reads a node's settings from JSON text; on any fault, returns all of them.
auto parseNodeSettings(std::string_view json) -> CheckedSettings<NodeSettings>;

} // namespace marigoldladder
