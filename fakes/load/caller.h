// One caller: picks an address, sends a request of its mix, checks the answer, and thinks a while.
#pragma once

#include "load/address_book.h"
#include "load/answer_check.h"
#include "load/load_plan.h"
#include "load/load_record.h"

#include <httplib.h>
#include <memory>
#include <random>

namespace marigoldladder::fakes {

class Caller {
public:
    Caller(const LoadPlan&, const CallerGroup&, std::uint64_t seed, LoadLog&);

    // Sends one request, and a booking again after an unknown outcome, as callers do.
    auto sendOne() -> void;

    // Returns how long to wait before the next request.
    auto thinkTime() -> std::chrono::milliseconds;

private:
    auto connect() -> void;
    auto drawKind() -> RequestKind;
    auto drawQuestion() -> Question;
    auto sendCompletion(LoadRecord&) -> void;
    auto sendStream(LoadRecord&) -> void;
    auto sendService(LoadRecord&) -> void;
    static auto takeLoss(httplib::Error, LoadRecord&) -> void;
    auto takeRefusal(const httplib::Response&, LoadRecord&) -> void;
    auto begin(RequestKind) -> LoadRecord;
    auto end(LoadRecord) -> void;

    const LoadPlan& m_plan;
    const CallerGroup& m_group;
    LoadLog& m_log;
    std::mt19937_64 m_random;
    std::vector<double> m_popularity; // Weight of each adapter.
    AddressBook m_book;
    NamedAddress m_address;
    std::unique_ptr<httplib::Client> m_client;
    std::uint64_t m_sent = 0;
    std::string m_name; // Distinguishes this caller's idempotency keys.
};

} // namespace marigoldladder::fakes
