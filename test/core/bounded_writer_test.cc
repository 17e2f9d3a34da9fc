#include "core/bounded_writer.h"

#include <array>
#include <gtest/gtest.h>
#include <unistd.h>

namespace marigoldladder {
namespace {

    constexpr auto mostBytes = std::size_t { 4'096 };

    class BoundedWriterTest : public testing::Test {
    protected:
        BoundedWriterTest() { EXPECT_EQ(pipe(m_ends.data()), 0); }
        ~BoundedWriterTest() override
        {
            close(m_ends[0]);
            close(m_ends[1]);
        }

        auto readEnd() const -> int { return m_ends[0]; }
        auto writeEnd() const -> int { return m_ends[1]; }

        auto readSome() const -> std::string
        {
            auto bytes = std::string(1U << 20U, '\0');
            const auto size = ::read(readEnd(), bytes.data(), bytes.size());
            bytes.resize(size < 0 ? 0 : static_cast<std::size_t>(size));
            return bytes;
        }

    private:
        std::array<int, 2> m_ends {};
    };

    auto line(int number) -> std::string
    {
        return "line " + std::to_string(number) + "\n";
    }

    TEST_F(BoundedWriterTest, PassesLinesOnAtOnce)
    {
        auto writer = BoundedWriter(writeEnd(), mostBytes);
        EXPECT_TRUE(writer.write(line(1)));
        EXPECT_TRUE(writer.write(line(2)));
        EXPECT_EQ(readSome(), "line 1\nline 2\n");
    }

    TEST_F(BoundedWriterTest, DropsAndCountsLinesThatNobodyReads)
    {
        auto writer = BoundedWriter(writeEnd(), mostBytes);
        auto kept = std::string();
        auto dropped = std::uint64_t { 0 };
        for (auto number = 0; number < 100'000; ++number) {
            if (writer.write(line(number)))
                kept += line(number);
            else
                ++dropped;
        }
        EXPECT_GT(dropped, 0U);
        EXPECT_LE(writer.waitingBytes(), mostBytes);
        EXPECT_EQ(writer.takeDropped(), dropped);
        EXPECT_EQ(writer.takeDropped(), 0U);
        auto seen = std::string();
        while (seen.size() < kept.size()) {
            seen += readSome();
            writer.flush();
        }
        EXPECT_EQ(seen, kept) << "expected the lines that were taken, whole and in order";
    }

    TEST_F(BoundedWriterTest, DropsLinesOnceTheReaderHasGone)
    {
        auto writer = BoundedWriter(-1, mostBytes);
        for (auto number = 0; number < 10'000; ++number)
            (void)writer.write(line(number));
        EXPECT_GT(writer.takeDropped(), 0U);
    }

} // namespace
} // namespace marigoldladder
