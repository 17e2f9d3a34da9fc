// Bounds how much of the load are retries, so that they never amplify an overload.
#pragma once

#include <mutex>

namespace marigoldladder {

// How many retries are paid for: each success pays for a part of one.
struct RetryAccount {
    double m_perSuccess = 0.1;
    double m_most = 50; // Kept for a burst of failures after a time without any.
    double m_retries = 50;
};

auto noteSuccess(RetryAccount&) -> void;

// Takes one retry from the account; false when none is paid for.
auto takeRetry(RetryAccount&) -> bool;

// The account of a node. Thread-safe.
class RetryBudget {
public:
    auto noteSuccess() -> void;
    auto takeRetry() -> bool;

private:
    std::mutex m_mutex;
    RetryAccount m_account;
};

} // namespace marigoldladder
