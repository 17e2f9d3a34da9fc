// Settings and release notes from arbitrary bytes: refused or read, never more.
#include "marigoldladder/release_note.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace marigoldladder {
namespace {

    // Characters that JSON is made of, so that many draws get past the first byte.
    auto jsonLikeText() -> rc::Gen<std::string>
    {
        const auto piece = rc::gen::element<std::string>("{", "}", "[", "]", ":", ",", "\"changes\"",
            "\"note_id\"", "\"put\"", "\"key\"", "\"vm\"", "\"drain\"", "\"scope\"", "\"x\"", "1", "-1e9",
            "null", "true", "\"\\u0000\"", "\xff");
        return rc::gen::map(
            rc::gen::container<std::vector<std::string>>(piece), [](const std::vector<std::string>& pieces) {
                auto text = std::string();
                for (const auto& part : pieces)
                    text += part;
                return text;
            });
    }

    RC_GTEST_PROP(SettingsFuzzTest, AnyTextIsReadOrRefusedWithAFault, ())
    {
        const auto settings = parseNodeSettings(*jsonLikeText());
        RC_ASSERT(settings || !settings.error().m_faults.empty());
    }

    RC_GTEST_PROP(ReleaseNoteFuzzTest, AnyTextIsReadOrRefusedWithAFault, ())
    {
        const auto note = parseReleaseNote(*jsonLikeText());
        RC_ASSERT(note || !note.error().m_faults.empty());
    }

    RC_GTEST_PROP(ReleaseNoteFuzzTest, AnyBytesAreReadOrRefusedWithAFault, (const std::string& bytes))
    {
        const auto note = parseReleaseNote(bytes);
        RC_ASSERT(note || !note.error().m_faults.empty());
    }

} // namespace
} // namespace marigoldladder
