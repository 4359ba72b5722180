#include <LibCore/Identifier.h>

#include <absl/strings/str_format.h>
#include <random>

namespace Jujube
{

std::string randomIdentifier()
{
    std::random_device device;
    return absl::StrFormat("%08x%08x%08x%08x", device(), device(), device(), device());
}

} // namespace Jujube
