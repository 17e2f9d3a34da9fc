// What the status of an HTTP answer says of the answer itself (RFC 9110, 15).
#pragma once

namespace marigoldladder {

enum class StatusKind {
    Interim, // Another answer to the same request follows.
    Final,
    Invalid, // The bytes are no answer, and nothing behind them can be told apart.
};

// 101 counts as invalid: it answers a request for another protocol, which no node makes.
constexpr auto kindOfStatus(unsigned status) -> StatusKind
{
    constexpr auto firstInterim = 100U;
    constexpr auto switchingProtocols = 101U;
    constexpr auto firstFinal = 200U;
    constexpr auto endOfFinal = 600U;
    if (status >= firstFinal && status < endOfFinal)
        return StatusKind::Final;
    if (status >= firstInterim && status < firstFinal && status != switchingProtocols)
        return StatusKind::Interim;
    return StatusKind::Invalid;
}

constexpr auto isSuccess(unsigned status) -> bool
{
    constexpr auto firstSuccess = 200U;
    constexpr auto endOfSuccess = 300U;
    return status >= firstSuccess && status < endOfSuccess;
}

// Interim answers before one final answer that are passed over; a server in trouble may send them without
// end.
inline constexpr auto maxInterimAnswers = 8;

} // namespace marigoldladder
