// The order of streams through real relay processes, whose upstreams run two versions of their software and
// break answers off in many ways, while relays are killed, frozen and stopped.
//
// ORDER_SEEDS lists seeds, ORDER_STREAMS is the number of streams of each seed.
#include "soak/breaking_streams.h"
#include "soak/fault_player.h"
#include "soak/relay_site.h"

#include <atomic>
#include <cstdlib>
#include <gtest/gtest.h>
#include <iostream>
#include <sstream>
#include <thread>

namespace marigoldladder::soak {
namespace {

    constexpr auto relays = std::size_t { 3 };
    constexpr auto upstreams = std::size_t { 4 };
    constexpr auto callers = std::size_t { 12 };
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

    struct Found {
        std::mutex m_mutex;
        std::vector<std::string> m_wrong;
    };

    auto followStreams(RelaySite& site, std::uint32_t seed, std::size_t count, Found& found) -> void
    {
        auto next = std::atomic<std::size_t> { 0 };
        auto threads = std::vector<std::thread>();
        for (auto caller = std::size_t { 0 }; caller < callers; ++caller) {
            threads.emplace_back([&] {
                for (auto number = next++; number < count; number = next++) {
                    const auto streamSeed
                        = static_cast<std::uint32_t>(std::size_t { seed } * 1'000'000 + number);
                    const auto wrong = followStream(site.callerAddresses(), streamSeed, attempts);
                    const auto lock = std::lock_guard(found.m_mutex);
                    if (wrong)
                        found.m_wrong.push_back(*wrong);
                }
            });
        }
        for (auto& thread : threads)
            thread.join();
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
            auto found = Found();
            {
                auto load = std::thread([&] { followStreams(site, seed, count, found); });
                FaultPlayer(site, faultKinds, seed, record).play(faults);
                load.join();
            }
            std::cout << "seed " << seed << ": " << found.m_wrong.size() << " of " << count << " streams\n";
            for (const auto& wrong : found.m_wrong)
                ADD_FAILURE() << wrong;
        }
    }

} // namespace
} // namespace marigoldladder::soak
