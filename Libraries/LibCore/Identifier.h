#pragma once

#include <string>

namespace Jujube
{

// 128 random bits as 32 lower-case hexadecimal digits, from the operating system's generator.
std::string randomIdentifier();

} // namespace Jujube
