// Measures admission: its time at the size designed for, and refusals within the rate against a static
// part for each node. Each figure is one JSON line; the exit code is 1 when one misses its bound.
#include "core/secret_digest.h"
#include "limits/allowance.h"
#include "serving/caller_request.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <memory>
#include <random>
#include <string_view>
#include <vector>

namespace marigoldladder {
namespace {

    constexpr auto adapterCount = 16'000U;
    constexpr auto organisationCount = 200U;
    constexpr auto keyCount = 5 * organisationCount;

    auto nameOf(const char* kind, std::size_t number) -> std::string
    {
        return kind + std::to_string(number);
    }

    auto fillConfiguration(Configuration& configuration) -> void
    {
        for (auto i = 0U; i < adapterCount; ++i) {
            auto adapter = Adapter();
            adapter.m_ref = { nameOf("adapter-", i), "1" };
            configuration.m_adapters[adapter.m_ref] = adapter;
        }
        for (auto i = 0U; i < organisationCount; ++i) {
            auto organisation = Organisation();
            organisation.m_name = OrganisationName(nameOf("organisation-", i));
            organisation.m_tokensPerSecond = 1e9;
            organisation.m_burstTokens = 1e9;
            configuration.m_organisations[organisation.m_name] = organisation;
        }
        for (auto i = 0U; i < keyCount; ++i) {
            auto grant = KeyGrant();
            grant.m_id = KeyId(nameOf("key-", i));
            grant.m_organisation = OrganisationName(nameOf("organisation-", i % organisationCount));
            grant.m_salt = "0123456789abcdef";
            grant.m_secretDigest = saltedDigest(grant.m_salt, "a-secret-of-usual-length-0123456");
            configuration.m_keys[grant.m_id] = grant;
        }
    }

    auto noTransport() -> TokenTransport
    {
        return { [](const auto&, const auto&) { return std::nullopt; }, [](const auto&, const auto&) {} };
    }

    // Prints the figure and returns whether it keeps its bound.
    auto report(std::string_view name, double value, std::string_view unit, double bound) -> bool
    {
        std::printf("{\"name\":\"%s\",\"value\":%.3f,\"unit\":\"%s\",\"bound\":%.3f}\n", name.data(), value,
            unit.data(), bound);
        return value <= bound;
    }

    auto wholeFractions() -> GroupFractions
    {
        auto fractions = GroupFractions();
        fractions.fill(1);
        return fractions;
    }

    // Authenticates and admits one request after the other; returns the nanoseconds of each.
    auto timeAdmissions(Blackboard& blackboard, Allowance& allowance) -> std::vector<double>
    {
        constexpr auto admissions = 200'000;
        auto random = std::mt19937(1);
        auto times = std::vector<double>();
        times.reserve(admissions);
        for (auto i = 0; i < admissions; ++i) {
            const auto number = random() % keyCount;
            const auto header = "Bearer " + nameOf("key-", number) + ".a-secret-of-usual-length-0123456";
            const auto begun = std::chrono::steady_clock::now();
            const auto organisation = blackboard.m_configuration.read(
                [&](const Configuration& configuration) { return authenticate(configuration, header); });
            const auto reservation = allowance.admit(organisation.value(), 10);
            const auto ended = std::chrono::steady_clock::now();
            times.push_back(std::chrono::duration<double, std::nano>(ended - begun).count());
            allowance.settle(reservation.value(), 5);
        }
        std::sort(times.begin(), times.end());
        return times;
    }

    auto benchAdmission() -> bool
    {
        constexpr auto medianBound = 1000.0;
        constexpr auto p99Bound = 5000.0;
        constexpr auto p99 = 0.99;
        auto blackboard = Blackboard();
        blackboard.m_configuration.write(fillConfiguration);
        auto now = MonotonicTime(std::chrono::hours(1));
        auto allowance = Allowance(blackboard, VmName("a"), noTransport(), [&] { return now; });
        allowance.setFractions(wholeFractions());
        now += std::chrono::hours(1);
        const auto times = timeAdmissions(blackboard, allowance);
        const auto at = [&](double part) {
            return times[static_cast<std::size_t>(part * static_cast<double>(times.size() - 1))];
        };
        const auto medianKept = report("admission_median", at(0.5), "ns", medianBound);
        return report("admission_p99", at(p99), "ns", p99Bound) && medianKept;
    }

