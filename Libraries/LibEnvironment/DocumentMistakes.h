#pragma once

#include <absl/status/status.h>
#include <LibEnvironment/DocumentNode.h>

namespace Jujube
{

// Collects all mistakes of a document, so that the author sees them at once.
class DocumentMistakes
{
public:
    void add(DocumentPosition position, std::string text);

    bool empty() const
    {
        return m_mistakes.empty();
    }

    // Ok if there are none. Otherwise ErrorKind::InvalidDocument with one line "line:column: text" per mistake, in the order of the text.
    absl::Status toStatus() const;

private:
    struct Mistake {
        DocumentPosition position;
        std::string text;
    };

    std::vector<Mistake> m_mistakes;
};

} // namespace Jujube
