#pragma once

#include "CommandContext.h"
#include "GatewayPoll.h"

namespace Jujube
{

// status [ENVIRONMENT]: prints the accepted version and the version, age and confirmation age of every gateway.
absl::StatusOr<ExitCode> runStatus(CommandContext &context);

// gateways: prints the gateways of the VM list.
absl::StatusOr<ExitCode> runGateways(CommandContext &context);

// Prints which gateways have the version in force, waiting for all of them up to --wait-s. Leaving gateways are not waited for.
void printConfirmations(CommandContext &context, const std::string &environment, const DocumentHead &head);

} // namespace Jujube
