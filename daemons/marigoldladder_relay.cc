// The relay daemon: ignores signals, then loads the library in which the node is.
//
// The program itself needs the C library alone, so that its first instruction runs within a millisecond:
// until then a signal such as SIGHUP, by which the platform says that the settings changed, ends the process.
#include "daemons/embedded_library.h"
#include "daemons/marigoldladder_relay_main.h"

#include <array>
#include <cerrno>
#include <climits>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <dlfcn.h>
#include <string>
#include <string_view>
#include <unistd.h>

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
    std::fprintf(stderr, "marigoldladder-relay: can't load its library: %s\n", ::dlerror());
    return loadExitCode;
}

// Returns the path of the library beside the program; empty if it can't be found out.
auto libraryPath() -> std::string
{
    auto program = std::array<char, PATH_MAX> {};
    const auto length = ::readlink("/proc/self/exe", program.data(), program.size());
    if (length <= 0)
        return {};
    const auto path = std::string(program.data(), static_cast<std::size_t>(length));
    return path.substr(0, path.rfind('/') + 1) + libraryName;
}

// A platform may show the process another file system, in which only the working folder is where it was.
auto relativeToWorkingFolder(const std::string& path) -> std::string
{
    auto folder = std::array<char, PATH_MAX> {};
    if (!::getcwd(folder.data(), folder.size()))
        return path;
    const auto prefix = std::string(folder.data()) + "/";
    return path.starts_with(prefix) ? path.substr(prefix.size()) : path;
}

auto writeAll(int file, std::string_view bytes) -> bool
{
    while (!bytes.empty()) {
        const auto written = ::write(file, bytes.data(), bytes.size());
        if (written < 0 && errno == EINTR)
            continue;
        if (written <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return true;
}

// Loads the library that is a part of the program, by a file that is removed at once.
auto loadEmbeddedLibrary() -> void*
{
    auto path = std::string("/tmp/marigoldladder-relay-XXXXXX");
    const auto file = ::mkstemp(path.data());
    if (file < 0)
        return nullptr;
    const auto isWritten = writeAll(file, marigoldladder::embeddedLibrary());
    ::close(file);
    auto* const library = isWritten ? ::dlopen(path.c_str(), RTLD_NOW | RTLD_LOCAL) : nullptr;
    ::unlink(path.c_str());
    return library;
}

// The library beside the program comes first, as all processes of a machine share its memory.
auto loadLibrary() -> void*
{
    const auto path = libraryPath();
    const auto relative = relativeToWorkingFolder(path);
    if (relative.find('/') != std::string::npos) {
        if (auto* const library = ::dlopen(relative.c_str(), RTLD_NOW | RTLD_LOCAL))
            return library;
    }
    if (auto* const library = ::dlopen(path.empty() ? libraryName : path.c_str(), RTLD_NOW | RTLD_LOCAL))
        return library;
    return loadEmbeddedLibrary();
}

} // namespace

auto main(int argc, char** argv) -> int
{
    auto* const library = loadLibrary();
    if (!library)
        return failToLoad();
    const auto run = reinterpret_cast<decltype(&marigoldladderRelayMain)>(::dlsym(library, mainName));
    if (!run)
        return failToLoad();
    return run(argc, argv);
}
