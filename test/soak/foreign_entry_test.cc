// A restart of all relay processes while an entry of another writer, under a name of any characters, stands
// in the store's lists, which are longer than a page.
#include "soak/relay_site.h"
#include "soak/soak_callers.h"

#include <gtest/gtest.h>
#include <thread>

namespace marigoldladder::soak {
namespace {

    using std::chrono::milliseconds;

    constexpr auto relays = std::size_t { 3 };
    constexpr auto upstreams = std::size_t { 7 };
    constexpr auto startTime = milliseconds(10'000);
    constexpr auto recoveryTime = milliseconds(12'000); // The users' bound.
    constexpr auto rounds = 40; // Of one request to each relay.
    constexpr auto roundPause = milliseconds(25);

    constexpr auto listedKinds = { "servers", "config", "evacuations", "versions", "members" };

    struct EntryName {
        const char* m_label = ""; // In the test's name.
        std::string m_name;
    };

    auto operator<<(std::ostream& stream, const EntryName& name) -> std::ostream&
    {
        return stream << name.m_label;
    }

    auto entryNames() -> std::vector<EntryName>
    {
        return { { "AnAmpersand", "i-1&x" }, { "APlusSign", "i-1+x" }, { "ANumberSign", "i-1#x" },
            { "APercentSign", "i-1%x" }, { "ABlank", "i-1 x" }, { "AQuotationMark", "i-1\"x" },
            { "ALineBreak", "i-1\r\nx: y" }, { "ANullByte", std::string("i-1\0x", 5) },
            { "AnAccentedLetter", "i-1\xc3\xa9" }, { "ABackslash", "i-1\\x" },
            { "BytesThatAreNotUtf8", "i-1\xff\xfe" }, { "ASlash", "i-1/../x" },
            { "AnEncodedLetter", "i-1%41" }, { "ThousandsOfBytes", "i-1" + std::string(5'000, 'x') },
            { "ABlankAlone", " " }, { "NothingAtAll", "" } };
    }

    class ForeignObjectsTest : public testing::Test {
    protected:
        auto SetUp() -> void override { ASSERT_TRUE(m_site.allReady(startTime)) << "the site did not start"; }

        auto restartAll() -> void
        {
            for (auto& relay : m_site.relays())
                m_site.kill(relay);
            for (auto& relay : m_site.relays())
                m_site.restart(relay, harness::ReadyLine::NotAwaited);
        }

        auto expectService() -> void
        {
            ASSERT_TRUE(m_site.allReady(recoveryTime)) << "not every relay says that it is ready";
            auto served = 0;
            for (auto round = 0; round < rounds; ++round, std::this_thread::sleep_for(roundPause)) {
                for (const auto& address : m_site.callerAddresses()) {
                    const auto id = "after-" + std::to_string(++m_requests);
                    const auto attempt = callOnce(address, RouteKind::Repeatable, id, id);
                    served += attempt.m_status == 200 && attempt.m_complete ? 1 : 0;
                }
            }
            EXPECT_EQ(served, m_requests);
        }

        SoakRecord m_record;
        RelaySite m_site { relays, upstreams, m_record };
        int m_requests = 0;
    };

    class ForeignEntryTest : public ForeignObjectsTest, public testing::WithParamInterface<EntryName> { };

    // Issue 64: no node was ready while the entry stood, as it was the last one of a page.
    TEST_P(ForeignEntryTest, StopsNoServiceAfterARestart)
    {
        m_site.setStorePageSize(1);
        m_site.writeForeignEntry(GetParam().m_name);
        restartAll();
        expectService();
    }

    INSTANTIATE_TEST_SUITE_P(NameWith, ForeignEntryTest, testing::ValuesIn(entryNames()),
        [](const auto& instance) { return std::string(instance.param.m_label); });

    // Issue 64: the store was asked for the same pages without an end.
    TEST_F(ForeignObjectsTest, OfAllNamesInAllKindsStopNoService)
    {
        constexpr auto pageSize = std::size_t { 3 };
        constexpr auto quietTime = milliseconds(1'000);
        m_site.setStorePageSize(pageSize);
        for (const auto* kind : listedKinds) {
            for (const auto& entry : entryNames())
                m_site.writeEmptyObject(kind, entry.m_name);
        }
        restartAll();
        expectService();
        const auto before = m_site.storeListCalls();
        std::this_thread::sleep_for(quietTime);
        // Members are listed again now and then; a whole listing has some ten pages.
        EXPECT_LT(m_site.storeListCalls() - before, 40);
    }

} // namespace
} // namespace marigoldladder::soak
