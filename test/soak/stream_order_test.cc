// The order of streams through real relay processes, whose upstreams run two versions of their software and
// break answers off in many ways, while relays are killed, frozen and stopped.
//
// ORDER_SEEDS lists seeds, ORDER_STREAMS is the number of streams of each seed.
#include "soak/breaking_streams.h"
#include "soak/fault_player.h"
#include "soak/relay_site.h"

#include <cstdlib>
#include <gtest/gtest.h>
#include <iostream>
#include <sstream>
#include <thread>

namespace marigoldladder::soak {
namespace {

    constexpr auto relays = std::size_t { 3 };
    constexpr auto upstreams = std::size_t { 4 };
    constexpr auto faults = 6;
    constexpr auto attempts = std::size_t { 6 }; // Of one stream.
    constexpr auto startTime = std::chrono::milliseconds(10'000);
    constexpr auto shortSeeds = "1 2";
    constexpr auto shortStreams = "400";

    const auto faultKinds = std::vector { Fault::KillRelay, Fault::FreezeRelay, Fault::RestartOntoHeldPort,
        Fault::ConfigurationChanges, Fault::UpstreamConnectionsReset, Fault::StoreConnectionsReset,
        Fault::KillAll, Fault::ReplaceRelay };

    auto environment(const char* name, const char* fallback) -> std::string
    {
        const auto* value = std::getenv(name);
        return value ? value : fallback;
    }

    // Streams ended as complete before their last piece: a reset was taken for an end.
    TEST(StreamOrderTest, NoPieceIsMissingOrDoubledOrOfAnotherRun)
    {
        const auto count = std::stoul(environment("ORDER_STREAMS", shortStreams));
        auto seeds = std::istringstream(environment("ORDER_SEEDS", shortSeeds));
        for (auto seed = std::uint32_t(); seeds >> seed;) {
            SCOPED_TRACE("seed " + std::to_string(seed));
            auto record = SoakRecord();
            auto site = RelaySite(relays, upstreams, record, SiteKind::WithBreakingStreams);
            ASSERT_TRUE(site.allReady(startTime)) << "the site did not start";
            auto tally = StreamTally();
            {
                auto load = std::thread([&] {
                    tally = followStreams([&] { return site.callerAddresses(); }, seed, count, attempts);
                });
                FaultPlayer(site, faultKinds, seed, record).play(faults);
                load.join();
            }
            std::cout << "seed " << seed << ": " << tally.m_wrong.size() << " of " << count << " streams\n";
            for (const auto& wrong : tally.m_wrong)
                ADD_FAILURE() << wrong;
        }
    }

} // namespace
} // namespace marigoldladder::soak
