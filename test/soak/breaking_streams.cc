#include "soak/breaking_streams.h"

#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <httplib.h>
#include <mutex>
#include <random>
#include <sstream>
#include <thread>

namespace marigoldladder::soak {

namespace {

    constexpr auto longBodyBytes = std::size_t { 3'000'000 }; // Doesn't fit the buffers on the way.
    constexpr auto answerTimeout = std::chrono::seconds(4);
    constexpr auto connectTimeout = std::chrono::seconds(1);
    constexpr auto pauseBeforeNextAttempt = std::chrono::milliseconds(20);
    constexpr auto pauseWithoutRelay = std::chrono::milliseconds(60); // After one that wasn't reached.
    constexpr auto callers = std::size_t { 12 };

    enum class Break {
        None,
        ResetBetweenEvents,
        ResetInsideEvent,
        CloseInsideEvent,
    };

    constexpr auto breaks = std::array { Break::None, Break::ResetBetweenEvents, Break::ResetInsideEvent,
        Break::CloseInsideEvent };

    auto eventText(const std::string& version, std::size_t number) -> std::string
    {
        return "id: " + std::to_string(number) + "\ndata: " + version + "\n\n";
    }

    auto framed(bool isChunked, const std::string& text) -> std::string
    {
        if (!isChunked)
            return text;
        auto length = std::array<char, 16>();
        std::snprintf(length.data(), length.size(), "%zx", text.size());
        return std::string(length.data()) + "\r\n" + text + "\r\n";
    }

    // Appends the answer's end, or what is there of the event in which it breaks off.
    auto finish(platform::UpstreamReply& reply, Break brokenBy, bool isChunked, const std::string& next)
        -> void
    {
        constexpr auto shown = std::size_t { 7 }; // Bytes of the event.
        const auto isInside = brokenBy == Break::ResetInsideEvent || brokenBy == Break::CloseInsideEvent;
        if (isInside)
            reply.m_later.push_back(
                { std::chrono::milliseconds(0), framed(isChunked, next.substr(0, shown)) });
        if (brokenBy == Break::None && isChunked)
            reply.m_later.push_back({ std::chrono::milliseconds(0), "0\r\n\r\n" });
        reply.m_closes = !isChunked || brokenBy == Break::CloseInsideEvent;
        reply.m_resets = brokenBy == Break::ResetBetweenEvents || brokenBy == Break::ResetInsideEvent;
    }

    struct StreamAnswer {
        int m_status = 0;
        std::string m_body;
        bool m_isComplete = false;
    };

