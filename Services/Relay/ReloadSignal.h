#pragma once

namespace Jujube
{

// SIGHUP is blocked from before the initialisers of the program and its libraries on, so that one that arrives while the relay starts is kept. Lets it through
// for its lifetime, which is to lie within that of the signal's handler. To be made by the thread that runs the loop; threads that were started before keep
// the signal blocked.
class UnblockedReloadSignal
{
public:
    UnblockedReloadSignal();
    ~UnblockedReloadSignal();
    UnblockedReloadSignal(const UnblockedReloadSignal &) = delete;
    UnblockedReloadSignal &operator=(const UnblockedReloadSignal &) = delete;
};

} // namespace Jujube
