// A whole deployment over real processes on loopback: platform, upstreams and nodes.
#pragma once

#include "harness/child_process.h"
#include "marigoldladder/ids.h"
#include "marigoldladder/settings.h"

#include <chrono>
#include <functional>
#include <httplib.h>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace marigoldladder::harness {

struct NodePlan {
    std::string m_vm;
    std::string m_dataCentre;
    nlohmann::json m_extraSettings = nlohmann::json::object(); // Merged over the usual settings.
};

struct UpstreamPlan {
    std::string m_name;
    std::string m_pool;
    std::string m_dataCentre;
    std::string m_kind; // "engine" or "service".
    std::vector<std::string> m_arguments; // For the stand-in program.
    bool m_checksFencing = false;
};

// A fault proxy in front of one address.
class FaultProxy {
public:
    FaultProxy() = default;
    explicit FaultProxy(const Address& target);

    auto address() const -> const Address& { return m_address; }

    // Sets the mode: "pass", "refuse", "drop_replies" or "hang".
    auto setMode(const std::string& mode, int delayMilliseconds = 0) const -> void;

    // Closes the connections there are.
    auto cut() const -> void;

    // Makes the connections there are silent for good; new ones work.
    auto silence() const -> void;

private:
    auto post(const std::string& path, const nlohmann::json& body) const -> void;

    ChildProcess m_process;
    Address m_address;
    Address m_control;
};

struct DeploymentPlan {
    std::vector<NodePlan> m_nodes;
    std::vector<UpstreamPlan> m_upstreams;
    bool m_proxyPlatform = false; // Nodes reach the platform through a fault proxy.
    bool m_proxyPeers = false; // Nodes reach each other through fault proxies, one before each node.
    bool m_proxyUpstreams = false; // Nodes reach upstreams through fault proxies, one before each.
};

// Two nodes and two engines in two data centres, and one plain service.
auto smallPlan() -> DeploymentPlan;

// A node as it runs.
struct RunningNode {
    NodePlan m_plan;
    ChildProcess m_process;
    Address m_caller;
    Address m_operator;
    Address m_peer;
    FaultProxy m_peerProxy; // Runs only where the plan asks for it.
};

// The operator that every deployment knows.
inline constexpr auto operatorCredential = "anna.operator-credential-1";
inline constexpr auto operatorName = "anna";

// Starts everything on construction and ends it on destruction.
class Deployment {
public:
    explicit Deployment(DeploymentPlan);
    Deployment(const Deployment&) = delete;
    auto operator=(const Deployment&) -> Deployment& = delete;
    ~Deployment();

    // A file with the known operator's credential, for marigoldctl.
    auto credentialFile() const -> std::string;

    auto plan() const -> const DeploymentPlan& { return m_plan; }
    auto platform() const -> const Address& { return m_platformAddress; }
    auto node(std::size_t index) -> RunningNode& { return m_nodes.at(index); }
    auto nodeCount() const -> std::size_t { return m_nodes.size(); }
    auto upstream(const std::string& name) -> ChildProcess& { return m_upstreams.at(name); }
    auto upstreamAddress(const std::string& name) const -> Address;

    // The proxies that the plan asked for.
    auto platformProxy() -> FaultProxy& { return m_platformProxy; }
    auto upstreamProxy(const std::string& name) -> FaultProxy& { return m_upstreamProxies.at(name); }

    // Starts the node again, as a new process with the same name.
    auto restartNode(std::size_t index) -> void;

    // Starts a node that the plan did not name; returns its index.
    auto addNode(const NodePlan&) -> std::size_t;

    // Sets the state that the platform lists for an upstream: "live" or "leaving".
    auto setUpstreamState(const std::string& name, const std::string& state) -> void;

    // Starts the upstream again at the same address, with everything it had loaded lost.
    auto restartUpstream(const std::string& name) -> void;

    // Hands a release note to a node as the known operator; returns the HTTP answer.
    auto applyNote(std::size_t nodeIndex, const nlohmann::json& note) -> httplib::Result;

    // Returns the revision that a node says is in force there; nothing when it does not answer.
    auto revisionAt(std::size_t nodeIndex) -> std::optional<Revision>;

    // Waits until every node says that at least this revision is in force; false when one did not in time.
    auto waitUntilInForce(Revision, std::chrono::milliseconds atMost) -> bool;

    // Sets faults of the platform, for example `{"mode":"down"}`.
    auto setPlatformFault(const nlohmann::json& fault) -> void;

    // Returns what the platform counted.
    auto platformStats() -> nlohmann::json;

    // Waits until every node answers /healthz with 200.
    auto waitUntilServing() -> bool;

    // Returns the records of an upstream: everything that it was asked.
    auto upstreamRecords(const std::string& name) -> nlohmann::json;

private:
    auto startNode(const NodePlan&) -> RunningNode;
    auto startUpstream(const UpstreamPlan&) -> void;
    auto proxied(const UpstreamPlan&, const Address&) -> Address;
    auto announce(const UpstreamPlan&, const Address&) -> void;

    DeploymentPlan m_plan;
    std::string m_folder;
    ChildProcess m_platform;
    Address m_platformAddress;
    std::map<std::string, ChildProcess> m_upstreams;
    FaultProxy m_platformProxy;
    std::map<std::string, Address> m_upstreamAddresses;
    std::map<std::string, FaultProxy> m_upstreamProxies;
    std::vector<RunningNode> m_nodes;
};

// Waits until the condition holds; false when it did not within the time.
auto waitUntil(std::chrono::milliseconds atMost, const std::function<bool()>& condition) -> bool;

// A client for a node's caller port, with the key given.
auto makeCaller(const Address&, const std::string& key) -> httplib::Client;

// A release note with one organisation "aare" (key `aare-1.secret`), adapters adapter-0@1 to
// adapter-(count-1)@1 in the pool triage-models, and the routes appointments and slots to booking-app.
auto basicNote(std::size_t adapters) -> nlohmann::json;
inline constexpr auto basicKey = "aare-1.secret";

// A completion request's body.
auto completionBody(const std::string& model, int maxTokens, bool stream) -> std::string;

} // namespace marigoldladder::harness
