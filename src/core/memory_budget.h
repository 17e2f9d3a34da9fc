// An account of memory that several holders share.
#pragma once

#include <cstddef>

namespace marigoldladder {

// Must outlive the shares that are taken from it.
struct MemoryBudget {
    std::size_t m_bytes = 0; // That all holders may have together.
    std::size_t m_held = 0;
};

// What one holder has of a budget. It is given back with the object.
class MemoryShare {
public:
    explicit MemoryShare(MemoryBudget& budget)
        : m_budget(budget)
    {
    }
    ~MemoryShare() { release(); }
    MemoryShare(const MemoryShare&) = delete;
    auto operator=(const MemoryShare&) -> MemoryShare& = delete;

    // Changes what the holder has. Returns false if the budget has too little left; nothing changes then.
    auto tryResize(std::size_t bytes) -> bool
    {
        const auto heldByOthers = m_budget.m_held - m_bytes;
        if (bytes > m_bytes && heldByOthers + bytes > m_budget.m_bytes)
            return false;
        m_budget.m_held = heldByOthers + bytes;
        m_bytes = bytes;
        return true;
    }

    auto release() -> void { (void)tryResize(0); }
    auto bytes() const -> std::size_t { return m_bytes; }

private:
    MemoryBudget& m_budget;
    std::size_t m_bytes = 0;
};

} // namespace marigoldladder
