// A small site on loopback for the cases of this review: a stand-in of the platform's store, stand-ins of
// replicas, clients, and the relay processes themselves.
//
// Everything is plain: a thread for each connection, blocking sockets, real time.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <dirent.h>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace site {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

inline auto startTime() -> Clock::time_point
{
    static const auto start = Clock::now();
    return start;
}

inline auto nowMs() -> long
{
    return std::chrono::duration_cast<Ms>(Clock::now() - startTime()).count();
}

inline auto sleepMs(long time) -> void
{
    std::this_thread::sleep_for(Ms(time));
}

// record.txt in the case's folder: what was sent, answered and run.
class Record {
public:
    explicit Record(const std::string& path)
        : m_out(path)
    {
    }
    template <typename... Parts> auto line(const Parts&... parts) -> void
    {
        auto text = std::ostringstream();
        text << nowMs() << " ms  ";
        (text << ... << parts);
        const auto lock = std::lock_guard(m_mutex);
        m_out << text.str() << '\n' << std::flush;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_out;
};

// ---------------------------------------------------------------------------------------------- sockets

struct Address {
    std::string m_host;
    int m_port = 0;
    auto text() const -> std::string { return m_host + ":" + std::to_string(m_port); }
};

inline auto toSockaddr(const Address& address) -> sockaddr_in
{
    auto result = sockaddr_in();
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(address.m_port));
    ::inet_pton(AF_INET, address.m_host.c_str(), &result.sin_addr);
    return result;
}

// Binds to a free port of the host; the caller closes the socket.
inline auto bindFree(const std::string& host, int type, Address& bound) -> int
{
    const auto fd = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
    const auto one = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    auto address = toSockaddr({ host, bound.m_port });
    if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
        ::close(fd);
        return -1;
    }
    auto length = socklen_t { sizeof(address) };
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length);
    bound = { host, ntohs(address.sin_port) };
    return fd;
}

inline auto freeAddress(const std::string& host) -> Address
{
    static auto given = std::set<std::string>();
    for (;;) {
        auto address = Address { host, 0 };
        const auto fd = bindFree(host, SOCK_STREAM, address);
        ::close(fd);
        if (given.insert(address.text()).second)
            return address;
    }
}

inline auto connectTo(const Address& address, int timeoutMs = 1'000) -> int
{
    const auto fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const auto to = toSockaddr(address);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) != 0) {
        auto entry = pollfd { fd, POLLOUT, 0 };
        auto error = 0;
        auto length = socklen_t { sizeof(error) };
        if (errno != EINPROGRESS || ::poll(&entry, 1, timeoutMs) != 1
            || ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &length) != 0 || error != 0) {
            ::close(fd);
            return -1;
        }
    }
    ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    const auto one = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    return fd;
}

