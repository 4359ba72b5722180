#pragma once

#include <LibEnvironment/EnvironmentDocument.h>
#include <map>
#include <string>

namespace Jujube
{

// The environment document that a gateway acts on, with what is derived from it.
struct DocumentInForce {
    int64_t version = 0;
    std::string digest;
    std::string bytes;
    EnvironmentDocument document;
    // Names of workspaces by the SHA-256 of their keys.
    std::map<std::string, std::string, std::less<>> workspaceByKeyHash;
};

} // namespace Jujube
