// Random schedules of two offices, retries, pending restrictions and late readers.
#include "marigoldladder/release_note.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace marigoldladder {
namespace {

    constexpr auto routeCount = 3;

    auto routeOf(int number) -> Route
    {
        auto route = Route();
        route.m_name = RouteName("route-" + std::to_string(number));
        route.m_pool = PoolName("booking-app");
        return route;
    }

    auto noteOf(const std::string& id, ChangeAction action, int route) -> ReleaseNote
    {
        return { NoteId(id), "anna", "bern", "", { { action, routeOf(route), std::nullopt } } };
    }

    // A log and one node that follows it, with the notes that were handed over so far.
    struct Schedule {
        std::vector<ReleaseNote> m_log;
        std::vector<ReleaseNote> m_handedOver;
        Configuration m_configuration;
        Configuration m_elsewhere; // Of a node that has heard of no pending note.

        auto record(const ReleaseNote& note) -> void
        {
            m_log.push_back(note);
            applyReleaseNote(m_configuration, note, m_log.size());
            applyReleaseNote(m_elsewhere, note, m_log.size());
        }

        // As a node does: nothing is recorded twice, nothing against what stands.
        auto handOver(const ReleaseNote& note) -> void
        {
            m_handedOver.push_back(note);
            for (const auto& [id, pending] : std::map(m_configuration.m_pending))
                record(*pending);
            if (!m_configuration.m_appliedNotes.contains(note.m_id)
                && checkReleaseNote(m_configuration, note).empty())
                record(note);
        }

        auto step(int number) -> void
        {
            const auto route = *rc::gen::inRange(0, routeCount);
            const auto id = "note-" + std::to_string(number);
            const auto put = noteOf(id, ChangeAction::Put, route);
            switch (*rc::gen::inRange(0, 5)) {
            case 0:
                handOver(put);
                break;
            case 3:
                if (checkReleaseNote(m_elsewhere, put).empty())
                    record(put);
                break;
            case 1:
                handOver(noteOf(id, ChangeAction::Withdraw, route));
                break;
            case 2:
                addPendingRestriction(m_configuration, noteOf(id, ChangeAction::Withdraw, route));
                break;
            default:
                if (!m_handedOver.empty())
                    handOver(*rc::gen::elementOf(m_handedOver));
            }
        }

        auto has(int route) const -> bool { return m_configuration.m_routes.contains(routeOf(route).m_name); }
    };

    RC_GTEST_PROP(ReleaseNoteProperty, NothingWithdrawnComesBackUnknowingly, ())
    {
        auto schedule = Schedule();
        auto withdrawn = std::array<bool, routeCount> {};
        const auto steps = *rc::gen::inRange(1, 40);
        for (auto number = 0; number < steps; ++number) {
            const auto before = schedule;
            schedule.step(number);
            for (auto route = 0; route < routeCount; ++route) {
                withdrawn.at(route) = withdrawn.at(route) || (before.has(route) && !schedule.has(route));
                RC_ASSERT(!(withdrawn.at(route) && schedule.has(route)));
            }
        }
    }

    RC_GTEST_PROP(ReleaseNoteProperty, EveryReaderOfTheLogEndsAlike, ())
    {
        auto schedule = Schedule();
        const auto steps = *rc::gen::inRange(1, 40);
        for (auto number = 0; number < steps; ++number)
            schedule.step(number);
        for (const auto& [id, pending] : std::map(schedule.m_configuration.m_pending))
            schedule.record(*pending);
        auto reader = Configuration();
        for (const auto& note : schedule.m_log)
            applyReleaseNote(reader, note, reader.m_revision + 1);
        RC_ASSERT(reader.m_revision == schedule.m_configuration.m_revision);
        RC_ASSERT(reader.m_withdrawals == schedule.m_configuration.m_withdrawals);
        for (auto route = 0; route < routeCount; ++route)
            RC_ASSERT(reader.m_routes.contains(routeOf(route).m_name) == schedule.has(route));
    }

} // namespace
} // namespace marigoldladder
