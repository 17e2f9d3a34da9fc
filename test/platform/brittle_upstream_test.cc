// Upstreams that say that they fall over when they refuse too many requests in a second.
#include "platform/relay_path_fixture.h"

#include <algorithm>
#include <chrono>
#include <mutex>
#include <thread>
#include <vector>

namespace marigoldladder::platform {
namespace {

    using Clock = std::chrono::steady_clock;
    using std::chrono::milliseconds;

    constexpr auto refusalsBorne = std::size_t { 2 }; // In any second.
    constexpr auto workTime = milliseconds(150);

    // Runs a few requests at a time, lets none wait, and notes when it refuses one.
    class BrittleUpstream {
    public:
        explicit BrittleUpstream(std::size_t room)
            : m_room(room)
        {
        }

        auto answer(const UpstreamRequest& request) -> UpstreamReply
        {
            const auto lock = std::lock_guard(m_mutex);
            const auto now = Clock::now();
            const auto headers
                = m_isBrittle ? "Server-Brittle: " + std::to_string(refusalsBorne) + "\r\n" : std::string();
            std::erase_if(m_ends, [&](Clock::time_point end) { return end <= now; });
            if (m_ends.size() >= m_room) {
                m_refusals.push_back(now);
                return { answerTo(request, 503, "", headers + "X-Marigoldladder-Not-Executed: 1\r\n") };
            }
            m_ends.push_back(now + workTime);
            auto reply = UpstreamReply();
            reply.m_later.push_back({ workTime, answerTo(request, 200, "ok", headers) });
            return reply;
        }

        auto setBrittle(bool isBrittle) -> void
        {
            const auto lock = std::lock_guard(m_mutex);
            m_isBrittle = isBrittle;
        }

        // The most refusals in any second.
        auto mostRefusals() -> std::size_t
        {
            const auto lock = std::lock_guard(m_mutex);
            auto most = std::size_t { 0 };
            for (auto first = m_refusals.begin(); first != m_refusals.end(); ++first) {
                const auto end = *first + std::chrono::seconds(1);
                const auto inSecond
                    = std::count_if(first, m_refusals.end(), [&](Clock::time_point at) { return at < end; });
                most = std::max(most, static_cast<std::size_t>(inSecond));
            }
            return most;
        }

    private:
        std::mutex m_mutex;
        std::size_t m_room;
        bool m_isBrittle = true;
        std::vector<Clock::time_point> m_ends; // Of the requests that run.
        std::vector<Clock::time_point> m_refusals;
    };

    class BrittleUpstreamTest : public RelayPathTest {
    protected:
        // The entry states eight slots, whatever room the upstream has.
        auto addBrittle(BrittleUpstream& upstream) -> void
        {
            addUpstream(
                "i-1", [&upstream](const UpstreamRequest& request) { return upstream.answer(request); });
            configure();
            EXPECT_EQ(m_relay.send(callerRequest("GET", "/plain/x")).m_status, 200);
        }

        // Sends requests over several connections at once; returns how many were served.
        auto press(std::size_t callers, milliseconds time) -> std::size_t
        {
            auto served = std::atomic<std::size_t> { 0 };
            const auto until = Clock::now() + time;
            auto threads = std::vector<std::thread>();
            for (auto caller = std::size_t { 0 }; caller < callers; ++caller) {
                threads.emplace_back([&] {
                    while (Clock::now() < until)
                        served += m_relay.send(callerRequest("GET", "/plain/x", "Connection: close\r\n"))
                                      .m_status
                            == 200;
                });
            }
            for (auto& thread : threads)
                thread.join();
            return served;
        }
    };

    // Issue 47: nodes sent a brittle upstream what it had no room for, again each 40 ms, until it fell over.
    TEST_F(BrittleUpstreamTest, RefusesNoMoreThanItBearsWhenCallersPress)
    {
        auto upstream = BrittleUpstream(2);
        addBrittle(upstream);
        EXPECT_GT(press(16, milliseconds(4'000)), 0U);
        EXPECT_LE(upstream.mostRefusals(), refusalsBorne);
    }

    TEST_F(BrittleUpstreamTest, RefusesNoMoreThanItBearsWithRoomForOneRequest)
    {
        auto upstream = BrittleUpstream(1);
        addBrittle(upstream);
        EXPECT_GT(press(16, milliseconds(4'000)), 0U);
        EXPECT_LE(upstream.mostRefusals(), refusalsBorne);
    }

    TEST_F(BrittleUpstreamTest, GetsAsMuchAsBeforeOnceItNoLongerSaysSo)
    {
        auto upstream = BrittleUpstream(8);
        addBrittle(upstream);
        upstream.setBrittle(false);
        EXPECT_EQ(m_relay.send(callerRequest("GET", "/plain/x")).m_status, 200);
        constexpr auto perSecond = std::size_t { 8 } * 1'000 / 150;
        EXPECT_GT(press(16, milliseconds(2'000)), perSecond); // Half of what it could run.
    }

} // namespace
} // namespace marigoldladder::platform
