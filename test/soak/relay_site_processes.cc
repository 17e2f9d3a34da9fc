// The part of the site that starts, signals and ends its relay processes.
#include "soak/relay_site.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <csignal>
#include <fstream>
#include <iterator>
#include <unistd.h>
#include <utility>

namespace marigoldladder::soak {

namespace net = boost::asio;

namespace {

    constexpr auto firstInstructionTime = std::chrono::milliseconds(2'000);

    auto endpointOf(const Address& address) -> net::ip::tcp::endpoint
    {
        return { net::ip::make_address(address.m_host), static_cast<std::uint16_t>(address.m_port) };
    }

    auto listens(const Address& address) -> bool
    {
        auto context = net::io_context(1);
        auto error = boost::system::error_code();
        net::ip::tcp::socket(context).connect(endpointOf(address), error);
        return !error;
    }

    // Whether no process could listen there now, though none does.
    auto isHeldByConnection(const Address& address) -> bool
    {
        if (listens(address))
            return false;
        auto context = net::io_context(1);
        auto socket = net::ip::tcp::socket(context, net::ip::tcp::v4());
        auto error = boost::system::error_code();
        socket.set_option(net::socket_base::reuse_address(true));
        socket.bind(endpointOf(address), error);
        return static_cast<bool>(error);
    }

} // namespace

auto RelaySite::isAnyPortHeld() const -> bool
{
    return std::any_of(m_relays.begin(), m_relays.end(), [](const RelayProcess& relay) {
        const auto& others = relay.m_otherAddresses;
        return isHeldByConnection(relay.m_callerAddress) || isHeldByConnection(relay.m_readinessAddress)
            || std::any_of(others.begin(), others.end(), isHeldByConnection);
    });
}

auto RelaySite::callerAddresses() -> std::vector<Address>
{
    const auto lock = std::lock_guard(m_addressMutex);
    auto addresses = std::vector<Address>();
    for (const auto& relay : m_relays)
        addresses.push_back(relay.m_callerAddress);
    return addresses;
}

auto RelaySite::restart(RelayProcess& relay, harness::ReadyLine readyLine) -> void
{
    m_record.noteOutageEnd(formatAddress(relay.m_callerAddress));
    relay.m_toldToStop = false;
    relay.m_isFrozen = false;
    relay.m_relay
        = harness::ChildProcess("marigoldladder-relay", { "--settings", relay.m_settingsFile }, readyLine);
}

auto RelaySite::kill(RelayProcess& relay) -> void
{
    if (hasEnded(relay))
        return;
    m_record.noteOutage(formatAddress(relay.m_callerAddress), std::chrono::steady_clock::now());
    relay.m_relay.kill();
}

auto RelaySite::tellToStop(RelayProcess& relay) -> void
{
    if (!relay.m_toldToStop)
        m_record.noteStop(formatAddress(relay.m_callerAddress), std::chrono::steady_clock::now());
    relay.m_toldToStop = true;
    relay.m_relay.signal(SIGTERM);
}

auto RelaySite::freeze(RelayProcess& relay) -> void
{
    m_record.noteOutage(formatAddress(relay.m_callerAddress), std::chrono::steady_clock::now());
    relay.m_relay.signal(SIGSTOP);
    relay.m_isFrozen = true;
}

auto RelaySite::thaw(RelayProcess& relay) -> void
{
    relay.m_relay.signal(SIGCONT);
    if (std::exchange(relay.m_isFrozen, false) && !relay.m_toldToStop && !hasEnded(relay))
        m_record.noteOutageEnd(formatAddress(relay.m_callerAddress));
}

auto RelaySite::hasEnded(RelayProcess& relay) -> bool
{
    const auto ran = relay.m_relay.running();
    if (!relay.m_relay.hasEnded())
        return false;
    const auto how = relay.m_relay.end();
    const auto stopped
        = relay.m_toldToStop && (how == "exit code 0" || how == "signal " + std::to_string(SIGTERM));
    if (ran && !stopped)
        m_record.noteEnd(relay.m_name + " ended by itself: " + how);
    return true;
}

auto RelaySite::awaitFirstInstruction(const RelayProcess& relay) -> bool
{
    const auto until = std::chrono::steady_clock::now() + firstInstructionTime;
    while (!relay.m_relay.withstands(SIGHUP)) {
        if (std::chrono::steady_clock::now() >= until)
            return false;
        std::this_thread::yield();
    }
    return true;
}

auto RelaySite::replace(RelayProcess& relay) -> void
{
    kill(relay);
    ::unlink(relay.m_settingsFile.c_str());
    auto other = startRelay();
    const auto lock = std::lock_guard(m_addressMutex);
    relay = std::move(other);
}

auto RelaySite::rewriteSettings(const RelayProcess& relay, const std::function<void()>& atHalf) -> void
{
    auto settings = std::string();
    {
        auto file = std::ifstream(relay.m_settingsFile);
        settings.assign(std::istreambuf_iterator<char>(file), {});
    }
    auto file = std::ofstream(relay.m_settingsFile, std::ios::trunc);
    file << settings.substr(0, settings.size() / 2) << std::flush;
    atHalf();
    file << settings.substr(settings.size() / 2);
}

} // namespace marigoldladder::soak
