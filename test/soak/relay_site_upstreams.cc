// The part of the site that starts upstreams and replaces their software, at once or behind their entries.
#include "platform/relay_harness.h"
#include "soak/breaking_streams.h"
#include "soak/relay_site.h"

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <memory>

namespace marigoldladder::soak {

namespace net = boost::asio;

namespace {

    constexpr auto slots = 16;
    constexpr auto firstStart = std::uint64_t { 1'700'000'000'000 }; // Unix milliseconds.
    constexpr auto upstreamKind = "servers";

    auto startProxy(const Address& target) -> harness::ChildProcess
    {
        return harness::ChildProcess("fakes/fault-proxy", { "--target", formatAddress(target) });
    }

    auto reportOf(const UpstreamRun& run) -> platform::UpstreamReply
    {
        const auto body = nlohmann::json {
            { "phase", "both" }, { "models", nlohmann::json::array() }, { "busy", false }, { "sequence", 0 },
            { "born", run.m_startedAt }
        }.dump();
        return { "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body };
    }

    auto refusalOfAnother(const platform::UpstreamRequest& request, const UpstreamRun& run)
        -> platform::UpstreamReply
    {
        constexpr auto misdirected = 421;
        return { platform::answerTo(request, misdirected, "",
            "X-Marigoldladder-Not-Executed: 1\r\nX-Marigoldladder-Instance-Id: " + run.m_name + "\r\n") };
    }

} // namespace

auto RelaySite::addUpstream(std::size_t number) -> void
{
    auto upstream = ProxiedUpstream();
    upstream.m_mode = std::make_shared<std::atomic<UpstreamMode>>(UpstreamMode::Sound);
    if (isEngine(number))
        upstream.m_engine = std::make_shared<SoakEngine>();
    const auto isSecondVersion = m_kind == SiteKind::WithBreakingStreams && number % 2 != 0;
    upstream.m_run = std::make_shared<UpstreamRun>(
        UpstreamRun { "i-" + std::to_string(number), firstStart + number, isSecondVersion ? "v2" : "v1" });
    onLoop([&] {
        upstream.m_upstream = std::make_unique<platform::FakeUpstream>(
            m_context, [this, number](const platform::UpstreamRequest& request) {
                const auto connection
                    = std::to_string(number) + "/" + std::string(request[platform::connectionNumberField]);
                return answer(request, number, connection);
            });
    });
    upstream.m_proxy = startProxy(upstream.m_upstream->address());
    upstream.m_address = upstream.m_proxy.ready().value("address", "");
    m_upstreams.push_back(std::move(upstream));
    onLoop([&] { writeEntry(number); });
}

auto RelaySite::writeEntry(std::size_t number) -> void
{
    const auto& upstream = m_upstreams[number];
    const auto& run = *upstream.m_run;
    m_store.put(upstreamKind, run.m_name,
        { { "service", isEngine(number) ? enginePool : "pool" }, { "address", upstream.m_address },
            { "zone", "here" }, { "version", run.m_software }, { "slots", slots }, { "state", "ready" },
            { "cold_left_ms", 0 }, { "sequence", 0 }, { "born", run.m_startedAt },
            { "models", isEngine(number) ? upstream.m_engine->models() : nlohmann::json::array() } });
}

auto RelaySite::writeForeignEntry(const std::string& name) -> void
{
    constexpr auto deadAddress = "127.0.0.1:9";
    const auto entry = nlohmann::json { { "service", "pool" }, { "address", deadAddress }, { "zone", "here" },
        { "version", "v1" }, { "slots", slots }, { "state", "ready" }, { "cold_left_ms", 0 },
        { "sequence", 0 }, { "born", firstStart }, { "models", nlohmann::json::array() } };
    onLoop([&] { m_store.put(upstreamKind, name, entry); });
}

auto RelaySite::writeEmptyObject(const std::string& kind, const std::string& name) -> void
{
    onLoop([&] { m_store.put(kind, name, nullptr); });
}

auto RelaySite::writeEntryAfter(std::chrono::milliseconds time, std::size_t number) -> void
{
    auto timer = std::make_shared<net::steady_timer>(m_context, time);
    timer->async_wait([this, timer, number](const boost::system::error_code&) { writeEntry(number); });
}

auto RelaySite::beginRun(std::size_t number, const std::string& name, const std::string& software) -> void
{
    const auto& upstream = m_upstreams[number];
    // A process that ends takes its connections with it: none of them reaches the next one.
    onLoop([&] {
        *upstream.m_run = UpstreamRun { name, firstStart + ++m_runs * 1'000, software };
        upstream.m_upstream->resetConnections();
    });
}

auto RelaySite::restartUpstream(
    std::size_t number, const std::string& software, std::chrono::milliseconds entryDelay) -> void
{
    beginRun(number, m_upstreams[number].m_run->m_name, software);
    onLoop([&] { writeEntryAfter(entryDelay, number); });
}

auto RelaySite::replaceUpstream(std::size_t number, const std::string& software) -> void
{
    const auto former = m_upstreams[number].m_run->m_name;
    beginRun(number, "i-" + std::to_string(number) + "-" + std::to_string(m_runs), software);
    onLoop([&] {
        m_store.remove(upstreamKind, former);
        writeEntry(number);
    });
}

auto RelaySite::hideEntries(const std::string& software, std::chrono::milliseconds time) -> void
{
    onLoop([&] {
        for (auto number = std::size_t { 0 }; number < m_upstreams.size(); ++number) {
            if (m_upstreams[number].m_run->m_software != software)
                continue;
            m_store.remove(upstreamKind, m_upstreams[number].m_run->m_name);
            writeEntryAfter(time, number);
        }
    });
}

auto RelaySite::answerAsRun(const platform::UpstreamRequest& request, std::size_t number)
    -> platform::UpstreamReply
{
    const auto& run = *m_upstreams[number].m_run;
    const auto expected = std::string(request["X-Marigoldladder-Expect-Instance"]);
    if (!expected.empty() && expected != run.m_name)
        return refusalOfAnother(request, run);
    if (request.target() == "/report")
        return reportOf(run);
    return breakingStream(request, run.m_software, ++m_answers);
}

} // namespace marigoldladder::soak
