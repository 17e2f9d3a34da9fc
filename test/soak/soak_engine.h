// The adapters of a stand-in of a model engine: its report, the orders that it takes, and what it holds.
#pragma once

#include "platform/fake_upstream.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace marigoldladder::soak {

inline constexpr auto engineModel = "m";
inline constexpr auto engineAdapterSlots = 6;

// Used by one thread.
class SoakEngine {
public:
    // Answers a call of `/report` or `/order`.
    auto answer(const platform::UpstreamRequest&) -> platform::UpstreamReply;

    // Whether it holds the adapter that a request names as `m/ADAPTER`.
    auto holds(const std::string& name) const -> bool;

    // The models as its entry in the platform's store lists them.
    auto models() const -> nlohmann::json;

private:
    struct Held {
        std::uint64_t m_version = 1;
        std::chrono::steady_clock::time_point m_from; // Until then it is on its way.
    };

    auto report() const -> std::string;
    // Returns the status of an order.
    auto accept(const nlohmann::json& order) -> int;

    std::map<std::string, Held> m_adapters; // By name, without the model.
    std::uint64_t m_acceptedOrders = 0;
};

} // namespace marigoldladder::soak
