#pragma once

#include "EnvironmentStore.h"
#include "ExitCode.h"

#include <LibCore/Settings.h>
#include <LibEnvironment/EnvironmentDocument.h>
#include <ostream>

namespace Jujube
{

// What every command of jujubectl works with.
struct CommandContext {
    const Settings &settings;
    std::ostream &out;
    HttpClient &client;
    PlatformAccess &platform;
    EnvironmentStore &store;
    std::function<void(std::chrono::milliseconds)> pause;
    // Wall-clock time in milliseconds since 1970.
    std::function<int64_t()> wallMsNow;

    // The words after the command.
    const std::vector<std::string> &arguments;
};

// A document with the bytes that it was read from. The document before the first version is empty.
struct ReadDocument {
    std::string bytes;
    EnvironmentDocument document;
};

// Reads and checks a file; "-" is the standard input. Errors: ErrorKind::NotFound, and those of parseEnvironmentDocument() with the file's name before each
// line.
absl::StatusOr<ReadDocument> readDocumentFile(const std::string &path);

// Reads the document of a head from the object store. Version 0 gives an empty document.
absl::StatusOr<ReadDocument> readStoredDocument(EnvironmentStore &store, const DocumentHead &head);

// Errors: ErrorKind::InvalidValue.
absl::Status checkEnvironmentName(const std::string &name);

// The environment from --environment, or else the given one. Errors: ErrorKind::InvalidValue if there is none or its name is not valid.
absl::StatusOr<std::string> environmentName(const CommandContext &context, const std::string &otherwise);

// Errors: ErrorKind::InvalidValue if the number of arguments is another one; usage is shown.
absl::Status expectArguments(const CommandContext &context, size_t least, size_t most, std::string_view usage);

// Prints differences, one per line and indented, or that there are none.
std::string differencesText(const std::vector<std::string> &lines);

// "version 7 by amina at 2026-12-04T03:30:00Z, digest 8a9b42b6c366".
std::string headText(const DocumentHead &head);

} // namespace Jujube
