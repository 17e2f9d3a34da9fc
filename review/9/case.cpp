// A machine is stopped as planned while it forwards streams that may be resumed. Their engine is sound, but
// short of memory: it preempts these runs for a while and takes no new ones meanwhile, and the other engine
// is full. The relay gives the sound runs up because of their silence, is refused everywhere, and ends the
// answers.
#include "stand-ins-2/site.hpp"

using namespace site;

namespace {

constexpr auto streams = 6;
constexpr auto events = 58;
constexpr auto eventPause = 25;
constexpr auto preemptedAt = 30; // The event before which the run is preempted.
constexpr auto preemptedFor = 1'600; // Callers bear 2,400 ms: 8 times 300, 4 times 600.
constexpr auto termAfter = 300;
constexpr auto deadline = 12'000;

} // namespace

auto main(int, char** argv) -> int
{
    prepare();
    const auto trouble = hasTrouble();
    auto record = Record(argv[1] + std::string("/record.txt"));
    const auto folder = temporaryFolder();
    auto store = Store("127.0.0.1");
    store.put("config", "main", configuration(1));
    auto preempted = std::atomic<int> { 0 };
    auto gavenUp = std::atomic<int> { 0 };
    const auto stream = [&](Call& call) {
        const auto last = call.m_request.field("Last-Event-Id");
        const auto first = last.empty() ? 1 : std::atoi(last.c_str()) + 1;
        if (preempted > 0) {
            record.line("i-e1 is short of memory and refuses ", call.m_id, " as not run");
            return sendAll(call.m_fd,
                answerText(503,
                    "X-Marigoldladder-Request-Id: " + call.m_id + "\r\nX-Marigoldladder-Not-Executed: 1\r\n",
                    ""));
        }
        record.line("i-e1 runs ", call.m_id, " from event ", first);
        if (!sendAll(call.m_fd, streamHead + call.m_stamp + "\r\n"))
            return false;
        for (auto event = first; event <= events; ++event) {
            if (event == preemptedAt) {
                ++preempted;
                sleepMs(preemptedFor);
                --preempted;
            }
            sleepMs(eventPause);
            if (!sendAll(call.m_fd, chunk(eventText(event)))) {
                ++gavenUp;
                record.line("i-e1: the connection of ", call.m_id, " was closed before event ", event);
                return false;
            }
        }
        record.line("i-e1 has sent the last event of ", call.m_id);
        return sendAll(call.m_fd, "0\r\n\r\n");
    };
    const auto refuse = [&](Call& call) {
        record.line("i-e2 is full and refuses ", call.m_id, " as not run");
        return sendAll(call.m_fd,
            answerText(503,
                "X-Marigoldladder-Request-Id: " + call.m_id + "\r\nX-Marigoldladder-Not-Executed: 1\r\n",
                ""));
    };
    const auto adapters = std::set<std::string> { "a1", "a2" };
    auto engine = Replica("i-e1", "llm", "bern-a", stream, adapters);
    auto fullEngine = Replica("i-e2", "llm", "bern-b", refuse, adapters);
    auto plain = Replica("i-p1", "plain", "bern-a",
        [](Call& call) { return sendAll(call.m_fd, answerText(200, call.m_stamp, std::string(800, 'x'))); });
    store.put("servers", "i-e1", engine.entry());
    store.put("servers", "i-e2", fullEngine.entry());
    store.put("servers", "i-p1", plain.entry());
    auto options = RelayOptions();
    options.m_folder = folder;
    options.m_store = store.address();
    auto relay = Relay(options);
    relay.start();
    if (!relay.awaitReady()) {
        record.line("the relay didn't become ready");
        finish(folder, 2);
    }
    sleepMs(1'500);
    auto whole = std::atomic<int> { 0 };
    auto cut = std::atomic<int> { 0 };
    auto begun = std::atomic<int> { 0 };
    auto termAt = std::atomic<long> { 0 };
    const auto ask = [&] {
        const auto fd = connectTo(relay.caller());
        auto reader = Reader(fd);
        (void)tryOn(fd, reader, requestText("GET", "/view/2f", newId(), 3'000), 3'000);
        const auto id = newId();
        auto pieces = 0;
        const auto more = "X-Marigoldladder-Model: m/a1\r\nX-Marigoldladder-Token-Count: 826,290\r\n";
        ++begun;
        const auto tried = tryOn(fd, reader, requestText("POST", "/live/2f", id, deadline, more), deadline,
            [&](const std::string&) { ++pieces; });
        record.line("client: ", id, " on a kept connection, sent at ", tried.m_sentAt, ": ",
            tried.m_status         ? "whole"
                : tried.m_timedOut ? "given up"
                                   : "closed before its end",
            " after ", tried.m_endedAt - tried.m_sentAt, " ms with ", pieces, " of ", events, " events");
        if (tried.m_status == 200)
            ++whole;
        else if (!tried.m_timedOut)
            ++cut;
        ::close(fd);
    };
    auto threads = std::vector<std::thread>();
    for (auto number = 0; number < streams; ++number)
        threads.emplace_back(ask);
    while (begun < streams)
        sleepMs(10);
    sleepMs(termAfter);
    if (trouble) {
        record.line("SIGTERM to ", relay.name());
        relay.signal(SIGTERM);
    }
    for (auto& thread : threads)
        thread.join();
    relay.kill();
    record.line("streams whole ", whole.load(), ", closed before their end ", cut.load(),
        "; runs at the sound engine that were given up ", gavenUp.load());
    // The rule binds around planned work; without it this isn't judged.
    const auto broken = trouble && cut > 0;
    record.line(broken ? "LOST is broken" : "LOST is kept");
    finish(folder, broken ? 1 : 0);
}
