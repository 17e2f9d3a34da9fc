// What callers and upstreams saw during a soak, and which promises that breaks.
#pragma once

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
};

// Gathers what happens, from any thread.
class SoakRecord {
public:
    auto noteRun(const std::string& requestId, const std::string& operation) -> void;
    auto noteAttempt(Attempt) -> void;

    // Returns a line for each promise that was broken; empty when all were kept. Call it when nothing runs
    // any more.
    auto brokenPromises() const -> std::vector<std::string>;

    auto attempts() const -> std::size_t;
    auto served() const -> std::size_t;

private:
    // Attempts of one operation together: callers come back only after an answer that promises "not run".
    auto brokenByOperation() const -> std::vector<std::string>;

    mutable std::mutex m_mutex;
    std::map<std::string, int> m_runs; // By request id.
    std::map<std::string, int> m_operationRuns;
    std::vector<Attempt> m_attempts;
};

// The whole body that an upstream gives to a request, and its events where it is a stream.
auto wholeBody(const std::string& requestId) -> std::string;
auto streamEvents(const std::string& requestId) -> std::vector<std::string>;

} // namespace marigoldladder::soak
