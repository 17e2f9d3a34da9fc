// What the owner role keeps of each call and each upstream; for the owner's own sources only.
#pragma once

#include "routing/owner.h"

namespace marigoldladder {

struct Owner::PendingCall {
    ServeCall m_call;
    RequestId m_id; // Of this try.
    AnswerSink m_sink;
    WantedCheck m_wanted;
    MonotonicTime m_queuedAt;
    MonotonicTime m_deadline;
    MonotonicTime m_startedAt;
    PinHandle m_pin; // Null for plain services.
    CallControl m_control;
    bool m_started = false;
    bool m_alone = false; // Nothing else runs on its upstream, as it is suspect.
    bool m_answered = false; // Its upstream began to answer.
    std::uint64_t m_epoch = 0; // Of the upstream's ramp.
    std::uint32_t m_progress = 0; // Events of the stream up to now, those before a resumption included.
    std::uint32_t m_clearAt = 0; // The progress at which a suspect is cleared.
};

struct Owner::UpstreamState {
    FairQueue m_queue;
    Ramp m_ramp = makeRamp({});
    std::size_t m_inFlight = 0;
    std::size_t m_inFlightLower = 0; // Those of them that are not interactive.
    PendingHandle m_reserved; // A suspect that waits until nothing else runs.
    bool m_alone = false; // A suspect runs.
};

} // namespace marigoldladder
