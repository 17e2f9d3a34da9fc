// A caller's knowledge of the addresses to use, kept as long as the answer allows.
#pragma once

#include "load/load_plan.h"

#include <chrono>
#include <random>
#include <string>
#include <vector>

namespace marigoldladder::fakes {

// One address as the system named it.
struct NamedAddress {
    Address m_address;
    DataCentreName m_dataCentre;
    std::string m_keyPrefix; // What idempotency keys used there have to begin with.
};

// Asks any node for addresses when the last answer has expired. One caller uses one book.
class AddressBook {
public:
    AddressBook(std::vector<Address> nodes, DataCentreName preferred);

    // Returns an address, in the preferred data centre if one is named there.
    auto pick(std::mt19937_64&) -> NamedAddress;

    // Asks again before the next pick, because the address used did not work.
    auto expire() -> void;

private:
    auto refresh(std::mt19937_64&) -> void;
    auto ask(const Address& node) -> bool;

    std::vector<Address> m_nodes;
    DataCentreName m_preferred;
    std::vector<NamedAddress> m_named;
    std::chrono::steady_clock::time_point m_expiresAt {};
};

} // namespace marigoldladder::fakes
