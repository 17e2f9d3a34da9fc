// A node's request runner with fake upstreams, on an event loop that a test runs step by step. A test can so
// change what the node knows between the choice of an upstream and the moment at which the request is sent.
#pragma once

#include "platform/deployment.h"
#include "platform/fake_upstream.h"
#include "platform/object_decoder.h"
#include "platform/relay_path_fixture.h"
#include "relay/blackboard_updates.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>

namespace marigoldladder::platform {

// The runner and what it depends on.
struct SteppedRunner {
    SteppedRunner()
        : m_settings(makeSettings())
        , m_configuration(*decodeConfiguration(testConfiguration(1)))
        , m_storeClient(m_context.get_executor(), Address {})
        , m_dialect(makeDeployment(m_context.get_executor(), m_storeClient).m_dialect)
        , m_socket(m_context.get_executor())
        , m_allowances(m_context.get_executor(), m_settings, m_board, m_socket, Incarnation { 77 })
        , m_waitList(m_context.get_executor(), m_board, m_settings)
        , m_connector(m_context.get_executor(), m_settings, m_board)
        , m_connections(m_context.get_executor(), m_board, m_connector)
        , m_upstreamCaller(m_connections, m_dialect, m_board)
        , m_crashWatch(m_context.get_executor(), m_settings, m_board, m_connector)
        , m_requestLimits(m_context.get_executor(), m_settings, m_board, m_socket, Incarnation { 77 })
        , m_rooms(m_context.get_executor(), m_settings, m_board, m_socket, Incarnation { 77 })
        , m_software(m_context.get_executor(), m_settings, m_board, m_store)
        , m_origins(m_context.get_executor(), m_board, m_socket, m_software, Incarnation { 77 })
        , m_runner(m_context.get_executor(), m_settings, m_board, m_allowances, m_waitList, m_requestLimits,
              m_rooms, m_origins, m_upstreamCaller, m_crashWatch, m_dialect)
    {
        m_board.m_fleet.m_membersRead = true;
        m_board.m_capacityChanged = [this] { m_waitList.scheduleRecheck(); };
    }

    static auto makeSettings() -> relay::RelaySettings
    {
        auto settings = relay::RelaySettings();
        settings.m_vm = VmName("node-1");
        settings.m_dataCentre = DataCentreName("here");
        return settings;
    }

    boost::asio::io_context m_context { 1 };
    relay::RelaySettings m_settings;
    relay::RoutingConfiguration m_configuration; // Put in force when the first request is sent.
    relay::HttpClient m_storeClient; // Not called.
    relay::RelayBoard m_board;
    relay::Dialect m_dialect;
    relay::PeerSocket m_socket;
    relay::AllowanceExchange m_allowances;
    relay::WaitList m_waitList;
    relay::UpstreamConnector m_connector;
    relay::UpstreamConnectionPool m_connections;
    relay::UpstreamCaller m_upstreamCaller;
    relay::CrashWatch m_crashWatch;
    relay::RequestLimitExchange m_requestLimits;
    relay::RoomExchange m_rooms;
    relay::ObjectStore m_store; // Not called.
    relay::SoftwareWatch m_software;
    relay::StreamOriginExchange m_origins;
    relay::RequestRunner m_runner;
    std::map<std::string, std::unique_ptr<FakeUpstream>> m_upstreams;
};

// A request, with the connection on which it arrived.
struct SteppedRequest {
    explicit SteppedRequest(boost::asio::io_context& context)
        : m_caller(context)
        , m_stream(context)
        , m_answer(m_stream, { true, false })
    {
        const auto loopback = boost::asio::ip::tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0);
        auto acceptor = boost::asio::ip::tcp::acceptor(context, loopback);
        m_caller.connect(acceptor.local_endpoint());
        m_stream.socket() = acceptor.accept();
    }

    // Returns the status of the answer; 0: none has arrived.
    auto status() -> int
    {
        constexpr auto statusAt = std::size_t { 9 }; // After the protocol's version.
        constexpr auto statusLength = std::size_t { 3 };
        auto bytes = std::array<char, 4'096>();
        auto error = relay::ErrorCode();
        m_caller.non_blocking(true);
        const auto length
            = m_caller.receive(boost::asio::buffer(bytes), boost::asio::socket_base::message_peek, error);
        return error ? 0 : std::stoi(std::string(bytes.data(), length).substr(statusAt, statusLength));
    }

