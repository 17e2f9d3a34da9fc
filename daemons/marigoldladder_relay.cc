// The relay daemon: ignores signals, then loads the library in which the node is.
//
// The program itself needs the C library alone, so that its first instruction runs within a millisecond:
// until then a signal such as SIGHUP, by which the platform says that the settings changed, ends the process.
#include "daemons/relay_main.h"

#include <array>
#include <csignal>
#include <cstdio>
#include <dlfcn.h>

namespace {

constexpr auto libraryName = "libmarigoldladder-relay.so"; // Beside the program.
constexpr auto mainName = "marigoldladderRelayMain";
constexpr auto loadExitCode = 3;

// Signals whose default would end the process. SIGTERM isn't among them, nor are those of faults in the
// program itself.
constexpr auto ignoredSignals = std::array { SIGHUP, SIGINT, SIGQUIT, SIGPIPE, SIGALRM, SIGUSR1, SIGUSR2,
    SIGVTALRM, SIGPROF, SIGXCPU, SIGXFSZ, SIGIO, SIGPWR };

auto ignoreSignals() -> void
{
    for (const auto number : ignoredSignals)
        std::signal(number, SIG_IGN);
}

// The loader calls this before any library's own initialisation.
[[gnu::section(".preinit_array"), gnu::used]] auto* const ignoreSignalsFirst = &ignoreSignals;

auto failToLoad() -> int
{
    std::fprintf(stderr, "marigoldladder-relay: can't load %s: %s\n", libraryName, ::dlerror());
    return loadExitCode;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    auto* const library = ::dlopen(libraryName, RTLD_NOW | RTLD_LOCAL);
    if (!library)
        return failToLoad();
    const auto run = reinterpret_cast<decltype(&marigoldladderRelayMain)>(::dlsym(library, mainName));
    if (!run)
        return failToLoad();
    return run(argc, argv);
}
