#include "platform/header_dialect.h"

#include <gtest/gtest.h>

namespace marigoldladder::platform {
namespace {

    using namespace relay;

    auto callerHeaders() -> HeaderFields
    {
        auto fields = HeaderFields();
        fields.set("X-Marigoldladder-Request-Id", "r1");
        fields.set("Api-Key", "secret");
        fields.set("X-Marigoldladder-Deadline-Ms", "12000");
        fields.set("X-Marigoldladder-Model", "m/a3");
        fields.set("X-Marigoldladder-Token-Count", "1460,80");
        fields.set("Last-Event-Id", "12");
        return fields;
    }

    TEST(HeaderDialectTest, ReadsACallersHeaders)
    {
        const auto request = makeDialect().m_readRequest(callerHeaders());
        EXPECT_EQ(request.m_id, "r1");
        EXPECT_EQ(request.m_key, "secret");
        EXPECT_EQ(request.m_timeout, Milliseconds(12'000));
        EXPECT_EQ(request.m_model, "m");
        EXPECT_EQ(request.m_adapter, "m/a3");
        EXPECT_EQ(request.m_promptTokens, 1460);
        EXPECT_EQ(request.m_outputTokens, 80);
        EXPECT_EQ(request.m_lastEventId, "12");
    }

    TEST(HeaderDialectTest, ReadsThePromptPartsThatRequestsShare)
    {
        auto fields = callerHeaders();
        fields.set("X-Marigoldladder-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,5c1e07a2:800,e4402b7d:250");
        const auto expected = std::vector<PromptPartId> { 0x5c1e07a2, 0x91bd3f06 };
        EXPECT_EQ(makeDialect().m_readRequest(fields).m_sharedParts, expected);
    }

    TEST(HeaderDialectTest, ReadsAListOfPromptPartsUpToAMalformedOne)
    {
        auto fields = callerHeaders();
        fields.set("X-Marigoldladder-Prompt-Prefix", "5c1e07a2:800,not an id:410,e4402b7d:250,1:1");
        const auto expected = std::vector<PromptPartId> { 0x5c1e07a2 };
        EXPECT_EQ(makeDialect().m_readRequest(fields).m_sharedParts, expected);
    }

    TEST(HeaderDialectTest, ReadsABoundedNumberOfPromptParts)
    {
        auto text = std::string();
        for (auto part = 1; part < 1'000; ++part)
            text += std::to_string(part) + ":1,";
        auto fields = callerHeaders();
        fields.set("X-Marigoldladder-Prompt-Prefix", text + "1000:1");
        EXPECT_EQ(makeDialect().m_readRequest(fields).m_sharedParts.size(), maxPromptParts);
    }

    TEST(HeaderDialectTest, ReadsTheLimitThatAnUpstreamNames)
    {
        auto fields = HeaderFields();
        EXPECT_FALSE(makeDialect().m_readAnswer(200, fields).m_notices.m_requestLimit);
        fields.set("Server-Limit", "3.6");
        EXPECT_EQ(makeDialect().m_readAnswer(200, fields).m_notices.m_requestLimit, 3.6);
        for (const auto* invalid : { "", "-1", "many", "inf", "3.6 a second" }) {
            fields.set("Server-Limit", invalid);
            EXPECT_FALSE(makeDialect().m_readAnswer(200, fields).m_notices.m_requestLimit) << invalid;
        }
    }

    TEST(HeaderDialectTest, ReadsThatAnUpstreamLeaves)
    {
        auto fields = HeaderFields();
        EXPECT_FALSE(makeDialect().m_readAnswer(200, fields).m_notices.m_leaving);
        fields.set("server-leaving", "1");
        EXPECT_TRUE(makeDialect().m_readAnswer(200, fields).m_notices.m_leaving);
        EXPECT_TRUE(makeDialect().m_readAnswer(503, fields).m_notices.m_leaving);
        fields.set("Server-Leaving", "0");
        EXPECT_FALSE(makeDialect().m_readAnswer(200, fields).m_notices.m_leaving);
    }

    TEST(HeaderDialectTest, ReadsForHowLongAnUpstreamThatRefusesWantsNoRequests)
    {
        auto fields = HeaderFields();
        EXPECT_FALSE(makeDialect().m_readAnswer(503, fields).m_notices.m_retryAfter);
        fields.set("Retry-After", "2.5");
        EXPECT_EQ(makeDialect().m_readAnswer(503, fields).m_notices.m_retryAfter, Milliseconds(2'500));
        EXPECT_FALSE(makeDialect().m_readAnswer(429, fields).m_notices.m_retryAfter);
        for (const auto* invalid : { "", "-1", "soon", "nan", "Fri, 04 Dec 2026 10:00:00 GMT" }) {
            fields.set("Retry-After", invalid);
            EXPECT_FALSE(makeDialect().m_readAnswer(503, fields).m_notices.m_retryAfter) << invalid;
        }
        fields.set("Retry-After", "1e30");
        EXPECT_EQ(makeDialect().m_readAnswer(503, fields).m_notices.m_retryAfter, std::chrono::hours(24));
    }

    // Times near the greatest number overflowed when they were added to the time of day.
    TEST(HeaderDialectTest, TakesTimesBeyondADayAsADayAndNegativeOnesAsNone)
    {
        constexpr auto greatest = "9223372036854775807";
        constexpr auto least = "-9223372036854775808";
        const auto timeoutOf = [](const char* text) {
            auto fields = callerHeaders();
            fields.set("X-Marigoldladder-Deadline-Ms", text);
            return makeDialect().m_readRequest(fields).m_timeout;
        };
        EXPECT_EQ(timeoutOf(greatest), std::chrono::hours(24));
        EXPECT_EQ(timeoutOf(least), Milliseconds(0));
        auto fields = HeaderFields();
        fields.set("X-Marigoldladder-Cold-Ms", greatest);
        EXPECT_EQ(readNotices(200, fields).m_coldLeft, std::chrono::hours(24));
    }

    TEST(HeaderDialectTest, ReadsHowManyRefusalsABrittleUpstreamBears)
    {
        auto fields = HeaderFields();
        EXPECT_EQ(readNotices(200, fields).m_refusalsPerSecond, std::nullopt);
        fields.set("Server-Brittle", "4");
        EXPECT_EQ(readNotices(503, fields).m_refusalsPerSecond, 4);
        fields.set("Server-Brittle", "many");
        EXPECT_EQ(readNotices(200, fields).m_refusalsPerSecond, std::nullopt);
    }

    TEST(HeaderDialectTest, InvalidNumbersCountAsMissing)
    {
        auto fields = callerHeaders();
        fields.set("X-Marigoldladder-Deadline-Ms", "soon");
        fields.set("X-Marigoldladder-Token-Count", "1460;80");
        const auto request = makeDialect().m_readRequest(fields);
        EXPECT_FALSE(request.m_timeout);
        EXPECT_FALSE(request.m_hasTokenCounts);
    }

    TEST(HeaderDialectTest, RemovesKeysAndForgedSystemHeadersFromUpstreamRequests)
    {
        auto fields = callerHeaders();
        for (const auto* name :
            { "X-Marigoldladder-Tenant", "X-Marigoldladder-Hold", "X-Marigoldladder-Pin-Ms",
                "X-Marigoldladder-Kv-Backup", "Kv-From", "Kv-Fetch", "X-Marigoldladder-Expect-Version" })
            fields.set(name, "forged");
        fields.insert("Api-Key", "another");
        auto dispatch = Dispatch();
        dispatch.m_upstream = UpstreamName("i-1");
        dispatch.m_timeLeft = Milliseconds(900);
        makeDialect().m_prepareForUpstream(fields, dispatch);
        for (const auto& field : fields)
            EXPECT_TRUE(field.value() != "forged" && field.value() != "secret" && field.value() != "another")
                << "expected no forged value or key, got " << field.name_string() << ": " << field.value();
        EXPECT_EQ(fields["X-Marigoldladder-Expect-Instance"], "i-1");
        EXPECT_EQ(fields["X-Marigoldladder-Deadline-Ms"], "900");
        EXPECT_EQ(fields["X-Marigoldladder-Model"], "m/a3") << "expected the caller's value unchanged";
        EXPECT_EQ(fields.count("X-Marigoldladder-Tenant"), 0U)
            << "expected no organisation on a route that is open to all";
    }

    TEST(HeaderDialectTest, OnlyAnExplicitRefusalMeansNotRun)
    {
        const auto dialect = makeDialect();
        auto fields = HeaderFields();
        EXPECT_FALSE(dialect.m_readAnswer(503, fields).m_notRun);
        EXPECT_TRUE(dialect.m_readAnswer(421, fields).m_notRun);
        fields.set("X-Marigoldladder-Not-Executed", "1");
        EXPECT_TRUE(dialect.m_readAnswer(503, fields).m_notRun);
    }

    // A failure, or what belongs to a request, was taken for the word of an upstream that states no run.
    TEST(HeaderDialectTest, OnlyAReportOrItsLackTellsOfARun)
    {
        const auto dialect = makeDialect();
        const auto none = HeaderFields();
        EXPECT_EQ(dialect.m_readRun(200, none, R"({"born":5,"models":[]})").m_startedAt, 5U);
        for (const auto status : { 400U, 404U, 421U }) {
            EXPECT_TRUE(dialect.m_readRun(status, none, "").m_isAnswer) << status;
            EXPECT_EQ(dialect.m_readRun(status, none, "").m_startedAt, std::nullopt) << status;
        }
        EXPECT_TRUE(dialect.m_readRun(200, none, "{}").m_isAnswer);
        for (const auto status : { 429U, 500U, 502U, 503U })
            EXPECT_FALSE(dialect.m_readRun(status, none, R"({"born":5})").m_isAnswer) << status;
        for (const auto* body : { "", "x", "[]", R"({"born")" })
            EXPECT_FALSE(dialect.m_readRun(200, none, body).m_isAnswer) << body;
        auto ofRequest = HeaderFields();
        ofRequest.set("X-Marigoldladder-Request-Id", "r-1");
        EXPECT_FALSE(dialect.m_readRun(200, ofRequest, R"({"born":5})").m_isAnswer);
    }

} // namespace
} // namespace marigoldladder::platform
