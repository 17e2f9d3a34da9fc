#include "harness/child_process.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <poll.h>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace marigoldladder::harness {

namespace {

    constexpr auto readyTimeoutMilliseconds = 20'000;
    constexpr auto waitStep = std::chrono::milliseconds(5);
    constexpr auto endSteps = 20;

    struct StartedProgram {
        pid_t m_pid = -1;
        int m_output = -1;
    };

    auto start(const std::string& program, const std::vector<std::string>& arguments) -> StartedProgram
    {
        const auto path = std::string(MARIGOLDLADDER_BUILD) + "/" + program;
        auto pipeEnds = std::array<int, 2> {};
        if (pipe2(pipeEnds.data(), O_CLOEXEC) != 0)
            throw std::runtime_error("no pipe");
        auto argv = std::vector<char*> { const_cast<char*>(path.c_str()) };
        for (const auto& argument : arguments)
            argv.push_back(const_cast<char*>(argument.c_str()));
        argv.push_back(nullptr);
        const auto pid = fork();
        if (pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            dup2(pipeEnds[1], STDOUT_FILENO);
            execv(path.c_str(), argv.data());
            _exit(127);
        }
        close(pipeEnds[1]);
        return { pid, pipeEnds[0] };
    }

    // Reads until a line ends, the program ends, or the time is over; returns the line.
    auto readLine(int descriptor) -> std::string
    {
        auto line = std::string();
        auto waiting = pollfd { descriptor, POLLIN, 0 };
        while (poll(&waiting, 1, readyTimeoutMilliseconds) == 1) {
            auto letter = '\0';
            if (read(descriptor, &letter, 1) != 1 || letter == '\n')
                break;
            line.push_back(letter);
        }
        return line;
    }

    // Keeps a program's further output in a file of the folder that LOG_FOLDER names, if it is set.
    auto keepOutput(const std::string& program, const StartedProgram& started) -> void
    {
        const auto* folder = std::getenv("LOG_FOLDER");
        if (!folder)
            return;
        const auto name
            = program.substr(program.rfind('/') + 1) + "-" + std::to_string(started.m_pid) + ".log";
        const auto file = open((std::string(folder) + "/" + name).c_str(),
            O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, S_IRUSR | S_IWUSR);
        const auto output = fcntl(started.m_output, F_DUPFD_CLOEXEC, 0);
        std::thread([file, output] {
            auto bytes = std::array<char, 4096> {};
            for (auto size = read(output, bytes.data(), bytes.size()); size > 0;
                 size = read(output, bytes.data(), bytes.size())) {
                if (write(file, bytes.data(), static_cast<std::size_t>(size)) != size)
                    break;
            }
            close(output);
            close(file);
        }).detach();
    }

} // namespace

ChildProcess::ChildProcess(
    const std::string& program, const std::vector<std::string>& arguments, ReadyLine readyLine)
{
    const auto started = start(program, arguments);
    m_pid = started.m_pid;
    m_output = started.m_output;
    if (readyLine == ReadyLine::NotAwaited) {
        keepOutput(program, started);
        return;
    }
    // Some programs print the JSON behind the time and level of a log line.
    const auto line = readLine(m_output);
    const auto begin = std::min(line.find('{'), line.size());
    m_ready = nlohmann::json::parse(line.substr(begin), nullptr, false);
    if (m_ready.is_discarded()) {
        // A program whose output has ended is about to end by itself.
        for (auto step = 0; step < endSteps && !hasEnded(); ++step)
            std::this_thread::sleep_for(waitStep);
        kill();
        throw std::runtime_error(program + " did not become ready: " + end());
    }
    keepOutput(program, started);
}

ChildProcess::ChildProcess(ChildProcess&& other) noexcept
    : m_pid(std::exchange(other.m_pid, -1))
    , m_output(std::exchange(other.m_output, -1))
    , m_endStatus(other.m_endStatus)
    , m_ready(std::move(other.m_ready))
{
}

auto ChildProcess::operator=(ChildProcess&& other) noexcept -> ChildProcess&
{
    std::swap(m_pid, other.m_pid);
    std::swap(m_output, other.m_output);
    std::swap(m_endStatus, other.m_endStatus);
    std::swap(m_ready, other.m_ready);
    return *this;
}

ChildProcess::~ChildProcess()
{
    kill();
    if (m_output >= 0)
        close(m_output);
}

auto ChildProcess::withstands(int number) const -> bool
{
    auto status = std::ifstream("/proc/" + std::to_string(m_pid) + "/status");
    auto signals = 0UL;
    for (auto line = std::string(); std::getline(status, line);) {
        if (line.starts_with("SigIgn:") || line.starts_with("SigCgt:"))
            signals |= std::stoul(line.substr(line.find(':') + 1), nullptr, 16);
    }
    return (signals >> (number - 1) & 1) != 0;
}

auto ChildProcess::signal(int number) const -> void
{
    if (m_pid > 0)
        ::kill(m_pid, number);
}

auto ChildProcess::hasEnded() -> bool
{
    auto status = 0;
    if (m_pid > 0 && waitpid(m_pid, &status, WNOHANG) == m_pid) {
        m_endStatus = status;
        m_pid = -1;
    }
    return m_pid <= 0;
}

auto ChildProcess::end() const -> std::string
{
    if (!m_endStatus)
        return "";
    if (WIFSIGNALED(*m_endStatus))
        return "signal " + std::to_string(WTERMSIG(*m_endStatus));
    return "exit code " + std::to_string(WEXITSTATUS(*m_endStatus));
}

auto ChildProcess::kill() -> void
{
    if (m_pid <= 0)
        return;
    ::kill(m_pid, SIGKILL);
    auto status = 0;
    waitpid(m_pid, &status, 0);
    m_endStatus = status;
    m_pid = -1;
}

auto ChildProcess::terminate(int milliseconds) -> int
{
    signal(SIGTERM);
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(milliseconds);
    while (m_pid > 0 && std::chrono::steady_clock::now() < end) {
        auto status = 0;
        if (waitpid(m_pid, &status, WNOHANG) == m_pid) {
            m_endStatus = status;
            m_pid = -1;
            return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
        }
        std::this_thread::sleep_for(waitStep);
    }
    return -1;
}

auto runCommand(const std::string& program, const std::vector<std::string>& arguments) -> CommandOutcome
{
    const auto started = start(program, arguments);
    auto outcome = CommandOutcome();
    auto buffer = std::array<char, 4096> {};
    for (auto size = read(started.m_output, buffer.data(), buffer.size()); size > 0;
         size = read(started.m_output, buffer.data(), buffer.size()))
        outcome.m_output.append(buffer.data(), static_cast<std::size_t>(size));
    close(started.m_output);
    auto status = 0;
    waitpid(started.m_pid, &status, 0);
    outcome.m_exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    return outcome;
}

} // namespace marigoldladder::harness
