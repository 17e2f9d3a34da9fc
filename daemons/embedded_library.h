// The relay's library as a part of the program, for a program that is without it, as after a copy of the
// program alone.
#pragma once

#include <string_view>

namespace marigoldladder {

// Returns the bytes of the library's file.
auto embeddedLibrary() -> std::string_view;

} // namespace marigoldladder
