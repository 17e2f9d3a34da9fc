// Idempotency keys: which node a key is bound to, and how it is named in a ledger or on the platform.
//
// A node-bound key starts with a prefix that the address answer gives out: the VM, the incarnation of its
// process, and the epoch in which the prefix was given. Only that process may ever dispatch a request under
// the key. All other keys are plain.
#pragma once

#include "marigoldladder/ids.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace marigoldladder {

// Counts periods of the clock of the day.
using KeyEpoch = std::uint64_t;

inline constexpr auto keyEpochLength = std::chrono::seconds(60);

// For how many epochs a node remembers the keys bound to it.
inline constexpr auto rememberedEpochs = KeyEpoch { 30 };

// How far a key's epoch may run ahead of the node's own clock.
inline constexpr auto toleratedFutureEpochs = KeyEpoch { 2 };

auto keyEpochAt(std::chrono::system_clock::time_point) -> KeyEpoch;

// What a node-bound key says about itself.
struct BoundKey {
    VmName m_vm;
    Incarnation m_incarnation = 0;
    std::optional<KeyEpoch> m_epoch; // Nothing: a prefix without an epoch, remembered without end.
};

// Returns the prefix for keys bound to a process: `<vm>.<incarnation>.e<epoch>.`.
auto makeKeyPrefix(const VmName&, Incarnation, KeyEpoch) -> std::string;

// Reads a key's binding from its form alone; nothing for a plain key.
auto parseBoundKey(const IdempotencyKey&) -> std::optional<BoundKey>;

// A key within its scope, as a digest of organisation, route and key.
using ScopedKey = StrongString<struct ScopedKeyTag>;

auto scopeKey(const OrganisationName&, const RouteName&, const IdempotencyKey&) -> ScopedKey;

} // namespace marigoldladder
