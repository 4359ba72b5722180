#pragma once

#include <LibEnvironment/EnvironmentDocument.h>
#include <map>
#include <string>

namespace Jujube
{

// The environment document in force on a gateway, with values derived from it.
struct DocumentInForce {
    int64_t version = 0;
    std::string digest;
    std::string bytes;
    EnvironmentDocument document;
    // Workspace names by the SHA-256 of the workspace keys.
    std::map<std::string, std::string, std::less<>> workspaceByKeyHash;
};

} // namespace Jujube
