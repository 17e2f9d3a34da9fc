#include "daemons/marigoldladder_relay_main.h"

#include "core/large_blocks.h"
#include "core/log.h"
#include "platform/deployment.h"
#include "relay/settings_file.h"

#include <cstdlib>
#include <docopt.h>
#include <iostream>
#include <map>
#include <string>

namespace {

constexpr auto usage = R"(Serves callers' requests from the upstreams of a deployment.

Usage:
  marigoldladder-relay --settings FILE [--settings-from VARIABLE] [--check-settings]
  marigoldladder-relay --help

Options:
  --settings FILE           The node's settings, as JSON.
  --settings-from VARIABLE  The environment variable that names the settings' file, if it is set.
  --check-settings          Only check the settings: prints every fault with its path.
  --help                    Shows this text.
)";

constexpr auto settingsExitCode = 2;

// Returns the path of the settings that the arguments name.
auto settingsPath(std::map<std::string, docopt::value>& arguments) -> std::string
{
    const auto& variable = arguments["--settings-from"];
    const auto* path = variable ? std::getenv(variable.asString().c_str()) : nullptr;
    return path && *path ? path : arguments["--settings"].asString();
}

} // namespace

extern "C" auto marigoldladderRelayMain(int argc, char** argv) -> int
{
    using namespace marigoldladder::relay;
    marigoldladder::returnLargeBlocks();
    auto arguments = docopt::docopt(usage, { argv + 1, argv + argc }, true);
    const auto path = settingsPath(arguments);
    const auto onlyChecks = arguments["--check-settings"].asBool();
    const auto settings = onlyChecks ? readSettingsFile(path) : awaitSettingsFile(path);
    if (!settings) {
        for (const auto& fault : settings.error().m_faults)
            std::cerr << path << ": " << fault.m_path << ": " << fault.m_message << '\n';
        return settingsExitCode;
    }
    if (onlyChecks)
        return 0;
    marigoldladder::initialiseLog(settings.value().m_logLevel, settings.value().m_vm.value(),
        marigoldladder::LogTarget::StandardOutput);
    for (const auto& field : settings.value().m_unknownFields)
        marigoldladder::logWarning("settings_field_unknown", { { "file", path }, { "field", field } });
    auto context = boost::asio::io_context(1);
    auto storeClient = HttpClient(context.get_executor(), settings.value().m_storeAddress);
    const auto deployment = marigoldladder::platform::makeDeployment(context.get_executor(), storeClient);
    auto node = RelayNode(context, settings.value(), deployment);
    const auto exitCode = node.run();
    // Suspended coroutines refer to members of the node, so the process exits without destroying them after
    // it.
    std::cout.flush();
    std::_Exit(exitCode);
}
