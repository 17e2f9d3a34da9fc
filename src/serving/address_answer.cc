#include "serving/address_answer.h"

#include "routing/rendezvous.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <tuple>

namespace marigoldladder {

namespace {

    // Nodes that an organisation's answers are drawn from: some more than one answer names.
    constexpr auto nodesPerOrganisation = maxNamedAddresses + maxNamedAddresses / 2;

    // Loads that differ by less than this many requests count as equal, as they are old when they arrive.
    constexpr auto loadStep = std::uint32_t { 4 };

    constexpr auto mostPerDataCentre = maxNamedAddresses / 2;

    using Candidates = std::vector<const Member*>;

    auto mayBeNamed(const Member& member, const Configuration& configuration) -> bool
    {
        const auto heard = member.m_heardAt != MonotonicTime();
        return heard && member.m_state == MemberState::Alive
            && !isOut(configuration, member.m_vm, member.m_dataCentre);
    }

    auto eligibleMembers(const Membership& membership, const Configuration& configuration) -> Candidates
    {
        auto candidates = Candidates();
        for (const auto& [vm, member] : membership.m_members) {
            if (mayBeNamed(member, configuration))
                candidates.push_back(&member);
        }
        return candidates;
    }

    // Orders by the key's rendezvous weight, highest first, so that the same key meets the same nodes.
    auto rankFor(Candidates& candidates, std::string_view key) -> void
    {
        auto weights = std::map<const Member*, std::uint64_t>();
        for (const auto* member : candidates)
            weights[member] = rendezvousWeight(key, member->m_vm.value());
        std::sort(candidates.begin(), candidates.end(),
            [&](const auto* left, const auto* right) { return weights[left] > weights[right]; });
    }

    // Keeps the first `count` of a ranking, with at most half of an answer's size from one data centre; what
    // that leaves open is filled with the next in rank.
    auto spreadOverDataCentres(const Candidates& ranked, std::size_t count, std::size_t mostFromOne)
        -> Candidates
    {
        auto taken = Candidates();
        auto passedOver = Candidates();
        auto perDataCentre = std::map<DataCentreName, std::size_t>();
        for (const auto* member : ranked) {
            const auto full = perDataCentre[member->m_dataCentre] >= mostFromOne;
            if (full || taken.size() == count) {
                passedOver.push_back(member);
                continue;
            }
            ++perDataCentre[member->m_dataCentre];
            taken.push_back(member);
        }
        const auto open = std::min(count - taken.size(), passedOver.size());
        taken.insert(taken.end(), passedOver.begin(), passedOver.begin() + static_cast<std::ptrdiff_t>(open));
        return taken;
    }

    auto orderByLoad(Candidates& candidates, std::uint64_t seed) -> void
    {
        const auto key = std::to_string(seed);
        const auto order = [&](const Member* member) {
            return std::tuple(
                member->m_requestsInFlight / loadStep, rendezvousWeight(key, member->m_vm.value()));
        };
        std::sort(candidates.begin(), candidates.end(),
            [&](const auto* left, const auto* right) { return order(left) < order(right); });
    }

} // namespace

auto chooseAddresses(const Membership& membership, const Configuration& configuration,
    const AddressQuestion& question) -> AddressAnswer
{
    auto candidates = eligibleMembers(membership, configuration);
    if (candidates.size() > nodesPerOrganisation) {
        const auto key = question.m_organisation.empty() ? std::to_string(question.m_seed)
                                                         : question.m_organisation.value();
        rankFor(candidates, key);
        candidates = spreadOverDataCentres(candidates, nodesPerOrganisation, nodesPerOrganisation / 2);
    }
    orderByLoad(candidates, question.m_seed);
    candidates = spreadOverDataCentres(candidates, maxNamedAddresses, mostPerDataCentre);
    auto answer = AddressAnswer();
    for (const auto* member : candidates) {
        answer.m_addresses.push_back(
            { member->m_vm, member->m_incarnation, member->m_dataCentre, member->m_callerAddress });
    }
    return answer;
}

auto formatAddressAnswer(const AddressAnswer& answer, KeyEpoch epoch) -> std::string
{
    auto rows = nlohmann::json::array();
    for (const auto& row : answer.m_addresses) {
        rows.push_back({
            { "address", formatAddress(row.m_address) },
            { "data_centre", row.m_dataCentre.value() },
            { "key_prefix", makeKeyPrefix(row.m_vm, row.m_incarnation, epoch) },
        });
    }
    return nlohmann::json { { "ttl_ms", answer.m_timeToLive.count() }, { "addresses", rows } }.dump();
}

} // namespace marigoldladder
