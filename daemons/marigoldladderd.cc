// The node daemon: reads its settings, serves until told to stop, and drains before it ends.
#include "core/large_blocks.h"
#include "core/log.h"
#include "marigoldladder/node.h"

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <docopt/docopt.h>
#include <fstream>
#include <iostream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <optional>

namespace {

using namespace marigoldladder;

constexpr auto usage = R"(marigoldladderd - serves LoRA adapters to organisations.

Usage:
  marigoldladderd --settings FILE [--check-settings]
  marigoldladderd (-h | --help)

Options:
  --settings FILE   The node's settings, in JSON.
  --check-settings  Check the settings, print every fault, and start nothing.
  -h --help         Print this text.

SIGTERM and SIGINT drain the node: it takes no new callers, ends its requests, and exits with 0.
)";

constexpr auto exitUsage = 2;
constexpr auto exitFailed = 1;
constexpr auto drainSlack = std::chrono::milliseconds(10'000); // Beyond the longest request.

auto readSettings(const std::string& path) -> std::optional<NodeSettings>
{
    auto file = std::ifstream(path);
    if (!file) {
        std::cerr << path << ": can't be read\n";
        return std::nullopt;
    }
    const auto text = std::string(std::istreambuf_iterator<char>(file), {});
    auto settings = parseNodeSettings(text);
    if (settings)
        return std::move(settings.value());
    for (const auto& fault : settings.error().m_faults)
        std::cerr << path << ": " << fault.m_path << " " << fault.m_message << "\n";
    return std::nullopt;
}

// Blocks the signals that end the daemon, so that the main thread can wait for them.
auto blockEndSignals() -> sigset_t
{
    auto signals = sigset_t {};
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

// Tells whoever started the daemon where it listens, as one JSON line on standard output.
auto printReady(const NodeAddresses& addresses) -> void
{
    const auto line = nlohmann::json {
        { "event", "ready" },
        { "caller_address", formatAddress(addresses.m_caller) },
        { "operator_address", formatAddress(addresses.m_operator) },
        { "peer_address", formatAddress(addresses.m_peer) },
    };
    std::cout << line.dump() << std::endl;
}

auto serve(const NodeSettings& settings) -> int
{
    const auto signals = blockEndSignals();
    initialiseLog(settings.m_logLevel, settings.m_vm.value());
    try {
        auto node = Node(settings);
        printReady(node.addresses());
        auto received = 0;
        sigwait(&signals, &received);
        node.drain(settings.m_limits.m_requestDeadline + drainSlack);
        // Nothing is left to serve. Destroying the node would wait for idle connections to time out; the
        // system closes them at once.
        std::quick_exit(0);
    } catch (const std::exception& error) {
        std::cerr << "marigoldladderd: " << error.what() << "\n";
        return exitFailed;
    }
}

} // namespace

auto main(int argc, char** argv) -> int
{
    returnLargeBlocks();
    const auto arguments = docopt::docopt(usage, { argv + 1, argv + argc });
    const auto settings = readSettings(arguments.at("--settings").asString());
    if (!settings)
        return exitUsage;
    return arguments.at("--check-settings").asBool() ? 0 : serve(*settings);
}
