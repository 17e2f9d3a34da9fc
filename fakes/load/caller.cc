#include "load/caller.h"

#include "fake_server.h"

#include <cmath>
#include <utility>

namespace marigoldladder::fakes {

namespace {

    constexpr auto connectTimeout = std::chrono::milliseconds(500);
    constexpr auto answerTimeout = std::chrono::milliseconds(15'000);
    constexpr auto bookingTries = 3;
    constexpr auto promptVariants = 50U;
    constexpr auto jsonType = "application/json";
    constexpr auto statusOk = 200;

    auto zipfWeights(std::size_t count, double exponent) -> std::vector<double>
    {
        auto weights = std::vector<double>();
        for (auto rank = std::size_t { 1 }; rank <= count; ++rank)
            weights.push_back(1 / std::pow(static_cast<double>(rank), exponent));
        return weights;
    }

    auto requestBody(const Question& question, const std::string& priority, bool stream) -> std::string
    {
        return nlohmann::json {
            { "model", question.m_model },
            { "prompt", question.m_prompt },
            { "max_tokens", question.m_maxTokens },
            { "priority", priority },
            { "stream", stream },
        }
            .dump();
    }

} // namespace

Caller::Caller(const LoadPlan& plan, const CallerGroup& group, std::uint64_t seed, LoadLog& log)
    : m_plan(plan)
    , m_group(group)
    , m_log(log)
    , m_random(seed)
    , m_popularity(zipfWeights(plan.m_adapters, plan.m_zipfExponent))
    , m_book(plan.m_nodes, group.m_dataCentre)
    , m_name(group.m_organisation.value() + "-" + std::to_string(seed))
{
}

auto Caller::thinkTime() -> std::chrono::milliseconds
{
    if (m_group.m_meanThinkTime.count() == 0)
        return {};
    auto draw
        = std::exponential_distribution<double>(1.0 / static_cast<double>(m_group.m_meanThinkTime.count()));
    return std::chrono::milliseconds(static_cast<std::int64_t>(draw(m_random)));
}

// Keeps the connection while the address stays the one to use.
auto Caller::connect() -> void
{
    auto next = m_book.pick(m_random);
    if (m_client && next.m_address == m_address.m_address) {
        m_address = std::move(next);
        return;
    }
    m_address = std::move(next);
    m_client = std::make_unique<httplib::Client>(m_address.m_address.m_host, m_address.m_address.m_port);
    m_client->set_keep_alive(true);
    m_client->set_tcp_nodelay(true);
    m_client->set_connection_timeout(connectTimeout);
    m_client->set_read_timeout(answerTimeout);
    m_client->set_bearer_token_auth(m_group.m_key);
}

auto Caller::drawKind() -> RequestKind
{
    const auto& mix = m_group.m_mix;
    auto draw = std::discrete_distribution<std::size_t>(
        { mix.m_completions, mix.m_streams, mix.m_bookings, mix.m_lookups });
    return requestKindNames.at(draw(m_random)).m_value;
}

auto Caller::drawQuestion() -> Question
{
    auto draw = std::discrete_distribution<std::size_t>(m_popularity.begin(), m_popularity.end());
    const auto model = "adapter-" + std::to_string(draw(m_random)) + "@1";
    return { model, "report " + std::to_string(m_random() % promptVariants), m_group.m_maxTokens };
}

auto Caller::begin(RequestKind kind) -> LoadRecord
{
    connect();
    auto record = LoadRecord();
    record.m_startedAtMs = wallClockMilliseconds();
    record.m_kind = kind;
    record.m_organisation = m_group.m_organisation;
    record.m_key = m_group.m_key;
    record.m_node = formatAddress(m_address.m_address);
    return record;
}

auto Caller::end(LoadRecord record) -> void
{
    record.m_endedAtMs = wallClockMilliseconds();
    if (record.m_outcome == Outcome::Lost || record.m_outcome == Outcome::Cut
        || record.m_outcome == Outcome::Unconnected) {
        m_book.expire();
        m_client.reset();
    }
    m_log.add(std::move(record));
}

// Notes a request that got no answer; one that could not be sent is told apart.
auto Caller::takeLoss(httplib::Error error, LoadRecord& record) -> void
{
    const auto unsent = error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout;
    record.m_outcome = unsent ? Outcome::Unconnected : Outcome::Lost;
    record.m_message = httplib::to_string(error);
}

auto Caller::takeRefusal(const httplib::Response& response, LoadRecord& record) -> void
{
    record.m_outcome = Outcome::Refused;
    record.m_verdict = response.get_header_value("Marigoldladder-Verdict");
    const auto json = nlohmann::json::parse(response.body, nullptr, false);
    if (json.is_object() && json.contains("error"))
        record.m_message = json["error"].value("message", "");
}

auto Caller::sendCompletion(LoadRecord& record) -> void
{
    const auto question = drawQuestion();
    record.m_model = question.m_model;
    const auto body = requestBody(question, m_group.m_priority, false);
    const auto answer = m_client->Post("/v1/completions", body, jsonType);
    if (!answer) {
        takeLoss(answer.error(), record);
        return;
    }
    record.m_status = answer->status;
    record.m_requestId = RequestId(answer->get_header_value("X-Request-Id"));
    if (answer->status == statusOk)
        checkWholeAnswer(question, answer->body, record);
    else
        takeRefusal(*answer, record);
}

auto Caller::sendStream(LoadRecord& record) -> void
{
    const auto question = drawQuestion();
    record.m_model = question.m_model;
    auto check = StreamCheck(question);
    auto request = httplib::Request();
    auto refusal = std::string();
    request.method = "POST";
    request.path = "/v1/completions";
    request.body = requestBody(question, m_group.m_priority, true);
    request.set_header("Content-Type", jsonType);
    request.response_handler = [&](const httplib::Response& response) {
        record.m_status = response.status;
        record.m_requestId = RequestId(response.get_header_value("X-Request-Id"));
        return true;
    };
    request.content_receiver = [&](const char* data, std::size_t size, std::uint64_t, std::uint64_t) {
        if (record.m_status == statusOk)
            check.take({ data, size });
        else
            refusal.append(data, size);
        return true;
    };
    auto answer = m_client->send(request);
    if (record.m_status == 0) {
        takeLoss(answer.error(), record);
        return;
    }
    if (record.m_status == statusOk) {
        check.finish(record);
        return;
    }
    if (!answer)
        return;
    answer->body = refusal;
    takeRefusal(*answer, record);
}

auto Caller::sendService(LoadRecord& record) -> void
{
    const auto booking = record.m_kind == RequestKind::Booking;
    auto headers = httplib::Headers();
    if (booking)
        headers.emplace("Idempotency-Key", record.m_idempotencyKey.value());
    const auto path = booking ? "/services/appointments/book" : "/services/slots/free";
    const auto body = nlohmann::json { { "appointment", record.m_idempotencyKey.value() } }.dump();
    const auto answer
        = booking ? m_client->Post(path, headers, body, jsonType) : m_client->Get(path, headers);
    if (!answer) {
        takeLoss(answer.error(), record);
        return;
    }
    record.m_status = answer->status;
    record.m_requestId = RequestId(answer->get_header_value("X-Request-Id"));
    record.m_tokens = 1;
    if (answer->status == statusOk)
        record.m_outcome = Outcome::Served;
    else
        takeRefusal(*answer, record);
}

auto Caller::sendOne() -> void
{
    const auto kind = drawKind();
    auto record = begin(kind);
    if (kind == RequestKind::Completion)
        sendCompletion(record);
    if (kind == RequestKind::Stream)
        sendStream(record);
    if (kind == RequestKind::Completion || kind == RequestKind::Stream) {
        end(std::move(record));
        return;
    }
    const auto key = IdempotencyKey(m_address.m_keyPrefix + m_name + "-" + std::to_string(m_sent++));
    const auto tries = kind == RequestKind::Booking ? bookingTries : 1;
    for (auto i = 0; i < tries; ++i) {
        if (i > 0)
            record = begin(kind);
        record.m_idempotencyKey = key;
        sendService(record);
        const auto unknown = record.m_outcome == Outcome::Lost || record.m_outcome == Outcome::Unconnected
            || record.m_verdict == "may_have_run";
        end(record);
        if (!unknown)
            return;
    }
}

} // namespace marigoldladder::fakes
