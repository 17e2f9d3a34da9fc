// Reads the listing of a kind of the store's objects, page by page.
//
// Anyone may write an object under any name, and a page is asked for by a name on the page before it. So a
// name that the store doesn't take back, or takes for another one, must cost no other object: the listing
// goes on after another name of the page, and without one it ends as incomplete.
#pragma once

#include "relay/object_store.h"

#include <functional>
#include <map>
#include <string>

namespace marigoldladder::relay {

struct ListingPage {
    std::vector<StoredObject> m_objects;
    StoreRevision m_revision;
    bool m_hasMore = false;
};

// Fetches the page that follows a name; the first page if that is empty.
using FetchPage = std::function<Awaitable<StoreResult<ListingPage>>(std::string after)>;

// Returns the objects of all pages, each name once. Fails if the first page can't be fetched, if the store is
// of another era at a later page, or if a later page fails but not as `Rejected`.
auto listPages(FetchPage) -> Awaitable<StoreResult<ObjectListing>>;

// Returns the text after which the store is to continue behind an object of this name. That is the name, but
// where it is empty, overlong or has half of a surrogate pair a text that sorts after it: between the two are
// only names that are like it in this.
auto continuationAfter(const std::string& name) -> std::string;

// Logs the listings that end as incomplete, once for each kind and name behind which they end.
class IncompleteListingLog {
public:
    auto note(const std::string& kind, const ObjectListing&) -> void;

private:
    std::map<std::string, std::string> m_readUpTo; // By kind.
};

} // namespace marigoldladder::relay
