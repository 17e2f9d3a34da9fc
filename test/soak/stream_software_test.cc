// The software at which streams go on through real relay processes, while upstreams begin to run other
// software and relays are lost.
//
// ORDER_SEEDS lists seeds, SOFTWARE_SECONDS is the time of each play.
#include "soak/breaking_streams.h"
#include "soak/relay_site.h"

#include <atomic>
#include <cstdlib>
#include <gtest/gtest.h>
#include <iostream>
#include <random>
#include <sstream>
#include <thread>

namespace marigoldladder::soak {
namespace {

    using std::chrono::milliseconds;

    constexpr auto upstreams = std::size_t { 6 };
    constexpr auto attempts = std::size_t { 12 }; // Of one stream.
    constexpr auto startTime = milliseconds(10'000);
    constexpr auto shortSeeds = "1";
    constexpr auto shortSeconds = "8";
    constexpr auto streamsAtOnce = std::size_t { 24 }; // That callers follow between two looks at the time.

    auto environment(const char* name, const char* fallback) -> std::string
    {
        const auto* value = std::getenv(name);
        return value ? value : fallback;
    }

    // What happens to a site, again and again, while callers follow streams.
    struct SoftwarePlay {
        std::size_t m_relays;
        milliseconds m_pause; // Between two changes; up to as much again is drawn.
        void (*m_change)(RelaySite&, std::mt19937&, int number);
    };

    auto otherSoftware(const std::string& software) -> std::string
    {
        return software == "v1" ? "v2" : "v1";
    }

    auto killRelays(RelaySite& site, std::size_t spared) -> void
    {
        auto& relays = site.relays();
        for (auto number = spared; number < relays.size(); ++number)
            site.kill(relays[number]);
        for (auto number = spared; number < relays.size(); ++number)
            site.restart(relays[number], harness::ReadyLine::NotAwaited);
    }

    auto replaceAll(RelaySite& site, int number) -> void
    {
        for (auto upstream = std::size_t { 0 }; upstream < upstreams; ++upstream)
            site.replaceUpstream(upstream, "v" + std::to_string(3 + number));
    }

    template <int entryDelay> auto restartOne(RelaySite& site, std::mt19937& random, int) -> void
    {
        const auto upstream = random() % upstreams;
        const auto software = site.upstreams()[upstream].m_run->m_software;
        site.restartUpstream(upstream, otherSoftware(software), milliseconds(entryDelay));
    }

    auto replaceAllAndKillRelays(RelaySite& site, std::mt19937&, int number) -> void
    {
        replaceAll(site, number);
        killRelays(site, 0);
    }

    auto replaceAllAndSpareOne(RelaySite& site, std::mt19937&, int number) -> void
    {
        replaceAll(site, number);
        killRelays(site, 1);
    }

    auto hideEntriesAndKillRelays(RelaySite& site, std::mt19937& random, int) -> void
    {
        constexpr auto hidden = milliseconds(2'000);
        site.hideEntries(random() % 2 == 0 ? "v1" : "v2", hidden);
        killRelays(site, 0);
    }

    struct PlayTime {
        std::chrono::seconds m_time { 0 };
        std::uint32_t m_seed = 0;
    };

    // Plays the changes on a new site while callers follow streams.
    auto followThrough(const SoftwarePlay& play, const PlayTime& playTime) -> StreamTally
    {
        auto record = SoakRecord();
        auto site = RelaySite(play.m_relays, upstreams, record, SiteKind::WithBreakingStreams);
        auto tally = StreamTally();
        if (!site.allReady(startTime)) {
            tally.m_wrong.emplace_back("the site did not start");
            return tally;
        }
        auto ends = std::atomic<bool> { false };
        auto load = std::thread([&] {
            for (auto round = std::uint32_t { 0 }; !ends; ++round)
                tally += followStreams([&] { return site.callerAddresses(); },
                    playTime.m_seed * 1'000 + round, streamsAtOnce, attempts);
        });
        auto random = std::mt19937(playTime.m_seed);
        const auto until = std::chrono::steady_clock::now() + playTime.m_time;
        for (auto number = 0; std::chrono::steady_clock::now() < until; ++number) {
            std::this_thread::sleep_for(play.m_pause + milliseconds(random() % play.m_pause.count()));
            play.m_change(site, random, number);
        }
        ends = true;
        load.join();
        return tally;
    }

    // Plays each seed; each stream has to hold events of one software only.
    auto expectOneSoftware(const SoftwarePlay& play) -> void
    {
        const auto time = std::chrono::seconds(std::stoul(environment("SOFTWARE_SECONDS", shortSeconds)));
        auto seeds = std::istringstream(environment("ORDER_SEEDS", shortSeeds));
        for (auto seed = std::uint32_t(); seeds >> seed;) {
            SCOPED_TRACE("seed " + std::to_string(seed));
            const auto tally = followThrough(play, { time, seed });
            std::cout << "seed " << seed << ": " << tally.m_whole << " whole, " << tally.m_wrong.size()
                      << " wrong; begun " << tally.m_begun << ", not " << tally.m_notBegun << "; gone on "
                      << tally.m_goneOn << ", not " << tally.m_notGoneOn << "; share " << shareGoneOn(tally)
                      << '\n';
            for (const auto& wrong : tally.m_wrong)
                ADD_FAILURE() << wrong;
        }
    }

    // Streams went on at other software than began them: an upstream's entry told of the run before.
    TEST(StreamSoftwareTest, OfOneStreamIsOneWhileEntriesAreRenewedSoon)
    {
        expectOneSoftware({ 4, milliseconds(500), restartOne<300> });
    }

    TEST(StreamSoftwareTest, OfOneStreamIsOneWhileEntriesAreRenewedLate)
    {
        expectOneSoftware({ 4, milliseconds(500), restartOne<2'000> });
    }

    TEST(StreamSoftwareTest, OfOneStreamIsOneWhileEntriesAreRenewedAfterAnOutage)
    {
        expectOneSoftware({ 4, milliseconds(500), restartOne<5'000> });
    }

    // Nodes that had just started took the software that they saw for all that there had been.
    TEST(StreamSoftwareTest, OfOneStreamIsOneAfterAllUpstreamsWereReplacedAndAllRelaysLost)
    {
        expectOneSoftware({ 4, milliseconds(1'500), replaceAllAndKillRelays });
    }

    TEST(StreamSoftwareTest, OfOneStreamIsOneAfterAllUpstreamsWereReplacedAndOneRelayIsLeft)
    {
        expectOneSoftware({ 12, milliseconds(2'000), replaceAllAndSpareOne });
    }

    TEST(StreamSoftwareTest, OfOneStreamIsOneWhileEntriesAreGoneAndAllRelaysLost)
    {
        expectOneSoftware({ 4, milliseconds(1'500), hideEntriesAndKillRelays });
    }

} // namespace
} // namespace marigoldladder::soak