    auto ask(const Address& relay, const OrderedStream& stream, const std::string& id, bool hasLongBody)
        -> StreamAnswer
    {
        auto client = httplib::Client(relay.m_host, relay.m_port);
        client.set_connection_timeout(connectTimeout);
        client.set_read_timeout(answerTimeout);
        client.set_write_timeout(answerTimeout);
        auto answer = StreamAnswer();
        auto request = httplib::Request();
        request.method = "POST";
        request.path = "/stream/x";
        request.body = hasLongBody ? std::string(longBodyBytes, 'x') : id;
        request.headers = { { "Host", "h.example" }, { "X-Marigoldladder-Request-Id", id },
            { "X-Marigoldladder-Deadline-Ms", "3000" }, { "Api-Key", "key-1" } };
        if (hasLongBody)
            request.headers.emplace(platform::answersEarlyField, "1");
        if (stream.m_lastEvent > 0) {
            request.headers.emplace("Last-Event-Id", std::to_string(stream.m_lastEvent));
            request.headers.emplace("Resumes", stream.m_firstId);
        }
        request.response_handler = [&](const httplib::Response& response) {
            answer.m_status = response.status;
            return true;
        };
        request.content_receiver = [&](const char* data, std::size_t size, std::uint64_t, std::uint64_t) {
            answer.m_body.append(data, size);
            return true;
        };
        answer.m_isComplete = static_cast<bool>(client.send(request));
        return answer;
    }

} // namespace

auto breakingStream(const platform::UpstreamRequest& request, const std::string& version, std::uint64_t run)
    -> platform::UpstreamReply
{
    const auto id = std::string(request["X-Marigoldladder-Request-Id"]);
    auto random = std::mt19937(static_cast<std::uint32_t>(std::hash<std::string>()(id) + run));
    const auto last = std::string(request["Last-Event-Id"]);
    const auto first = last.empty() ? std::size_t { 1 } : std::stoul(last) + 1;
    const auto isChunked = random() % 2 == 0;
    const auto isEarly = request.count(platform::answersEarlyField) > 0;
    const auto pause = std::chrono::milliseconds(isEarly ? 0 : random() % 3 * 15);
    // What is sent before the rest of the body is read ends by a reset.
    const auto brokenBy = isEarly ? Break::ResetBetweenEvents : breaks[random() % breaks.size()];
    const auto left = eventsOfOrderedStream + 1 - std::min(first, eventsOfOrderedStream + 1);
    const auto sent = brokenBy == Break::None || left == 0 ? left : random() % left;
    auto reply = platform::UpstreamReply { "HTTP/1.1 200 OK\r\nX-Marigoldladder-Request-Id: " + id
        + "\r\nX-Marigoldladder-Server-Stamp: " + version + "\r\nContent-Type: text/event-stream\r\n"
        + (isChunked ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n") };
    for (auto number = first; number < first + sent; ++number)
        reply.m_later.push_back({ pause, framed(isChunked, eventText(version, number)) });
    finish(reply, brokenBy, isChunked, eventText(version, first + sent));
    return reply;
}

static auto changeOf(const std::string& seen, const std::string& next) -> std::string
{
    return "an event of " + next + " behind those of " + seen;
}

auto takeAttempt(OrderedStream& stream, const std::string& requestId, const std::string& body,
    bool isComplete) -> std::optional<std::string>
{
    const auto where = requestId + " after event " + std::to_string(stream.m_lastEvent) + ": ";
    auto at = std::size_t { 0 };
    while (at < body.size()) {
        const auto end = body.find("\n\n", at);
        if (end == std::string::npos)
            return where + "a part of an event";
        auto event = std::istringstream(body.substr(at, end - at));
        auto field = std::string();
        auto number = std::size_t { 0 };
        auto version = std::string();
        event >> field >> number >> field >> version;
        if (number != stream.m_lastEvent + 1)
            return where + "event " + std::to_string(number);
        if (!stream.m_version.empty() && version != stream.m_version)
            return where + changeOf(stream.m_version, version);
        if (stream.m_lastEvent == 0)
            stream.m_firstId = requestId;
        stream.m_lastEvent = number;
        stream.m_version = version;
        at = end + 2;
    }
    if (isComplete && stream.m_lastEvent != eventsOfOrderedStream)
        return where + "complete at event " + std::to_string(stream.m_lastEvent);
    stream.m_isWhole = isComplete;
    return std::nullopt;
}

// Counts what a relay answered to one attempt; one that wasn't reached counts for nothing.
static auto count(StreamTally& tally, bool takesUp, const StreamAnswer& answer) -> void
{
    constexpr auto ok = 200;
    if (answer.m_status == 0)
        return;
    if (takesUp)
        ++(answer.m_status == ok ? tally.m_goneOn : tally.m_notGoneOn);
    else
        ++(answer.m_status == ok ? tally.m_begun : tally.m_notBegun);
}

auto followStream(const std::function<std::vector<Address>()>& relays, std::uint32_t seed,
    std::size_t attempts) -> StreamTally
{
    constexpr auto ok = 200;
    auto random = std::mt19937(seed);
    auto stream = OrderedStream();
    auto tally = StreamTally();
    const auto hasLongBody = random() % 4 == 0;
    for (auto attempt = std::size_t { 0 }; attempt < attempts && !stream.m_isWhole; ++attempt) {
        const auto id = "s" + std::to_string(seed) + "-" + std::to_string(attempt);
        const auto addresses = relays();
        const auto takesUp = stream.m_lastEvent > 0;
        const auto answer
            = ask(addresses[random() % addresses.size()], stream, id, hasLongBody && attempt == 0);
        count(tally, takesUp, answer);
        auto wrong = std::optional<std::string>();
        if (answer.m_status == ok)
            wrong = takeAttempt(stream, id, answer.m_body, answer.m_isComplete);
        if (wrong) {
            tally.m_wrong.push_back(*wrong);
            return tally;
        }
        if (!stream.m_isWhole)
            std::this_thread::sleep_for(answer.m_status == 0 ? pauseWithoutRelay : pauseBeforeNextAttempt);
    }
    tally.m_whole = stream.m_isWhole ? 1 : 0;
    return tally;
}

auto followStreams(const std::function<std::vector<Address>()>& relays, std::uint32_t seed,
    std::size_t streams, std::size_t attempts) -> StreamTally
{
    auto next = std::atomic<std::size_t> { 0 };
    auto mutex = std::mutex();
    auto all = StreamTally();
    auto threads = std::vector<std::thread>();
    for (auto caller = std::size_t { 0 }; caller < callers; ++caller) {
        threads.emplace_back([&] {
            for (auto number = next++; number < streams; number = next++) {
                const auto streamSeed = static_cast<std::uint32_t>(std::size_t { seed } * 1'000'000 + number);
                const auto tally = followStream(relays, streamSeed, attempts);
                const auto lock = std::lock_guard(mutex);
                all += tally;
            }
        });
    }
    for (auto& thread : threads)
        thread.join();
    return all;
}

auto operator+=(StreamTally& all, const StreamTally& tally) -> StreamTally&
{
    all.m_whole += tally.m_whole;
    all.m_begun += tally.m_begun;
    all.m_notBegun += tally.m_notBegun;
    all.m_goneOn += tally.m_goneOn;
    all.m_notGoneOn += tally.m_notGoneOn;
    all.m_wrong.insert(all.m_wrong.end(), tally.m_wrong.begin(), tally.m_wrong.end());
    return all;
}

auto shareGoneOn(const StreamTally& tally) -> double
{
    const auto share = [](std::size_t part, std::size_t rest) {
        return part + rest == 0 ? 1.0 : static_cast<double>(part) / static_cast<double>(part + rest);
    };
    const auto begun = share(tally.m_begun, tally.m_notBegun);
    return begun == 0 ? 1.0 : share(tally.m_goneOn, tally.m_notGoneOn) / begun;
}

} // namespace marigoldladder::soak
