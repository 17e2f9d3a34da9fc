// Everything noted during one fault run, from all sides: callers, upstreams, nodes and the schedule itself.
#pragma once

#include "load/load_record.h"
#include "marigoldladder/ids.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace marigoldladder::fakes {

// A request as an upstream saw it.
struct UpstreamRequest {
    UpstreamName m_upstream;
    DataCentreName m_dataCentre;
    std::int64_t m_atMs = 0; // Time of day.
    std::string m_path;
    RequestId m_requestId;
    OrganisationName m_organisation;
    std::string m_everything; // The whole record as JSON text, for the search for keys.
};

enum class RunEventType {
    KeyWithdrawn, // Subject: the key as callers send it.
    DataCentreOut, // Subject: the data centre.
    DataCentreIn,
    UpstreamLeaving, // Subject: the upstream.
    UpstreamBack,
    NodeKilled, // Subject: the node's caller address.
    NodeFrozen,
    NodeResumed,
    NodeTerminated,
    NodeEnded, // A terminated node's process has ended.
    NodeStarted,
    RevisionAccepted, // Value: the revision.
    FaultBegun, // Subject: the fault's name and target.
    FaultEnded,
};

inline constexpr auto runEventTypeNames = std::array {
    EnumName<RunEventType> { RunEventType::KeyWithdrawn, "key_withdrawn" },
    EnumName<RunEventType> { RunEventType::DataCentreOut, "data_centre_out" },
    EnumName<RunEventType> { RunEventType::DataCentreIn, "data_centre_in" },
    EnumName<RunEventType> { RunEventType::UpstreamLeaving, "upstream_leaving" },
    EnumName<RunEventType> { RunEventType::UpstreamBack, "upstream_back" },
    EnumName<RunEventType> { RunEventType::NodeKilled, "node_killed" },
    EnumName<RunEventType> { RunEventType::NodeFrozen, "node_frozen" },
    EnumName<RunEventType> { RunEventType::NodeResumed, "node_resumed" },
    EnumName<RunEventType> { RunEventType::NodeTerminated, "node_terminated" },
    EnumName<RunEventType> { RunEventType::NodeEnded, "node_ended" },
    EnumName<RunEventType> { RunEventType::NodeStarted, "node_started" },
    EnumName<RunEventType> { RunEventType::RevisionAccepted, "revision_accepted" },
    EnumName<RunEventType> { RunEventType::FaultBegun, "fault_begun" },
    EnumName<RunEventType> { RunEventType::FaultEnded, "fault_ended" },
};

struct RunEvent {
    std::int64_t m_atMs = 0;
    RunEventType m_type = RunEventType::FaultBegun;
    std::string m_subject;
    std::uint64_t m_value = 0;
};

// The revision that a node said was in force there.
struct RevisionSample {
    std::int64_t m_atMs = 0;
    std::string m_node; // Its caller address, which a restarted node changes.
    Revision m_revision = 0;
};

struct OrganisationRate {
    OrganisationName m_name;
    double m_tokensPerSecond = 0;
    double m_burstTokens = 0;
};

struct RunRecords {
    std::vector<LoadRecord> m_calls;
    std::vector<UpstreamRequest> m_requests;
    std::map<IdempotencyKey, int> m_runs; // How often the services ran each key.
    std::uint64_t m_evictedInUse = 0; // Adapters that engines were told to drop while using them.
    std::uint64_t m_overloads = 0; // Requests that engines got beyond what they could bear.
    std::uint64_t m_crashes = 0; // Engines that one marked request brought down.
    std::vector<RunEvent> m_events;
    std::vector<RevisionSample> m_samples;
    std::vector<OrganisationRate> m_rates;
    std::vector<std::string> m_secrets; // Texts that no upstream may see.
};

} // namespace marigoldladder::fakes
