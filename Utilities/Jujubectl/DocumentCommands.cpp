#include "DocumentCommands.h"

#include <LibCore/Error.h>
#include <LibEnvironment/DocumentDiff.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <algorithm>

namespace Jujube
{

namespace
{

bool isVersion(const std::string &argument, uint64_t &version)
{
    const bool hasDigitsOnly = std::all_of(argument.begin(), argument.end(), [](char c) { return c >= '0' && c <= '9'; });
    return hasDigitsOnly && absl::SimpleAtoi(argument, &version);
}

absl::StatusOr<ReadDocument> readVersionDocument(CommandContext &context, const std::string &environment, uint64_t version)
{
    const auto head = context.store.readVersion(environment, version);
    return head.ok() ? readStoredDocument(context.store, *head) : head.status();
}

absl::StatusOr<ReadDocument> readInForce(CommandContext &context, const std::string &environment)
{
    const auto head = context.store.readHead(environment);
    return head.ok() ? readStoredDocument(context.store, head->head) : head.status();
}

// A file, or the number of a version of the environment given by --environment.
absl::StatusOr<ReadDocument> readArgument(CommandContext &context, const std::string &argument)
{
    uint64_t version = 0;
    if (!isVersion(argument, version)) {
        return readDocumentFile(argument);
    }
    const auto environment = environmentName(context, "");
    return environment.ok() ? readVersionDocument(context, *environment, version) : environment.status();
}

} // namespace

absl::StatusOr<ExitCode> runCheck(CommandContext &context)
{
    if (auto status = expectArguments(context, 1, SIZE_MAX, "check FILE..."); !status.ok()) {
        return status;
    }
    std::string mistakes;
    for (const auto &path : context.arguments) {
        const auto read = readDocumentFile(path);
        if (errorKindOf(read.status()) == ErrorKind::NotFound) {
            return read.status();
        }
        if (!read.ok()) {
            absl::StrAppend(&mistakes, mistakes.empty() ? "" : "\n", read.status().message());
            continue;
        }
        const auto &document = read->document;
        context.out << path << ": environment " << document.name << ", " << document.dataCentres.size() << " data centres, " << document.workspaces.size()
                    << " workspaces, " << document.models.size() << " models, " << document.services.size() << " services, " << document.targets.size()
                    << " targets\n";
    }
    if (!mistakes.empty()) {
        return makeError(ErrorKind::InvalidDocument, mistakes);
    }
    return ExitCode::Done;
}

absl::StatusOr<ExitCode> runDiff(CommandContext &context)
{
    if (auto status = expectArguments(context, 1, 2, "diff [OLD] NEW"); !status.ok()) {
        return status;
    }
    const auto after = readArgument(context, context.arguments.back());
    if (!after.ok()) {
        return after.status();
    }
    absl::StatusOr<ReadDocument> before;
    if (context.arguments.size() == 2) {
        before = readArgument(context, context.arguments.front());
    } else {
        const auto environment = environmentName(context, after->document.name);
        before = environment.ok() ? readInForce(context, *environment) : environment.status();
    }
    if (!before.ok()) {
        return before.status();
    }
    context.out << differencesText(diffDocuments(before->document, after->document));
    return ExitCode::Done;
}

absl::StatusOr<ExitCode> runShow(CommandContext &context)
{
    if (auto status = expectArguments(context, 0, 1, "show --environment NAME [VERSION]"); !status.ok()) {
        return status;
    }
    const auto environment = environmentName(context, "");
    if (!environment.ok()) {
        return environment.status();
    }
    uint64_t version = 0;
    const bool isVersionGiven = !context.arguments.empty();
    if (isVersionGiven && !isVersion(context.arguments[0], version)) {
        return makeError(ErrorKind::InvalidValue, absl::StrCat("\"", context.arguments[0], "\" is not the number of a version"));
    }
    const auto read = isVersionGiven ? readVersionDocument(context, *environment, version) : readInForce(context, *environment);
    if (!read.ok()) {
        return read.status();
    }
    if (read->bytes.empty()) {
        return makeError(ErrorKind::NotFound, absl::StrCat("environment \"", *environment, "\" has no document"));
    }
    context.out << read->bytes;
    return ExitCode::Done;
}

absl::StatusOr<ExitCode> runHistory(CommandContext &context)
{
    if (auto status = expectArguments(context, 0, 1, "history ENVIRONMENT"); !status.ok()) {
        return status;
    }
    const auto environment = environmentName(context, context.arguments.empty() ? "" : context.arguments[0]);
    if (!environment.ok()) {
        return environment.status();
    }
    const auto head = context.store.readHead(*environment);
    if (!head.ok()) {
        return head.status();
    }
    if (head->head.version == 0) {
        return makeError(ErrorKind::NotFound, absl::StrCat("environment \"", *environment, "\" has no document"));
    }
    // The rows are read one by one, because a list of all rows grows by up to 1,500 a day and has no pages.
    auto remaining = context.settings.number("limit");
    for (auto version = head->head.version; version > 0 && remaining > 0; --version, --remaining) {
        const auto row = context.store.readVersion(*environment, version);
        if (!row.ok()) {
            return row.status();
        }
        context.out << headText(*row) << '\n';
    }
    return ExitCode::Done;
}

} // namespace Jujube
