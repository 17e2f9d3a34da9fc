// Nodes' allowances that exchange tokens by function calls, over a network that loses and doubles them.
#pragma once

#include "limits/allowance.h"
#include "limits/charge_log.h"

#include <memory>
#include <vector>

namespace marigoldladder {

enum class Network {
    Works,
    Cut,
    LosesAnswers,
    LosesReturns,
    DoublesEverything,
    Slow, // Answers take long, but come in time.
    TooSlow, // Answers come after their time.
};

inline constexpr auto networkCount = 7;

class FakeFleet {
public:
    FakeFleet(std::size_t nodes, double rate, double burst)
        : m_rate(rate)
        , m_burst(burst)
    {
        m_nodes.resize(nodes);
        for (auto i = std::size_t { 0 }; i < slotCount; ++i)
            m_slots.push_back(nameOf(i % nodes));
        for (auto i = std::size_t { 0 }; i < nodes; ++i)
            restart(i);
        changeRate(rate, burst);
        publishSlots();
    }

    static auto organisation() -> OrganisationName { return OrganisationName("aare"); }

    auto node(std::size_t index) -> Allowance& { return *m_nodes.at(index % m_nodes.size()).m_allowance; }

    auto pass(double seconds) -> void { m_seconds += seconds; }

    auto setNetwork(Network network) -> void { m_network = network; }

    auto admit(std::size_t index, double tokens) -> bool
    {
        auto reservation = node(index).admit(organisation(), tokens);
        if (!reservation)
            return false;
        const auto number = m_open.size();
        m_log.charge(number, m_seconds, tokens);
        m_open.push_back({ index % m_nodes.size(), reservation.value(), tokens, false, number });
        return true;
    }

    // Ends the newest request of the node with so many tokens used.
    auto settleNewest(std::size_t index, double used) -> void
    {
        m_log.refund(m_open.size() - 1, [&](ChargeId) { return m_open.back().m_tokens - used; });
        node(index).settle(m_open.back().m_reservation, used);
    }

    // Ends any request that is open, with a part of its tokens used.
    auto settleAny(std::size_t pick, std::uint8_t part) -> void
    {
        if (m_open.empty())
            return;
        auto& open = m_open[(pick * 31 + part) % m_open.size()];
        if (open.m_settled || m_nodes[open.m_node].m_start > open.m_start)
            return;
        open.m_settled = true;
        const auto used = open.m_tokens * part / 255.0;
        m_log.refund((pick * 31 + part) % m_open.size(), [&](ChargeId) { return open.m_tokens - used; });
        node(open.m_node).settle(open.m_reservation, used);
    }

    // Starts the node's process anew; its part is the same, and empty.
    auto restart(std::size_t index) -> void
    {
        auto& node = m_nodes.at(index % m_nodes.size());
        node.m_allowance.reset();
        node.m_allowance = std::make_unique<Allowance>(
            m_blackboard, nameOf(index % m_nodes.size()), transport(), [this] { return now(); });
        node.m_allowance->setFractions(fractionsOf({ m_slots, {} }, nameOf(index % m_nodes.size())));
        node.m_start = m_open.size();
    }

    // Moves all of one node's slots to another, which first are lowered and then raised.
    auto reassign(std::size_t from, std::size_t to) -> void
    {
        from %= m_nodes.size();
        to %= m_nodes.size();
        if (from == to)
            return;
        node(from).setFractions(GroupFractions());
        for (auto& slot : m_slots)
            slot = slot == nameOf(from) ? nameOf(to) : slot;
        node(to).setFractions(fractionsOf({ m_slots, {} }, nameOf(to)));
        publishSlots();
    }

    auto changeRate(double rate, double burst) -> void
    {
        m_blackboard.m_configuration.write([&](Configuration& configuration) {
            const auto next = configuration.m_revision + 1;
            configuration.m_revision = next;
            configuration.m_organisations[organisation()] = { organisation(), rate, burst, 1, next };
        });
    }

    auto excess() const -> double { return m_log.excess(m_rate, m_burst); }

private:
    struct FakeNode {
        std::unique_ptr<Allowance> m_allowance;
        std::size_t m_start = 0; // How many requests there had been when it started.
    };

    struct OpenRequest {
        std::size_t m_node = 0;
        Reservation m_reservation;
        double m_tokens = 0;
        bool m_settled = false;
        std::size_t m_start = 0;
    };

    static auto nameOf(std::size_t index) -> VmName { return VmName("vm-" + std::to_string(index)); }
    static auto indexOf(const VmName& vm) -> std::size_t { return std::stoul(vm.value().substr(3)); }

    auto now() const -> MonotonicTime
    {
        constexpr auto nanosecondsPerSecond = 1e9;
        return MonotonicTime(
            std::chrono::nanoseconds(static_cast<std::int64_t>((m_seconds + 1000) * nanosecondsPerSecond)));
    }

    auto transport() -> TokenTransport
    {
        return { [this](const VmName& vm, const TokenTransfer& transfer) { return ask(vm, transfer); },
            [this](const VmName& vm, const TokenTransfer& transfer) { giveBack(vm, transfer); } };
    }

    auto ask(const VmName& vm, const TokenTransfer& transfer) -> std::optional<TokenGift>
    {
        if (m_network == Network::Cut)
            return std::nullopt;
        const auto gift = node(indexOf(vm)).give(transfer);
        if (m_network == Network::DoublesEverything)
            (void)node(indexOf(vm)).give(transfer);
        if (m_network == Network::Slow)
            pass(0.09);
        if (m_network == Network::TooSlow)
            pass(0.4);
        return m_network == Network::LosesAnswers ? std::nullopt : std::optional(gift);
    }

    auto giveBack(const VmName& vm, const TokenTransfer& transfer) -> void
    {
        if (m_network == Network::Cut || m_network == Network::LosesReturns)
            return;
        node(indexOf(vm)).takeBack(transfer);
        if (m_network == Network::DoublesEverything)
            node(indexOf(vm)).takeBack(transfer);
    }

    auto publishSlots() -> void
    {
        m_blackboard.m_shares.write([&](ShareTable& table) { table.m_slots = m_slots; });
        m_blackboard.m_membership.write([&](Membership& membership) {
            for (auto i = std::size_t { 0 }; i < m_nodes.size(); ++i)
                membership.m_members[nameOf(i)].m_vm = nameOf(i);
        });
    }

    double m_rate;
    double m_burst;
    double m_seconds = 0;
    Network m_network = Network::Works;
    Blackboard m_blackboard;
    std::vector<VmName> m_slots;
    std::vector<FakeNode> m_nodes;
    std::vector<OpenRequest> m_open;
    ChargeLog m_log;
};

} // namespace marigoldladder
