// The relay as a shared library, which the program `marigoldladder-relay` loads.
#pragma once

// Runs a node by the program's arguments and returns the program's exit code: 2 for settings that can't be
// right. Signals have to be ignored or handled by the caller, but for SIGTERM.
extern "C" [[gnu::visibility("default")]] auto marigoldladderRelayMain(int argc, char** argv) -> int;