    // A fleet in one process, with skewed callers within the rate.
    class SkewedFleet {
    public:
        explicit SkewedFleet(bool exchange)
            : m_exchange(exchange)
        {
            for (auto slot = std::size_t { 0 }; slot < slotCount; ++slot)
                m_slots.push_back(vmName(slot % nodeCount));
            m_blackboard.m_shares.write([&](ShareTable& table) { table.m_slots = m_slots; });
            m_blackboard.m_configuration.write([&](Configuration& configuration) {
                configuration.m_organisations[m_name] = { m_name, rate, burst, 1, 1 };
            });
            for (auto node = std::size_t { 0 }; node < nodeCount; ++node) {
                m_blackboard.m_membership.write(
                    [&](Membership& value) { value.m_members[vmName(node)].m_vm = vmName(node); });
                m_nodes.push_back(std::make_unique<Allowance>(
                    m_blackboard, vmName(node), transport(), [this] { return m_now; }));
                m_nodes.back()->setFractions(fractionsOf({ m_slots, {} }, vmName(node)));
            }
            m_now += std::chrono::seconds(10);
        }

        // Returns the part of the requests that was refused.
        auto refusedPart(double load) -> double
        {
            constexpr auto requests = 20'000;
            constexpr auto meanCost = 200.0;
            auto random = std::mt19937(7);
            auto gap = std::exponential_distribution<double>(rate * load / meanCost);
            auto cost = std::uniform_int_distribution<int>(50, 350);
            auto refused = 0;
            for (auto i = 0; i < requests; ++i) {
                m_now += std::chrono::duration_cast<MonotonicTime::duration>(
                    std::chrono::duration<double>(gap(random)));
                const auto busy = std::generate_canonical<double, 32>(random) < 0.8;
                const auto node = busy ? nodeCount - 1 : random() % nodeCount;
                refused += m_nodes[node]->admit(m_name, cost(random)) ? 0 : 1;
            }
            return static_cast<double>(refused) / requests;
        }

    private:
        static constexpr auto nodeCount = std::size_t { 8 };
        static constexpr auto rate = 1000.0;
        static constexpr auto burst = 2000.0;

        static auto vmName(std::size_t index) -> VmName { return VmName("vm-" + std::to_string(index)); }

        auto transport() -> TokenTransport
        {
            return { [this](const VmName& vm, const TokenTransfer& transfer) -> std::optional<TokenGift> {
                        if (!m_exchange)
                            return std::nullopt;
                        return m_nodes.at(std::stoul(vm.value().substr(3)))->give(transfer);
                    },
                [this](const VmName& vm, const TokenTransfer& transfer) {
                    m_nodes.at(std::stoul(vm.value().substr(3)))->takeBack(transfer);
                } };
        }

        bool m_exchange;
        OrganisationName m_name { "aare" };
        Blackboard m_blackboard;
        std::vector<VmName> m_slots;
        MonotonicTime m_now { std::chrono::hours(1) };
        std::vector<std::unique_ptr<Allowance>> m_nodes;
    };

    auto benchRefusals() -> bool
    {
        constexpr auto load = 0.7;
        constexpr auto refusedBound = 0.02;
        constexpr auto ratioBound = 0.1;
        const auto escrow = SkewedFleet(true).refusedPart(load);
        const auto fixed = SkewedFleet(false).refusedPart(load);
        std::printf("{\"name\":\"refused_within_rate_static\",\"value\":%.5f,\"unit\":\"part\"}\n", fixed);
        const auto ratioKept = report("refused_within_rate_to_static", escrow / fixed, "ratio", ratioBound);
        return report("refused_within_rate", escrow, "part", refusedBound) && ratioKept;
    }

} // namespace
} // namespace marigoldladder

auto main() -> int
{
    const auto admission = marigoldladder::benchAdmission();
    const auto refusals = marigoldladder::benchRefusals();
    return admission && refusals ? 0 : 1;
}
