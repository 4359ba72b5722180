#pragma once

#include <cstdlib>

namespace Jujube
{

// RapidCheck reads its parameters before the first property. A fixed seed makes a failure repeatable. Shrinking a failure takes minutes, so it is off;
// RC_PARAMS in the environment overrides all of this.
inline const bool PropertySeedIsSet = setenv("RC_PARAMS", "seed=20261204 max_success=1000 noshrink=1", 0) == 0;

} // namespace Jujube
