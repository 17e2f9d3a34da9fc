// What callers and upstreams saw during a soak, and which promises that breaks.
#pragma once

#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace marigoldladder::soak {

enum class RouteKind {
    Repeatable,
    AtMostOnce,
    Resumable, // A stream that may go on at another upstream.
    StreamOnce,
};

// Whether callers may come back after this status: it promises that the request hasn't run and never will.
auto saysNotRun(int status) -> bool;

// Whether requests of this kind may run more than once.
auto mayRunTwice(RouteKind) -> bool;

// One attempt of a caller, each with an id of its own.
struct Attempt {
    std::string m_id;
    std::string m_operation; // What the caller wants done; the same in all of its attempts.
    RouteKind m_kind = RouteKind::Repeatable;
    int m_status = 0; // 0: the connection ended without an answer.
    bool m_complete = false; // The answer's framing says that it is whole.
    bool m_signed = false; // It carries the upstream's stamp.
    std::string m_body;
    std::string m_relay; // Its address.
    bool m_sent = true; // False when the relay didn't take the connection.
    std::chrono::milliseconds m_deadline { 0 }; // After which a begun answer may be cut; zero: none.
    std::chrono::steady_clock::time_point m_begun;
    std::chrono::steady_clock::time_point m_ended;
};

// A time in which a relay owes no answers, as it was killed or frozen, or as it stops.
struct Outage {
    std::chrono::steady_clock::time_point m_from;
    std::chrono::steady_clock::time_point m_to = std::chrono::steady_clock::time_point::max();
};

// Gathers what happens, from any thread.
class SoakRecord {
public:
    auto noteRun(const std::string& requestId, const std::string& operation) -> void;
    auto noteAttempt(Attempt) -> void;
    // A process that ended without having been killed or told to stop.
    auto noteEnd(const std::string& what) -> void;
    auto noteOutage(const std::string& relay, std::chrono::steady_clock::time_point from) -> void;
    auto noteOutageEnd(const std::string& relay) -> void;
    // A relay was told to stop. It owes an answer to each request that it passes on until it ends.
    auto noteStop(const std::string& relay, std::chrono::steady_clock::time_point at) -> void;

    // Returns a line for each promise that was broken; empty when all were kept. Call it when nothing runs
    // any more.
    auto brokenPromises() const -> std::vector<std::string>;

    // Returns a line for each request that a running relay took and didn't answer, unless it had begun to
    // answer and the deadline was reached. Upstreams must be sound.
    auto lostAnswers() const -> std::vector<std::string>;

    auto attempts() const -> std::size_t;
    auto sent() const -> std::size_t; // Those for which a relay took the connection.
    auto served() const -> std::size_t;

    // How many attempts ended with each status, as text.
    auto outcomes() const -> std::string;

private:
    // Attempts of one operation together: callers come back only after an answer that promises "not run".
    auto brokenByOperation() const -> std::vector<std::string>;
    auto wasOut(const Attempt&) const -> bool;
    static auto wasCutAtItsDeadline(const Attempt&) -> bool;
    // Whether the relay had been told to stop, and the attempt is one of those that a stop may end.
    auto mayEndByStop(const Attempt&) const -> bool;

    mutable std::mutex m_mutex;
    std::map<std::string, int> m_runs; // By request id.
    std::map<std::string, int> m_operationRuns;
    std::vector<Attempt> m_attempts;
    std::vector<std::string> m_ends;
    std::map<std::string, std::vector<Outage>> m_outages; // By the relay's address.
    std::map<std::string, std::vector<Outage>> m_stops; // By the relay's address, until its next start.
};

// The whole body that an upstream gives to a request, and its events where it is a stream.
auto wholeBody(const std::string& requestId) -> std::string;
auto streamEvents(const std::string& requestId) -> std::vector<std::string>;

} // namespace marigoldladder::soak
