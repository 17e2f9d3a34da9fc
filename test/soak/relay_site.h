// A site of real relay processes between stand-ins of the platform's store and of upstreams, with a proxy on
// each way that can be cut, delayed and silenced.
#pragma once

#include "harness/child_process.h"
#include "platform/fake_store.h"
#include "platform/fake_upstream.h"
#include "soak/soak_engine.h"
#include "soak/soak_record.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace marigoldladder::soak {

// Holds a port for the lifetime of the object. Processes that are started meanwhile don't inherit it.
class HeldPort {
public:
    explicit HeldPort(const Address&);

private:
    boost::asio::io_context m_context { 1 };
    boost::asio::ip::tcp::acceptor m_acceptor;
};

// One relay process and the proxy between it and the store.
struct RelayProcess {
    std::string m_name;
    std::string m_settingsFile;
    Address m_callerAddress;
    Address m_readinessAddress;
    std::vector<Address> m_otherAddresses; // At which it listens, too.
    harness::ChildProcess m_storeProxy;
    harness::ChildProcess m_relay;
    bool m_toldToStop = false;
    bool m_isFrozen = false;
};

// How an upstream answers; a part of the requests each time, the others soundly.
enum class UpstreamMode {
    Sound,
    FailsLikeRefusing, // Runs the request and answers 408, 429 or 503 without saying that it didn't.
    RefusesUnidentified, // Runs it, and sends a refusal that names no request before the answer.
    RepeatsRefusals, // Refuses it, and sends a second copy before its next answer to the same request.
};

inline constexpr auto enginePool = "engines";

// One run of an upstream: what its process is from its start to its end.
struct UpstreamRun {
    std::string m_name;
    std::uint64_t m_startedAt = 0; // Unix milliseconds.
    std::string m_software;
};

// One upstream and the proxy before it; relays know the proxy's address only.
struct ProxiedUpstream {
    std::string m_address; // The proxy's.
    std::shared_ptr<UpstreamRun> m_run; // Changed on the loop.
    std::shared_ptr<std::atomic<UpstreamMode>> m_mode;
    std::unique_ptr<platform::FakeUpstream> m_upstream;
    harness::ChildProcess m_proxy;
    std::shared_ptr<SoakEngine> m_engine; // Null for a plain service.
};

enum class SiteKind {
    Quick,
    // Relays listen on the host and in the range of ports from which all processes connect, and upstreams
    // take their time, so that requests are under way at any moment.
    LikeRealMachines,
    // The same, and half of the upstreams are model engines that send their streams' events one by one.
    WithEngines,
    // Streams are answered by two versions of the upstreams' software, and broken off in many ways.
    WithBreakingStreams,
};

// What answers requests for streams.
enum class StreamService {
    Plain,
    Engines,
};

class RelaySite {
public:
    RelaySite(std::size_t relays, std::size_t upstreams, SoakRecord&, SiteKind = SiteKind::Quick);
    ~RelaySite();
    RelaySite(const RelaySite&) = delete;
    auto operator=(const RelaySite&) -> RelaySite& = delete;

    auto relays() -> std::vector<RelayProcess>& { return m_relays; }
    auto upstreams() -> std::vector<ProxiedUpstream>& { return m_upstreams; }

    auto streamService() const -> StreamService
    {
        return m_kind == SiteKind::WithEngines ? StreamService::Engines : StreamService::Plain;
    }

    // Of relays that weren't removed; from any thread.
    auto callerAddresses() -> std::vector<Address>;

    // Starts a relay that has ended again.
    auto restart(RelayProcess&, harness::ReadyLine = harness::ReadyLine::Awaited) -> void;
    auto kill(RelayProcess&) -> void;
    auto tellToStop(RelayProcess&) -> void;
    auto freeze(RelayProcess&) -> void;
    auto thaw(RelayProcess&) -> void;

    // Whether a connection of any process has a port of a relay, as one may get it while the relay is down.
    // The relay waits for it, up to the 60 s that the kernel keeps a closed connection.
    auto isAnyPortHeld() const -> bool;

    // Whether it has ended; an end by itself breaks a promise.
    auto hasEnded(RelayProcess&) -> bool;

    // Kills a relay for good and starts another one with a name and ports of its own.
    auto replace(RelayProcess&) -> void;

