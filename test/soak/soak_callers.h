// Callers of a soak: each keeps a connection open to one relay after the other and sends requests of all
// kinds.
#pragma once

#include "soak/relay_site.h"

#include <atomic>
#include <random>

namespace marigoldladder::soak {

class SoakCallers {
public:
    SoakCallers(RelaySite&, std::size_t callers, std::uint32_t seed, SoakRecord&);

    // Ends the callers; each finishes the request that it has sent.
    ~SoakCallers();
    SoakCallers(const SoakCallers&) = delete;
    auto operator=(const SoakCallers&) -> SoakCallers& = delete;

private:
    auto callAgainAndAgain(std::uint32_t seed) -> void;
    // Sends an operation again, each time to any relay, while it is answered as not run.
    auto comeBack(Attempt refused, std::mt19937&) -> void;

    auto anyRelay(std::mt19937&) -> Address;

    RelaySite& m_site;
    SoakRecord& m_record;
    std::atomic<bool> m_ending { false };
    std::vector<std::thread> m_callers;
};

// Sends one request over a connection of its own and returns what came back.
auto callOnce(const Address& relay, RouteKind, const std::string& requestId, const std::string& operation,
    StreamService = StreamService::Plain) -> Attempt;

// Sends a request or a part of it in percent, and resets the connection after the time given.
auto resetAfter(const Address& relay, const std::string& requestId, std::size_t percent,
    std::chrono::milliseconds) -> Attempt;

// Sends a request, closes the connection's sending side and reads on; returns whether an answer came.
auto isAnsweredHalfClosed(const Address& relay, const std::string& requestId) -> bool;

} // namespace marigoldladder::soak
