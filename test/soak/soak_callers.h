// Callers of a soak: each keeps a connection open to one relay after the other and sends requests of all
// kinds.
#pragma once

#include "soak/relay_site.h"

#include <atomic>
#include <random>

namespace marigoldladder::soak {

class SoakCallers {
public:
    SoakCallers(std::vector<Address> relays, std::size_t callers, std::uint32_t seed, SoakRecord&);

    // Ends the callers; each finishes the request that it has sent.
    ~SoakCallers();
    SoakCallers(const SoakCallers&) = delete;
    auto operator=(const SoakCallers&) -> SoakCallers& = delete;

private:
    auto callAgainAndAgain(std::uint32_t seed) -> void;
    // Sends an operation again, each time to any relay, while it is answered as not run.
    auto comeBack(Attempt refused, std::mt19937&) -> void;

    std::vector<Address> m_relays;
    SoakRecord& m_record;
    std::atomic<bool> m_ending { false };
    std::vector<std::thread> m_callers;
};

// Sends one request over a connection of its own and returns what came back.
auto callOnce(const Address& relay, RouteKind, const std::string& requestId, const std::string& operation)
    -> Attempt;

} // namespace marigoldladder::soak
