#include "relay/adapter_versions.h"

#include "relay/relay_fixtures.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace marigoldladder::relay {
namespace {

    constexpr auto changeTime = Milliseconds(5'000);
    constexpr auto adapter = "model/a1";

    class AdapterVersionsTest : public testing::Test {
    protected:
        auto announceAt(std::uint64_t version, double seconds) -> bool
        {
            return announceVersion(
                m_versions, { adapter, version }, requiredFrom(at(seconds), changeTime), at(seconds));
        }

        AdapterVersions m_versions;
    };

    TEST_F(AdapterVersionsTest, NoVersionIsRequiredOfAnAdapterWithoutAnnouncement)
    {
        EXPECT_FALSE(lowestVersionAt(m_versions, adapter, at(100)));
        EXPECT_FALSE(newestVersion(m_versions, adapter));
    }

    TEST_F(AdapterVersionsTest, AVersionIsRequiredBeforeItsTimeIsOver)
    {
        EXPECT_TRUE(announceAt(2, 0));
        EXPECT_FALSE(lowestVersionAt(m_versions, adapter, at(3)));
        EXPECT_EQ(lowestVersionAt(m_versions, adapter, at(4.5)), 2U);
        EXPECT_EQ(newestVersion(m_versions, adapter), 2U);
    }

    TEST_F(AdapterVersionsTest, ARequestIsSentOnlyIfItBeginsInTime)
    {
        EXPECT_TRUE(announceAt(2, 0));
        EXPECT_FALSE(lowestVersionToSend(m_versions, adapter, at(1)));
        EXPECT_EQ(lowestVersionToSend(m_versions, adapter, at(3)), 2U)
            << "it begins up to a second later, when version 2 may be required";
    }

    TEST_F(AdapterVersionsTest, EachVersionIsRequiredByItsOwnAnnouncement)
    {
        EXPECT_TRUE(announceAt(2, 0));
        EXPECT_TRUE(announceAt(3, 2));
        EXPECT_TRUE(announceAt(5, 4));
        EXPECT_EQ(newestVersion(m_versions, adapter), 5U);
        EXPECT_EQ(lowestVersionAt(m_versions, adapter, at(4.5)), 2U);
        EXPECT_EQ(lowestVersionAt(m_versions, adapter, at(6.5)), 3U);
        EXPECT_EQ(lowestVersionAt(m_versions, adapter, at(8.5)), 5U);
    }

    TEST_F(AdapterVersionsTest, AnAnnouncementThatIsRepeatedOrOlderChangesNothing)
    {
        EXPECT_TRUE(announceAt(3, 0));
        EXPECT_FALSE(announceAt(3, 2));
        EXPECT_FALSE(announceAt(2, 2));
        EXPECT_EQ(lowestVersionAt(m_versions, adapter, at(4.5)), 3U);
    }

    TEST_F(AdapterVersionsTest, AVersionThatIsRequiredAtOnceGoesBeforeOnesAnnouncedEarlier)
    {
        EXPECT_TRUE(announceAt(2, 0));
        EXPECT_TRUE(announceVersion(m_versions, { adapter, 3 }, at(1), at(1)));
        EXPECT_EQ(lowestVersionAt(m_versions, adapter, at(1)), 3U);
    }

    TEST_F(AdapterVersionsTest, VersionsThatNoLongerMatterAreDropped)
    {
        constexpr auto versions = 1'000;
        for (auto version = 1; version <= versions; ++version)
            EXPECT_TRUE(announceAt(static_cast<std::uint64_t>(version), version));
        EXPECT_LE(m_versions.m_required.at(adapter).size(), 6U) << "announced in the last 5 s, and one more";
    }

    // Announcements in any order, repeated, late, close together, and of versions required at once.
    RC_GTEST_PROP(
        AdapterVersionsPropertyTest, TheLowestVersionIsTheHighestOneWhoseTimeHasComeAndNeverFalls, ())
    {
        auto versions = AdapterVersions();
        auto announced = std::vector<RequiredVersion>();
        auto now = 0.0;
        auto lowestBefore = std::uint64_t { 0 };
        const auto steps = *rc::gen::inRange(1, 40);
        for (auto step = 0; step < steps; ++step) {
            now += *rc::gen::inRange(0, 30) / 10.0;
            const auto version = static_cast<std::uint64_t>(*rc::gen::inRange(1, 12));
            const auto isAtOnce = *rc::gen::inRange(0, 6) == 0;
            const auto required = isAtOnce ? at(now) : requiredFrom(at(now), changeTime);
            (void)announceVersion(versions, { adapter, version }, required, at(now));
            announced.push_back({ version, required });
            for (const auto later : { 0.0, 0.5, 1.8, 4.0, 9.0 }) {
                auto highest = std::uint64_t { 0 };
                for (const auto& known : announced) {
                    if (known.m_requiredFrom <= at(now + later))
                        highest = std::max(highest, known.m_version);
                }
                RC_ASSERT(lowestVersionAt(versions, adapter, at(now + later)).value_or(0) == highest);
            }
            const auto lowest = lowestVersionAt(versions, adapter, at(now)).value_or(0);
            RC_ASSERT(lowest >= lowestBefore);
            lowestBefore = lowest;
        }
    }

} // namespace
} // namespace marigoldladder::relay
