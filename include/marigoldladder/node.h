// One node of the fleet: everything a daemon runs between callers and upstreams.
#pragma once

#include "marigoldladder/settings.h"

#include <chrono>
#include <memory>

namespace marigoldladder {

// Where a node listens, with the ports that the system chose.
struct NodeAddresses {
    Address m_caller;
    Address m_operator;
    Address m_peer;
};

// Serves from construction on. Throws `std::runtime_error` when it can't listen on an address.
class Node {
public:
    explicit Node(NodeSettings);
    Node(const Node&) = delete;
    auto operator=(const Node&) -> Node& = delete;
    ~Node();

    auto addresses() const -> NodeAddresses;

    // Leaves the fleet: is named to no caller any more, serves on until the addresses given out have
    // expired and the last request has ended, or `atMost` has passed.
    auto drain(std::chrono::milliseconds atMost) -> void;

private:
    struct Implementation;

    std::unique_ptr<Implementation> m_implementation;
};

} // namespace marigoldladder
