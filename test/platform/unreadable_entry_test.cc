// Entries of the store that can't be read, beside sound ones.
#include "platform/relay_path_fixture.h"

namespace marigoldladder::platform {
namespace {

    constexpr auto upstreamKind = "servers";

    // An entry like that of a sound upstream, but for the value of one field.
    auto entryWith(const std::string& field, const std::string& value) -> std::string
    {
        const auto entry = nlohmann::json { { "service", "pool" }, { "address", "127.0.0.1:9" },
            { "zone", "here" }, { "version", "v1" }, { "slots", 16 }, { "state", "ready" },
            { "cold_left_ms", 0 }, { "sequence", 0 } };
        auto text = std::string("{");
        for (const auto& [name, sound] : entry.items())
            text += '"' + name + "\":" + (name == field ? value : sound.dump()) + ',';
        text.back() = '}';
        return text;
    }

    auto nested(std::size_t depth) -> std::string
    {
        return std::string(depth, '[') + std::string(depth, ']');
    }

    class UnreadableEntryTest : public RelayPathTest {
    protected:
        // Writes the entry, then replaces the only upstream, and expects the new one to serve.
        auto expectReplacementBeside(const std::string& entry) -> void
        {
            addUpstream("i-old", answerWith("old"));
            configure();
            m_relay.putText(upstreamKind, "i-other", entry);
            addUpstream("i-new", answerWith("new"));
            m_relay.removeUpstream("i-old");
            const auto serves = [&] {
                return m_relay.send(callerRequest("GET", "/plain/a")).m_body == "new"
                    && m_relay.counter(Counter::ObjectsUnreadable) == 1;
            };
            EXPECT_TRUE(m_relay.eventually(serves));
            EXPECT_FALSE(m_relay.requestsAt("i-new").empty());
        }
    };

    // Review 4: a node ended by a stack overflow as it copied such an entry, again at each start.
    TEST_F(UnreadableEntryTest, AListNestedDeeplyEndsNoNode)
    {
        expectReplacementBeside(entryWith("slots", nested(450'000)));
    }

    TEST_F(UnreadableEntryTest, BytesThatAreNoTextHideNoOtherEntry)
    {
        expectReplacementBeside(entryWith("address", "\"\xed\xa0\x80\""));
    }

    TEST_F(UnreadableEntryTest, ANumberThatIsTooLargeHidesNoOtherEntry)
    {
        expectReplacementBeside(entryWith("slots", "1e999"));
    }

    TEST_F(UnreadableEntryTest, AControlCharacterHidesNoOtherEntry)
    {
        expectReplacementBeside(entryWith("zone", "\"\x01\""));
    }

    TEST_F(UnreadableEntryTest, AnEntryOfManyEmptyObjectsIsNotRead)
    {
        auto objects = std::string("[{}");
        for (auto count = 0; count < 300'000; ++count)
            objects += ",{}";
        expectReplacementBeside(entryWith("slots", objects + "]"));
    }

    // Issue 64: a line break in an entry's name was another header of each request sent there.
    TEST_F(UnreadableEntryTest, ANameWithALineBreakAddsNoHeader)
    {
        addUpstream("i-1", answerWith("ok"));
        configure();
        m_relay.putUpstreamCopy("i-1", "i-2\r\nx-other: y");
        for (auto number = 0; number < 40; ++number)
            EXPECT_EQ(m_relay.send(callerRequest("GET", "/plain/a")).m_status, 200);
        for (const auto& request : m_relay.requestsAt("i-1"))
            EXPECT_TRUE(request["x-other"].empty());
        EXPECT_EQ(m_relay.counter(Counter::ObjectsUnreadable), 1U);
    }

    // Only one object holds the configuration, whatever else stands beside it.
    TEST_F(UnreadableEntryTest, AnObjectBesideTheConfigurationIsNone)
    {
        addUpstream("i-1", answerWith("ok"));
        configure();
        auto other = testConfiguration(99);
        other["routes"] = nlohmann::json::array();
        m_relay.put("config", "main ", other);
        const auto isSeen = [&] { return m_relay.counter(Counter::ObjectsUnreadable) == 1; };
        EXPECT_TRUE(m_relay.eventually(isSeen));
        EXPECT_EQ(m_relay.send(callerRequest("GET", "/plain/a")).m_status, 200);
    }

} // namespace
} // namespace marigoldladder::platform
