// The HTTP interface for operators: hand over release notes, read the log and the node's state.
#pragma once

#include "ops/note_acceptance.h"

#include <memory>

namespace marigoldladder {

// Serves operators from construction until `stop`. Every call needs a header `Authorization`
// that proves an operator, except the one that asks for a challenge.
class OperatorServer {
public:
    OperatorServer(const NodeSettings&, Blackboard&, ReleaseLog&, NoteSpreader&);
    OperatorServer(const OperatorServer&) = delete;
    auto operator=(const OperatorServer&) -> OperatorServer& = delete;
    ~OperatorServer();

    auto port() const -> int;
    auto stop() -> void;

private:
    struct Implementation;

    std::unique_ptr<Implementation> m_implementation;
};

} // namespace marigoldladder
