// The fixture of the tests of allowances: an organisation with a limit, and a simulated fleet of nodes that
// charge its requests.
#pragma once

#include "relay/allowance_shards.h"
#include "relay/relay_fixtures.h"

#include <algorithm>
#include <optional>
#include <random>
#include <vector>

namespace marigoldladder::relay {

inline constexpr auto rate = 50'000.0; // The organisation's tokens per second.
inline constexpr auto burst = 180'000.0; // Its burst tokens.
inline constexpr auto windowSeconds = 8.0; // In which the limit is checked.
inline constexpr auto requestTokens = 1'500.0;

inline auto organisation() -> Organisation
{
    auto result = Organisation();
    result.m_name = OrganisationName("acme");
    result.m_tokensPerSecond = rate;
    result.m_burstTokens = burst;
    return result;
}

inline auto bootClockAt(double seconds) -> BootClockTime
{
    return std::chrono::duration_cast<BootClockTime>(std::chrono::duration<double>(seconds));
}

// Simulates nodes that exchange summaries and charge one organisation's requests.
class AllowanceFleet {
public:
    explicit AllowanceFleet(std::size_t nodes)
        : m_nodes(nodes)
    {
        for (auto node = std::size_t { 0 }; node < nodes; ++node)
            restart(node);
    }

    // Resets the node's state, except the list of nodes, which it reads from the store.
    auto restart(std::size_t node) -> void
    {
        m_nodes[node] = Node();
        m_nodes[node].m_view.m_membersRead = true;
        for (auto peer = std::size_t { 0 }; peer < m_nodes.size(); ++peer) {
            if (peer != node)
                m_nodes[node].m_view.m_peers[nameOf(peer)].m_vm = nameOf(peer);
        }
    }

    auto setPaused(std::size_t node, bool paused) -> void { m_nodes[node].m_paused = paused; }

    // Partitions the fleet into two groups of nodes; 0 ends the partition.
    auto partition(std::size_t firstOfSecondGroup) -> void { m_partitionAt = firstOfSecondGroup; }

    // Cuts all nodes off from each other.
    auto isolate() -> void { m_isolated = true; }

    // Sends all requests to one node.
    auto sendRequestsTo(std::size_t node) -> void { m_onlyNode = node; }

    // Advances the time. Each node sends a summary to all others every 2 s and updates its shards every
    // 0.2 s.
    auto advance(double seconds) -> void
    {
        for (auto end = m_time + seconds; m_time < end; m_time += stepSeconds, ++m_step) {
            for (auto node = std::size_t { 0 }; node < m_nodes.size(); ++node) {
                if ((m_step + node) % 200 == 0)
                    sendSummary(node);
                if ((m_step + node) % 20 == 0)
                    update(node);
            }
            sendDueRequests();
        }
    }

    // Sets the rate of the requests, which arrive at random nodes.
    auto setDemand(double tokensPerSecond) -> void { m_demand = tokensPerSecond; }

    // Returns the largest number of tokens granted in any window.
    auto maxGrantedInWindow() const -> double
    {
        auto most = 0.0;
        auto sum = 0.0;
        auto first = std::size_t { 0 };
        for (const auto at : m_granted) {
            sum += requestTokens;
            for (; m_granted[first] + windowSeconds <= at; ++first)
                sum -= requestTokens;
            most = std::max(most, sum);
        }
        return most;
    }

    auto granted() const -> double { return requestTokens * static_cast<double>(m_granted.size()); }

    auto ownersOfFirstShard() const -> std::size_t
    {
        return static_cast<std::size_t>(std::count_if(m_nodes.begin(), m_nodes.end(), [](const Node& node) {
            return node.m_owned.m_shards.contains({ shortId("acme"), 0 });
        }));
    }

private:
    static constexpr auto stepSeconds = 0.01;

    struct Node {
        FleetView m_view;
        OwnedShards m_owned;
        std::vector<VmName> m_candidates;
        bool m_paused = false; // Its process doesn't run: it receives, sends and grants nothing.
    };

    static auto nameOf(std::size_t node) -> VmName { return VmName("vm-" + std::to_string(node)); }

    auto canReach(std::size_t left, std::size_t right) const -> bool
    {
        const auto partitioned = m_partitionAt != 0 && (left < m_partitionAt) != (right < m_partitionAt);
        return !partitioned && !m_isolated && !m_nodes[left].m_paused && !m_nodes[right].m_paused;
    }

    auto sendSummary(std::size_t from) -> void
    {
        for (auto to = std::size_t { 0 }; to < m_nodes.size(); ++to) {
            if (to == from || !canReach(from, to))
                continue;
            auto& peer = m_nodes[to].m_view.m_peers[nameOf(from)];
            peer.m_lastReceivedAt = at(m_time);
            peer.m_livenessTimeout = Milliseconds(2'600);
            peer.m_ready = true;
        }
    }

    auto update(std::size_t index) -> void
    {
        auto& node = m_nodes[index];
        if (node.m_paused)
            return;
        auto context = ShardContext();
        context.m_self = nameOf(index);
        context.m_now = at(m_time);
        context.m_bootClockNow = bootClockAt(m_time + 100);
        node.m_candidates = shardCandidates(node.m_view, { nameOf(index), 0.5, true }, context.m_now);
        context.m_candidates = node.m_candidates;
        context.m_reachableShare = reachableShare(node.m_view, context.m_now);
        updateOwnedShards(node.m_owned, { m_organisation }, context);
    }

    auto sendDueRequests() -> void
    {
        m_dueTokens += m_demand * stepSeconds;
        for (; m_dueTokens >= requestTokens; m_dueTokens -= requestTokens) {
            const auto node = m_onlyNode.value_or(m_random() % m_nodes.size());
            if (!m_nodes[node].m_paused && isGranted(node))
                m_granted.push_back(m_time);
        }
    }

    auto isGranted(std::size_t from) -> bool
    {
        const auto shards = shardCount(m_organisation);
        const auto first = m_random() % shards;
        for (auto index = std::size_t { 0 }; index < shards; ++index) {
            const auto shard = ShardId { shortId("acme"), (first + index) % shards };
            const auto owner = shardOwner(m_nodes[from].m_candidates, shard);
            for (auto to = std::size_t { 0 }; owner && to < m_nodes.size(); ++to) {
                if (nameOf(to) != *owner || !(to == from || canReach(from, to)))
                    continue;
                const auto charged
                    = chargeShard(m_nodes[to].m_owned, shard, m_organisation, requestTokens, at(m_time));
                if (charged.m_outcome == ChargeOutcome::Granted)
                    return true;
            }
        }
        return false;
    }

    Organisation m_organisation = organisation();
    std::vector<Node> m_nodes;
    std::vector<double> m_granted; // Time of each granted request, in seconds.
    std::size_t m_partitionAt = 0;
    bool m_isolated = false;
    std::optional<std::size_t> m_onlyNode;
    std::size_t m_step = 0;
    double m_time = 0;
    double m_demand = 0;
    double m_dueTokens = 0;
    std::mt19937 m_random { 7 };
};

} // namespace marigoldladder::relay
