// A site of real relay processes between stand-ins of the platform's store and of upstreams, with a proxy on
// each way that can be cut, delayed and silenced.
#pragma once

#include "harness/child_process.h"
#include "platform/fake_store.h"
#include "platform/fake_upstream.h"
#include "soak/soak_record.h"

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace marigoldladder::soak {

// One relay process and the proxy between it and the store.
struct RelayProcess {
    std::string m_settingsFile;
    Address m_callerAddress;
    Address m_readinessAddress;
    harness::ChildProcess m_storeProxy;
    harness::ChildProcess m_relay;
};

// One upstream and the proxy before it; relays know the proxy's address only.
struct ProxiedUpstream {
    std::unique_ptr<platform::FakeUpstream> m_upstream;
    harness::ChildProcess m_proxy;
};

class RelaySite {
public:
    RelaySite(std::size_t relays, std::size_t upstreams, SoakRecord&);
    ~RelaySite();
    RelaySite(const RelaySite&) = delete;
    auto operator=(const RelaySite&) -> RelaySite& = delete;

    auto relays() -> std::vector<RelayProcess>& { return m_relays; }
    auto upstreams() -> std::vector<ProxiedUpstream>& { return m_upstreams; }

    // Starts a relay that has ended again.
    auto restart(RelayProcess&) -> void;

    // Sets what a proxy does, such as `{"mode":"hang"}`, or sends it another order, such as `/cut`.
    auto orderProxy(const harness::ChildProcess& proxy, const std::string& path, const nlohmann::json&)
        -> void;

    // Writes the next version of the configuration, as an operator would.
    auto writeConfiguration() -> void;
    auto discardStoreHistory() -> void;

    // Whether every relay says within the time that it is ready.
    auto allReady(std::chrono::milliseconds) -> bool;

private:
    auto onLoop(std::function<void()>) -> void;
    auto addUpstream(std::size_t number) -> void;
    auto addRelay(std::size_t number) -> void;
    auto answer(const platform::UpstreamRequest&) -> platform::UpstreamReply;

    SoakRecord& m_record;
    boost::asio::io_context m_context { 1 };
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    platform::FakeStore m_store;
    std::uint64_t m_version = 0;
    std::vector<ProxiedUpstream> m_upstreams;
    std::vector<RelayProcess> m_relays;
    std::thread m_thread;
};

} // namespace marigoldladder::soak
