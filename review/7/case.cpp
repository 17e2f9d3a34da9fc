// Replicas in trouble send bytes without end in the body of a stream's answer. The stream's route has a
// timeout; the relay has to give the final answer by then.
#include "stand-ins-2/site.hpp"

using namespace site;

namespace {

constexpr auto relays = 4;
constexpr auto engines = 12;
constexpr auto troubledEngines = 7; // A share of 0.58.
constexpr auto spoiledOf = 20; // One answer in so many of a troubled engine: 0.05.
constexpr auto troubleBegins = 4'000L;
constexpr auto troubleLasts = 5'500L;
constexpr auto routeTimeout = 4'000; // Of /live/, in force all the while.
constexpr auto clientDeadline = 12'000;
constexpr auto slack = 500; // After the timeout, as the rule says.
constexpr auto streamsPerSecond = 92;
constexpr auto lastSendAt = 12'000L;
constexpr auto enough = 8;

struct Counts {
    std::atomic<int> m_sent { 0 };
    std::atomic<int> m_answered { 0 }; // Whole, within the route's timeout.
    std::atomic<int> m_lasting { 0 }; // Not answered at the route's timeout.
    std::atomic<int> m_unanswered { 0 }; // Nor 0.5 s after it.
};

auto sendStream(Call& call) -> bool
{
    if (!sendAll(call.m_fd, streamHead + call.m_stamp + "\r\n"))
        return false;
    for (auto event = 1; event <= 20; ++event) {
        sleepMs(25);
        if (!sendAll(call.m_fd, chunk(eventText(event))))
            return false;
    }
    return sendAll(call.m_fd, "0\r\n\r\n");
}

} // namespace

auto main(int, char** argv) -> int
{
    prepare();
    const auto trouble = hasTrouble();
    auto record = Record(argv[1] + std::string("/record.txt"));
    const auto folder = temporaryFolder();
    auto store = Store("127.0.0.1");
    auto configured = configuration(1);
    configured["routes"][0]["timeout_ms"] = routeTimeout;
    store.put("config", "main", configured);

    auto counts = Counts();
    auto isTroubled = std::atomic<bool> { false };
    const auto sendWithoutEnd = [&](Call& call, const std::string& replica) {
        record.line(replica, " answers ", call.m_id, " with bytes without end");
        const auto bytes = chunk(std::string(16'000, 'x'));
        auto sent = std::size_t { 0 };
        if (sendAll(call.m_fd, streamHead + call.m_stamp + "\r\n")) {
            while (sendAll(call.m_fd, bytes))
                sent += bytes.size();
        }
        record.line(replica, ": the connection of ", call.m_id, " was closed after ", sent, " bytes");
        return false;
    };
    const auto adapters = std::set<std::string> { "a1", "a2", "a3", "a4" };
    auto replicas = std::vector<std::unique_ptr<Replica>>();
    const auto zones = std::vector<std::string> { "bern-a", "bern-b", "olten", "solothurn" };
    for (auto number = 0; number < engines; ++number) {
        const auto id = "i-e" + std::to_string(number);
        auto answers = std::make_shared<std::atomic<int>>(0);
        auto answer = [&, id, number, answers](Call& call) {
            const auto spoils = trouble && isTroubled && number < troubledEngines
                && ++*answers % spoiledOf == spoiledOf / 2;
            return spoils ? sendWithoutEnd(call, id) : sendStream(call);
        };
        replicas.push_back(std::make_unique<Replica>(id, "llm", zones[number % 4], answer, adapters));
        store.put("servers", id, replicas.back()->entry());
    }
    auto fleet = std::vector<std::unique_ptr<Relay>>();
    for (auto number = 0; number < relays; ++number) {
        auto options = RelayOptions();
        options.m_name = "frontend-" + zones[number] + "-1";
        options.m_zone = zones[number];
        options.m_host = "127.0.1." + std::to_string(number + 1);
        options.m_folder = folder;
        options.m_store = store.address();
        fleet.push_back(std::make_unique<Relay>(options));
        fleet.back()->start();
    }
    for (auto& relay : fleet) {
        if (!relay->awaitReady()) {
            record.line(relay->name(), " didn't become ready");
            finish(folder, 2);
        }
    }
    record.line("all relays are ready");
    sleepMs(1'500);
    const auto origin = nowMs();

    // Each client sends its next stream a while after the last one ended.
    const auto ask = [&](int number) {
        const auto& relay = *fleet[number % relays];
        const auto fd = connectTo(relay.caller());
        if (fd < 0) {
            record.line("no connection to ", relay.name());
            return;
        }
        auto reader = Reader(fd);
        const auto id = newId();
        const auto more = "X-Marigoldladder-Model: m/a" + std::to_string(number % 4 + 1)
            + "\r\nX-Marigoldladder-Token-Count: 826,58\r\n";
        ++counts.m_sent;
        const auto tried
            = tryOn(fd, reader, requestText("POST", "/live/2f", id, clientDeadline, more), clientDeadline);
        ::close(fd);
        const auto took = tried.m_endedAt - tried.m_sentAt;
        record.line("client: ", id, " sent to ", relay.name(), " at ", tried.m_sentAt, ", ",
            tried.m_status         ? std::to_string(tried.m_status)
                : tried.m_timedOut ? std::string("no answer until the client gave up")
                                   : std::string("cut"),
            " after ", took, " ms");
        if (took <= routeTimeout)
            ++counts.m_answered;
        else
            ++counts.m_lasting;
        if (took > routeTimeout + slack)
            ++counts.m_unanswered;
    };
    auto clients = std::vector<std::thread>();
    auto number = 0;
    while (nowMs() - origin < lastSendAt) {
        const auto at = nowMs() - origin;
        isTroubled = at >= troubleBegins && at < troubleBegins + troubleLasts;
        clients.emplace_back(ask, number++);
        sleepMs(1'000 / streamsPerSecond);
    }
    for (auto& client : clients)
        client.join();
    record.line("sent ", counts.m_sent.load(), ", answered within the route's timeout ",
        counts.m_answered.load(), ", not answered at it ", counts.m_lasting.load(), ", nor ", slack,
        " ms after it ", counts.m_unanswered.load());
    for (auto& relay : fleet)
        relay->kill();
    const auto broken = counts.m_unanswered >= enough && counts.m_unanswered * 4 > counts.m_lasting.load();
    record.line(broken ? "CONFIG is broken" : "CONFIG is kept");
    if (counts.m_answered < counts.m_sent / 2)
        finish(folder, 2);
    finish(folder, broken ? 1 : 0);
}
