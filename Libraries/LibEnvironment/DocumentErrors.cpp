#include <LibEnvironment/DocumentErrors.h>

#include <LibCore/Error.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <algorithm>

namespace Jujube
{

namespace
{

// Keeps the message readable and bounded if a damaged document has an error on every line.
constexpr size_t MaxPrintedErrors = 50;

} // namespace

void DocumentErrors::add(DocumentPosition position, std::string text)
{
    m_errors.push_back({position, std::move(text)});
}

absl::Status DocumentErrors::toStatus() const
{
    if (m_errors.empty()) {
        return absl::OkStatus();
    }
    auto sorted = m_errors;
    std::stable_sort(sorted.begin(), sorted.end(), [](const DocumentError &a, const DocumentError &b) { return a.position < b.position; });
    std::vector<std::string> lines;
    for (const auto &error : sorted) {
        if (lines.size() == MaxPrintedErrors) {
            lines.push_back(absl::StrCat("and ", sorted.size() - MaxPrintedErrors, " more errors"));
            break;
        }
        lines.push_back(absl::StrCat(error.position.line, ":", error.position.column, ": ", error.text));
    }
    return makeError(ErrorKind::InvalidDocument, absl::StrJoin(lines, "\n"));
}

} // namespace Jujube
