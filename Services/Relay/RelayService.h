#pragma once

namespace Jujube
{

// Runs a relay until SIGTERM. Returns the exit code: 0 after a graceful shutdown, 2 for invalid settings, 3 if an address cannot be bound.
int runRelay(int argc, char **argv);

} // namespace Jujube
