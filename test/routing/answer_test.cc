#include "routing/answer_stream.h"

#include <gtest/gtest.h>

namespace marigoldladder {
namespace {

    auto popNow(AnswerStream& stream) -> std::optional<AnswerEvent>
    {
        return stream.pop(std::chrono::steady_clock::now());
    }

    TEST(AnswerStreamTest, GivesEventsInOrder)
    {
        auto stream = AnswerStream();
        stream.push(AnswerChunk { 0, "a" });
        stream.push(AnswerChunk { 1, "b" });
        EXPECT_EQ(std::get<AnswerChunk>(*popNow(stream)).m_data, "a");
        EXPECT_EQ(std::get<AnswerChunk>(*popNow(stream)).m_data, "b");
        EXPECT_FALSE(popNow(stream));
    }

    TEST(AnswerStreamTest, HoldsABoundedAmountAndEndsSoThatItCanBeResumed)
    {
        auto stream = AnswerStream();
        const auto event = std::string(1024, 'x');
        auto taken = std::uint32_t { 0 };
        while (stream.push(AnswerChunk { taken, event }))
            ++taken;
        EXPECT_EQ(taken, AnswerStream::maxWaitingBytes / event.size());
        EXPECT_FALSE(stream.push(AnswerChunk { taken, event })) << "expected nothing after a gap";
        for (auto i = std::uint32_t { 0 }; i < taken; ++i)
            EXPECT_EQ(std::get<AnswerChunk>(*popNow(stream)).m_offset, i);
        const auto last = popNow(stream);
        ASSERT_TRUE(last && std::holds_alternative<AnswerEnd>(*last));
        EXPECT_FALSE(std::get<AnswerEnd>(*last).m_completed);
    }

    TEST(AnswerStreamTest, TakesOneLargeAnswer)
    {
        auto stream = AnswerStream();
        EXPECT_TRUE(stream.push(AnswerHead {}));
        EXPECT_TRUE(stream.push(AnswerChunk { 0, std::string(4 * AnswerStream::maxWaitingBytes, 'x') }));
        EXPECT_TRUE(stream.push(AnswerEnd { true, {}, 1, false }));
    }

    TEST(AnswerStreamTest, TakesNothingAfterItsEnd)
    {
        auto stream = AnswerStream();
        stream.push(AnswerEnd { true, {}, 1, false });
        EXPECT_FALSE(stream.push(AnswerChunk { 0, "late" }));
    }

} // namespace
} // namespace marigoldladder
