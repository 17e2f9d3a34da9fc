// One relay process with lowered limits between stand-ins of the platform's store and of an upstream.
#pragma once

#include "harness/child_process.h"
#include "platform/fake_store.h"
#include "platform/fake_upstream.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace marigoldladder::hostile {

// The memory of the machine that the relay is told of, and the bound of what it may use.
inline constexpr auto machineMegabytes = std::size_t { 64 };
inline constexpr auto machineBytes = machineMegabytes << 20;

// The descriptors that the relay is told of, and the bound of what it may open.
inline constexpr auto machineDescriptors = std::size_t { 256 };

// What callers may send.
inline constexpr auto maxBodyBytes = std::size_t { 1 } << 20;
inline constexpr auto maxHeaderBytes = std::size_t { 16 } << 10;

struct OrdinaryAnswer {
    int m_status = 0; // 0: no answer.
    std::string m_retryAfter;
    std::string m_body;
};

class RelayUnderTest {
public:
    using Answer = std::function<platform::UpstreamReply(const platform::UpstreamRequest&)>;

    // Starts the relay; the upstream answers as given.
    explicit RelayUnderTest(Answer);
    ~RelayUnderTest();
    RelayUnderTest(const RelayUnderTest&) = delete;
    auto operator=(const RelayUnderTest&) -> RelayUnderTest& = delete;

    auto process() -> harness::ChildProcess& { return m_relay; }
    auto callerAddress() const -> const Address& { return m_callerAddress; }
    auto readinessAddress() const -> const Address& { return m_readinessAddress; }
    auto directoryAddress() const -> const Address& { return m_directoryAddress; }
    auto metricsAddress() const -> const Address& { return m_metricsAddress; }
    auto peerAddress() const -> const Address& { return m_peerAddress; }

    // Returns what one ordinary caller's request with this body gets.
    auto answerToOrdinaryRequest(const std::string& body) const -> OrdinaryAnswer;

    // Returns the status that one ordinary caller's request with this body gets; 0: no answer.
    auto statusOfOrdinaryRequest(const std::string& body = "5 francs") const -> int;

    // Returns the status of a GET at one of the other ports; 0: no answer.
    static auto statusOf(const Address&, const std::string& target) -> int;

private:
    auto onLoop(const std::function<void()>&) -> void;
    auto awaitReady() const -> bool;
    auto writeSettings() const -> void;

    boost::asio::io_context m_context { 1 };
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    platform::FakeStore m_store;
    platform::FakeUpstream m_upstream;
    Address m_callerAddress;
    Address m_readinessAddress;
    Address m_directoryAddress;
    Address m_peerAddress;
    Address m_metricsAddress;
    std::string m_settingsFile;
    std::thread m_thread;
    harness::ChildProcess m_relay;
};

// Returns the head of a caller's request with these framing fields; its body follows.
auto requestHead(const std::string& framing, const std::string& path = "/plain/x") -> std::string;

// Answers with 200 and a short body at once.
auto answerAtOnce(const platform::UpstreamRequest&) -> platform::UpstreamReply;

} // namespace marigoldladder::hostile
