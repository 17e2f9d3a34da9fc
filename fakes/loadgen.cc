// The caller: asks any node which addresses to use, connects itself, and checks every answer.
#include "marigoldladder/settings.h"

#include <atomic>
#include <chrono>
#include <docopt/docopt.h>
#include <httplib.h>
#include <iostream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <thread>

namespace marigoldladder::fakes {

namespace {

    constexpr auto usage = R"(loadgen - sends a mix of requests and checks the answers.

Usage:
  loadgen --node ADDRESS --key KEY [--callers N] [--seconds N] [--adapters N] [--seed N]

Options:
  --node ADDRESS  The caller address of any node.
  --key KEY       An organisation's key.
  --callers N     Callers at once [default: 8].
  --seconds N     How long to send [default: 5].
  --adapters N    Adapters named adapter-0@1 and so on [default: 20].
  --seed N        Seed of the mix [default: 1].
)";

    struct Totals {
        std::mutex m_mutex;
        std::map<std::string, std::uint64_t> m_outcomes;

        auto count(const std::string& outcome) -> void
        {
            const auto lock = std::lock_guard(m_mutex);
            ++m_outcomes[outcome];
        }
    };

    struct Plan {
        Address m_node;
        std::string m_key;
        std::chrono::seconds m_duration {};
        int m_adapters = 0;
    };

    auto askAddress(const Address& node, unsigned draw) -> Address
    {
        auto client = httplib::Client(node.m_host, node.m_port);
        const auto answer = client.Get("/v1/addresses");
        if (!answer)
            return node;
        const auto json = nlohmann::json::parse(answer->body, nullptr, false);
        if (json.is_discarded() || json["addresses"].empty())
            return node;
        const auto& chosen = json["addresses"][draw % json["addresses"].size()];
        return parseAddress(chosen["address"].get<std::string>()).value_or(node);
    }

    auto judge(const httplib::Result& answer, const std::string& model) -> std::string
    {
        if (!answer)
            return "lost";
        if (answer->status != 200)
            return answer->get_header_value("Marigoldladder-Verdict");
        const auto json = nlohmann::json::parse(answer->body, nullptr, false);
        return json.value("model", "") == model ? "served" : "wrong";
    }

    auto runCaller(const Plan& plan, unsigned seed, Totals& totals) -> void
    {
        auto random = std::mt19937(seed);
        const auto address = askAddress(plan.m_node, random());
        auto client = httplib::Client(address.m_host, address.m_port);
        client.set_keep_alive(true);
        client.set_tcp_nodelay(true);
        client.set_bearer_token_auth(plan.m_key);
        const auto end = std::chrono::steady_clock::now() + plan.m_duration;
        while (std::chrono::steady_clock::now() < end) {
            const auto adapter = random() % static_cast<unsigned>(plan.m_adapters);
            const auto model = "adapter-" + std::to_string(adapter) + "@1";
            const auto body = nlohmann::json { { "model", model }, { "prompt", "water under the floor" },
                { "max_tokens", 8 } };
            totals.count(judge(client.Post("/v1/completions", body.dump(), "application/json"), model));
        }
    }

    auto run(const Plan& plan, int callers, unsigned seed) -> int
    {
        auto totals = Totals();
        auto threads = std::vector<std::thread>();
        for (auto i = 0; i < callers; ++i)
            threads.emplace_back([&, i] { runCaller(plan, seed + static_cast<unsigned>(i), totals); });
        for (auto& thread : threads)
            thread.join();
        std::cout << nlohmann::json(totals.m_outcomes).dump() << "\n";
        return totals.m_outcomes.contains("wrong") ? 1 : 0;
    }

} // namespace

} // namespace marigoldladder::fakes

auto main(int argc, char** argv) -> int
{
    using namespace marigoldladder;
    const auto arguments = docopt::docopt(fakes::usage, { argv + 1, argv + argc });
    const auto node = parseAddress(arguments.at("--node").asString());
    if (!node)
        return 2;
    auto plan = fakes::Plan { *node, arguments.at("--key").asString(),
        std::chrono::seconds(arguments.at("--seconds").asLong()),
        static_cast<int>(arguments.at("--adapters").asLong()) };
    return fakes::run(plan, static_cast<int>(arguments.at("--callers").asLong()),
        static_cast<unsigned>(arguments.at("--seed").asLong()));
}
