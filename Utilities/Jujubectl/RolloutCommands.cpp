#include "RolloutCommands.h"

#include <LibCore/Error.h>
#include <LibRelay/RolloutStatusReport.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

namespace Jujube
{

namespace
{

constexpr const char *RolloutsPath = "/rollouts";
constexpr int NotFoundStatus = 404;
constexpr size_t MaxResponseBytes = 4 << 20;
constexpr double Percent = 100;

absl::StatusOr<std::string> readRollouts(CommandContext &context, const std::string &relay)
{
    const auto timeout = context.settings.milliseconds("timeout-ms");
    auto response = context.client.call({.url = absl::StrCat("http://", relay, RolloutsPath),
                                         .connectTimeout = timeout,
                                         .totalTimeout = timeout,
                                         .freshConnection = true,
                                         .answerLimitBytes = MaxResponseBytes});
    if (response.isSuccess()) {
        return std::move(response.body);
    }
    if (response.end != HttpEnd::Complete) {
        return makeError(ErrorKind::TargetUnavailable, absl::StrCat("the relay at ", relay, " did not respond: ", response.error));
    }
    if (response.status == NotFoundStatus) {
        return makeError(ErrorKind::NotFound, absl::StrCat("the relay at ", relay, " has no rollouts: they are not in use, or it is of an earlier version"));
    }
    return makeError(ErrorKind::TargetFailed, absl::StrCat("the relay at ", relay, " responded with status ", response.status));
}

std::string dueText(const RolloutStatusReport &report)
{
    if (isFinal(report.stage)) {
        return "";
    }
    if (!report.due) {
        return ", due time unknown";
    }
    const auto seconds = std::chrono::duration<double>(*report.due).count();
    return seconds >= 0 ? absl::StrFormat(", due in %.1f s", seconds) : absl::StrFormat(", was due %.1f s ago", -seconds);
}

void printRollout(std::ostream &out, const RolloutStatusReport &report)
{
    const std::string stage(nameOf(report.stage));
    out << absl::StrCat(report.service, " to ", report.to, ": ", stage, dueText(report), "\n");
    if (report.hold) {
        out << absl::StrCat("  on hold: nothing is sent to ", report.to, " for now\n");
    }
    if (!report.reason.empty()) {
        out << absl::StrCat("  reason: ", report.reason, "\n");
    }
    out << absl::StrFormat("  share of the trial: %.1f%%\n", report.share * Percent);
    out << absl::StrFormat("  requests: %d, of them %d to %s\n", report.requests, report.newRequests, report.to);
    out << absl::StrFormat("  responses of %s: %d, of them %d bad\n", report.to, report.responses, report.bad);
    out << absl::StrFormat("  under way: %d at %s, %d at other versions\n", report.underWayNew, report.to, report.underWayOld);
    out << absl::StrFormat("  order %d, plan %d by %s\n", report.order, report.plan, report.by.empty() ? "an unknown relay" : report.by);
    out << absl::StrCat("  coordinator: ", report.coordinator.empty() ? "not known" : report.coordinator, "\n");
}

} // namespace

absl::StatusOr<ExitCode> runRollouts(CommandContext &context)
{
    if (auto status = expectArguments(context, 0, 0, "rollouts --relay ADDRESS [--json]"); !status.ok()) {
        return status;
    }
    const auto &relay = context.settings.text("relay");
    if (relay.empty()) {
        return makeError(ErrorKind::InvalidValue, "--relay: a value is required for rollouts");
    }
    const auto text = readRollouts(context, relay);
    if (!text.ok()) {
        return text.status();
    }
    const auto reports = RolloutStatusReport::parse(*text);
    if (!reports.ok()) {
        return makeError(ErrorKind::TargetFailed, absl::StrCat("the response of the relay at ", relay, " cannot be read: ", reports.status().message()));
    }
    if (context.settings.isOn("json")) {
        context.out << *text << '\n';
        return ExitCode::Done;
    }
    for (const auto &report : *reports) {
        printRollout(context.out, report);
    }
    if (reports->empty()) {
        context.out << "no rollouts\n";
    }
    return ExitCode::Done;
}

} // namespace Jujube
