#include "ControllerSettings.h"

#include <LibCore/Identifier.h>

namespace Jujube
{

namespace
{

constexpr int64_t DayMs = 86400000;
constexpr int64_t MaxNodes = 100000;

Setting duration(const std::string &name, const std::string &help, int defaultMs)
{
    return {.name = name, .help = help + ", in ms", .defaultValue = std::to_string(defaultMs), .check = checkNumber(1, DayMs)};
}

Setting count(const std::string &name, const std::string &help, int defaultCount)
{
    return {.name = name, .help = help, .defaultValue = std::to_string(defaultCount), .check = checkNumber(1, MaxNodes)};
}

size_t size(const Settings &settings, const std::string &name)
{
    return static_cast<size_t>(settings.number(name));
}

} // namespace

Settings::Options controllerSettings(const std::string &version)
{
    return {.program = "jujube-controller",
            .description = "Sends orders to engines and grants cold-target permits while it holds the lease",
            .version = version,
            .settings = {
                {.name = "listen", .help = "Address to serve operations on", .defaultValue = "127.0.0.1:8200", .check = checkAddress()},
                {.name = "platform", .help = "Address of the platform", .check = checkAddress(), .required = true},
                {.name = "name", .help = "Name of this process, unique in the fleet", .required = true},
                {.name = "data-centre", .help = "Data centre of this process", .required = true},
                {.name = "environment", .help = "Name of the environment", .defaultValue = "production"},
                count("nodes", "Highest number of nodes in the fleet, which divides the budget of requests to the platform", 8),
                duration("lease-ms", "Lease time", 10000),
                duration("lease-margin-ms", "How much earlier the holder stops", 1000),
                duration("lease-renew-ms", "Time between renewals", 3000),
                duration("lease-read-ms", "Time between reads while somebody else holds the lease", 5000),
                duration("lease-spread-ms", "Longest random pause before a takeover", 5000),
                duration("lease-retry-ms", "Time between attempts after a failed call", 1000),
                duration("order-timeout-ms", "Longest time that an order is under way", 5000),
                duration("order-repeat-ms", "Time after which an order without visible effect is sent again", 10000),
                count("loads", "Loads from the weight store at a time", 4),
                count("loads-per-model", "Loads of one model at a time", 2),
                duration("load-interval-ms", "Time between starts of loads", 1000),
                duration("load-timeout-ms", "Time after which a load makes room for others", 120000),
                duration("report-ms", "Time between load reports of targets with permits", 1000),
                duration("report-sweep-ms", "Time between load reports of other targets", 10000),
                duration("permit-scan-ms", "Time between reads of the permit rows", 1000),
                duration("permit-settle-ms", "Longest lag of a load report, plus the time in which a started stream reaches its target", 3000),
                duration("holder-missing-ms", "How long the VM list must lack a permit's holder", 10000),
            }};
}

LeaseKeeper::Options leaseOptions(const Settings &settings)
{
    return {.identity = settings.text("name") + "#" + randomIdentifier(),
            .leaseTime = settings.milliseconds("lease-ms"),
            .safetyMargin = settings.milliseconds("lease-margin-ms"),
            .renewInterval = settings.milliseconds("lease-renew-ms"),
            .readInterval = settings.milliseconds("lease-read-ms"),
            .takeoverSpread = settings.milliseconds("lease-spread-ms"),
            .retryInterval = settings.milliseconds("lease-retry-ms")};
}

OrderDuty::Options orderOptions(const Settings &settings)
{
    return {.plan = {.leaseTime = settings.milliseconds("lease-ms"),
                     .orderTimeout = settings.milliseconds("order-timeout-ms"),
                     .repeatInterval = settings.milliseconds("order-repeat-ms")},
            .loads = {.maxRunning = size(settings, "loads"),
                      .maxRunningPerModel = size(settings, "loads-per-model"),
                      .startInterval = settings.milliseconds("load-interval-ms"),
                      .loadTimeout = settings.milliseconds("load-timeout-ms")}};
}

PermitDuty::Options permitOptions(const Settings &settings)
{
    // One report may be lost or slow without holding up a grant.
    constexpr int ReportsInAge = 3;
    return {.ledger = {.settleTime = settings.milliseconds("permit-settle-ms"), .maxReportAge = ReportsInAge * settings.milliseconds("report-ms")},
            .census = {.missingTime = settings.milliseconds("holder-missing-ms")}};
}

ReportDuty::Options reportOptions(const Settings &settings)
{
    // A report is usable for orders until three sweeps have failed.
    constexpr int MissedSweeps = 3;
    return {.urgentInterval = settings.milliseconds("report-ms"),
            .sweepInterval = settings.milliseconds("report-sweep-ms"),
            .maxAge = MissedSweeps * settings.milliseconds("report-sweep-ms")};
}

} // namespace Jujube
