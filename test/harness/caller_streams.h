// Callers that read event streams through a node, and what they saw.
#pragma once

#include "harness/deployment.h"

#include <atomic>
#include <string>
#include <thread>
#include <vector>

namespace marigoldladder::harness {

// One answer as its caller saw it.
struct SeenStream {
    int m_status = 0;
    std::vector<std::string> m_texts; // Of the events, in the order they came.
    std::vector<int> m_offsets;
    bool m_done = false; // The stream's own end came, once, as the last event.
    std::string m_error; // The last event that was neither a token nor the end.
};

// Reads a completion's stream to its end, adding each event that comes to `events`.
auto readStream(const Address&, const std::string& body, std::atomic<int>& events) -> SeenStream;

// Several streams at once through one node, stream i of the adapter adapter-i@1.
class CallerStreams {
public:
    CallerStreams(const Address& node, std::size_t count, int maxTokens);
    ~CallerStreams();

    // Waits until so many events came on all streams together.
    auto waitForEvents(int count) -> bool;

    // Waits for the end of all streams and returns what was seen.
    auto finish() -> const std::vector<SeenStream>&;

private:
    std::atomic<int> m_events { 0 };
    std::vector<SeenStream> m_seen;
    std::vector<std::thread> m_threads;
};

// Says what is wrong with a stream that should hold all tokens of the adapter's answer, each once and in
// order; empty when nothing is.
auto faultOf(const SeenStream&, const SeenStream& reference) -> std::string;

// A node whose weight store gives adapters as fast as they are asked for.
auto fastStoreNode(const std::string& vm, const std::string& dataCentre) -> NodePlan;

// Applies the basic note through node 0 and waits until it is in force on every node; false when that took
// longer than the users' 4 s.
auto applyBasicNote(Deployment&, std::size_t adapters) -> bool;

// How long a deployment may take until its upstreams are owned and serve.
inline constexpr auto readyTimeout = std::chrono::seconds(30);

// Whether all streams came to their ends with so many tokens each.
auto allWhole(const std::vector<SeenStream>&, std::size_t tokens) -> bool;

// Returns the value of one of a node's counters.
auto nodeCounter(const Address& node, const std::string& name) -> double;

} // namespace marigoldladder::harness
