#include "load/address_book.h"

#include <algorithm>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <utility>

namespace marigoldladder::fakes {

namespace {

    constexpr auto askTimeout = std::chrono::milliseconds(500);

} // namespace

AddressBook::AddressBook(std::vector<Address> nodes, DataCentreName preferred)
    : m_nodes(std::move(nodes))
    , m_preferred(std::move(preferred))
{
}

auto AddressBook::expire() -> void
{
    m_expiresAt = {};
}

auto AddressBook::pick(std::mt19937_64& random) -> NamedAddress
{
    if (std::chrono::steady_clock::now() >= m_expiresAt)
        refresh(random);
    auto candidates = std::vector<NamedAddress>();
    for (const auto& named : m_named) {
        if (named.m_dataCentre == m_preferred)
            candidates.push_back(named);
    }
    if (candidates.empty())
        candidates = m_named;
    if (candidates.empty())
        return { m_nodes[random() % m_nodes.size()], {}, {} };
    return candidates[random() % candidates.size()];
}

auto AddressBook::refresh(std::mt19937_64& random) -> void
{
    auto nodes = m_nodes;
    for (const auto& named : m_named)
        nodes.push_back(named.m_address);
    std::shuffle(nodes.begin(), nodes.end(), random);
    for (const auto& node : nodes) {
        if (ask(node))
            return;
    }
}

auto AddressBook::ask(const Address& node) -> bool
{
    auto client = httplib::Client(node.m_host, node.m_port);
    client.set_connection_timeout(askTimeout);
    client.set_read_timeout(askTimeout);
    const auto answer = client.Get("/v1/addresses");
    const auto json = answer && answer->status == 200 ? nlohmann::json::parse(answer->body, nullptr, false)
                                                      : nlohmann::json();
    if (!json.is_object() || json.value("addresses", nlohmann::json::array()).empty())
        return false;
    m_named.clear();
    for (const auto& entry : json["addresses"]) {
        const auto address = parseAddress(entry.value("address", ""));
        if (address)
            m_named.push_back(
                { *address, DataCentreName(entry.value("data_centre", "")), entry.value("key_prefix", "") });
    }
    m_expiresAt = std::chrono::steady_clock::now() + std::chrono::milliseconds(json.value("ttl_ms", 1000));
    return !m_named.empty();
}

} // namespace marigoldladder::fakes
