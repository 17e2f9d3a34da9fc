#include "limits/token_exchange.h"

#include <cmath>
#include <utility>

namespace marigoldladder {

namespace {

    constexpr auto answerTimeout = std::chrono::milliseconds(100);

    template <typename Message> auto decodeTransfer(const Message& message) -> TokenTransfer
    {
        const auto tokens = std::isfinite(message.tokens) ? message.tokens : 0;
        return { OrganisationName(message.organisation), TransferId(message.transfer_id), tokens };
    }

    template <typename Message> auto encodeTransfer(const TokenTransfer& transfer) -> Message
    {
        auto message = Message();
        message.organisation = transfer.m_organisation.value();
        message.transfer_id = transfer.m_id.value();
        message.tokens = transfer.m_tokens;
        return message;
    }

    auto ask(PeerLinks& links, const VmName& vm, const TokenTransfer& transfer) -> std::optional<TokenGift>
    {
        const auto link = links.to(vm);
        if (!link)
            return std::nullopt;
        const auto answer = link.value()->call(encodeTransfer<wire::TokenRequestT>(transfer), answerTimeout);
        const auto* gift = answer ? answer.value().body.AsTokenAnswer() : nullptr;
        if (!gift || gift->transfer_id != transfer.m_id.value())
            return std::nullopt;
        return TokenGift { gift->tokens, gift->left };
    }

    auto giveBack(PeerLinks& links, const VmName& vm, const TokenTransfer& transfer) -> void
    {
        constexpr auto noExchange = std::uint64_t { 0 };
        if (const auto link = links.to(vm))
            link.value()->send(noExchange, encodeTransfer<wire::TokenReturnT>(transfer));
    }

} // namespace

auto makeTokenTransport(PeerLinks& links) -> TokenTransport
{
    return { [&links](const VmName& vm, const TokenTransfer& transfer) { return ask(links, vm, transfer); },
        [&links](const VmName& vm, const TokenTransfer& transfer) { giveBack(links, vm, transfer); } };
}

auto handleTokenRequest(Allowance& allowance, const std::shared_ptr<PeerConnection>& connection,
    const wire::EnvelopeT& envelope) -> void
{
    const auto transfer = decodeTransfer(*envelope.body.AsTokenRequest());
    const auto gift = allowance.give(transfer);
    auto answer = wire::TokenAnswerT();
    answer.transfer_id = transfer.m_id.value();
    answer.tokens = gift.m_tokens;
    answer.left = gift.m_left;
    connection->send(makeEnvelope(envelope.correlation, std::move(answer)));
}

auto handleTokenReturn(Allowance& allowance, const wire::EnvelopeT& envelope) -> void
{
    allowance.takeBack(decodeTransfer(*envelope.body.AsTokenReturn()));
}

} // namespace marigoldladder
