#include <cstdlib>

namespace Jujube
{

namespace
{

// Makes property tests reproducible. A value of RC_PARAMS in the environment takes precedence. RapidCheck reads the variable at the first property.
[[maybe_unused]] const int FixedSeed = setenv("RC_PARAMS", "seed=20261204", 0);

} // namespace

} // namespace Jujube
