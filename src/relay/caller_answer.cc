#include "relay/caller_answer.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/status.hpp>
#include <charconv>
#include <nlohmann/json.hpp>

namespace marigoldladder::relay {

namespace http = boost::beast::http;

namespace {

    // For one part. Callers within the limits give an answer up long before.
    constexpr auto writeTimeout = std::chrono::milliseconds(30'000);

    auto appendField(std::string& text, std::string_view name, std::string_view value) -> void
    {
        text.append(name).append(": ").append(value).append("\r\n");
    }

    auto formatHexadecimal(std::size_t number) -> std::string
    {
        auto digits = std::array<char, 16>();
        const auto [end, error] = std::to_chars(digits.data(), digits.data() + digits.size(), number, 16);
        return std::string(digits.data(), end);
    }

    // Formats a time for Retry-After, in seconds with three decimals.
    auto formatSeconds(std::chrono::milliseconds time) -> std::string
    {
        constexpr auto millisecondsPerSecond = 1'000;
        auto fraction = std::to_string(time.count() % millisecondsPerSecond);
        fraction.insert(0, 3 - fraction.size(), '0');
        return std::to_string(time.count() / millisecondsPerSecond) + "." + fraction;
    }

    auto failureBody(const Failure& failure) -> std::string
    {
        auto error = nlohmann::json { { "type", nameOf(failureTypeNames, failure.m_type) },
            { "message", failure.m_message }, { "verdict", nameOf(verdictNames, failure.m_verdict) } };
        return nlohmann::json { { "error", std::move(error) } }.dump();
    }

} // namespace

CallerAnswer::CallerAnswer(tcp_stream& stream, AnswerForm form, std::function<void(bool writes)> noteWriting)
    : m_stream(stream)
    , m_form(form)
    , m_noteWriting(noteWriting ? std::move(noteWriting) : [](bool) {})
{
}

auto CallerAnswer::head(unsigned status, const HeaderFields& fields) const -> std::string
{
    auto text = "HTTP/1.1 " + std::to_string(status) + " ";
    const auto reason = http::obsolete_reason(http::int_to_status(status));
    text.append(reason.data(), reason.size()).append("\r\n");
    for (const auto& field : fields)
        appendField(text, std::string_view(field.name_string().data(), field.name_string().size()),
            std::string_view(field.value().data(), field.value().size()));
    if (!m_form.m_keepAlive)
        appendField(text, "Connection", "close");
    return text;
}

// A caller that stops reading, or reads only now and then, doesn't hold the request up for good.
auto CallerAnswer::write(std::string head, std::string_view body) -> Awaitable<SendOutcome>
{
    m_begun = true;
    const auto sent = sendNow(m_stream.socket(), head, body);
    if (sent == head.size() + body.size())
        co_return SendOutcome::Sent;
    const auto headSent = std::min(sent, head.size());
    const auto buffers = std::array<net::const_buffer, 2> { net::buffer(head) + headSent,
        net::buffer(body) + (sent - headSent) };
    auto error = ErrorCode();
    m_noteWriting(true);
    m_stream.expires_after(writeTimeout);
    co_await net::async_write(m_stream, buffers, errorTo(error));
    m_stream.expires_never();
    m_noteWriting(false);
    co_return error ? SendOutcome::CallerDisconnected : SendOutcome::Sent;
}

auto CallerAnswer::sendWhole(unsigned status, const HeaderFields& fields, std::string_view body)
    -> Awaitable<SendOutcome>
{
    auto bytes = head(status, fields);
    constexpr auto noContent = 204U;
    constexpr auto notModified = 304U;
    if (!m_form.m_isHeadOnly && status != noContent && status != notModified)
        appendField(bytes, "Content-Length", std::to_string(body.size()));
    bytes.append("\r\n");
    const auto outcome = co_await write(std::move(bytes), m_form.m_isHeadOnly ? std::string_view() : body);
    m_complete = outcome == SendOutcome::Sent;
    co_return outcome;
}

auto CallerAnswer::sendLocalAnswer(const LocalAnswer& answer) -> Awaitable<SendOutcome>
{
    auto fields = HeaderFields();
    fields.set(http::field::content_type, "application/json");
    if (answer.m_failure.m_retryAfter.count() > 0)
        fields.set(http::field::retry_after, formatSeconds(answer.m_failure.m_retryAfter));
    const auto body = failureBody(answer.m_failure);
    co_return co_await sendWhole(answer.m_status, fields, body);
}

auto CallerAnswer::beginStream(unsigned status, const HeaderFields& fields) -> void
{
    m_pendingHead = head(status, fields);
    appendField(m_pendingHead, "Transfer-Encoding", "chunked");
    m_pendingHead.append("\r\n");
}

auto CallerAnswer::sendPart(std::string_view data) -> Awaitable<SendOutcome>
{
    auto bytes = std::exchange(m_pendingHead, {});
    // An empty chunk would end the answer.
    if (!data.empty() && !m_form.m_isHeadOnly)
        bytes.append(formatHexadecimal(data.size())).append("\r\n").append(data).append("\r\n");
    if (bytes.empty())
        co_return SendOutcome::Sent;
    co_return co_await write(std::move(bytes));
}

auto CallerAnswer::endStream() -> Awaitable<SendOutcome>
{
    auto bytes = std::exchange(m_pendingHead, {});
    if (!m_form.m_isHeadOnly)
        bytes.append("0\r\n\r\n");
    const auto outcome = co_await write(std::move(bytes));
    m_complete = outcome == SendOutcome::Sent;
    co_return outcome;
}

} // namespace marigoldladder::relay
