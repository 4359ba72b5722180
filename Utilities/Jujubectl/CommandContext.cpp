#include "CommandContext.h"

#include <LibCore/AbslView.h>
#include <LibCore/Error.h>
#include <LibEnvironment/DocumentTree.h>
#include <LibEnvironment/MapReader.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>
#include <array>
#include <ctime>
#include <fstream>
#include <iostream>

namespace Jujube
{

namespace
{

constexpr size_t PrintedDigestDigits = 12;

// Reads one byte more than a document may have, so that a larger file is noticed without being read whole.
std::string readLimited(std::istream &stream)
{
    std::string bytes(MaxDocumentBytes + 1, '\0');
    stream.read(bytes.data(), static_cast<std::streamsize>(bytes.size()));
    bytes.resize(static_cast<size_t>(stream.gcount()));
    return bytes;
}

std::string timeText(int64_t wallMs)
{
    constexpr int64_t MsPerSecond = 1000;
    const std::time_t seconds = wallMs / MsPerSecond;
    std::tm parts {};
    std::array<char, 32> text {};
    gmtime_r(&seconds, &parts);
    const auto size = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
    return {text.data(), size};
}

// Puts the file's name before every "line:column: text", as compilers do.
std::string withFileName(const std::string &path, absl::string_view lines)
{
    const auto addPrefix = [&path](std::string *out, absl::string_view line) { absl::StrAppend(out, path, ":", line); };
    return absl::StrJoin(absl::StrSplit(lines, '\n'), "\n", addPrefix);
}

} // namespace

absl::StatusOr<ReadDocument> readDocumentFile(const std::string &path)
{
    ReadDocument read;
    if (path == "-") {
        read.bytes = readLimited(std::cin);
    } else {
        std::ifstream file(path, std::ios::binary);
        if (!file) {
            return makeError(ErrorKind::NotFound, absl::StrCat("the file ", path, " cannot be opened"));
        }
        read.bytes = readLimited(file);
    }
    auto document = parseEnvironmentDocument(read.bytes);
    if (!document.ok()) {
        return makeError(errorKindOf(document.status()), withFileName(path, document.status().message()));
    }
    read.document = *std::move(document);
    return read;
}

absl::StatusOr<ReadDocument> readStoredDocument(EnvironmentStore &store, const DocumentHead &head)
{
    if (head.version == 0) {
        return ReadDocument {};
    }
    auto bytes = store.readBytes(head);
    if (!bytes.ok()) {
        return bytes.status();
    }
    auto document = parseEnvironmentDocument(*bytes);
    if (!document.ok()) {
        return makeError(errorKindOf(document.status()), withFileName(absl::StrCat("version ", head.version), document.status().message()));
    }
    return ReadDocument {.bytes = *std::move(bytes), .document = *std::move(document)};
}

absl::Status checkEnvironmentName(const std::string &name)
{
    if (name.empty()) {
        return makeError(ErrorKind::InvalidValue, "name the environment, for example with --environment");
    }
    return isDocumentName(name) ? absl::OkStatus() : makeError(ErrorKind::InvalidValue, absl::StrCat("\"", name, "\" is not the name of an environment"));
}

absl::StatusOr<std::string> environmentName(const CommandContext &context, const std::string &otherwise)
{
    const auto &given = context.settings.text("environment");
    auto name = given.empty() ? otherwise : given;
    if (auto status = checkEnvironmentName(name); !status.ok()) {
        return status;
    }
    return name;
}

absl::Status expectArguments(const CommandContext &context, size_t least, size_t most, std::string_view usage)
{
    if (context.arguments.size() < least || context.arguments.size() > most) {
        return makeError(ErrorKind::InvalidValue, absl::StrCat("usage: jujubectl ", toAbsl(usage)));
    }
    return absl::OkStatus();
}

std::string differencesText(const std::vector<std::string> &lines)
{
    return lines.empty() ? "  (no difference)\n" : absl::StrCat("  ", absl::StrJoin(lines, "\n  "), "\n");
}

std::string headText(const DocumentHead &head)
{
    const auto digest = head.digest.substr(0, PrintedDigestDigits);
    return absl::StrCat("version ", head.version, " by ", head.author, " at ", timeText(head.timeMs), ", digest ", digest);
}

} // namespace Jujube
