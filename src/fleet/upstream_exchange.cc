#include "fleet/upstream_exchange.h"

#include <algorithm>
#include <utility>

namespace marigoldladder {

namespace {

    constexpr auto answersPerRound = 4;
    constexpr auto pullTimeout = std::chrono::milliseconds(500);

    using Records = std::vector<std::unique_ptr<wire::UpstreamRecordT>>;

    auto encodeUpstream(const Upstream& upstream) -> std::unique_ptr<wire::UpstreamRecordT>
    {
        auto record = std::make_unique<wire::UpstreamRecordT>();
        record->name = upstream.m_name.value();
        record->pool = upstream.m_pool.value();
        record->data_centre = upstream.m_dataCentre.value();
        record->address = formatAddress(upstream.m_address);
        record->kind = static_cast<std::uint8_t>(upstream.m_kind);
        record->leaving = upstream.m_leaving;
        record->checks_fencing = upstream.m_checksFencing;
        record->version = upstream.m_version;
        return record;
    }

    auto decodeUpstream(const wire::UpstreamRecordT& record) -> Upstream
    {
        auto upstream = Upstream();
        upstream.m_name = UpstreamName(record.name);
        upstream.m_pool = PoolName(record.pool);
        upstream.m_dataCentre = DataCentreName(record.data_centre);
        upstream.m_address = parseAddress(record.address).value_or(Address {});
        upstream.m_kind = record.kind == static_cast<std::uint8_t>(UpstreamKind::Service)
            ? UpstreamKind::Service
            : UpstreamKind::Engine;
        upstream.m_leaving = record.leaving;
        upstream.m_checksFencing = record.checks_fencing;
        upstream.m_version = record.version;
        return upstream;
    }

    auto removedRecord(const UpstreamName& name, std::uint64_t version)
        -> std::unique_ptr<wire::UpstreamRecordT>
    {
        auto record = std::make_unique<wire::UpstreamRecordT>();
        record->name = name.value();
        record->removed = true;
        record->version = version;
        return record;
    }

    auto changedRecords(const UpstreamTable& table, std::uint64_t after) -> Records
    {
        auto records = Records();
        for (const auto& [name, upstream] : table.m_upstreams) {
            if (upstream.m_version > after)
                records.push_back(encodeUpstream(upstream));
        }
        for (const auto& [name, version] : table.m_removed) {
            if (version > after)
                records.push_back(removedRecord(name, version));
        }
        std::sort(records.begin(), records.end(),
            [](const auto& left, const auto& right) { return left->version < right->version; });
        return records;
    }

    auto knownVersion(const UpstreamTable& table, const UpstreamName& name) -> std::uint64_t
    {
        const auto present = table.m_upstreams.find(name);
        if (present != table.m_upstreams.end())
            return present->second.m_version;
        const auto removed = table.m_removed.find(name);
        return removed == table.m_removed.end() ? 0 : removed->second;
    }

} // namespace

auto makeUpstreamsAnswer(const UpstreamTable& table, std::uint64_t after) -> wire::UpstreamsAnswerT
{
    auto answer = wire::UpstreamsAnswerT();
    answer.records = changedRecords(table, after);
    answer.version = table.m_version;
    auto count = std::min(maxUpstreamRecords, answer.records.size());
    while (count > 0 && count < answer.records.size()
        && answer.records[count]->version == answer.records[count - 1]->version)
        ++count;
    if (count < answer.records.size()) {
        answer.records.resize(count);
        answer.version = answer.records.back()->version;
    }
    return answer;
}

auto mergeUpstreams(UpstreamTable& table, const wire::UpstreamsAnswerT& answer) -> void
{
    for (const auto& record : answer.records) {
        const auto name = UpstreamName(record->name);
        if (record->version <= knownVersion(table, name))
            continue;
        if (record->removed) {
            table.m_upstreams.erase(name);
            table.m_removed[name] = record->version;
        } else {
            table.m_removed.erase(name);
            table.m_upstreams[name] = decodeUpstream(*record);
        }
    }
    table.m_version = std::max(table.m_version, answer.version);
    table.m_known = true;
}

auto pullUpstreams(Blackboard& blackboard, PeerLink& link, std::uint64_t peerVersion) -> void
{
    for (auto i = 0; i < answersPerRound; ++i) {
        const auto known
            = blackboard.m_upstreams.read([](const UpstreamTable& table) { return table.m_version; });
        if (known >= peerVersion)
            return;
        auto request = wire::UpstreamsRequestT();
        request.after = known;
        auto envelope = link.call(std::move(request), pullTimeout);
        const auto* answer = envelope ? envelope.value().body.AsUpstreamsAnswer() : nullptr;
        if (!answer)
            return;
        blackboard.m_upstreams.write([&](UpstreamTable& table) { mergeUpstreams(table, *answer); });
    }
}

auto handleUpstreamsRequest(const Blackboard& blackboard, const std::shared_ptr<PeerConnection>& connection,
    const wire::EnvelopeT& envelope) -> void
{
    const auto after = envelope.body.AsUpstreamsRequest()->after;
    auto answer = blackboard.m_upstreams.read(
        [&](const UpstreamTable& table) { return makeUpstreamsAnswer(table, after); });
    connection->send(makeEnvelope(envelope.correlation, std::move(answer)));
}

} // namespace marigoldladder
