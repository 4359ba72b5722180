#pragma once

#include <absl/container/flat_hash_map.h>
#include <string>
#include <string_view>

namespace Jujube
{

// Start-time fair queueing (Goyal, Vin and Cheng, 1996): orders the requests of several workspaces so that each gets the same share of the service, whatever
// it asks for. A workspace that was idle starts level with the others and does not save up a claim.
class FairShare
{
public:
    // Start tag of a new request. Lower tags are served first.
    double enter(std::string_view workspace, double cost);

    // The request with this tag is being served.
    void served(double tag);

    // A request that got a tag is not served after all.
    void refund(std::string_view workspace, double cost);

private:
    double m_virtualTime = 0;
    absl::flat_hash_map<std::string, double> m_finish;
};

} // namespace Jujube
