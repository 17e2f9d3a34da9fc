#include "harness/deployment.h"

#include "core/random_bytes.h"
#include "core/secret_digest.h"

#include <filesystem>
#include <fstream>
#include <random>
#include <thread>
#include <utility>

namespace marigoldladder::harness {

namespace {

    constexpr auto loopback = "127.0.0.1:0";
    constexpr auto fleetSecret = "fleet-secret-for-tests-only";
    constexpr auto startTimeout = std::chrono::milliseconds(15'000);
    constexpr auto statusTimeout = std::chrono::milliseconds(500);
    constexpr auto pollStep = std::chrono::milliseconds(10);

    auto nodeSettings(const NodePlan& plan, const Address& platform) -> nlohmann::json
    {
        const auto salt = std::string("salt");
        const auto secret = std::string(operatorCredential).substr(std::string(operatorName).size() + 1);
        auto settings = nlohmann::json {
            { "vm", plan.m_vm },
            { "data_centre", plan.m_dataCentre },
            { "caller_address", loopback },
            { "operator_address", loopback },
            { "peer_address", loopback },
            { "platform_address", formatAddress(platform) },
            { "fleet_secret", fleetSecret },
            { "log_level", "warn" },
            { "operators",
                { { { "name", operatorName }, { "office", "bern" }, { "salt", salt },
                    { "credential_digest", saltedDigest(salt, secret) } } } },
        };
        settings.merge_patch(plan.m_extraSettings);
        return settings;
    }

    auto addressFrom(const nlohmann::json& ready, const char* field) -> Address
    {
        return parseAddress(ready.value(field, "")).value_or(Address {});
    }

    // An address that nobody listens on. It is drawn from the whole of 127/8, so that programs running beside
    // each other do not draw the same.
    auto freeAddress() -> Address
    {
        constexpr auto mostPerPart = 253U;
        constexpr auto leastPort = 20'000U;
        constexpr auto portCount = 10'000U; // Below those that the system gives out by itself.
        auto random = std::random_device();
        const auto part = [&] { return std::to_string(random() % mostPerPart + 1); };
        const auto host = "127." + part() + "." + part() + "." + part();
        return { host, static_cast<int>(leastPort + random() % portCount) };
    }

} // namespace

auto smallPlan() -> DeploymentPlan
{
    return {
        { { "bern-a-1", "bern-a" }, { "olten-1", "olten" } },
        { { "triage-1", "triage-models", "bern-a", "engine", { "--load-ms", "20", "--token-ms", "2" } },
            { "triage-2", "triage-models", "olten", "engine", { "--load-ms", "20", "--token-ms", "2" } },
            { "booking-1", "booking-app", "olten", "service", {} } },
    };
}

FaultProxy::FaultProxy(const Address& target)
    : m_process("fakes/fault-proxy", { "--target", formatAddress(target) })
    , m_address(addressFrom(m_process.ready(), "address"))
    , m_control(addressFrom(m_process.ready(), "control_address"))
{
}

auto FaultProxy::post(const std::string& path, const nlohmann::json& body) const -> void
{
    httplib::Client(m_control.m_host, m_control.m_port).Post(path, body.dump(), "application/json");
}

auto FaultProxy::setMode(const std::string& mode, int delayMilliseconds) const -> void
{
    post("/fault", { { "mode", mode }, { "delay_ms", delayMilliseconds } });
}

auto FaultProxy::cut() const -> void
{
    post("/cut", nlohmann::json::object());
}

auto FaultProxy::silence() const -> void
{
    post("/silence", nlohmann::json::object());
}

Deployment::Deployment(DeploymentPlan plan)
    : m_plan(std::move(plan))
    , m_folder(std::filesystem::temp_directory_path() / ("marigoldladder-" + randomHex(8)))
    , m_platform("fakes/fake-platform", {})
    , m_platformAddress(addressFrom(m_platform.ready(), "address"))
{
    std::filesystem::create_directories(m_folder);
    std::ofstream(credentialFile()) << operatorCredential << "\n";
    if (m_plan.m_proxyPlatform)
        m_platformProxy = FaultProxy(m_platformAddress);
    for (const auto& upstream : m_plan.m_upstreams)
        startUpstream(upstream);
    for (const auto& node : m_plan.m_nodes)
        m_nodes.push_back(startNode(node));
}

Deployment::~Deployment()
{
    auto ignored = std::error_code();
    std::filesystem::remove_all(m_folder, ignored);
}

auto Deployment::credentialFile() const -> std::string
{
    return m_folder + "/credential";
}

auto Deployment::startNode(const NodePlan& plan) -> RunningNode
{
    const auto path = m_folder + "/" + plan.m_vm + ".json";
    const auto platform = m_plan.m_proxyPlatform ? m_platformProxy.address() : m_platformAddress;
    auto settings = nodeSettings(plan, platform);
    auto proxy = FaultProxy();
    if (m_plan.m_proxyPeers) {
        // The node listens at an address picked before its start, so that the proxy can point to it.
        const auto peer = freeAddress();
        proxy = FaultProxy(peer);
        settings["peer_address"] = formatAddress(peer);
        settings["advertised_peer_address"] = formatAddress(proxy.address());
    }
    std::ofstream(path) << settings.dump(2);
    auto node = RunningNode { plan, ChildProcess("marigoldladderd", { "--settings", path }), {}, {}, {}, {} };
    node.m_peerProxy = std::move(proxy);
    node.m_caller = addressFrom(node.m_process.ready(), "caller_address");
    node.m_operator = addressFrom(node.m_process.ready(), "operator_address");
    node.m_peer = addressFrom(node.m_process.ready(), "peer_address");
    return node;
}

auto Deployment::startUpstream(const UpstreamPlan& plan) -> void
{
    auto arguments = plan.m_arguments;
    const auto known = m_upstreamAddresses.find(plan.m_name);
    if (known != m_upstreamAddresses.end())
        arguments.insert(arguments.end(), { "--address", formatAddress(known->second) });
    const auto program = std::string("fakes/fake-") + plan.m_kind;
    auto process = ChildProcess(program, arguments);
    const auto address = addressFrom(process.ready(), "address");
    m_upstreams[plan.m_name] = std::move(process);
    if (known == m_upstreamAddresses.end())
        announce(plan, proxied(plan, address));
    m_upstreamAddresses[plan.m_name] = address;
}

auto Deployment::proxied(const UpstreamPlan& plan, const Address& address) -> Address
{
    if (!m_plan.m_proxyUpstreams)
        return address;
    auto& proxy = m_upstreamProxies[plan.m_name] = FaultProxy(address);
    return proxy.address();
}

auto Deployment::announce(const UpstreamPlan& plan, const Address& address) -> void
{
    auto client = httplib::Client(m_platformAddress.m_host, m_platformAddress.m_port);
    const auto spec = nlohmann::json {
        { "role", "upstream" },
        { "pool", plan.m_pool },
        { "data_centre", plan.m_dataCentre },
        { "address", formatAddress(address) },
        { "kind", plan.m_kind },
        { "state", "live" },
        { "checks_fencing", plan.m_checksFencing },
    };
    const auto object = nlohmann::json { { "metadata", { { "name", plan.m_name } } }, { "spec", spec } };
    client.Post("/api/v1/vms", object.dump(), "application/json");
}

auto Deployment::upstreamAddress(const std::string& name) const -> Address
{
    return m_upstreamAddresses.at(name);
}

auto Deployment::restartNode(std::size_t index) -> void
{
    auto& node = m_nodes.at(index);
    node.m_process.kill();
    node = startNode(node.m_plan);
}

auto Deployment::addNode(const NodePlan& plan) -> std::size_t
{
    m_nodes.push_back(startNode(plan));
    return m_nodes.size() - 1;
}

auto Deployment::setUpstreamState(const std::string& name, const std::string& state) -> void
{
    auto client = httplib::Client(m_platformAddress.m_host, m_platformAddress.m_port);
    const auto path = "/api/v1/vms/" + name;
    auto object = nlohmann::json::parse(client.Get(path)->body);
    object["spec"]["state"] = state;
    client.Put(path, object.dump(), "application/json");
}

auto Deployment::restartUpstream(const std::string& name) -> void
{
    m_upstreams.at(name).kill();
    for (const auto& plan : m_plan.m_upstreams) {
        if (plan.m_name == name)
            startUpstream(plan);
    }
}

auto Deployment::applyNote(std::size_t nodeIndex, const nlohmann::json& note) -> httplib::Result
{
    const auto& address = m_nodes.at(nodeIndex).m_operator;
    auto client = httplib::Client(address.m_host, address.m_port);
    client.set_bearer_token_auth(operatorCredential);
    client.set_read_timeout(std::chrono::seconds(20));
    return client.Post("/v1/notes", note.dump(), "application/json");
}

auto Deployment::revisionAt(std::size_t nodeIndex) -> std::optional<Revision>
{
    const auto& address = m_nodes.at(nodeIndex).m_operator;
    auto client = httplib::Client(address.m_host, address.m_port);
    client.set_bearer_token_auth(operatorCredential);
    client.set_connection_timeout(statusTimeout);
    client.set_read_timeout(statusTimeout);
    const auto answer = client.Get("/v1/status");
    if (!answer || answer->status != 200)
        return std::nullopt;
    return nlohmann::json::parse(answer->body).value("revision", Revision { 0 });
}

auto Deployment::waitUntilInForce(Revision revision, std::chrono::milliseconds atMost) -> bool
{
    return waitUntil(atMost, [&] {
        for (auto i = std::size_t { 0 }; i < m_nodes.size(); ++i) {
            if (revisionAt(i).value_or(0) < revision)
                return false;
        }
        return true;
    });
}

auto Deployment::setPlatformFault(const nlohmann::json& fault) -> void
{
    httplib::Client(m_platformAddress.m_host, m_platformAddress.m_port)
        .Post("/fault", fault.dump(), "application/json");
}

auto Deployment::platformStats() -> nlohmann::json
{
    const auto answer = httplib::Client(m_platformAddress.m_host, m_platformAddress.m_port).Get("/stats");
    return answer ? nlohmann::json::parse(answer->body) : nlohmann::json();
}

auto Deployment::waitUntilServing() -> bool
{
    return waitUntil(startTimeout, [this] {
        for (const auto& node : m_nodes) {
            const auto answer = httplib::Client(node.m_caller.m_host, node.m_caller.m_port).Get("/healthz");
            if (!answer || answer->status != 200)
                return false;
        }
        return true;
    });
}

auto Deployment::upstreamRecords(const std::string& name) -> nlohmann::json
{
    const auto& address = m_upstreamAddresses.at(name);
    const auto answer = httplib::Client(address.m_host, address.m_port).Get("/records");
    return answer ? nlohmann::json::parse(answer->body) : nlohmann::json();
}

auto waitUntil(std::chrono::milliseconds atMost, const std::function<bool()>& condition) -> bool
{
    const auto end = std::chrono::steady_clock::now() + atMost;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end)
            return false;
        std::this_thread::sleep_for(pollStep);
    }
    return true;
}

