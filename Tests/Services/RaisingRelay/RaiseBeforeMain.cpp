#include <csignal>

namespace
{

// Sends SIGHUP to the process when this library is initialised, before the initialisers of the program and before main().
[[gnu::constructor]] void raiseBeforeMain()
{
    static_cast<void>(std::raise(SIGHUP));
}

} // namespace
