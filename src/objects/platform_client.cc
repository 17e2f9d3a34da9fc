#include "objects/platform_client.h"

#include "core/json_fields.h"
#include "core/log.h"
#include "core/percent_encoding.h"
#include "objects/bounded_client.h"

#include <charconv>
#include <utility>

namespace marigoldladder {

namespace {

    constexpr auto connectTimeout = std::chrono::milliseconds(500);
    constexpr auto callTimeout = std::chrono::milliseconds(2000); // Without a byte.
    constexpr auto answerTimeout = std::chrono::milliseconds(10'000); // For the whole of a large listing.
    constexpr auto maxAnswerBytes = std::size_t { 64 } << 20; // Larger than any listing.
    constexpr auto maxIdleClients = std::size_t { 4 };
    constexpr auto statusOk = 200;
    constexpr auto statusCreated = 201;
    constexpr auto statusNotFound = 404;
    constexpr auto statusConflict = 409;
    constexpr auto statusServerError = 500;

    auto pathOf(const std::string& kind) -> std::string
    {
        return "/api/v1/" + percentEncoded(kind);
    }

    auto pathOf(const std::string& kind, const std::string& name) -> std::string
    {
        return pathOf(kind) + "/" + percentEncoded(name);
    }

    // Returns a version, which the platform states as text; nothing if there is none.
    auto readVersion(const nlohmann::json& metadata) -> std::optional<ObjectVersion>
    {
        const auto text = textOr(metadata, "resourceVersion", "");
        auto version = ObjectVersion { 0 };
        const auto* const end = text.data() + text.size();
        const auto [read, error] = std::from_chars(text.data(), end, version);
        return error == std::errc() && read == end ? std::optional(version) : std::nullopt;
    }

    // Returns an object whose spec is empty if it has none; nothing if its name or version can't be read.
    auto readObject(const nlohmann::json& json) -> std::optional<PlatformObject>
    {
        const auto& metadata = objectIn(json, "metadata");
        auto name = textOr(metadata, "name", "");
        const auto version = readVersion(metadata);
        if (name.empty() || !version)
            return std::nullopt;
        return PlatformObject { std::move(name), *version, objectIn(json, "spec") };
    }

    auto writeObject(const PlatformObject& object) -> std::string
    {
        auto json
            = nlohmann::json { { "metadata", { { "name", object.m_name } } }, { "spec", object.m_spec } };
        if (object.m_version != 0)
            json["metadata"]["resourceVersion"] = std::to_string(object.m_version);
        return json.dump();
    }

    auto parsePlatformJson(const std::string& body) -> Result<nlohmann::json>
    {
        auto json = nlohmann::json::parse(body, nullptr, false);
        if (json.is_discarded())
            return mayHaveRun(FailureType::Unavailable, "the platform's answer is not JSON");
        return json;
    }

    auto parseObject(const std::string& body) -> Result<PlatformObject>
    {
        const auto json = parsePlatformJson(body);
        if (!json)
            return json.error();
        auto object = readObject(json.value());
        if (!object)
            return mayHaveRun(FailureType::Unavailable, "the platform's answer is no object");
        return std::move(*object);
    }

    // Returns the failure that an answer stands for, or nothing when its status is a success.
    auto failureOf(const httplib::Result& answer) -> std::optional<Failure>
    {
        if (!answer) {
            if (answer.error() == httplib::Error::Connection)
                return notRun(FailureType::Unavailable, "the platform can't be reached");
            return mayHaveRun(FailureType::Unavailable, "the platform's answer was lost");
        }
        if (answer->status == statusOk || answer->status == statusCreated)
            return std::nullopt;
        if (answer->status == statusNotFound)
            return notRun(FailureType::NotFound, "the platform has no such object");
        if (answer->status == statusConflict)
            return notRun(FailureType::Conflict, "the object was changed meanwhile");
        if (answer->status >= statusServerError)
            return mayHaveRun(
                FailureType::Unavailable, "the platform answers " + std::to_string(answer->status));
        return notRun(FailureType::BadRequest, "the platform refuses the call: " + answer->body);
    }

} // namespace

// A client for one call; it goes back to the idle ones afterwards.
class PlatformClient::BorrowedClient {
public:
    explicit BorrowedClient(PlatformClient& owner)
        : m_owner(owner)
        , m_client(owner.borrow())
    {
    }
    BorrowedClient(const BorrowedClient&) = delete;
    auto operator=(const BorrowedClient&) -> BorrowedClient& = delete;
    ~BorrowedClient() { m_owner.giveBack(std::move(m_client)); }