auto makeCaller(const Address& address, const std::string& key) -> httplib::Client
{
    auto client = httplib::Client(address.m_host, address.m_port);
    client.set_keep_alive(true);
    client.set_tcp_nodelay(true);
    client.set_read_timeout(std::chrono::seconds(20));
    if (!key.empty())
        client.set_bearer_token_auth(key);
    return client;
}

auto basicNote(std::size_t adapters) -> nlohmann::json
{
    auto changes = nlohmann::json::array();
    changes.push_back({ { "put", "organisation" }, { "name", "aare" }, { "tokens_per_second", 100'000 },
        { "burst_tokens", 200'000 } });
    changes.push_back(
        { { "put", "key" }, { "id", "aare-1" }, { "organisation", "aare" }, { "secret", "secret" } });
    changes.push_back({ { "put", "route" }, { "name", "appointments" }, { "pool", "booking-app" } });
    changes.push_back({ { "put", "route" }, { "name", "slots" }, { "pool", "booking-app" },
        { "idempotent", true }, { "open_to_all", true } });
    for (auto i = std::size_t { 0 }; i < adapters; ++i)
        changes.push_back({ { "put", "adapter" }, { "name", "adapter-" + std::to_string(i) },
            { "version", "1" }, { "pool", "triage-models" } });
    return { { "note_id", "basic" }, { "changes", changes } };
}

auto completionBody(const std::string& model, int maxTokens, bool stream) -> std::string
{
    return nlohmann::json {
        { "model", model },
        { "prompt", "water under the floor" },
        { "max_tokens", maxTokens },
        { "stream", stream },
    }
        .dump();
}

} // namespace marigoldladder::harness
