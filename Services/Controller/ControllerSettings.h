#pragma once

#include <LibControl/OrderDuty.h>
#include <LibControl/PermitDuty.h>
#include <LibCore/Settings.h>

namespace Jujube
{

// The declarations of the controller's settings.
Settings::Options controllerSettings(const std::string &version);

LeaseKeeper::Options leaseOptions(const Settings &settings);
OrderDuty::Options orderOptions(const Settings &settings);
PermitDuty::Options permitOptions(const Settings &settings);
ReportDuty::Options reportOptions(const Settings &settings);

} // namespace Jujube
