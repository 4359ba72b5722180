#pragma once

#include <cstdlib>

namespace Jujube
{

// RapidCheck reads its parameters before the first property. A fixed seed makes a failure repeatable; RC_PARAMS in the environment overrides it.
inline const bool PropertySeedIsSet = setenv("RC_PARAMS", "seed=20261204 max_success=1000 max_size=400", 0) == 0;

} // namespace Jujube
