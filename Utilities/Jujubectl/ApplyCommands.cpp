#include "ApplyCommands.h"

#include "GatewayCommands.h"

#include <LibCore/Digest.h>
#include <LibCore/Error.h>
#include <LibEnvironment/DocumentDiff.h>

#include <absl/strings/str_cat.h>

namespace Jujube
{

namespace
{

// A change of one environment that has passed all checks of its document.
struct Change {
    std::string environment;
    ReadDocument document;
    std::string digest;
    // Whether the object store has the bytes already.
    bool stored = false;
};

// The difference between two versions, or why it is not known. It is an addition to an error message, so a failure here must not hide that error.
std::string differenceOrReason(CommandContext &context, const DocumentHead &before, const EnvironmentDocument &after)
{
    const auto read = readStoredDocument(context.store, before);
    return read.ok() ? differencesText(diffDocuments(read->document, after)) : absl::StrCat("  (not known: ", read.status().message(), ")\n");
}

// Tells the loser of a race what the others have changed and how the own document differs from theirs.
absl::Status conflictError(CommandContext &context, const Change &change, uint64_t baseVersion)
{
    const auto current = context.store.readHead(change.environment);
    if (!current.ok()) {
        return makeError(ErrorKind::VersionConflict,
                         absl::StrCat("environment \"", change.environment, "\" is no longer at version ", baseVersion, "; nothing was changed"));
    }
    const auto &head = current->head;
    auto text = absl::StrCat("environment \"",
                             change.environment,
                             "\" is at ",
                             headText(head),
                             ", not at version ",
                             baseVersion,
                             " that this change is based on; nothing was changed\n");
    const auto theirs = readStoredDocument(context.store, head);
    const auto base = context.store.readVersion(change.environment, baseVersion);
    if (theirs.ok() && base.ok()) {
        absl::StrAppend(&text, "from version ", baseVersion, " to version ", head.version, ":\n", differenceOrReason(context, *base, theirs->document));
    }
    absl::StrAppend(&text, "from version ", head.version, " to this document:\n", differenceOrReason(context, head, change.document.document));
    return makeError(ErrorKind::VersionConflict, text);
}

absl::StatusOr<ExitCode> acceptNext(CommandContext &context, const Change &change, const ReadHead &base)
{
    if (!change.stored) {
        if (const auto stored = context.store.storeBytes(change.document.bytes); !stored.ok()) {
            return stored.status();
        }
    }
    const DocumentHead next {
        .version = base.head.version + 1,
        .digest = change.digest,
        .object = change.digest,
        .author = context.settings.text("author"),
        .timeMs = context.wallMsNow(),
    };
    const auto accepted = context.store.accept(change.environment, base, next);
    if (errorKindOf(accepted) == ErrorKind::VersionConflict) {
        return conflictError(context, change, base.head.version);
    }
    if (!accepted.ok()) {
        return accepted;
    }
    context.out << "environment " << change.environment << ": accepted " << headText(next) << '\n';
    printConfirmations(context, change.environment, next);
    return ExitCode::Done;
}

absl::StatusOr<ExitCode> make(CommandContext &context, const Change &change)
{
    const auto base = context.store.readHead(change.environment);
    if (!base.ok()) {
        return base.status();
    }
    const auto &baseVersion = context.settings.text("base-version");
    if (!baseVersion.empty() && static_cast<uint64_t>(context.settings.number("base-version")) != base->head.version) {
        return conflictError(context, change, static_cast<uint64_t>(context.settings.number("base-version")));
    }
    if (change.digest == base->head.digest) {
        context.out << "environment " << change.environment << ": " << headText(base->head) << " is this document already\n";
        printConfirmations(context, change.environment, base->head);
        return ExitCode::Done;
    }
    context.out << "from version " << base->head.version << " to version " << base->head.version + 1 << ":\n"
                << differenceOrReason(context, base->head, change.document.document);
    return acceptNext(context, change, *base);
}

} // namespace

absl::StatusOr<ExitCode> runApply(CommandContext &context)
{
    if (auto status = expectArguments(context, 1, 1, "apply FILE [--environment NAME] [--base-version N]"); !status.ok()) {
        return status;
    }
    auto read = readDocumentFile(context.arguments[0]);
    if (!read.ok()) {
        return read.status();
    }
    auto environment = environmentName(context, read->document.name);
    if (!environment.ok()) {
        return environment.status();
    }
    auto digest = sha256Hex(read->bytes);
    return make(context, {.environment = *std::move(environment), .document = *std::move(read), .digest = std::move(digest)});
}

absl::StatusOr<ExitCode> runPromote(CommandContext &context)
{
    if (auto status = expectArguments(context, 2, 2, "promote FROM TO [--digest SHA256] [--base-version N]"); !status.ok()) {
        return status;
    }
    for (const auto &name : context.arguments) {
        if (const auto checked = checkEnvironmentName(name); !checked.ok()) {
            return checked;
        }
    }
    const auto from = context.store.readHead(context.arguments[0]);
    if (!from.ok()) {
        return from.status();
    }
    if (from->head.version == 0) {
        return makeError(ErrorKind::NotFound, absl::StrCat("environment \"", context.arguments[0], "\" has no document"));
    }
    const auto &expected = context.settings.text("digest");
    if (!expected.empty() && expected != from->head.digest) {
        return makeError(
            ErrorKind::VersionConflict,
            absl::StrCat("environment \"", context.arguments[0], "\" is at ", headText(from->head), ", not at digest ", expected, "; nothing was changed"));
    }
    auto read = readStoredDocument(context.store, from->head);
    if (!read.ok()) {
        return read.status();
    }
    return make(context, {.environment = context.arguments[1], .document = *std::move(read), .digest = from->head.digest, .stored = true});
}

} // namespace Jujube
