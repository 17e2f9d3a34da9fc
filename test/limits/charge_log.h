// What was charged and refunded in a test, measured against burst and rate over every window.
#pragma once

#include "limits/token_bucket.h"

#include <algorithm>
#include <vector>

namespace marigoldladder {

class ChargeLog {
public:
    auto charge(ChargeId id, double seconds, double tokens) -> void
    {
        m_charges.push_back({ id, seconds, tokens });
    }

    // Refunds one of the charges, picked by `pick`; `refund` returns how much it gave back.
    template <typename Refund> auto refund(std::size_t pick, Refund&& refund) -> void
    {
        if (m_charges.empty())
            return;
        auto& charge = m_charges[pick % m_charges.size()];
        charge.m_tokens -= refund(charge.m_id);
    }

    // Returns the most by which the charges of any window exceed `burst + rate * window`.
    auto excess(double rate, double burst) const -> double
    {
        auto level = 0.0;
        auto last = 0.0;
        auto worst = 0.0;
        for (const auto& charge : m_charges) {
            level = std::max(0.0, level - rate * (charge.m_seconds - last)) + charge.m_tokens;
            last = charge.m_seconds;
            worst = std::max(worst, level - burst);
        }
        return worst;
    }

private:
    struct Charge {
        ChargeId m_id = 0;
        double m_seconds = 0;
        double m_tokens = 0;
    };

    std::vector<Charge> m_charges; // In the order of time.
};

} // namespace marigoldladder
