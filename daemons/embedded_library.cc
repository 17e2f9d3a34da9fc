#include "daemons/embedded_library.h"

// The build states the file's path.
asm(".section .rodata\n"
    ".balign 16\n"
    "marigoldladderLibraryBegin:\n"
    ".incbin \"" MARIGOLDLADDER_RELAY_LIBRARY "\"\n"
    "marigoldladderLibraryEnd:\n"
    ".byte 0\n"
    ".globl marigoldladderLibraryBegin\n"
    ".globl marigoldladderLibraryEnd\n"
    ".hidden marigoldladderLibraryBegin\n"
    ".hidden marigoldladderLibraryEnd\n"
    ".previous\n");

extern "C" [[gnu::visibility("hidden")]] const char marigoldladderLibraryBegin;
extern "C" [[gnu::visibility("hidden")]] const char marigoldladderLibraryEnd;

namespace marigoldladder {

auto embeddedLibrary() -> std::string_view
{
    const auto* const begin = &marigoldladderLibraryBegin;
    return { begin, static_cast<std::size_t>(&marigoldladderLibraryEnd - begin) };
}

} // namespace marigoldladder
