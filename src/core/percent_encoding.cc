#include "core/percent_encoding.h"

#include <boost/spirit/include/karma.hpp>
#include <cstdint>
#include <iterator>
#include <vector>

namespace marigoldladder {

auto percentEncoded(std::string_view bytes) -> std::string
{
    namespace karma = boost::spirit::karma;
    using karma::char_;
    using karma::hex;
    using karma::right_align;
    using karma::upper;
    constexpr auto digits = 2;
    const auto octets = std::vector<std::uint8_t>(bytes.begin(), bytes.end());
    auto text = std::string();
    // The expression refers to its parts, so that it can't be kept in variables.
    (void)karma::generate(std::back_inserter(text),
        *(char_("A-Za-z0-9._~-") | '%' << right_align(digits, '0')[upper[hex]]), octets);
    return text;
}

} // namespace marigoldladder
