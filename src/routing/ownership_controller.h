// Follows and changes the ownership of upstreams on the platform, and writes the assignments in force
// and this node's share of the loads.
#pragma once

#include "core/blackboard.h"
#include "routing/adapter_manager.h"
#include "routing/load_budget.h"
#include "routing/ownership_store.h"

namespace marigoldladder {

// Not thread-safe: one task calls it.
class OwnershipController {
public:
    // `requestDeadline` is the longest that a request runs; `ownerRole` says whether this node owns
    // upstreams.
    OwnershipController(Blackboard&, PlatformClient&, AdapterManager&, NodeStart self, const NodeSettings&);

    // One round: renews the lease when due, reads what is agreed, changes what this node should change.
    auto refresh() -> void;

    // Hands over what this node owns as far as it is unused, and then ends its lease; call it after
    // the node stopped taking requests. Does nothing more when something is still in use at the end.
    auto leave(std::chrono::milliseconds atMost) -> void;

private:
    auto renewIfDue() -> void;
    auto readAll() -> bool;
    auto makeView() const -> OwnershipView;
    auto changeAll(const OwnershipView&, const UpstreamTable&) -> void;
    auto planObject(const OwnershipView&, const UpstreamTable&, const DataCentreName&, OwnershipObject&)
        -> std::vector<UpstreamName>;
    auto planRecord(const OwnershipView&, const Upstream&, OwnershipObject&) -> bool;
    auto planHandOver(const OwnershipView&, const Upstream&, OwnershipRecord&) -> bool;
    auto endLeasesOfGone(const OwnershipView&) -> void;
    auto clearRecords(const OwnershipView&) -> void;
    auto writeLoadShare(const EngineCounts&) -> void;
    auto writeAssignments(const OwnershipView&, const UpstreamTable&, bool outage) -> void;

    Blackboard& m_blackboard;
    PlatformClient& m_platform;
    AdapterManager& m_adapters;
    NodeStart m_self;
    std::chrono::milliseconds m_requestDeadline;
    WeightStoreLimits m_weightStore;
    bool m_ownerRole;
    ObservedLeases m_leases;
    OwnershipObjects m_objects;
    OwnerRights m_rights;
    MonotonicTime m_leaseUntil {}; // In force for orders once the records were read after the renewal.
    MonotonicTime m_renewedAt {};
    MonotonicTime m_nextRead {};
    LoadShareState m_loadShare;
    std::vector<UpstreamName> m_closed; // To be opened again after the next read.
    bool m_handedOverInRound = false;
};

} // namespace marigoldladder
