#include "relay/dialect.h"

#include <boost/beast/http/field.hpp>

namespace marigoldladder::relay {

namespace http = boost::beast::http;

auto removeConnectionFields(HeaderFields& fields) -> void
{
    for (const auto field : { http::field::connection, http::field::keep_alive, http::field::proxy_connection,
             http::field::proxy_authenticate, http::field::proxy_authorization, http::field::te,
             http::field::trailer, http::field::transfer_encoding, http::field::upgrade,
             http::field::content_length, http::field::expect })
        fields.erase(field);
}

} // namespace marigoldladder::relay
