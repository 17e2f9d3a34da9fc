#include "harness/caller_streams.h"

#include <algorithm>
#include <sstream>

namespace marigoldladder::harness {

namespace {

    constexpr auto prefix = std::string_view("data: ");
    constexpr auto separator = std::string_view("\n\n");
    constexpr auto inForceBound = std::chrono::seconds(4);
    constexpr auto eventsTimeout = std::chrono::seconds(20);

    auto takeEvent(const std::string& payload, SeenStream& seen) -> void
    {
        const auto json = nlohmann::json::parse(payload, nullptr, false);
        if (payload == "[DONE]") {
            seen.m_error = seen.m_done ? "a second end" : seen.m_error;
            seen.m_done = true;
        } else if (json.is_object() && json.contains("offset") && !seen.m_done) {
            seen.m_offsets.push_back(json["offset"]);
            seen.m_texts.push_back(json["choices"][0]["text"]);
        } else {
            seen.m_error = payload;
        }
    }

} // namespace

auto readStream(const Address& address, const std::string& body, std::atomic<int>& events) -> SeenStream
{
    auto seen = SeenStream();
    auto pending = std::string();
    auto client = makeCaller(address, basicKey);
    auto request = httplib::Request();
    request.method = "POST";
    request.path = "/v1/completions";
    request.body = body;
    request.set_header("Content-Type", "application/json");
    request.content_receiver = [&](const char* data, std::size_t size, std::uint64_t, std::uint64_t) {
        pending.append(data, size);
        for (auto end = pending.find(separator); end != std::string::npos; end = pending.find(separator)) {
            takeEvent(pending.substr(prefix.size(), end - prefix.size()), seen);
            pending.erase(0, end + separator.size());
            ++events;
        }
        return true;
    };
    const auto answer = client.send(request);
    seen.m_status = answer ? answer->status : 0;
    if (!answer)
        seen.m_error = "the connection was lost: " + httplib::to_string(answer.error());
    if (seen.m_error.empty() && !pending.empty())
        seen.m_error = pending;
    return seen;
}

CallerStreams::CallerStreams(const Address& node, std::size_t count, int maxTokens)
    : m_seen(count)
{
    for (auto i = std::size_t { 0 }; i < count; ++i) {
        m_threads.emplace_back([this, node, i, maxTokens] {
            const auto body = completionBody("adapter-" + std::to_string(i) + "@1", maxTokens, true);
            m_seen[i] = readStream(node, body, m_events);
        });
    }
}

CallerStreams::~CallerStreams()
{
    finish();
}

auto CallerStreams::waitForEvents(int count) -> bool
{
    return waitUntil(eventsTimeout, [&] { return m_events >= count; });
}

auto CallerStreams::finish() -> const std::vector<SeenStream>&
{
    for (auto& thread : m_threads) {
        if (thread.joinable())
            thread.join();
    }
    return m_seen;
}

auto faultOf(const SeenStream& seen, const SeenStream& reference) -> std::string
{
    auto fault = std::ostringstream();
    if (seen.m_status != 200 || !seen.m_error.empty())
        fault << "status " << seen.m_status << " " << seen.m_error << "; ";
    if (!seen.m_done)
        fault << "no end; ";
    if (seen.m_offsets != reference.m_offsets)
        fault << "expected " << reference.m_offsets.size() << " offsets in order, got "
              << nlohmann::json(seen.m_offsets).dump() << "; ";
    else if (seen.m_texts != reference.m_texts)
        fault << "the tokens differ; ";
    return fault.str();
}

auto fastStoreNode(const std::string& vm, const std::string& dataCentre) -> NodePlan
{
    return { vm, dataCentre, { { "weight_store", { { "loads_per_second", 1000 } } } } };
}

auto applyBasicNote(Deployment& deployment, std::size_t adapters) -> bool
{
    const auto applied = deployment.applyNote(0, basicNote(adapters));
    if (!applied || applied->status != 200)
        return false;
    return waitUntil(inForceBound, [&] {
        for (auto node = std::size_t { 0 }; node < deployment.nodeCount(); ++node) {
            // A wrong adapter tells whether the key is known, and costs nothing.
            const auto body = completionBody("no-such-adapter@1", 1, false);
            const auto answer = makeCaller(deployment.node(node).m_caller, basicKey)
                                    .Post("/v1/completions", body, "application/json");
            if (!answer || answer->status != 404)
                return false;
        }
        return true;
    });
}

auto allWhole(const std::vector<SeenStream>& streams, std::size_t tokens) -> bool
{
    return std::all_of(streams.begin(), streams.end(),
        [&](const SeenStream& seen) { return seen.m_done && seen.m_texts.size() == tokens; });
}

auto nodeCounter(const Address& node, const std::string& name) -> double
{
    const auto answer = httplib::Client(node.m_host, node.m_port).Get("/metrics");
    const auto text = answer ? answer->body : std::string();
    auto lines = std::istringstream(text);
    for (auto line = std::string(); std::getline(lines, line);) {
        const auto space = line.rfind(' ');
        if (!line.starts_with('#') && space != std::string::npos
            && line.substr(0, space).find(name) != std::string::npos)
            return std::stod(line.substr(space + 1));
    }
    return -1;
}

} // namespace marigoldladder::harness
