// A stream that crashes each upstream some events on, and ends if it is resumed soon before its end.
#include "platform/relay_path_fixture.h"

#include <chrono>
#include <thread>

namespace marigoldladder::platform {
namespace {

    using std::chrono::milliseconds;

    constexpr auto eventGap = milliseconds(10);
    constexpr auto eventsAfterCrash = 2; // That a resumed run still has to send.

    auto event(int number) -> std::string
    {
        return "id: " + std::to_string(number) + "\ndata: x\n\n";
    }

    auto firstEventOf(const UpstreamRequest& request) -> int
    {
        const auto last = std::string(request["Last-Event-Id"]);
        return last.empty() ? 1 : std::stoi(last) + 1;
    }

    // Returns a stream of the events from `first` to `last`; without an end if the upstream crashes then.
    auto streamOf(const UpstreamRequest& request, int first, int last, bool crashes) -> UpstreamReply
    {
        auto reply = UpstreamReply { streamHead(request, "stamp") };
        for (auto number = first; number <= last; ++number)
            reply.m_later.push_back({ eventGap, chunk(event(number)) });
        reply.m_later.push_back({ eventGap, crashes ? "" : "0\r\n\r\n" });
        reply.m_crashesAfterwards = crashes;
        return reply;
    }

    class CrashingLateStreamTest : public RelayPathTest {
    protected:
        // A request may run on so many upstreams.
        auto addUpstreams(const std::function<UpstreamReply(const UpstreamRequest&)>& reply,
            int upstreams = 20, int attempts = 2) -> void
        {
            for (auto number = 0; number < upstreams; ++number) {
                m_names.push_back("i-" + std::to_string(number));
                addUpstream(m_names.back(), reply);
            }
            auto configuration = testConfiguration(1);
            for (auto& route : configuration["routes"])
                route["attempts"] = attempts;
            m_relay.put("config", "main", configuration);
            ASSERT_TRUE(m_relay.eventually([&] { return m_relay.readiness() == 200; }));
        }

        // A run from the beginning crashes its upstream after so many events; a resumed one ends before that.
        auto addUpstreamsThatCrashAfter(int events) -> void
        {
            addUpstreams([events](const UpstreamRequest& request) {
                const auto first = firstEventOf(request);
                const auto crashes = first == 1;
                return streamOf(request, first, crashes ? events : events + eventsAfterCrash, crashes);
            });
        }

        auto send(const std::string& body, const std::string& headers = "") -> CallerReply
        {
            auto reply = m_relay.send(callerRequest("POST", "/stream/x", headers, body));
            // Longer than it takes to recognise a crash, and until a suspect may be convicted.
            std::this_thread::sleep_for(milliseconds(400));
            return reply;
        }

        // Returns how often upstreams received this request, to be run from its beginning or resumed.
        auto runs(const std::string& body, bool resumed) -> std::size_t
        {
            auto count = std::size_t { 0 };
            for (const auto& name : m_names) {
                for (const auto& request : m_relay.requestsAt(name))
                    count += request.body() == body && (firstEventOf(request) > 1) == resumed ? 1 : 0;
            }
            return count;
        }

        auto expectRefused(const std::string& body) -> void
        {
            const auto reply = send(body);
            EXPECT_EQ(reply.m_status, 503);
            EXPECT_NE(
                reply.m_body.find("upstreams crash under this request during its answer"), reply.m_body.npos)
                << reply.m_body;
        }

        // Sends the request so often that it reaches upstreams for too long unless it is recognised.
        auto expectRecognised(const std::string& body) -> void
        {
            for (auto sent = 0; sent < crashesAllowed + 2; ++sent)
                (void)send(body);
            EXPECT_LE(runs(body, false), static_cast<std::size_t>(crashesAllowed));
            expectRefused(body);
        }

        static constexpr auto crashesAllowed = 6; // Three retries after the third crash.
        std::vector<std::string> m_names;
    };

    class CrashAfterEventsTest : public CrashingLateStreamTest, public testing::WithParamInterface<int> { };

    // Issue 44: the end of the resumed run cleared it each time.
    TEST_P(CrashAfterEventsTest, IsRecognisedThoughItsResumedRunsEnd)
    {
        addUpstreamsThatCrashAfter(GetParam());
        expectRecognised("deadly");
        EXPECT_EQ(runs("deadly", true), runs("deadly", false));
    }