    // Returns when SIGHUP can't end the relay any more. Before its first instruction no program can withstand
    // it; how long that takes is up to the kernel and the loader.
    static auto awaitFirstInstruction(const RelayProcess&) -> bool;

    // Writes a relay's settings anew in place, and calls the function when half of them is written.
    auto rewriteSettings(const RelayProcess&, const std::function<void()>& atHalf) -> void;

    // Ends an upstream's process and starts one of this software under its name. The entry goes on telling of
    // the former run until `entryDelay` later.
    auto restartUpstream(
        std::size_t upstream, const std::string& software, std::chrono::milliseconds entryDelay) -> void;
    // The same under a name of its own; the former entry is gone and the new one there at once.
    auto replaceUpstream(std::size_t upstream, const std::string& software) -> void;
    // Removes the entries of all upstreams of this software for a time, as after they lost touch with the
    // store.
    auto hideEntries(const std::string& software, std::chrono::milliseconds time) -> void;

    // Sets what a proxy does, such as `{"mode":"hang"}`, or sends it another order, such as `/cut`.
    auto orderProxy(const harness::ChildProcess& proxy, const std::string& path, const nlohmann::json&)
        -> void;

    // Writes the next version of the configuration, as an operator would.
    auto writeConfiguration() -> void;
    // The same with many routes more, which the versions after it keep.
    auto enlargeConfiguration() -> void;
    // Announces the next version of an adapter.
    auto announceVersion(const std::string& adapter) -> void;
    auto discardStoreHistory() -> void;

    // Writes an entry as another writer would: like an upstream's, under any name and with an address at
    // which nobody answers.
    auto writeForeignEntry(const std::string& name) -> void;
    // Writes an object without content.
    auto writeEmptyObject(const std::string& kind, const std::string& name) -> void;
    // From now on a page of the store's listings has this many objects at most.
    auto setStorePageSize(std::size_t objects) -> void;
    // Returns the listing calls that the store has received so far.
    auto storeListCalls() -> int;

    // Whether every relay says within the time that it is ready.
    auto allReady(std::chrono::milliseconds) -> bool;

private:
    auto onLoop(std::function<void()>) -> void;
    auto addUpstream(std::size_t number) -> void;
    auto startRelay() -> RelayProcess;
    auto address() -> Address;
    auto isLikeRealMachines() const -> bool
    {
        return m_kind == SiteKind::LikeRealMachines || m_kind == SiteKind::WithEngines;
    }
    auto isEngine(std::size_t upstream) const -> bool
    {
        return m_kind == SiteKind::WithEngines && upstream % 2 != 0;
    }
    auto writeEntry(std::size_t upstream) -> void;
    auto writeEntryAfter(std::chrono::milliseconds, std::size_t upstream) -> void;
    auto beginRun(std::size_t upstream, const std::string& name, const std::string& software) -> void;
    auto answerAsRun(const platform::UpstreamRequest&, std::size_t upstream) -> platform::UpstreamReply;
    auto answer(const platform::UpstreamRequest&, std::size_t upstream, const std::string& connection)
        -> platform::UpstreamReply;
    auto answerAsEngine(const platform::UpstreamRequest&, SoakEngine&) -> platform::UpstreamReply;
    auto run(const platform::UpstreamRequest&) -> std::string;
    auto runPaced(const platform::UpstreamRequest&) -> platform::UpstreamReply;
    auto configuration() const -> nlohmann::json;
    auto refuseOrRepeat(const platform::UpstreamRequest&, const std::string& connection) -> std::string;

    SoakRecord& m_record;
    boost::asio::io_context m_context { 1 };
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    platform::FakeStore m_store;
    std::uint64_t m_version = 0;
    std::size_t m_furtherRoutes = 0;
    std::map<std::string, std::uint64_t> m_adapterVersions;
    std::uint64_t m_answers = 0;
    std::uint64_t m_runs = 0; // Of upstreams, without their first ones.
    std::set<std::string> m_connections; // On which an upstream has answered.
    std::map<std::string, std::string> m_refusedOn; // The connection of each request that was refused.
    std::vector<ProxiedUpstream> m_upstreams;
    SiteKind m_kind;
    std::size_t m_relaysStarted = 0;
    bool m_hasStarted
        = false; // The whole site; relays that start later aren't told that it is its first start.
    std::mutex m_addressMutex;
    std::vector<RelayProcess> m_relays;
    std::thread m_thread;
};

} // namespace marigoldladder::soak
