/// \file
/// Sets what signals do to a process or a thread, so that no peer that closes a connection or a
/// pipe ends the process.
#pragma once

namespace kestrelhoist {

/// Makes a write to a closed connection or pipe fail with EPIPE for the whole process, where it
/// would raise SIGPIPE, which ends the process. For programs, not for libraries.
void ignoreBrokenPipes();

/// Does the same for the calling thread alone and for the threads that it starts, and leaves the
/// process as it is. For threads of a library.
void blockBrokenPipesInThread();

/// Lets the process go on when its terminal closes.
void ignoreTerminalHangup();

/// Restores the default dispositions and unblocks all signals. For a child process before exec(),
/// since ignored and blocked signals stay so in the new program.
void restoreDefaultSignals();

/// Opens /dev/null for each standard stream that is closed. Otherwise the next socket would get its
/// number, and output would be sent to a peer.
void openClosedStandardStreams();

}  // namespace kestrelhoist