    auto operator->() -> BoundedClient* { return m_client.get(); }

private:
    PlatformClient& m_owner;
    std::unique_ptr<BoundedClient> m_client;
};

PlatformClient::PlatformClient(Address address, Metrics& metrics)
    : m_address(std::move(address))
    , m_metrics(metrics)
{
}

PlatformClient::~PlatformClient() = default;

auto PlatformClient::borrow() -> std::unique_ptr<BoundedClient>
{
    {
        const auto lock = std::lock_guard(m_mutex);
        if (!m_idle.empty()) {
            auto client = std::move(m_idle.back());
            m_idle.pop_back();
            return client;
        }
    }
    const auto bounds = AnswerBounds { connectTimeout, callTimeout, answerTimeout, maxAnswerBytes };
    auto client = std::make_unique<BoundedClient>(m_address, bounds);
    client->set_keep_alive(true);
    return client;
}

auto PlatformClient::giveBack(std::unique_ptr<BoundedClient> client) -> void
{
    const auto lock = std::lock_guard(m_mutex);
    if (m_idle.size() < maxIdleClients)
        m_idle.push_back(std::move(client));
}

auto PlatformClient::get(const std::string& kind, const std::string& name)
    -> Result<std::optional<PlatformObject>>
{
    m_metrics.add(Counter::PlatformReads);
    const auto answer = BorrowedClient(*this)->Get(pathOf(kind, name));
    if (answer && answer->status == statusNotFound)
        return std::optional<PlatformObject>();
    if (auto failure = failureOf(answer)) {
        m_metrics.add(Counter::PlatformFailures);
        return *failure;
    }
    auto object = parseObject(answer->body);
    if (!object)
        return object.error();
    return std::optional(std::move(object.value()));
}

auto PlatformClient::list(const std::string& kind) -> Result<ObjectList>
{
    m_metrics.add(Counter::PlatformReads);
    const auto answer = BorrowedClient(*this)->Get(pathOf(kind));
    if (auto failure = failureOf(answer)) {
        m_metrics.add(Counter::PlatformFailures);
        return *failure;
    }
    const auto json = parsePlatformJson(answer->body);
    if (!json)
        return json.error();
    const auto version = readVersion(objectIn(json.value(), "metadata"));
    const auto* items = member(json.value(), "items");
    if (!version || !items || !items->is_array())
        return notRun(FailureType::Unavailable, "the platform's answer is no list");
    auto list = ObjectList { *version, {} };
    for (const auto& item : *items) {
        if (auto object = readObject(item))
            list.m_objects.push_back(std::move(*object));
        else
            logWarning("platform_object_unreadable", { { "kind", kind } });
    }
    return list;
}

auto PlatformClient::create(const std::string& kind, const std::string& name, const nlohmann::json& spec)
    -> Result<PlatformObject>
{
    m_metrics.add(Counter::PlatformWrites);
    const auto body = writeObject({ name, 0, spec });
    const auto answer = BorrowedClient(*this)->Post(pathOf(kind), body, "application/json");
    if (auto failure = failureOf(answer)) {
        m_metrics.add(Counter::PlatformFailures);
        return *failure;
    }
    return parseObject(answer->body);
}

auto PlatformClient::update(const std::string& kind, const PlatformObject& object) -> Result<PlatformObject>
{
    m_metrics.add(Counter::PlatformWrites);
    const auto path = pathOf(kind, object.m_name);
    const auto answer = BorrowedClient(*this)->Put(path, writeObject(object), "application/json");
    if (auto failure = failureOf(answer)) {
        m_metrics.add(Counter::PlatformFailures);
        return *failure;
    }
    return parseObject(answer->body);
}

auto PlatformClient::remove(const std::string& kind, const std::string& name) -> Result<void>
{
    m_metrics.add(Counter::PlatformWrites);
    const auto answer = BorrowedClient(*this)->Delete(pathOf(kind, name));
    const auto failure = failureOf(answer);
    if (!failure || failure->m_type == FailureType::NotFound)
        return boost::outcome_v2::success();
    m_metrics.add(Counter::PlatformFailures);
    return *failure;
}

auto PlatformClient::watch(const std::string& kind, ObjectVersion after, std::chrono::milliseconds duration,
    const WatchHandler& handler) -> Result<void>
{
    m_metrics.add(Counter::PlatformReads);
    const auto end = duration + callTimeout;
    auto client = BoundedClient(m_address, { connectTimeout, end, end, maxAnswerBytes });
    const auto path = pathOf(kind) + "?watch=1&resourceVersion=" + std::to_string(after)
        + "&timeoutMilliseconds=" + std::to_string(duration.count());
    auto pending = std::string();
    auto ended = false;
    const auto takeLine = [&](const std::string& line) {
        const auto json = nlohmann::json::parse(line, nullptr, false);
        const auto type = valueNamed(watchEventTypeNames, textOr(json, "type", ""));
        if (!type)
            return false;
        auto object = readObject(objectIn(json, "object"));
        if (!object) {
            logWarning("platform_object_unreadable", { { "kind", kind } });
            return true;
        }
        return handler({ *type, std::move(*object) });
    };
    const auto answer = client.Get(path, [&](const char* data, std::size_t size) {
        pending.append(data, size);
        for (auto end = pending.find('\n'); end != std::string::npos; end = pending.find('\n')) {
            const auto line = pending.substr(0, end);
            pending.erase(0, end + 1);
            if (!takeLine(line)) {
                ended = true;
                return false;
            }
        }
        client.allowBytes(maxAnswerBytes);
        return pending.size() <= maxAnswerBytes;
    });
    if (ended)
        return boost::outcome_v2::success();
    if (auto failure = failureOf(answer)) {
        m_metrics.add(Counter::PlatformFailures);
        return *failure;
    }
    return boost::outcome_v2::success();
}

} // namespace marigoldladder
