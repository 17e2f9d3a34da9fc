// What this node remembers of idempotency keys: which are running, what came of the others.
//
// A key is entered before its request is dispatched and is not forgotten while a request under it could
// still be dispatched here. Answers are kept for replay within a bound of memory; when they are dropped it
// is still known that the request ran.
#pragma once

#include "core/blackboard.h"
#include "marigoldladder/verdict.h"
#include "serving/idempotency.h"

#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace marigoldladder {

// A finished answer of a plain service.
struct KeptAnswer {
    int m_status = 0;
    std::string m_contentType;
    std::string m_body;
    UpstreamName m_upstream;
};

struct LedgerBounds {
    std::size_t m_maxKeys = 100'000;
    std::size_t m_maxAnswerBytes = std::size_t { 16 } * 1024 * 1024; // Of all answers kept.
    std::size_t m_maxOneAnswerBytes = std::size_t { 256 } * 1024; // A larger one is not kept.
};

enum class KeyTurnType {
    Run, // The caller shall run it, and must call `finish` or `abandon`.
    Replay,
    Refuse,
};

// What a request under a key is to do.
struct KeyTurn {
    KeyTurnType m_type = KeyTurnType::Refuse;
    bool m_triedBefore = false; // An earlier request under the key was not run, and may be run now.
    std::shared_ptr<const KeptAnswer> m_answer;
    Failure m_failure;
};

// Thread-safe.
class KeyedLedger {
public:
    explicit KeyedLedger(LedgerBounds);

    // Enters the key, or says what became of it. While another request runs under it, waits until the
    // deadline. `epoch` says with which others the key may be forgotten; nothing: with none.
    auto begin(const ScopedKey&, std::uint64_t fingerprint, std::optional<KeyEpoch> epoch,
        MonotonicTime deadline) -> KeyTurn;

    // As `begin`, but never enters the key; a key that is not there may have been forgotten.
    auto lookUp(const ScopedKey&, std::uint64_t fingerprint, MonotonicTime deadline) -> KeyTurn;

    // Ends a turn to run. After `NotRun` the next request under the key may run.
    auto finish(const ScopedKey&, const Result<KeptAnswer>&) -> void;

    // Takes the key out again; nothing was dispatched under it.
    auto abandon(const ScopedKey&) -> void;

    // Forgets keys of epochs before this one, and refuses them from then on.
    auto forgetBefore(KeyEpoch) -> void;

private:
    enum class KeyState {
        Running,
        NotRun,
        Finished,
        Doubtful,
    };

    struct Entry {
        KeyState m_state = KeyState::Running;
        std::uint64_t m_fingerprint = 0;
        std::shared_ptr<const KeptAnswer> m_answer; // Null when it is not kept.
    };

    auto awaitEnd(std::unique_lock<std::mutex>&, const ScopedKey&, MonotonicTime deadline) -> Entry*;
    auto turnFor(Entry&, std::uint64_t fingerprint) -> KeyTurn;
    auto keep(const ScopedKey&, Entry&, const KeptAnswer&) -> void;

    LedgerBounds m_bounds;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::unordered_map<ScopedKey, Entry> m_entries;
    std::map<KeyEpoch, std::vector<ScopedKey>> m_byEpoch;
    KeyEpoch m_firstEpoch = 0; // Keys of earlier ones are forgotten.
    std::deque<ScopedKey> m_kept; // Keys with answers, oldest first.
    std::size_t m_keptBytes = 0;
};

} // namespace marigoldladder
