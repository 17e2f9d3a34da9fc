// Runs a whole relay node in this process with a fake store, fake upstreams and a caller.
#pragma once

#include "platform/caller_reply.h"
#include "platform/deployment.h"
#include "platform/fake_store.h"
#include "platform/fake_upstream.h"

#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace marigoldladder::platform {

// The node's members are never destroyed, as suspended coroutines may refer to them.
class RelayHarness {
public:
    // `prepare` writes what the store has before the node starts.
    explicit RelayHarness(const std::function<void(FakeStore&)>& prepare = {});
    ~RelayHarness();
    RelayHarness(const RelayHarness&) = delete;
    auto operator=(const RelayHarness&) -> RelayHarness& = delete;

    // Runs a function on the event loop's thread and waits for it. Throws std::runtime_error if the loop does
    // not run it in time, for example as the node could not open an address.
    auto onLoop(std::function<void()>) -> void;

    // Throws an exception out of an event of the node's loop.
    auto throwInEvent() -> void;

    // Writes an object to the store, as an operator or a replica would.
    auto put(const std::string& kind, const std::string& name, const nlohmann::json& spec) -> void;
    // The same with any text as the object's content.
    auto putText(const std::string& kind, const std::string& name, std::string spec) -> void;

    // Starts an upstream, writes its entry with `models` and the version of its software to the store and
    // waits until the node has received it.
    auto addUpstream(const std::string& name, const std::string& pool,
        std::function<UpstreamReply(const UpstreamRequest&)>, nlohmann::json models = nlohmann::json::array(),
        const std::string& version = "v1") -> void;

    // Writes an upstream's entry to the store again, with these fields changed, and waits until the node has
    // received it.
    auto rewriteUpstream(const std::string& name, const nlohmann::json& changes) -> void;

    // Writes an upstream's entry under another name as well, and waits until the node has received it.
    auto putUpstreamCopy(const std::string& name, const std::string& otherName) -> void;

    // From now on the upstream states that its run started then, in Unix milliseconds, whatever its entry
    // says.
    auto stateRun(const std::string& name, std::uint64_t startedAt) -> void;

    // Removes an upstream's entry, though the upstream goes on answering, and waits until the node knows.
    auto removeUpstream(const std::string& name) -> void;

    // Returns the requests that an upstream received, except for orders and reports.
    auto requestsAt(const std::string& name) -> std::vector<UpstreamRequest>;

    auto refuseStoreCalls(bool refuses) -> void;
    auto discardStoreHistory() -> void;

    // Keeps a copy of the store, and returns to it.
    auto keepStoreCopy() -> void;
    auto restoreStoreCopy() -> void;

    // From now on the store accepts calls but answers none.
    auto stopStoreAnswers() -> void;

    // Returns the calls that the store has received so far.
    auto storeCalls() -> int;

    // Returns whether the node considers the store reachable.
    auto isStoreReachable() -> bool;

    // From now on the node's retry budget allows no retry.
    auto forbidRetries() -> void;

    // Changes how the node reads and writes header fields.
    auto changeDialect(const std::function<void(relay::Dialect&)>&) -> void;

    // Returns the node's counter.
    auto counter(Counter) -> std::uint64_t;

    // Sends raw bytes on a new connection and reads one answer; then waits briefly for the connection's
    // close.
    auto send(const std::string& bytes) -> CallerReply;

    // Sends raw bytes on a new connection and reads without keeping anything until the connection ends.
    // Returns how long that took, or nothing if it took longer than an answer may.
    auto timeToEnd(const std::string& bytes) -> std::optional<std::chrono::milliseconds>;

    // The addresses that the node listens at.
    auto listeningAddresses() const -> std::vector<Address>;

    // Returns the HTTP status of a readiness call.
    auto readiness() -> int;

    // Waits until the function returns true. Returns false if it doesn't within five seconds.
    auto eventually(const std::function<bool()>&) -> bool;

private:
    auto awaitUpstreamEntries() -> void;

    struct Parts;
    Parts* m_parts;
    std::thread m_thread;
};

// Returns an address with a free port on a loopback host that only this process uses, so that no other
// process can take the port before the node opens it.
auto freeAddress() -> Address;

// Returns a caller's request as bytes, with a new request id, a deadline of 3 s and a known key.
auto callerRequest(const std::string& method, const std::string& path, const std::string& headers = "",
    const std::string& body = "") -> std::string;

// Returns an upstream's answer to a request as bytes, with the request's id and a stamp header.
auto answerTo(const UpstreamRequest&, int status, const std::string& body, const std::string& headers = "")
    -> std::string;

// Returns a configuration with the routes /plain/ (idempotent), /charge/ (at most once), /stream/ (resumable
// stream), /once/ (stream that isn't resumable) and /open/ (idempotent, needs no key), at a version.
auto testConfiguration(std::uint64_t version) -> nlohmann::json;

} // namespace marigoldladder::platform
