#include "GatewayCommands.h"

#include <LibCore/Error.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <algorithm>

namespace Jujube
{

namespace
{

constexpr std::chrono::milliseconds PauseBetweenPolls {300};

// The gateways given by --gateways; without them those of the VM list.
absl::StatusOr<std::vector<GatewayAddress>> knownGateways(CommandContext &context)
{
    std::vector<GatewayAddress> gateways;
    for (const auto &address : context.settings.list("gateways")) {
        gateways.push_back({.name = address, .address = address});
    }
    if (!gateways.empty()) {
        return gateways;
    }
    const auto vms = context.platform.readVms();
    if (!vms.ok()) {
        return vms.status();
    }
    for (const auto &vm : *vms) {
        if (vm.role == "gateway") {
            gateways.push_back({.name = vm.name, .address = vm.address, .dataCentre = vm.dataCentre, .leaving = vm.leaving});
        }
    }
    return gateways;
}

std::string ageText(const std::optional<std::chrono::milliseconds> &age)
{
    return age ? absl::StrFormat("%.1fs", std::chrono::duration<double>(*age).count()) : "never";
}

bool isInForce(const GatewayReport &report, const DocumentHead &head)
{
    return report.answered() && report.version == head.version && report.digest == head.digest;
}

// What stands behind a gateway's line.
std::string remark(const GatewayReport &report, const DocumentHead &head)
{
    if (!report.answered()) {
        return report.problem;
    }
    if (isInForce(report, head)) {
        return "in force";
    }
    if (report.version == head.version) {
        return "same version, other digest";
    }
    return report.version < head.version ? "older version" : "newer than the accepted version";
}

void printReports(CommandContext &context, const std::vector<GatewayReport> &reports, const DocumentHead &head)
{
    constexpr auto Format = "%-20s %-22s %-12s %8s %9s %10s  %s\n";
    context.out << absl::StrFormat(Format, "GATEWAY", "ADDRESS", "DATA CENTRE", "VERSION", "AGE", "CONFIRMED", "STATE");
    for (const auto &report : reports) {
        const auto &gateway = report.gateway;
        const auto version = report.answered() ? absl::StrCat(report.version) : "-";
        const auto age = report.answered() ? ageText(report.age) : "-";
        const auto confirmed = report.answered() ? ageText(report.confirmedAge) : "-";
        const auto state = absl::StrCat(remark(report, head), gateway.leaving ? " (leaving)" : "");
        context.out << absl::StrFormat(Format, gateway.name, gateway.address, gateway.dataCentre, version, age, confirmed, state);
    }
}

// Leaves out gateways that serve another environment. Those that did not answer may serve this one.
std::vector<GatewayReport> pollEnvironment(CommandContext &context, const std::vector<GatewayAddress> &gateways, const std::string &environment)
{
    auto reports = pollGateways(context.client, gateways, context.settings.milliseconds("timeout-ms"));
    std::erase_if(reports, [&](const GatewayReport &report) { return report.answered() && report.environment != environment; });
    return reports;
}

size_t countMissing(const std::vector<GatewayReport> &reports, const DocumentHead &head)
{
    const auto isMissing = [&head](const GatewayReport &report) { return !report.gateway.leaving && !isInForce(report, head); };
    return static_cast<size_t>(std::count_if(reports.begin(), reports.end(), isMissing));
}

// During a platform outage the newest document in force takes the place of the accepted one.
DocumentHead newestOf(const std::vector<GatewayReport> &reports)
{
    DocumentHead newest;
    for (const auto &report : reports) {
        if (report.answered() && report.version > newest.version) {
            newest.version = report.version;
            newest.digest = report.digest;
        }
    }
    return newest;
}

} // namespace

absl::StatusOr<ExitCode> runStatus(CommandContext &context)
{
    if (auto status = expectArguments(context, 0, 1, "status ENVIRONMENT"); !status.ok()) {
        return status;
    }
    const auto environment = environmentName(context, context.arguments.empty() ? "" : context.arguments[0]);
    if (!environment.ok()) {
        return environment.status();
    }
    const auto head = context.store.readHead(*environment);
    const auto gateways = knownGateways(context);
    if (!gateways.ok()) {
        return gateways.status();
    }
    const auto reports = pollEnvironment(context, *gateways, *environment);
    const auto expected = head.ok() ? head->head : newestOf(reports);
    if (head.ok() && expected.version == 0) {
        return makeError(ErrorKind::NotFound, absl::StrCat("environment \"", *environment, "\" has no document"));
    }
    context.out << "environment " << *environment << ": "
                << (head.ok() ? headText(expected) : absl::StrCat("the accepted version is unknown; the newest in force is ", expected.version)) << '\n';
    printReports(context, reports, expected);
    if (!head.ok()) {
        return head.status();
    }
    return countMissing(reports, expected) == 0 ? ExitCode::Done : ExitCode::NotInForce;
}

absl::StatusOr<ExitCode> runGateways(CommandContext &context)
{
    if (auto status = expectArguments(context, 0, 0, "gateways"); !status.ok()) {
        return status;
    }
    const auto gateways = knownGateways(context);
    if (!gateways.ok()) {
        return gateways.status();
    }
    for (const auto &gateway : *gateways) {
        const auto state = gateway.leaving ? "leaving" : "live";
        context.out << absl::StrFormat("%-20s %-22s %-12s %s\n", gateway.name, gateway.address, gateway.dataCentre, state);
    }
    return ExitCode::Done;
}

void printConfirmations(CommandContext &context, const std::string &environment, const DocumentHead &head)
{
    const auto gateways = knownGateways(context);
    if (!gateways.ok()) {
        context.out << "the gateways are not known: " << gateways.status().message() << '\n';
        return;
    }
    constexpr int64_t MsPerSecond = 1000;
    const auto rounds = context.settings.number("wait-s") * MsPerSecond / PauseBetweenPolls.count();
    auto reports = pollEnvironment(context, *gateways, environment);
    for (int64_t round = 0; round < rounds && countMissing(reports, head) > 0; ++round) {
        context.pause(PauseBetweenPolls);
        reports = pollEnvironment(context, *gateways, environment);
    }
    if (reports.empty()) {
        context.out << "no gateway of environment " << environment << " is known\n";
        return;
    }
    printReports(context, reports, head);
    const auto inForce = std::count_if(reports.begin(), reports.end(), [&head](const GatewayReport &report) { return isInForce(report, head); });
    context.out << inForce << " of " << reports.size() << " gateways have confirmed version " << head.version << '\n';
}

} // namespace Jujube