inline auto sendAll(int fd, const std::string& bytes) -> bool
{
    auto sent = std::size_t { 0 };
    while (sent < bytes.size()) {
        const auto count = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

inline auto closeWithReset(int fd) -> void
{
    const auto hard = linger { 1, 0 };
    ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
    ::close(fd);
}

// --------------------------------------------------------------------------------------------- messages

inline auto lower(std::string text) -> std::string
{
    for (auto& character : text)
        character = static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
    return text;
}

// A request or an answer. Names of fields are in lower case.
struct Message {
    std::string m_first; // The request's line, or the status line.
    std::multimap<std::string, std::string> m_fields;
    std::string m_body;
    bool m_isWhole = false;

    auto field(const std::string& name) const -> std::string
    {
        const auto found = m_fields.find(lower(name));
        return found == m_fields.end() ? std::string() : found->second;
    }
    auto method() const -> std::string { return m_first.substr(0, m_first.find(' ')); }
    auto target() const -> std::string
    {
        const auto begin = m_first.find(' ') + 1;
        return m_first.substr(begin, m_first.find(' ', begin) - begin);
    }
    auto status() const -> int { return m_first.size() < 12 ? 0 : std::atoi(m_first.c_str() + 9); }
};

// Reads messages from a connection.
class Reader {
public:
    explicit Reader(int fd)
        : m_fd(fd)
    {
    }

    // Waits for more bytes until the deadline; false at the end of the connection or in vain.
    auto fill(Clock::time_point until) -> bool
    {
        const auto left = std::chrono::duration_cast<Ms>(until - Clock::now()).count();
        auto entry = pollfd { m_fd, POLLIN, 0 };
        if (left <= 0 || ::poll(&entry, 1, static_cast<int>(left)) != 1) {
            m_timedOut = true;
            return false;
        }
        char bytes[16'384];
        const auto count = ::recv(m_fd, bytes, sizeof(bytes), 0);
        if (count <= 0) {
            m_ended = true;
            m_wasReset = count < 0;
            return false;
        }
        m_buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    auto readHead(Message& message, Clock::time_point until) -> bool
    {
        auto end = std::string::npos;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(until))
                return false;
        }
        auto head = std::istringstream(m_buffer.substr(0, end + 2));
        m_buffer.erase(0, end + 4);
        auto line = std::string();
        const auto next = [&] {
            if (!std::getline(head, line))
                return false;
            if (!line.empty() && line.back() == '\r')
                line.pop_back();
            return true;
        };
        next();
        message.m_first = line;
        while (next()) {
            const auto colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            const auto value = line.find_first_not_of(' ', colon + 1);
            message.m_fields.emplace(
                lower(line.substr(0, colon)), value == std::string::npos ? "" : line.substr(value));
        }
        return true;
    }

    // Calls `onPart` with each part of the body as it arrives.
    auto readBody(Message& message, Clock::time_point until, bool isAnswer,
        const std::function<void(const std::string&)>& onPart = {}) -> bool
    {
        const auto take = [&](std::size_t count) {
            while (m_buffer.size() < count) {
                if (!fill(until))
                    return false;
            }
            return true;
        };
        const auto add = [&](std::string part) {
            if (onPart)
                onPart(part);
            message.m_body += part;
        };
        if (lower(message.field("transfer-encoding")) == "chunked") {
            for (;;) {
                auto end = std::string::npos;
                while ((end = m_buffer.find("\r\n")) == std::string::npos) {
                    if (!fill(until))
                        return false;
                }
                const auto length = std::strtoul(m_buffer.c_str(), nullptr, 16);
                m_buffer.erase(0, end + 2);
                if (!take(length + 2))
                    return false;
                if (length > 0)
                    add(m_buffer.substr(0, length));
                m_buffer.erase(0, length + 2);
                if (length == 0)
                    return message.m_isWhole = true;
            }
        }
        const auto stated = message.field("content-length");
        if (stated.empty() && isAnswer) {
            for (;;) {
                add(m_buffer);
                m_buffer.clear();
                if (!fill(until))
                    return message.m_isWhole = m_ended && !m_wasReset;
            }
        }
        const auto length = static_cast<std::size_t>(std::atoll(stated.c_str()));
        if (!take(length)) {
            add(m_buffer);
            return false;
        }
        add(m_buffer.substr(0, length));
        m_buffer.erase(0, length);
        return message.m_isWhole = true;
    }

    auto buffered() const -> std::size_t { return m_buffer.size(); }
    bool m_ended = false;
    bool m_wasReset = false;
    bool m_timedOut = false;

private:
    int m_fd;
    std::string m_buffer;
};

inline auto forever() -> Clock::time_point
{
    return Clock::now() + std::chrono::hours(1);
}

inline auto answerText(int status, const std::string& fields, const std::string& body) -> std::string
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Accepts connections and serves each in a thread of its own.
class Server {
public:
    using Serve = std::function<void(int fd)>;

    Server(Address address, Serve serve)
        : m_address(std::move(address))
        , m_serve(std::move(serve))
    {
        m_fd = bindFree(m_address.m_host, SOCK_STREAM, m_address);
        if (m_fd < 0 || ::listen(m_fd, 512) != 0) {
            std::fprintf(stderr, "can't listen at %s\n", m_address.text().c_str());
            std::_Exit(2);
        }
        std::thread([this] { accept(); }).detach();
    }
    auto address() const -> const Address& { return m_address; }

private:
    auto accept() -> void
    {
        for (;;) {
            const auto fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                continue;
            const auto one = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
            std::thread([this, fd] {
                m_serve(fd);
                ::close(fd);
            }).detach();
        }
    }

    Address m_address;
    Serve m_serve;
    int m_fd = -1;
};

// ------------------------------------------------------------------------------------------------ store

// The platform's metadata store.
class Store {
public:
    explicit Store(const std::string& host)
        : m_server({ host, 0 }, [this](int fd) { serve(fd); })
    {
    }
    auto address() const -> const Address& { return m_server.address(); }

    auto put(const std::string& kind, const std::string& name, Json spec) -> void
    {
        const auto lock = std::lock_guard(m_mutex);
        write(kind, name, std::move(spec));
    }
    auto remove(const std::string& kind, const std::string& name) -> void
    {
        const auto lock = std::lock_guard(m_mutex);
        erase(kind, name);
    }
    auto get(const std::string& kind, const std::string& name) -> Json
    {
        const auto lock = std::lock_guard(m_mutex);
        const auto found = m_objects[kind].find(name);
        return found == m_objects[kind].end() ? Json() : found->second.m_spec;
    }

    // Asked before a call is carried out; a status other than 0 is the answer, -1 closes the connection.
    std::function<int(const Message&, const std::string& peer)> m_refuse;

private:
    struct Object {
        std::uint64_t m_revision = 0;
        Json m_spec;
    };
    struct Change {
        std::uint64_t m_revision = 0;
        std::string m_kind;
        std::string m_name;
        bool m_deleted = false;
        Json m_spec;
    };

    auto write(const std::string& kind, const std::string& name, Json spec) -> void
    {
        m_objects[kind][name] = { ++m_revision, spec };
        m_changes.push_back({ m_revision, kind, name, false, std::move(spec) });
        m_changed.notify_all();
    }
    auto erase(const std::string& kind, const std::string& name) -> void
    {
        if (m_objects[kind].erase(name) == 0)
            return;
        m_changes.push_back({ ++m_revision, kind, name, true, Json() });
        m_changed.notify_all();
    }
    static auto describe(const std::string& name, std::uint64_t revision, const Json& spec) -> Json
    {
        return Json { { "metadata",
                          { { "name", name }, { "revision", revision }, { "created", 1 },
                              { "finalizers", Json::array() }, { "deleting", false } } },
            { "spec", spec }, { "status", nullptr } };
    }

    auto serve(int fd) -> void
    {
        auto peerAddress = sockaddr_in();
        auto length = socklen_t { sizeof(peerAddress) };
        ::getpeername(fd, reinterpret_cast<sockaddr*>(&peerAddress), &length);
        const auto peer = std::string(::inet_ntoa(peerAddress.sin_addr));
        auto reader = Reader(fd);
        for (;;) {
            auto request = Message();
            if (!reader.readHead(request, forever()) || !reader.readBody(request, forever(), false))
                return;
            const auto refused = m_refuse ? m_refuse(request, peer) : 0;
            if (refused < 0)
                return;
            const auto text = refused > 0 ? answerText(refused, "", "") : answer(request);
            if (!sendAll(fd, text))
                return;
        }
    }

    static auto json(int status, const Json& body) -> std::string
    {
        return answerText(status, "Content-Type: application/json\r\n", body.dump());
    }

    auto answer(const Message& request) -> std::string
    {
        auto target = request.target();
        auto query = std::map<std::string, std::string>();
        if (const auto mark = target.find('?'); mark != std::string::npos) {
            auto rest = std::istringstream(target.substr(mark + 1));
            auto pair = std::string();
            while (std::getline(rest, pair, '&'))
                query[pair.substr(0, pair.find('='))] = pair.substr(pair.find('=') + 1);
            target.resize(mark);
        }
        target.erase(0, std::strlen("/objects/"));
        const auto slash = target.find('/');
        const auto kind = target.substr(0, slash);
        const auto name = slash == std::string::npos ? std::string() : target.substr(slash + 1);
        auto lock = std::unique_lock(m_mutex);
        if (request.method() == "GET" && query.count("watch"))
            return watch(lock, kind, std::stoull(query["watch"]), std::stol("0" + query["wait_ms"]));
        if (request.method() == "GET" && name.empty()) {
            auto items = Json::array();
            for (const auto& [object, state] : m_objects[kind])
                items.push_back(describe(object, state.m_revision, state.m_spec));
            return json(200, { { "items", items }, { "more_pages", false }, { "as_of", m_revision } });
        }
        const auto found = m_objects[kind].find(name);
        if (request.method() == "GET") {
            if (found == m_objects[kind].end())
                return answerText(404, "", "");
            return json(200, describe(name, found->second.m_revision, found->second.m_spec));
        }
        if (request.method() == "DELETE") {
            erase(kind, name);
            return json(200, Json::object());
        }
        const auto body = Json::parse(request.m_body, nullptr, false);
        const auto own = body["metadata"].value("name", name);
        const auto expected = body["metadata"].value("revision", std::uint64_t { 0 });
        const auto known = m_objects[kind].find(own);
        const auto creates = request.method() == "POST";
        const auto exists = known != m_objects[kind].end();
        if (creates ? exists : !exists || (expected != 0 && expected != known->second.m_revision)) {
            if (!exists)
                return answerText(409, "", "");
            return json(409, describe(own, known->second.m_revision, known->second.m_spec));
        }
        write(kind, own, body["spec"]);
        return json(creates ? 201 : 200, describe(own, m_revision, body["spec"]));
    }

    auto watch(std::unique_lock<std::mutex>& lock, const std::string& kind, std::uint64_t after, long waitMs)
        -> std::string
    {
        const auto until = Clock::now() + Ms(waitMs);
        for (;;) {
            auto events = Json::array();
            for (const auto& change : m_changes) {
                if (change.m_kind == kind && change.m_revision > after)
                    events.push_back({ { "deleted", change.m_deleted },
                        { "object", describe(change.m_name, change.m_revision, change.m_spec) } });
            }
            if (!events.empty() || Clock::now() >= until)
                return json(200, { { "events", events }, { "as_of", m_revision } });
            m_changed.wait_until(lock, until);
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, Object>> m_objects;
    std::vector<Change> m_changes;
    std::uint64_t m_revision = 1;
    Server m_server;
};

// ---------------------------------------------------------------------------------------------- replicas

inline auto unixMs() -> long
{
    return std::chrono::duration_cast<Ms>(std::chrono::system_clock::now().time_since_epoch()).count();
}

// What a replica's stand-in does with one request of a client.
struct Call {
    int m_fd = -1;
    Message m_request;
    std::string m_id;
    std::string m_stamp; // The fields that a sound answer bears.
};

inline auto chunk(const std::string& text) -> std::string
{
    char length[24];
    std::snprintf(length, sizeof(length), "%zx\r\n", text.size());
    return length + text + "\r\n";
}

inline auto eventText(int number) -> std::string
{
    return "id: " + std::to_string(number) + "\ndata: piece " + std::to_string(number) + "\n\n";
}

// A replica: a plain service, or a model engine that holds adapters and takes orders.
class Replica {
public:
    // Answers a request; false ends the connection.
    using Answer = std::function<bool(Call&)>;

    Replica(std::string id, std::string service, std::string zone, Answer answer,
        std::set<std::string> adapters = {}, const std::string& host = "127.0.0.1")
        : m_id(std::move(id))
        , m_service(std::move(service))
        , m_zone(std::move(zone))
        , m_answer(std::move(answer))
        , m_adapters(std::move(adapters))
        , m_born(unixMs() - 60'000)
        , m_server({ host, 0 }, [this](int fd) { serve(fd); })
    {
    }
    auto id() const -> const std::string& { return m_id; }
    auto address() const -> const Address& { return m_server.address(); }
    auto isEngine() const -> bool { return m_service == "llm"; }

    auto entry() -> Json
    {
        const auto lock = std::lock_guard(m_mutex);
        auto entry = Json { { "service", m_service }, { "address", address().text() }, { "zone", m_zone },
            { "version", "v1" }, { "slots", isEngine() ? 64 : 6 }, { "state", "ready" },
            { "cold_left_ms", 0 }, { "sequence", m_sequence }, { "born", m_born } };
        if (isEngine()) {
            entry["phase"] = "both";
            entry["models"] = models();
        }
        return entry;
    }

    // Asked before a report or an order is answered; true: it has answered otherwise, and the connection
    // ends.
    std::function<bool(int fd, const Message&)> m_spoil;
    // Called with each order that arrives: its body.
    std::function<void(const Json&)> m_onOrder;

private:
    auto models() const -> Json
    {
        auto names = Json::array();
        for (const auto& adapter : m_adapters)
            names.push_back(adapter + "@1");
        return Json::array({ { { "name", "m" }, { "version", 1 }, { "adapters", names } } });
    }

    auto report() -> std::string
    {
        const auto lock = std::lock_guard(m_mutex);
        const auto body = Json { { "phase", "both" }, { "models", models() }, { "busy", false },
            { "sequence", m_sequence }, { "queued", 0 }, { "active", 0 }, { "kv_used", 0 },
            { "kv_total", 122'633 }, { "handles", 0 }, { "pending", Json::array() }, { "born", m_born } };
        return answerText(200, "Content-Type: application/json\r\n", body.dump());
    }

    auto order(const Message& request) -> std::string
    {
        const auto body = Json::parse(request.m_body, nullptr, false);
        if (m_onOrder)
            m_onOrder(body);
        const auto lock = std::lock_guard(m_mutex);
        if (body.contains("precondition") && body["precondition"] != m_sequence)
            return answerText(409, "", "");
        const auto adapter = body.value("adapter", "");
        const auto loads = body.value("operation", "") == "load";
        if (adapter.empty() || (loads && m_adapters.count(adapter)))
            return answerText(200, "", "");
        ++m_sequence;
        if (loads)
            m_adapters.insert(adapter);
        else
            m_adapters.erase(adapter);
        return answerText(loads ? 202 : 200, "", "");
    }

    auto serve(int fd) -> void
    {
        auto reader = Reader(fd);
        for (;;) {
            auto call = Call();
            call.m_fd = fd;
            auto& request = call.m_request;
            if (!reader.readHead(request, forever()) || !reader.readBody(request, forever(), false))
                return;
            const auto expected = request.field("X-Marigoldladder-Expect-Instance");
            if (!expected.empty() && expected != m_id) {
                if (!sendAll(fd, answerText(421, "X-Marigoldladder-Instance-Id: " + m_id + "\r\n", "")))
                    return;
                continue;
            }
            if (request.target() == "/report" || request.target() == "/order") {
                if (m_spoil && m_spoil(fd, request))
                    return;
                if (!sendAll(fd, request.target() == "/report" ? report() : order(request)))
                    return;
                continue;
            }
            call.m_id = request.field("X-Marigoldladder-Request-Id");
            call.m_stamp = "X-Marigoldladder-Request-Id: " + call.m_id
                + "\r\nX-Marigoldladder-Server-Stamp: " + m_id + "." + call.m_id + "\r\n";
            if (!m_answer(call))
                return;
        }
    }

    std::string m_id;
    std::string m_service;
    std::string m_zone;
    Answer m_answer;
    std::mutex m_mutex;
    std::set<std::string> m_adapters;
    std::uint64_t m_sequence = 0;
    long m_born;
    Server m_server;
};

inline const auto streamHead
    = std::string("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n");

// ------------------------------------------------------------------------------------------------ relays

struct RelayOptions {
    std::string m_name = "frontend-a-1";
    std::string m_zone = "bern-a";
    std::string m_host = "127.0.0.1";
    bool m_firstStart = true;
    std::string m_folder; // For its settings and its log.
    Address m_store;
    int m_memoryMb = 260;
};

// One relay process, started by the command of the deploy file from the root of the repository.
class Relay {
public:
    explicit Relay(const RelayOptions& options)
        : m_options(options)
        , m_caller(freeAddress(options.m_host))
        , m_ready(freeAddress(options.m_host))
        , m_directory(freeAddress(options.m_host))
        , m_peer(freeAddress(options.m_host))
        , m_metrics(freeAddress(options.m_host))
    {
    }
    ~Relay() { kill(); }
    Relay(const Relay&) = delete;
    auto operator=(const Relay&) -> Relay& = delete;

    auto start() -> void
    {
        const auto path = m_options.m_folder + "/" + m_options.m_name + ".json";
        std::ofstream(path) << settings().dump(1);
        const auto log = m_options.m_folder + "/" + m_options.m_name + ".log";
        m_pid = ::fork();
        if (m_pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const auto out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            ::setenv("MARIGOLDLADDER_SETTINGS", path.c_str(), 1);
            ::execl("target/marigoldladder-relay", "target/marigoldladder-relay", "--settings",
                "/etc/marigoldladder/boot.toml", "--settings-from", "MARIGOLDLADDER_SETTINGS", nullptr);
            std::_Exit(127);
        }
        m_options.m_firstStart = false; // Later starts aren't the first one of the whole system.
    }

    auto awaitReady(long timeMs = 20'000) -> bool
    {
        const auto until = Clock::now() + Ms(timeMs);
        while (Clock::now() < until) {
            if (isReady())
                return true;
            sleepMs(20);
        }
        return false;
    }

    auto isReady() const -> bool
    {
        const auto fd = connectTo(m_ready, 500);
        if (fd < 0)
            return false;
        auto answer = Message();
        auto reader = Reader(fd);
        sendAll(fd, "GET /readyz HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n");
        const auto got = reader.readHead(answer, Clock::now() + Ms(1'000));
        ::close(fd);
        return got && answer.status() == 200;
    }

    auto signal(int number) const -> void
    {
        if (m_pid > 0)
            ::kill(m_pid, number);
    }
    // Returns whether the process has ended, and keeps how.
    auto hasEnded() -> bool
    {
        if (m_pid <= 0)
            return true;
        if (::waitpid(m_pid, &m_status, WNOHANG) != m_pid)
            return false;
        m_pid = -1;
        return true;
    }
    auto kill() -> void
    {
        if (m_pid <= 0)
            return;
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, &m_status, 0);
        m_pid = -1;
    }
    // Resident memory in MB; 0 if the process has ended.
    auto memoryMb() const -> long
    {
        auto status = std::ifstream("/proc/" + std::to_string(m_pid) + "/statm");
        auto size = 0L;
        auto resident = 0L;
        status >> size >> resident;
        return resident * ::sysconf(_SC_PAGESIZE) / (1 << 20);
    }
    auto pid() const -> int { return m_pid; }
    auto status() const -> int { return m_status; }
    auto caller() const -> const Address& { return m_caller; }
    auto metrics() const -> const Address& { return m_metrics; }
    auto name() const -> const std::string& { return m_options.m_name; }

private:
    auto settings() const -> Json
    {
        const auto regions = Json { { "bern-a", "ch-mittelland" }, { "bern-b", "ch-mittelland" },
            { "olten", "ch-mittelland" }, { "solothurn", "ch-mittelland" } };
        const auto bounds = Json { { "retry_ratio", 0.2 }, { "retry_extra", 56 }, { "retry_window_s", 10 },
            { "drain_ms", 2'000 }, { "stop_s", 8 }, { "lease_ms", 3'000 }, { "adapter_version_ms", 5'000 },
            { "allowance_window_s", 8 }, { "allowance_excess", 0.1 } };
        return Json { { "vm", m_options.m_name }, { "data_centre", m_options.m_zone },
            { "region", "ch-mittelland" }, { "data_centre_regions", regions },
            { "caller_address", m_caller.text() }, { "readiness_address", m_ready.text() },
            { "directory_address", m_directory.text() }, { "peer_address", m_peer.text() },
            { "metrics_address", m_metrics.text() }, { "store_address", m_options.m_store.text() },
            { "first_start", m_options.m_firstStart }, { "max_descriptors", 4'100 },
            { "memory_megabytes", m_options.m_memoryMb }, { "processor_share", 0.25 },
            { "processor_cores", 1 }, { "bounds", bounds } };
    }

    RelayOptions m_options;
    Address m_caller;
    Address m_ready;
    Address m_directory;
    Address m_peer;
    Address m_metrics;
    int m_pid = -1;
    int m_status = 0;
};

// A client's request and what came of it.
struct Tried {
    int m_status = 0; // 0: no whole answer.
    bool m_hasHead = false;
    bool m_timedOut = false; // The client gave up.
    bool m_wasReset = false;
    std::string m_body;
    Message m_answer;
    long m_sentAt = 0;
    long m_endedAt = 0;
};

// The fields of a request of the small deployment.
inline auto requestText(const std::string& method, const std::string& path, const std::string& id,
    int deadlineMs, const std::string& more = {}, const std::string& body = {}) -> std::string
{
    return method + " " + path
        + " HTTP/1.1\r\nHost: h.example\r\nApi-Key: key-1\r\nX-Marigoldladder-Request-Id: " + id
        + "\r\nX-Marigoldladder-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\n" + more
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Sends a request on an open connection and reads its answer until the client's deadline.
inline auto tryOn(int fd, Reader& reader, const std::string& text, int deadlineMs,
    const std::function<void(const std::string&)>& onPart = {}) -> Tried
{
    auto tried = Tried();
    tried.m_sentAt = nowMs();
    const auto until = Clock::now() + Ms(deadlineMs);
    auto& answer = tried.m_answer;
    tried.m_hasHead = sendAll(fd, text) && reader.readHead(answer, until);
    if (tried.m_hasHead && reader.readBody(answer, until, true, onPart))
        tried.m_status = answer.status();
    tried.m_timedOut = reader.m_timedOut;
    tried.m_wasReset = reader.m_wasReset;
    tried.m_body = answer.m_body;
    tried.m_endedAt = nowMs();
    return tried;
}

// --------------------------------------------------------------------------------------------- the case

inline auto envFlag(const char* name, bool other) -> bool
{
    const auto* text = std::getenv(name);
    return text ? std::string(text) != "0" : other;
}

// Whether the case plays its disruption.
inline auto hasTrouble() -> bool
{
    return envFlag("TROUBLE", true);
}

inline auto temporaryFolder() -> std::string
{
    auto path = std::string("/tmp/review-XXXXXX");
    return ::mkdtemp(path.data()) ? path : std::string("/tmp");
}

// Ends the program at once: its threads still serve connections.
[[noreturn]] inline auto finish(const std::string& folder, int exitCode) -> void
{
    auto ignored = std::error_code();
    std::filesystem::remove_all(folder, ignored);
    std::_Exit(exitCode);
}

inline auto prepare() -> void
{
    std::signal(SIGPIPE, SIG_IGN);
    (void)startTime();
}

inline auto newId() -> std::string
{
    static auto number = std::atomic<unsigned> { 0 };
    char text[32];
    std::snprintf(text, sizeof(text), "%08x%08x", static_cast<unsigned>(::getpid()), ++number);
    return text;
}

// The configuration of a small deployment: streams that may be resumed, streams that may not, a plain service
// with a safe and an unsafe route.
inline auto configuration(std::uint64_t version) -> Json
{
    const auto route = [](const char* name, const char* path, const char* type, const char* service,
                           int timeout, int target, int attempts, bool resumable) {
        auto json = Json { { "name", name }, { "host", "h.example" }, { "path_prefix", path },
            { "type", type }, { "timeout_ms", timeout }, { "target_latency_ms", target }, { "priority", 1 },
            { "service", service }, { "attempts", attempts }, { "public", false } };
        if (std::string(type) == "streaming") {
            json["resumable"] = resumable;
            json["gap_target_ms"] = 300;
            json["sticky"] = true;
        }
        return json;
    };
    const auto engine = Json { { "slots", 64 }, { "kv_capacity", 122'633 },
        { "models",
            Json::array({ { { "name", "m" }, { "weights_mb", 65'100.0 }, { "load_time_s", 1.4 },
                { "adapters", 3'000 }, { "adapter_size_mb", 12.0 } } }) },
        { "weights_mb", 66'700.0 }, { "adapter_slots", 22 }, { "loads_per_s", 4.2 } };
    return Json { { "version", version },
        { "routes",
            Json::array({ route("live", "/live/", "streaming", "llm", 12'000, 600, 2, true),
                route("queued", "/queued/", "streaming", "llm", 15'000, 1'000, 1, false),
                route("book", "/book/", "unsafe", "plain", 3'000, 300, 1, false),
                route("view", "/view/", "safe", "plain", 3'000, 300, 2, false) }) },
        { "services",
            Json::array({ { { "name", "llm" }, { "health_path", "/healthz" }, { "max_conns", 370 },
                              { "cold_start_s", 3.0 }, { "cold_per_s", 15.0 }, { "engine", engine } },
                { { "name", "plain" }, { "health_path", "/healthz" }, { "max_conns", 110 },
                    { "cold_start_s", 0.0 }, { "cold_per_s", 0.0 } } }) },
        { "limits",
            { { "max_header_bytes", 16'384 }, { "max_body_bytes", 4'194'304 }, { "header_timeout_ms", 3'000 },
                { "idle_timeout_ms", 15'000 } } },
        { "tenants",
            Json::array({ { { "name", "tenant-1" }, { "api_keys", Json::array({ "key-1" }) },
                { "priority", 1 }, { "unit", "token" }, { "rate_per_s", 0 }, { "burst", 0 },
                { "plain_tokens", 200 } } }) } };
}

} // namespace site