    INSTANTIATE_TEST_SUITE_P(Events, CrashAfterEventsTest, testing::Values(1, 5, 20));

    TEST_F(CrashingLateStreamTest, TwoByTurnsAreBothRecognised)
    {
        addUpstreamsThatCrashAfter(5);
        for (auto sent = 0; sent < crashesAllowed; ++sent) {
            (void)send("deadly");
            (void)send("also deadly");
        }
        expectRefused("deadly");
        expectRefused("also deadly");
    }

    // A caller whose stream was cut resumes it by itself, at this node or another one.
    TEST_F(CrashingLateStreamTest, IsRecognisedThoughItsCallerResumesIt)
    {
        addUpstreamsThatCrashAfter(5);
        m_relay.forbidRetries();
        for (auto sent = 0; sent < crashesAllowed; ++sent) {
            (void)send("deadly");
            (void)send("deadly", "Last-Event-Id: 5\r\n");
        }
        expectRefused("deadly");
        EXPECT_LE(runs("deadly", false), static_cast<std::size_t>(crashesAllowed - 1));
        EXPECT_GE(runs("deadly", true), 2U);
    }

    // A run that is resumed just before the deadly event crashes its upstream before it sends any.
    TEST_F(CrashingLateStreamTest, IsRecognisedIfItsResumedRunsCrashBeforeTheirFirstEvent)
    {
        constexpr auto deadlyEvent = 6;
        constexpr auto upstreams = 10;
        const auto reply = [](const UpstreamRequest& request) {
            auto stream = streamOf(request, firstEventOf(request), deadlyEvent - 1, true);
            stream.m_later.back().m_pause = milliseconds(150); // Apart enough to count as two crashes.
            return stream;
        };
        addUpstreams(reply, upstreams);
        for (auto sent = 0; sent < 4; ++sent)
            (void)send("deadly");
        EXPECT_LE(runs("deadly", false) + runs("deadly", true), static_cast<std::size_t>(crashesAllowed));
        expectRefused("deadly");
    }

    // Suspicion alone keeps no stream from being resumed, also if resumed runs met crashes before an event.
    TEST_F(CrashingLateStreamTest, OneWhoseResumedRunsMeetCrashesGoesOnAtAFurtherUpstream)
    {
        constexpr auto crashes = 4;
        constexpr auto upstreams = 20;
        auto runs = std::make_shared<int>(0);
        const auto reply = [runs](const UpstreamRequest& request) {
            const auto crashesNow = (*runs)++ < crashes;
            auto stream = streamOf(request, firstEventOf(request), crashesNow ? 5 : 7, crashesNow);
            stream.m_later.back().m_pause = milliseconds(150); // Apart enough to count as several crashes.
            return stream;
        };
        addUpstreams(reply, upstreams, crashes + 1);
        EXPECT_TRUE(send("long").m_complete);
        EXPECT_EQ(*runs, crashes + 1);
    }

    // A failure that an upstream answers says nothing of the events of an answer.
    TEST_F(CrashingLateStreamTest, IsRecognisedThoughItsResumedRunsFail)
    {
        addUpstreams([](const UpstreamRequest& request) {
            if (firstEventOf(request) > 1)
                return UpstreamReply { answerTo(request, 500, "failed") };
            return streamOf(request, 1, 5, true);
        });
        expectRecognised("deadly");
    }

    // The opposite: upstreams crash under a stream for another cause, and it ends in one run in between.
    TEST_F(CrashingLateStreamTest, OneThatMeetsCrashesOfAnotherCauseIsServed)
    {
        auto runs = std::make_shared<int>(0);
        addUpstreams([runs](const UpstreamRequest& request) {
            const auto first = firstEventOf(request);
            const auto crashes = first == 1 && (*runs)++ % 2 == 0;
            return streamOf(request, first, crashes ? 5 : 7, crashes);
        });
        for (auto sent = 0; sent < 10; ++sent)
            EXPECT_TRUE(send("long").m_complete);
    }

} // namespace
} // namespace marigoldladder::platform
