#pragma once

#include <absl/container/flat_hash_map.h>
#include <string>
#include <string_view>

namespace Jujube
{

// Start-time fair queueing (Goyal, Vin and Cheng, 1996): orders the requests of several workspaces so that each gets the same share of the service, however
// much it requests. A workspace that was idle accumulates no credit: it starts at the current virtual time.
class FairShare
{
public:
    // Start tag of a new request. Lower tags are served first.
    double startTag(std::string_view workspace, double cost);

    // Advances the virtual time to the tag of a request that is being served.
    void served(double tag);

    // Gives back the cost of a request that got a tag but is not served.
    void refund(std::string_view workspace, double cost);

private:
    double m_virtualTime = 0;
    absl::flat_hash_map<std::string, double> m_finish;
};

} // namespace Jujube
