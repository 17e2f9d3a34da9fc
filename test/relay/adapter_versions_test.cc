#include "relay/adapter_versions.h"

#include "relay/relay_fixtures.h"

#include <algorithm>
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

    // An engine refuses a request that states any other version than the one that it holds.
    TEST_F(AdapterVersionsTest, ARequestStatesTheVersionThatItsEngineHoldsIfThatMayBeUsed)
    {
        EXPECT_TRUE(announceAt(2, 0));
        EXPECT_TRUE(announceAt(3, 1.5));
        EXPECT_TRUE(announceAt(4, 2));
        EXPECT_FALSE(versionToState(m_versions, adapter, 3, at(2))) << "it may be any";
        ASSERT_EQ(lowestVersionToSend(m_versions, adapter, at(3)), 2U);
        EXPECT_EQ(versionToState(m_versions, adapter, 1, at(3)), 2U);
        EXPECT_EQ(versionToState(m_versions, adapter, 3, at(3)), 3U);
        EXPECT_EQ(versionToState(m_versions, adapter, 4, at(3)), 4U);
        EXPECT_EQ(versionToState(m_versions, adapter, std::nullopt, at(3)), 2U);
    }

    TEST_F(AdapterVersionsTest, ARequestStatesAHeldVersionOfWhichThisNodeHasNotLearntYet)
    {
        EXPECT_FALSE(versionToState(m_versions, adapter, 3, at(0)));
        EXPECT_TRUE(announceAt(2, 0));
        EXPECT_EQ(versionToState(m_versions, adapter, 3, at(1)), 3U);
        EXPECT_EQ(versionToState(m_versions, adapter, 3, at(10)), 3U);
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

    // An announcement, and when this node learns of it.
    struct Announcement {
        std::uint64_t m_version = 0;
        double m_acknowledgedAt = 0;
        double m_knownAt = 0;
    };

    // Up to eight announcements that take up to a second each to reach this node, in the order of arrival.
    auto drawAnnouncements() -> std::vector<Announcement>
    {
        auto announcements = std::vector<Announcement>();
        const auto count = *rc::gen::inRange(1, 9);
        for (auto number = 0; number < count; ++number) {
            const auto version = static_cast<std::uint64_t>(*rc::gen::inRange(1, 8));
            const auto acknowledgedAt = *rc::gen::inRange(0, 150) / 10.0;
            announcements.push_back(
                { version, acknowledgedAt, acknowledgedAt + *rc::gen::inRange(0, 11) / 10.0 });
        }
        std::sort(announcements.begin(), announcements.end(),
            [](const auto& left, const auto& right) { return left.m_knownAt < right.m_knownAt; });
        return announcements;
    }

    auto announceUntil(AdapterVersions& versions, const std::vector<Announcement>& announcements, double now)
        -> void
    {
        for (const auto& announced : announcements) {
            const auto knownAt = at(announced.m_knownAt);
            if (announced.m_knownAt <= now)
                (void)announceVersion(
                    versions, { adapter, announced.m_version }, requiredFrom(knownAt, changeTime), knownAt);
        }
    }

    // Returns when a call that stated this version is taken back: at the first time at which it's too low.
    auto takenBackAt(const std::vector<Announcement>& announcements, std::uint64_t stated, double sentAt)
        -> MonotonicTime
    {
        auto earliest = MonotonicTime::max();
        for (const auto& announced : announcements) {
            const auto time = requiredFrom(at(announced.m_knownAt), changeTime);
            if (announced.m_version > stated && time >= at(sentAt))
                earliest = std::min(earliest, time);
        }
        return earliest;
    }

    // The rule itself, for one request that is sent to an engine whose version may not be the one that this
    // node believes, and that may wait there for any time.
    RC_GTEST_PROP(
        AdapterVersionsPropertyTest, NoRequestBeginsOnAVersionBeyondTheBoundAndNoneIsRefusedInVain, ())
    {
        const auto announcements = drawAnnouncements();
        const auto sentAt = *rc::gen::inRange(0, 200) / 10.0;
        const auto held = static_cast<std::uint64_t>(*rc::gen::inRange(1, 8));
        const auto believed
            = *rc::gen::inRange(0, 2) == 0 ? held : static_cast<std::uint64_t>(*rc::gen::inRange(1, 8));
        auto versions = AdapterVersions();
        announceUntil(versions, announcements, sentAt);
        const auto stated = versionToState(versions, adapter, believed, at(sentAt));
        const auto isAccepted = !stated || *stated == held;
        const auto lowest = lowestVersionToSend(versions, adapter, at(sentAt)).value_or(0);
        RC_ASSERT(isAccepted || believed != held || held < lowest);
        if (!isAccepted)
            return;
        const auto lastBegin = takenBackAt(announcements, stated.value_or(0), sentAt);
        for (const auto& announced : announcements) {
            if (announced.m_version > held)
                RC_ASSERT(lastBegin <= at(announced.m_acknowledgedAt) + changeTime);
        }
    }

    // What is done once a version is required depends on whether its announcement changed anything.
    RC_GTEST_PROP(AdapterVersionsPropertyTest, AnAnnouncementChangesSomethingIfAndOnlyIfItSaysSo, ())
    {
        auto versions = AdapterVersions();
        auto now = 0.0;
        const auto steps = *rc::gen::inRange(1, 30);
        for (auto step = 0; step < steps; ++step) {
            now += *rc::gen::inRange(0, 30) / 10.0;
            const auto version = static_cast<std::uint64_t>(*rc::gen::inRange(1, 12));
            const auto required = at(now + *rc::gen::inRange(0, 50) / 10.0);
            const auto before = versions;
            const auto changed = announceVersion(versions, { adapter, version }, required, at(now));
            const auto atRequired = lowestVersionAt(before, adapter, required).value_or(0);
            RC_ASSERT(changed == (atRequired < version));
            RC_ASSERT(
                lowestVersionAt(versions, adapter, required).value_or(0) == std::max(atRequired, version));
            RC_ASSERT(newestVersion(versions, adapter)
                == std::max(newestVersion(before, adapter).value_or(0), version));
        }
    }

} // namespace
} // namespace marigoldladder::relay
