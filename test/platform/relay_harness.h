// A whole relay node in this process, between a stand-in of the store, stand-ins of upstreams and a caller.
#pragma once

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

// What a caller got back.
struct CallerReply {
    int m_status = 0; // 0: no answer.
    std::string m_head; // Status line and headers.
    std::string m_body; // Without chunk framing.
    bool m_complete = false; // The framing says that it is whole.
    bool m_closed = false; // The connection was closed after it.
};

// The node's parts live until the process ends: coroutines that wait may refer to any of them.
class RelayHarness {
public:
    RelayHarness();
    ~RelayHarness();
    RelayHarness(const RelayHarness&) = delete;
    auto operator=(const RelayHarness&) -> RelayHarness& = delete;

    // Runs a function on the event loop's thread and waits for it.
    auto onLoop(std::function<void()>) -> void;

    // Writes an object to the store, as an operator or a replica would.
    auto put(const std::string& kind, const std::string& name, nlohmann::json spec) -> void;

    // Starts an upstream and enters it in the store, and waits until the node was told; `models` as the entry
    // lists them.
    auto addUpstream(const std::string& name, const std::string& pool,
        std::function<UpstreamReply(const UpstreamRequest&)>, nlohmann::json models = nlohmann::json::array())
        -> void;

    // Returns the requests that an upstream got, orders and reports left out.
    auto requestsAt(const std::string& name) -> std::vector<UpstreamRequest>;

    auto refuseStoreCalls(bool refuses) -> void;
    auto discardStoreHistory() -> void;

    // Lets the store take calls and answer none of them.
    auto stopStoreAnswers() -> void;

    // Whether the node believes that it reaches the store.
    auto isStoreReachable() -> bool;

    // Sends raw bytes on a new connection and reads one answer; `closeTime` is how long it waits for the end.
    auto send(const std::string& bytes) -> CallerReply;

    // Returns the status of the readiness call.
    auto readiness() -> int;

    // Waits until the function returns true; false when it didn't within five seconds.
    auto eventually(const std::function<bool()>&) -> bool;

private:
    struct Parts;
    Parts* m_parts;
    std::thread m_thread;
};

// An address on loopback where nobody listens.
auto freeAddress() -> Address;

// The head and body of a caller's request.
auto callerRequest(const std::string& method, const std::string& path, const std::string& headers = "",
    const std::string& body = "") -> std::string;

// An upstream's answer to a request, with the stamp and the request's id.
auto answerTo(const UpstreamRequest&, int status, const std::string& body, const std::string& headers = "")
    -> std::string;

// A configuration with the routes /plain/ (may be repeated), /charge/ (at most once), /stream/ (resumable),
// /once/ (a stream that isn't) and /open/ (needs no key), at a version.
auto testConfiguration(std::uint64_t version) -> nlohmann::json;

} // namespace marigoldladder::platform
