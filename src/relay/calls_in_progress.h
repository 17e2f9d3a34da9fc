// This node's calls to engines for an adapter. A request may wait at its engine for long; if the engine's
// version of the adapter may no longer be used by then, the call is taken back.
#pragma once

#include "relay/adapter_versions.h"
#include "relay/tcp.h"

#include <cstdint>
#include <list>
#include <string>

namespace marigoldladder::relay {

// A call; it is known to be in progress during the object's lifetime.
class CallInProgress {
public:
    // `statedVersion`: the only version on which the engine runs the request; 0: any. `answerBegan` is set by
    // the caller once the engine has sent an event.
    CallInProgress(std::list<CallInProgress*>&, std::string adapter, std::uint64_t statedVersion, tcp_stream&,
        const bool& answerBegan);
    ~CallInProgress();
    CallInProgress(const CallInProgress&) = delete;
    auto operator=(const CallInProgress&) -> CallInProgress& = delete;

    // The engine has begun to answer, so the call isn't taken back any more.
    auto recordAnswer() -> void { m_isAnswered = true; }

    // Whether the call was ended by `takeBackOutdated`. Its request may have begun shortly before.
    auto isTakenBack() const -> bool { return m_takenBack; }

private:
    friend auto takeBackOutdated(const std::list<CallInProgress*>&, const AdapterVersions&,
        const std::string& adapter, MonotonicTime now) -> void;

    std::list<CallInProgress*>& m_calls;
    std::list<CallInProgress*>::iterator m_entry;
    std::string m_adapter;
    std::uint64_t m_statedVersion;
    tcp_stream& m_stream; // Closed to take the call back.
    const bool& m_answerBegan;
    bool m_isAnswered = false;
    bool m_takenBack = false;
};

using CallsInProgress = std::list<CallInProgress*>;

// Takes back the calls for the adapter that have no answer yet, if they may still begin on a version on which
// no request may begin any more.
auto takeBackOutdated(
    const CallsInProgress&, const AdapterVersions&, const std::string& adapter, MonotonicTime now) -> void;

} // namespace marigoldladder::relay
