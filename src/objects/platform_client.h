// The platform's object API over HTTP: versioned objects by kind and name, conditional writes, watches.
//
// Failures carry a verdict like every other: `NotRun` says that a write certainly took no effect,
// `MayHaveRun` that its reply was lost, so that the writer has to read the object back.
#pragma once

#include "core/metrics.h"
#include "marigoldladder/settings.h"
#include "marigoldladder/verdict.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace marigoldladder {

class BoundedClient;

// The platform's number for one state of an object; it grows with each write.
using ObjectVersion = std::uint64_t;

struct PlatformObject {
    std::string m_name;
    ObjectVersion m_version = 0;
    nlohmann::json m_spec;
};

struct ObjectList {
    ObjectVersion m_version = 0; // Of the whole kind; a watch may go on from here.
    std::vector<PlatformObject> m_objects;
};

enum class WatchEventType {
    Added,
    Modified,
    Deleted,
};

inline constexpr auto watchEventTypeNames = std::array {
    EnumName<WatchEventType> { WatchEventType::Added, "ADDED" },
    EnumName<WatchEventType> { WatchEventType::Modified, "MODIFIED" },
    EnumName<WatchEventType> { WatchEventType::Deleted, "DELETED" },
};

struct WatchEvent {
    WatchEventType m_type = WatchEventType::Added;
    PlatformObject m_object;
};

// Returns false to end the watch.
using WatchHandler = std::function<bool(const WatchEvent&)>;

// Thread-safe; each call uses a connection of its own from a small set that is kept open.
class PlatformClient {
public:
    PlatformClient(Address, Metrics&);
    ~PlatformClient();
    PlatformClient(const PlatformClient&) = delete;
    auto operator=(const PlatformClient&) -> PlatformClient& = delete;

    // Returns the object, or nothing when there is none of that name.
    auto get(const std::string& kind, const std::string& name) -> Result<std::optional<PlatformObject>>;
    auto list(const std::string& kind) -> Result<ObjectList>;

    // Creates an object; `Conflict` when the name is taken.
    auto create(const std::string& kind, const std::string& name, const nlohmann::json& spec)
        -> Result<PlatformObject>;

    // Replaces an object; `Conflict` unless its version is still the one given.
    auto update(const std::string& kind, const PlatformObject&) -> Result<PlatformObject>;

    // Deletes an object; succeeds when there is none.
    auto remove(const std::string& kind, const std::string& name) -> Result<void>;

    // Reports changes after a version until the handler ends it or the time is over.
    auto watch(const std::string& kind, ObjectVersion after, std::chrono::milliseconds duration,
        const WatchHandler&) -> Result<void>;

private:
    class BorrowedClient;

    auto borrow() -> std::unique_ptr<BoundedClient>;
    auto giveBack(std::unique_ptr<BoundedClient>) -> void;

    Address m_address;
    Metrics& m_metrics;
    std::mutex m_mutex;
    std::vector<std::unique_ptr<BoundedClient>> m_idle;
};

} // namespace marigoldladder
