#include "ReloadSignal.h"

#include <csignal>

namespace Jujube
{

namespace
{

void changeMask(int how)
{
    sigset_t signals {};
    sigemptyset(&signals);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(how, &signals, nullptr);
}

using Initialiser = void (*)(int, char **, char **);

// Functions in this section run after the dynamic linker has loaded the program and before all other initialisers, those of shared libraries included.
[[gnu::section(".preinit_array"), gnu::used]] Initialiser blockBeforeInitialisers = [](int, char **, char **) { changeMask(SIG_BLOCK); };

} // namespace

UnblockedReloadSignal::UnblockedReloadSignal()
{
    changeMask(SIG_UNBLOCK);
}

UnblockedReloadSignal::~UnblockedReloadSignal()
{
    changeMask(SIG_BLOCK);
}

} // namespace Jujube