    boost::asio::ip::tcp::socket m_caller;
    relay::tcp_stream m_stream;
    relay::CallerAnswer m_answer;
    relay::CallState m_state;
    bool m_ended = false;
};

class SteppedRunnerTest : public testing::Test {
protected:
    SteppedRunnerTest()
        : m_node(*new SteppedRunner()) // NOLINT(cppcoreguidelines-owning-memory): see the member.
    {
    }

    // Starts an upstream that the node knows.
    auto addUpstream(const std::string& name, std::function<UpstreamReply(const UpstreamRequest&)> reply,
        const std::string& dataCentre = "here") -> void
    {
        const auto noRun = std::make_shared<const std::optional<std::uint64_t>>();
        auto fake = std::make_unique<FakeUpstream>(m_node.m_context, withReport(noRun, std::move(reply)));
        addRecord(name, fake->address(), dataCentre);
        m_node.m_upstreams[name] = std::move(fake);
    }

    auto addRecord(const std::string& name, const Address& address, const std::string& dataCentre = "here")
        -> void
    {
        constexpr auto slots = std::size_t { 8 };
        auto record = relay::UpstreamRecord();
        record.m_name = UpstreamName(name);
        record.m_pool = PoolName("pool");
        record.m_address = address;
        record.m_dataCentre = DataCentreName(dataCentre);
        record.m_slots = slots;
        relay::applyUpstreamRecord(table(), record, std::chrono::steady_clock::now());
        m_node.m_waitList.scheduleRecheck();
    }

    auto table() -> relay::UpstreamTable& { return m_node.m_board.m_upstreams; }

    auto upstream(const std::string& name) -> relay::Upstream&
    {
        return *table().m_upstreams.at(UpstreamName(name));
    }

    // Returns the number of requests that the upstream received.
    auto requestsAt(const std::string& name) -> std::size_t
    {
        return m_node.m_upstreams.at(name)->requests().size();
    }

    // Starts an idempotent request that a caller sent. It proceeds as the event loop runs.
    auto send(const std::string& promptParts = "") -> SteppedRequest&
    {
        namespace http = boost::beast::http;
        if (!m_node.m_board.m_configuration)
            m_node.m_board.m_configuration
                = std::make_shared<const relay::RoutingConfiguration>(m_node.m_configuration);
        // Never destroyed, like the node.
        auto& request = *new SteppedRequest(m_node.m_context); // NOLINT(cppcoreguidelines-owning-memory)
        auto& state = request.m_state;
        state.m_message = { http::verb::get, "/plain/x", 11 };
        state.m_message.set(http::field::host, "h.example");
        state.m_message.set("X-Marigoldladder-Request-Id", "r" + std::to_string(++m_sent));
        state.m_message.set("Api-Key", "key-1");
        if (!promptParts.empty())
            state.m_message.set("X-Marigoldladder-Prompt-Prefix", promptParts);
        state.m_arrivedAt = std::chrono::steady_clock::now();
        boost::asio::co_spawn(m_node.m_context, m_node.m_runner.run(state, request.m_answer),
            [&request](const std::exception_ptr&) { request.m_ended = true; });
        return request;
    }

    // Runs the event loop, one handler at a time, until the function returns true. Returns false if it
    // doesn't within five seconds.
    auto runUntil(const std::function<bool()>& holds) -> bool
    {
        constexpr auto timeout = std::chrono::seconds(5);
        constexpr auto stepTime = std::chrono::milliseconds(10);
        const auto until = std::chrono::steady_clock::now() + timeout;
        while (!holds()) {
            if (std::chrono::steady_clock::now() >= until)
                return false;
            (void)m_node.m_context.run_one_for(stepTime);
        }
        return true;
    }

    // Runs the event loop until the request has been chosen for the upstream, to which it isn't sent yet.
    auto runUntilChosen(const std::string& name) -> bool
    {
        return runUntil([&] { return upstream(name).m_inFlight == 1; }) && requestsAt(name) == 0;
    }

    SteppedRunner& m_node; // Never destroyed, as suspended coroutines may refer to its members.
    int m_sent = 0;
};

} // namespace marigoldladder::platform
