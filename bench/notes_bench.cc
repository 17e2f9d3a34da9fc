// Figures of release notes: how long it takes to put them in force, and what a node keeps and sends.
#include "fleet/configuration_controller.h"
#include "fleet/note_exchange.h"
#include "fleet/note_spreader.h"
#include "platform/snapshot.h"
#include "wire/frame.h"

#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>

namespace {

using namespace marigoldladder;

constexpr auto adapters = std::size_t { 16'000 };
constexpr auto wholeBoundMilliseconds = 200.0;
constexpr auto lineBoundMilliseconds = 1.0;
constexpr auto repetitions = 5;
constexpr auto lineRepetitions = 1001;

// Prints a figure; false when it is above its bound.
auto printFigure(const char* name, double value, const char* unit, double bound) -> bool
{
    const auto json
        = nlohmann::json { { "name", name }, { "value", value }, { "unit", unit }, { "bound", bound } };
    std::cout << json.dump() << std::endl;
    return value <= bound;
}

// Returns the median time of several runs, in milliseconds.
template <typename Function> auto medianMilliseconds(int runs, Function function) -> double
{
    auto times = std::vector<double>();
    for (auto i = 0; i < runs; ++i) {
        const auto begun = std::chrono::steady_clock::now();
        function();
        const std::chrono::duration<double, std::milli> taken = std::chrono::steady_clock::now() - begun;
        times.push_back(taken.count());
    }
    std::sort(times.begin(), times.end());
    return times[times.size() / 2];
}

auto adapterNote(const std::string& id, std::size_t count) -> ReleaseNote
{
    auto note = ReleaseNote { NoteId(id), "anna", "bern", "2030-01-01T00:00:00Z", {} };
    for (auto i = std::size_t { 0 }; i < count; ++i) {
        auto adapter = Adapter();
        adapter.m_ref = { "tenant-adapter-" + std::to_string(i), "1" };
        adapter.m_pool = PoolName("triage-models");
        adapter.m_path = "weights/" + formatAdapterRef(adapter.m_ref);
        note.m_changes.push_back({ ChangeAction::Put, adapter, std::nullopt });
    }
    return note;
}

// From the text of a note to the configuration in force, as at a node that learns of it.
auto measureWholeNote() -> bool
{
    const auto text = formatReleaseNote(adapterNote("whole", adapters));
    const auto milliseconds = medianMilliseconds(repetitions, [&] {
        auto blackboard = Blackboard();
        putConfigurationInForce(blackboard, Configuration());
        putNoteInForce(blackboard, parseReleaseNote(text).value(), 1);
    });
    return printFigure("note_of_16000_adapters", milliseconds, "ms", wholeBoundMilliseconds);
}

auto measureSnapshot(const Configuration& configuration) -> bool
{
    const auto text = formatSnapshot(configuration);
    const auto milliseconds = medianMilliseconds(repetitions, [&] {
        auto blackboard = Blackboard();
        putConfigurationInForce(blackboard, parseSnapshot(text).value());
    });
    const auto bytes = static_cast<double>(text.size());
    const auto inTime = printFigure("snapshot_of_16000_adapters", milliseconds, "ms", wholeBoundMilliseconds);
    return printFigure("snapshot_bytes", bytes, "B", static_cast<double>(maxFrameBytes)) && inTime;
}

auto measureOneLine(Blackboard& blackboard) -> bool
{
    auto revision = Revision { 1 };
    const auto milliseconds = medianMilliseconds(lineRepetitions, [&] {
        const auto text = formatReleaseNote(adapterNote("line-" + std::to_string(revision), 1));
        putNoteInForce(blackboard, parseReleaseNote(text).value(), ++revision);
    });
    return printFigure("note_of_one_line", milliseconds, "ms", lineBoundMilliseconds);
}

auto measureExchange(const Blackboard& blackboard) -> bool
{
    constexpr auto bytesPerSecond = 17'000.0;
    constexpr auto quietRoundsPerSecond = 1000.0 / static_cast<double>(quietNoteInterval.count());
    const auto request = makeNotesRequest(blackboard);
    const auto asked = encodeFrame(makeEnvelope(1, makeNotesRequest(blackboard))).size();
    const auto answered = encodeFrame(makeEnvelope(1, makeNotesAnswer(blackboard, request))).size();
    const auto bytes = static_cast<double>(asked + answered) * 2 * quietRoundsPerSecond;
    return printFigure("quiet_exchange_per_node", bytes, "B/s", bytesPerSecond);
}

} // namespace

auto main() -> int
{
    auto withinBounds = measureWholeNote();
    auto blackboard = Blackboard();
    putConfigurationInForce(blackboard, Configuration());
    putNoteInForce(blackboard, adapterNote("whole", adapters), 1);
    withinBounds = measureOneLine(blackboard) && withinBounds;
    withinBounds = measureExchange(blackboard) && withinBounds;
    withinBounds = measureSnapshot(blackboard.m_configuration.copy()) && withinBounds;
    return withinBounds ? 0 : 1;
}
