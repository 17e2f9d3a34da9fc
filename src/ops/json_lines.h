// Finds the line of a JSON text that a field stands in, for faults that are known by their path.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace marigoldladder {

// Returns the line, counted from 1, of each field and array element by its path, such as
// `/changes/0/name`. Of a text that is no JSON, the part before the error is covered.
auto fieldLines(std::string_view json) -> std::map<std::string, std::size_t>;

// Returns the line of the field, or of what it would stand in when it is missing; 0 for an empty map.
auto lineOf(const std::map<std::string, std::size_t>& lines, std::string path) -> std::size_t;

} // namespace marigoldladder
