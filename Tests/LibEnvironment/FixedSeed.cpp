#include <cstdlib>

namespace Jujube
{

namespace
{

// Makes property tests repeatable. A seed given in RC_PARAMS has precedence. RapidCheck reads the variable at the first property.
[[maybe_unused]] const int FixedSeed = setenv("RC_PARAMS", "seed=20261204", 0);

} // namespace

} // namespace Jujube
