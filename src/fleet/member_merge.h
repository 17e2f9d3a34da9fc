// How a node's view of its peers changes with what it is told.
//
// Each member alone raises the numbers that order what is said about it. A record of a higher incarnation
// replaces all that was known. Within an incarnation, the higher refutation number wins, and at the same
// number the graver state: so a suspicion holds until its subject hears of it and refutes it, and no old
// record undoes a newer one. `Gone` is final for its incarnation.
#pragma once

#include "core/blackboard.h"

namespace marigoldladder {

// Whether what is told about a member's state outweighs what is known, both of the same incarnation.
auto outweighs(const Member& told, const Member& known) -> bool;

// Takes in a record that a peer told. About this node itself, a suspicion is refuted and all else ignored.
auto mergeMember(Membership&, const VmName& self, Member told, MonotonicTime now) -> void;

// Takes in a record that the platform listed. It says where a node may be found, not that it runs.
auto mergeListedMember(Membership&, const VmName& self, Member listed) -> void;

// Marks a member that did not answer probes.
auto suspectMember(Membership&, const VmName&, MonotonicTime now) -> void;

// Marks a member whose VM the platform took off its list.
auto markMemberGone(Membership&, const VmName&, MonotonicTime now) -> void;

// Drops members that have been gone for so long that no peer still tells of them.
auto forgetGoneMembers(Membership&, MonotonicTime now) -> void;

// Whether any other member is alive and was heard of.
auto hasHeardOfPeers(const Membership&, const VmName& self) -> bool;

} // namespace marigoldladder
