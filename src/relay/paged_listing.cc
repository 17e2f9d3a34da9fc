#include "relay/paged_listing.h"

#include "core/log.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace marigoldladder::relay {

namespace {

    // Far more than the adapters of the largest fleet.
    constexpr auto maxListedObjects = std::size_t { 1 } << 17;
    // Names of one page after which the store is asked to continue, from the last one backwards.
    constexpr auto maxContinuations = std::size_t { 8 };
    // A longer text may not fit into the target of a call.
    constexpr auto maxContinuationBytes = std::size_t { 1'024 };

    constexpr auto firstCharacter = "\x01"; // Sorts after the empty name.
    constexpr auto firstAfterSurrogates = "\xee\x80\x80"; // U+E000.
    constexpr auto lastCharacter = "\xf4\x8f\xbf\xbf"; // U+10FFFF.

    // Returns where half of a surrogate pair begins, encoded like a character; npos if there is none.
    auto findSurrogate(const std::string& name) -> std::size_t
    {
        constexpr auto lead = '\xed';
        constexpr auto leastSecond = static_cast<unsigned char>(0xa0);
        for (auto at = name.find(lead); at != std::string::npos; at = name.find(lead, at + 1)) {
            if (at + 1 < name.size() && static_cast<unsigned char>(name[at + 1]) >= leastSecond)
                return at;
        }
        return std::string::npos;
    }

    auto isContinuationByte(char byte) -> bool
    {
        constexpr auto mask = 0xc0U;
        constexpr auto mark = 0x80U;
        return (static_cast<unsigned char>(byte) & mask) == mark;
    }

    // Gathers the objects of the pages.
    class PagedListing {
    public:
        // The watch that follows starts at the first page's revision, so that it reports changes made between
        // two pages.
        explicit PagedListing(StoreRevision first) { m_listing.m_revision = first; }

        auto add(ListingPage page) -> void
        {
            for (auto& object : page.m_objects) {
                const auto [entry, isNew]
                    = m_positions.try_emplace(object.m_name, m_listing.m_objects.size());
                if (isNew)
                    m_listing.m_objects.push_back(std::move(object));
                else
                    m_listing.m_objects[entry->second] = std::move(object); // It may have changed since.
            }
        }

        auto hasNewName(const ListingPage& page) const -> bool
        {
            return std::any_of(page.m_objects.begin(), page.m_objects.end(),
                [this](const StoredObject& object) { return !m_positions.contains(object.m_name); });
        }

        auto era() const -> std::uint64_t { return m_listing.m_revision.m_era; }
        auto isFull() const -> bool { return m_listing.m_objects.size() >= maxListedObjects; }

        auto complete() -> ObjectListing { return std::move(m_listing); }

        auto incomplete(std::string after) -> ObjectListing
        {
            m_listing.m_complete = false;
            m_listing.m_readUpTo = std::move(after);
            return std::move(m_listing);
        }

    private:
        ObjectListing m_listing;
        std::map<std::string, std::size_t> m_positions; // By name.
    };

    // Returns the texts after which to continue behind a page, the best one first.
    auto continuationsOf(const ListingPage& page) -> std::vector<std::string>
    {
        auto texts = std::vector<std::string>();
        const auto& objects = page.m_objects;
        for (auto at = objects.rbegin(); at != objects.rend() && texts.size() < maxContinuations; ++at) {
            if (!at->m_name.empty())
                texts.push_back(continuationAfter(at->m_name));
        }
        if (texts.empty() && !objects.empty())
            texts.push_back(continuationAfter(""));
        return texts;
    }

    auto nameOfLast(const ListingPage& page) -> std::string
    {
        return page.m_objects.empty() ? std::string() : page.m_objects.back().m_name;
    }

    // A page after one of these texts, or why there is none.
    struct Continued {
        std::optional<ListingPage> m_page;
        std::optional<StoreFailure> m_failure; // Neither: the listing can't be continued.
    };

    // Fetches the page after the first of the texts that the store takes and that leads on.
    auto continueListing(const FetchPage& fetch, std::vector<std::string> texts, const PagedListing& listing)
        -> Awaitable<Continued>
    {
        for (auto& text : texts) {
            auto page = co_await fetch(std::move(text));
            if (!page && page.error().m_type == StoreFailureType::Rejected)
                continue;
            if (!page)
                co_return Continued { std::nullopt, std::move(page.error()) };
            if (page.value().m_revision.m_era != listing.era())
                co_return Continued { std::nullopt,
                    StoreFailure { StoreFailureType::Refused, "the store was restored between two pages" } };
            if (!page.value().m_hasMore || listing.hasNewName(page.value()))
                co_return Continued { std::move(page.value()), std::nullopt };
        }
        co_return Continued();
    }

} // namespace

auto continuationAfter(const std::string& name) -> std::string
{
    if (name.empty())
        return firstCharacter;
    const auto surrogate = findSurrogate(name);
    if (surrogate < maxContinuationBytes)
        return name.substr(0, surrogate) + firstAfterSurrogates;
    if (name.size() <= maxContinuationBytes)
        return name;
    auto length = maxContinuationBytes;
    while (length > 0 && isContinuationByte(name[length]))
        --length;
    return name.substr(0, length) + lastCharacter;
}

auto listPages(FetchPage fetch) -> Awaitable<StoreResult<ObjectListing>>
{
    auto first = co_await fetch("");
    if (!first)
        co_return first.error();
    auto page = std::move(first.value());
    auto listing = PagedListing(page.m_revision);
    for (;;) {
        const auto hasMore = page.m_hasMore;
        auto texts = continuationsOf(page);
        auto last = nameOfLast(page);
        listing.add(std::move(page));
        if (!hasMore)
            co_return listing.complete();
        if (listing.isFull())
            co_return listing.incomplete(std::move(last));
        auto continued = co_await continueListing(fetch, std::move(texts), listing);
        if (continued.m_failure)
            co_return *continued.m_failure;
        if (!continued.m_page)
            co_return listing.incomplete(std::move(last));
        page = std::move(*continued.m_page);
    }
}

auto IncompleteListingLog::note(const std::string& kind, const ObjectListing& listing) -> void
{
    if (listing.m_complete) {
        m_readUpTo.erase(kind);
        return;
    }
    const auto [entry, isNew] = m_readUpTo.try_emplace(kind, listing.m_readUpTo);
    if (!isNew && entry->second == listing.m_readUpTo)
        return;
    entry->second = listing.m_readUpTo;
    logWarning("listing_incomplete",
        { { "kind", kind }, { "after", listing.m_readUpTo },
            { "objects", std::to_string(listing.m_objects.size()) } });
}

} // namespace marigoldladder::relay
