// Envelopes from arbitrary or damaged bytes: decoded or refused, never more.
#include "wire/frame.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace marigoldladder {
namespace {

    constexpr auto lengthBytes = std::size_t { 4 };

    auto sampleFrame() -> std::vector<std::uint8_t>
    {
        auto request = wire::ServeRequestT();
        request.request_id = "request-1";
        request.adapter_name = "damp-report";
        request.body = { 1, 2, 3 };
        return encodeFrame(makeEnvelope(7, std::move(request)));
    }

    TEST(FrameTest, DecodesWhatItEncoded)
    {
        const auto frame = sampleFrame();
        const auto envelope = decodeEnvelope(frame.data() + lengthBytes, frame.size() - lengthBytes);
        ASSERT_TRUE(envelope);
        EXPECT_EQ(envelope->correlation, 7U);
        ASSERT_NE(envelope->body.AsServeRequest(), nullptr);
        EXPECT_EQ(envelope->body.AsServeRequest()->adapter_name, "damp-report");
    }

    RC_GTEST_PROP(FrameFuzzTest, ArbitraryBytesAreDecodedOrRefused, (const std::vector<std::uint8_t>& bytes))
    {
        const auto envelope = decodeEnvelope(bytes.data(), bytes.size());
        RC_ASSERT(!envelope || envelope->body.type != wire::Body::NONE);
    }

    RC_GTEST_PROP(FrameFuzzTest, DamagedFramesAreDecodedOrRefused, ())
    {
        auto frame = sampleFrame();
        const auto position = *rc::gen::inRange(lengthBytes, frame.size());
        frame[position] = *rc::gen::arbitrary<std::uint8_t>();
        const auto envelope = decodeEnvelope(frame.data() + lengthBytes, frame.size() - lengthBytes);
        RC_ASSERT(!envelope || envelope->body.type != wire::Body::NONE);
    }

} // namespace
} // namespace marigoldladder
