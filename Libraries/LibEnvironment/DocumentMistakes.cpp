#include <LibEnvironment/DocumentMistakes.h>

#include <LibCore/Error.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <algorithm>

namespace Jujube
{

namespace
{

// A damaged document can have a mistake on every line; the message has to stay readable and bounded.
constexpr size_t MaxPrintedMistakes = 50;

} // namespace

void DocumentMistakes::add(DocumentPosition position, std::string text)
{
    m_mistakes.push_back({position, std::move(text)});
}

absl::Status DocumentMistakes::toStatus() const
{
    if (m_mistakes.empty()) {
        return absl::OkStatus();
    }
    auto sorted = m_mistakes;
    std::stable_sort(sorted.begin(), sorted.end(), [](const Mistake &a, const Mistake &b) { return a.position < b.position; });
    std::vector<std::string> lines;
    for (const auto &mistake : sorted) {
        if (lines.size() == MaxPrintedMistakes) {
            lines.push_back(absl::StrCat("and ", sorted.size() - MaxPrintedMistakes, " more mistakes"));
            break;
        }
        lines.push_back(absl::StrCat(mistake.position.line, ":", mistake.position.column, ": ", mistake.text));
    }
    return makeError(ErrorKind::InvalidDocument, absl::StrJoin(lines, "\n"));
}

} // namespace Jujube
