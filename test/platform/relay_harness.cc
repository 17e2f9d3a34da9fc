#include "platform/relay_harness.h"

#include "relay/relay_fixtures.h"

#include <arpa/inet.h>
#include <atomic>
#include <boost/asio/post.hpp>
#include <chrono>
#include <poll.h>
#include <set>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace marigoldladder::platform {

using namespace relay;

namespace {

    constexpr auto deliveryTime = std::chrono::milliseconds(50); // Of an answer over loopback.
    constexpr auto answerTimeout = std::chrono::milliseconds(5'000);
    // For an answer of `send`: longer than any pause of an upstream in a test.
    constexpr auto wholeAnswerTimeout = std::chrono::milliseconds(7'000);
    constexpr auto loopTimeout = std::chrono::seconds(20); // For a function to run on the event loop.
    constexpr auto loopPollInterval = std::chrono::milliseconds(100);
    constexpr auto closeTimeout = std::chrono::milliseconds(150); // For a close after the answer.

    auto testSettings(const Address& store) -> RelaySettings
    {
        auto settings = RelaySettings();
        settings.m_vm = VmName("node-1");
        settings.m_dataCentre = DataCentreName("here");
        settings.m_callerAddress = freeAddress();
        settings.m_readinessAddress = freeAddress();
        settings.m_directoryAddress = freeAddress();
        settings.m_peerAddress = freeAddress();
        settings.m_metricsAddress = freeAddress();
        settings.m_storeAddress = store;
        settings.m_firstStart = true;
        return settings;
    }

    // A blocking connection of a caller.
    class CallerSocket {
    public:
        explicit CallerSocket(const Address& address)
            : m_socket(::socket(AF_INET, SOCK_STREAM, 0))
        {
            auto target = sockaddr_in();
            target.sin_family = AF_INET;
            target.sin_port = htons(static_cast<std::uint16_t>(address.m_port));
            (void)::inet_pton(AF_INET, address.m_host.c_str(), &target.sin_addr);
            (void)::connect(m_socket, reinterpret_cast<const sockaddr*>(&target), sizeof(target));
        }
        ~CallerSocket() { ::close(m_socket); }
        CallerSocket(const CallerSocket&) = delete;
        auto operator=(const CallerSocket&) -> CallerSocket& = delete;

        auto write(const std::string& bytes) const -> void
        {
            (void)::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        }

        // Reads available bytes. Returns false at the end of the connection or at the timeout.
        auto read(std::string& text, std::chrono::milliseconds timeout, bool& closed) const -> bool
        {
            auto entry = pollfd { m_socket, POLLIN, 0 };
            if (::poll(&entry, 1, static_cast<int>(timeout.count())) <= 0)
                return false;
            auto buffer = std::array<char, 4'096>();
            const auto got = ::recv(m_socket, buffer.data(), buffer.size(), 0);
            closed = got <= 0;
            if (got > 0)
                text.append(buffer.data(), static_cast<std::size_t>(got));
            return got > 0;
        }

    private:
        int m_socket;
    };

} // namespace

auto freeAddress() -> Address
{
    constexpr auto hostNumber = 200; // No other fixture of a test process uses this one.
    // The system may choose a port again as long as nothing listens there.
    static auto returnedPorts = std::set<int>();
    const auto host = loopbackHost(hostNumber);
    auto context = net::io_context();
    for (;;) {
        const auto acceptor
            = net::ip::tcp::acceptor(context, net::ip::tcp::endpoint(net::ip::make_address(host), 0));
        const auto port = acceptor.local_endpoint().port();
        if (returnedPorts.insert(port).second)
            return Address { host, port };
    }
}

struct RelayHarness::Parts {
    Parts()
        : m_store(m_context)
        , m_settings(testSettings(m_store.address()))
        , m_storeClient(m_context.get_executor(), m_settings.m_storeAddress)
        , m_deployment(makeDeployment(m_context.get_executor(), m_storeClient))
        , m_node(m_context, m_settings, m_deployment)
    {
    }

    net::io_context m_context { 1 };
    FakeStore m_store;
    RelaySettings m_settings;
    HttpClient m_storeClient;
    RelayDeployment m_deployment;
    RelayNode m_node;
    std::atomic<bool> m_startFailed = false;
    std::map<std::string, std::unique_ptr<FakeUpstream>> m_upstreams;
    std::map<std::string, nlohmann::json> m_entries; // Of the upstreams, as written last.
    // The start of each upstream's run, as it states it; empty: it states none.
    std::map<std::string, std::shared_ptr<std::optional<std::uint64_t>>> m_runs;
};

RelayHarness::RelayHarness(const std::function<void(FakeStore&)>& prepare)
    : m_parts(new Parts()) // NOLINT(cppcoreguidelines-owning-memory): see the class.
{
    if (prepare)
        prepare(m_parts->m_store);
    m_thread = std::thread([this] { m_parts->m_startFailed = m_parts->m_node.run() != 0; });
}

RelayHarness::~RelayHarness()
{
    m_parts->m_context.stop();
    m_thread.join();
}

auto RelayHarness::onLoop(std::function<void()> function) -> void
{
    const auto done = std::make_shared<std::promise<void>>();
    net::post(m_parts->m_context, [done, function = std::move(function)] {
        function();
        done->set_value();
    });
    const auto isDone = done->get_future();
    const auto until = std::chrono::steady_clock::now() + loopTimeout;
    while (isDone.wait_for(loopPollInterval) != std::future_status::ready) {
        if (m_parts->m_startFailed)
            throw std::runtime_error("the node could not open one of its addresses");
        if (std::chrono::steady_clock::now() >= until)
            throw std::runtime_error("the node's event loop ran no function within 20 s");
    }
}

auto RelayHarness::throwInEvent() -> void
{
    net::post(m_parts->m_context, [] { throw std::runtime_error("thrown in an event"); });
}

auto RelayHarness::put(const std::string& kind, const std::string& name, const nlohmann::json& spec) -> void
{
    onLoop([&] { m_parts->m_store.put(kind, name, spec); });
}

auto RelayHarness::putText(const std::string& kind, const std::string& name, std::string spec) -> void
{
    onLoop([&] { m_parts->m_store.putText(kind, name, std::move(spec)); });
}

auto RelayHarness::addUpstream(const std::string& name, const std::string& pool,
    std::function<UpstreamReply(const UpstreamRequest&)> reply, nlohmann::json models,
    const std::string& version) -> void
{
    onLoop([&] {
        auto& startedAt = m_parts->m_runs[name];
        startedAt = std::make_shared<std::optional<std::uint64_t>>();
        auto upstream
            = std::make_unique<FakeUpstream>(m_parts->m_context, withReport(startedAt, std::move(reply)));
        m_parts->m_entries[name] = { { "service", pool }, { "address", formatAddress(upstream->address()) },
            { "zone", "here" }, { "version", version }, { "slots", 8 }, { "state", "ready" },
            { "cold_left_ms", 0 }, { "models", std::move(models) }, { "sequence", 0 } };
        m_parts->m_upstreams[name] = std::move(upstream);
    });
    rewriteUpstream(name, {});
}

auto RelayHarness::rewriteUpstream(const std::string& name, const nlohmann::json& changes) -> void
{
    onLoop([&] {
        auto& entry = m_parts->m_entries.at(name);
        entry.update(changes.is_null() ? nlohmann::json::object() : changes);
        m_parts->m_store.put("servers", name, entry);
    });
    awaitUpstreamEntries();
}

auto RelayHarness::putUpstreamCopy(const std::string& name, const std::string& otherName) -> void
{
    put("servers", otherName, m_parts->m_entries.at(name));
    awaitUpstreamEntries();
}

auto RelayHarness::stateRun(const std::string& name, std::uint64_t startedAt) -> void
{
    onLoop([&] { *m_parts->m_runs.at(name) = startedAt; });
}

auto RelayHarness::removeUpstream(const std::string& name) -> void
{
    onLoop([&] { m_parts->m_store.remove("servers", name); });
    awaitUpstreamEntries();
}

// The node applies an entry when the answer to its watch arrives, shortly after the store has sent it.
auto RelayHarness::awaitUpstreamEntries() -> void
{
    auto revision = std::uint64_t { 0 };
    onLoop([&] { revision = m_parts->m_store.revision(); });
    (void)eventually([&] {
        auto published = false;
        onLoop([&] { published = m_parts->m_store.publishedRevision("servers") >= revision; });
        return published;
    });
    std::this_thread::sleep_for(deliveryTime);
}

auto RelayHarness::requestsAt(const std::string& name) -> std::vector<UpstreamRequest>
{
    auto requests = std::vector<UpstreamRequest>();
    onLoop([&] {
        for (const auto& request : m_parts->m_upstreams.at(name)->requests()) {
            if (request.target() != "/order" && request.target() != "/report")
                requests.push_back(request);
        }
    });
    return requests;
}

auto RelayHarness::refuseStoreCalls(bool refuses) -> void
{
    onLoop([&] { m_parts->m_store.refuseCalls(refuses); });
}

auto RelayHarness::keepStoreCopy() -> void
{
    onLoop([&] { m_parts->m_store.keepCopy(); });
}

auto RelayHarness::restoreStoreCopy() -> void
{
    onLoop([&] { m_parts->m_store.restoreCopy(); });
}

auto RelayHarness::discardStoreHistory() -> void
{
    onLoop([&] { m_parts->m_store.discardHistory(); });
}

auto RelayHarness::stopStoreAnswers() -> void
{
    onLoop([&] { m_parts->m_store.stopAnswering(); });
}

auto RelayHarness::storeCalls() -> int
{
    auto calls = 0;
    onLoop([&] { calls = m_parts->m_store.calls(); });
    return calls;
}

auto RelayHarness::isStoreReachable() -> bool
{
    auto reaches = false;
    onLoop([&] { reaches = m_parts->m_node.board().m_storeReachable; });
    return reaches;
}

auto RelayHarness::forbidRetries() -> void
{
    onLoop([&] {
        m_parts->m_settings.m_bounds.m_retryRatio = 0;
        m_parts->m_settings.m_bounds.m_retryExtra = 0;
    });
}

auto RelayHarness::changeDialect(const std::function<void(Dialect&)>& change) -> void
{
    onLoop([&] { change(m_parts->m_deployment.m_dialect); });
}

auto RelayHarness::counter(Counter counter) -> std::uint64_t
{
    auto value = std::uint64_t { 0 };
    onLoop([&] { value = m_parts->m_node.board().m_metrics.value(counter); });
    return value;
}

auto RelayHarness::send(const std::string& bytes) -> CallerReply
{
    const auto socket = CallerSocket(m_parts->m_settings.m_callerAddress);
    socket.write(bytes);
    auto text = std::string();
    auto closed = false;
    const auto until = std::chrono::steady_clock::now() + wholeAnswerTimeout;
    auto reply = CallerReply();
    while (!reply.m_complete && !closed && std::chrono::steady_clock::now() < until) {
        if (socket.read(text, wholeAnswerTimeout, closed))
            reply = parseReply(text);
    }
    if (!closed)
        (void)socket.read(text, closeTimeout, closed);
    reply.m_closed = closed;
    return reply;
}

auto RelayHarness::timeToEnd(const std::string& bytes) -> std::optional<std::chrono::milliseconds>
{
    const auto socket = CallerSocket(m_parts->m_settings.m_callerAddress);
    const auto begun = std::chrono::steady_clock::now();
    socket.write(bytes);
    auto text = std::string();
    auto closed = false;
    while (
        socket.read(text, answerTimeout, closed) && std::chrono::steady_clock::now() < begun + answerTimeout)
        text.clear();
    if (!closed)
        return std::nullopt;
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - begun);
}

auto RelayHarness::listeningAddresses() const -> std::vector<Address>
{
    const auto& settings = m_parts->m_settings;
    return { settings.m_callerAddress, settings.m_readinessAddress, settings.m_directoryAddress,
        settings.m_peerAddress, settings.m_metricsAddress };
}

auto RelayHarness::readiness() -> int
{
    const auto socket = CallerSocket(m_parts->m_settings.m_readinessAddress);
    socket.write("GET /readyz HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n");
    auto text = std::string();
    auto closed = false;
    while (socket.read(text, answerTimeout, closed)) { }
    return parseReply(text).m_status;
}

auto RelayHarness::eventually(const std::function<bool()>& holds) -> bool
{
    const auto until = std::chrono::steady_clock::now() + answerTimeout;
    while (std::chrono::steady_clock::now() < until) {
        if (holds())
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return false;
}

auto callerRequest(const std::string& method, const std::string& path, const std::string& headers,
    const std::string& body) -> std::string
{
    static auto number = 0;
    auto text = method + " " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Marigoldladder-Request-Id: r"
        + std::to_string(++number) + "\r\nX-Marigoldladder-Deadline-Ms: 3000\r\nApi-Key: key-1\r\n" + headers;
    if (!body.empty())
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

auto answerTo(const UpstreamRequest& request, int status, const std::string& body, const std::string& headers)
    -> std::string
{
    return "HTTP/1.1 " + std::to_string(status)
        + " Said\r\nX-Marigoldladder-Request-Id: " + std::string(request["X-Marigoldladder-Request-Id"])
        + "\r\nX-Marigoldladder-Server-Stamp: stamp-1\r\n" + headers
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

auto testConfiguration(std::uint64_t version) -> nlohmann::json
{
    auto routes = nlohmann::json::array();
    const auto add = [&](const char* name, const char* type, bool resumable, bool open) {
        routes.push_back({ { "name", name }, { "host", "h.example" },
            { "path_prefix", std::string("/") + name + "/" }, { "type", type }, { "timeout_ms", 2'000 },
            { "target_latency_ms", 300 }, { "service", "pool" }, { "attempts", 2 }, { "public", open },
            { "resumable", resumable }, { "gap_target_ms", 300 } });
    };
    add("plain", "safe", false, false);
    add("charge", "unsafe", false, false);
    add("stream", "streaming", true, false);
    add("once", "streaming", false, false);
    add("open", "safe", false, true);
    return { { "version", version }, { "routes", routes },
        { "services", nlohmann::json::array({ { { "name", "pool" }, { "max_conns", 100 } } }) },
        { "limits", { { "max_header_bytes", 4'096 }, { "max_body_bytes", 10'000 } } },
        { "tenants",
            nlohmann::json::array({ { { "name", "acme" }, { "api_keys", nlohmann::json::array({ "key-1" }) },
                { "rate_per_s", 0 }, { "burst", 0 } } }) } };
}

} // namespace marigoldladder::platform
