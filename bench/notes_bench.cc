// Figures of release notes: how long it takes to put them in force, and what a node keeps and sends.
#include "fleet/configuration_controller.h"
#include "fleet/note_exchange.h"
#include "fleet/note_spreader.h"
#include "objects/snapshot.h"
#include "wire/frame.h"

#include <algorithm>
#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <utility>

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

// A fleet in one process, run in lockstep: in each round every node asks the neighbours whose turn it is, as
// NoteSpreader does over connections.
struct SimulatedNode {
    VmName m_vm;
    std::vector<VmName> m_neighbours;
    Blackboard m_blackboard;
    std::size_t m_newsFor = 0; // Rounds left in which the node asks often.
    std::optional<VmName> m_ahead;
};

using Fleet = std::map<VmName, std::unique_ptr<SimulatedNode>>;

auto makeFleet(unsigned size) -> Fleet
{
    constexpr auto dataCentres = 19U;
    auto membership = Membership();
    for (auto i = 0U; i < size; ++i) {
        auto member = Member();
        member.m_vm = VmName("vm-" + std::to_string(i));
        member.m_dataCentre = DataCentreName("dc-" + std::to_string(i % dataCentres));
        membership.m_members.emplace(member.m_vm, member);
    }
    auto fleet = Fleet();
    for (const auto& [vm, member] : membership.m_members) {
        auto node = std::make_unique<SimulatedNode>();
        node->m_vm = vm;
        node->m_neighbours = noteNeighbours(membership, vm, member.m_dataCentre);
        putConfigurationInForce(node->m_blackboard, Configuration());
        fleet.emplace(vm, std::move(node));
    }
    return fleet;
}

auto revisionOf(const SimulatedNode& node) -> Revision
{
    return node.m_blackboard.m_configuration.read(
        [](const Configuration& value) { return value.m_revision; });
}

auto askPeer(SimulatedNode& node, SimulatedNode& peer) -> void
{
    constexpr auto newsRounds = std::size_t { 13 };
    const auto request = makeNotesRequest(node.m_blackboard);
    if (request.after > revisionOf(peer))
        peer.m_ahead = node.m_vm;
    if (takeNotesAnswer(node.m_blackboard, makeNotesAnswer(peer.m_blackboard, request)))
        node.m_newsFor = newsRounds;
}

auto runRound(Fleet& fleet, std::mt19937_64& random) -> void
{
    constexpr auto fanout = 2;
    for (auto& [vm, node] : fleet) {
        if (const auto ahead = std::exchange(node->m_ahead, std::nullopt))
            askPeer(*node, *fleet.at(*ahead));
        if (node->m_newsFor == 0)
            continue;
        --node->m_newsFor;
        for (auto i = 0; i < fanout; ++i)
            askPeer(*node, *fleet.at(node->m_neighbours[random() % node->m_neighbours.size()]));
    }
}

// Returns the seconds until a note recorded at one node is in force everywhere, without the platform and
// without gossip of members; the worst of several seeds.
auto spreadSeconds(unsigned size) -> double
{
    constexpr auto seeds = 5U;
    constexpr auto mostRounds = 200;
    constexpr auto secondsPerRound = 0.15;
    auto worst = 0;
    for (auto seed = 0U; seed < seeds; ++seed) {
        auto random = std::mt19937_64(seed);
        auto fleet = makeFleet(size);
        auto& first = *fleet.begin()->second;
        putNoteInForce(first.m_blackboard, adapterNote("line", 1), 1);
        first.m_newsFor = mostRounds;
        const auto behind = [](const auto& entry) { return revisionOf(*entry.second) == 0; };
        auto rounds = 0;
        while (rounds < mostRounds && std::any_of(fleet.begin(), fleet.end(), behind)) {
            runRound(fleet, random);
            ++rounds;
        }
        worst = std::max(worst, rounds);
    }
    return worst * secondsPerRound;
}

auto measureSpread() -> bool
{
    constexpr auto boundSeconds = 4.0;
    const auto small = printFigure("note_on_9_nodes", spreadSeconds(9), "s", boundSeconds);
    const auto large = printFigure("note_on_350_nodes", spreadSeconds(350), "s", boundSeconds);
    return small && large;
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
    withinBounds = measureSpread() && withinBounds;
    return withinBounds ? 0 : 1;
}
