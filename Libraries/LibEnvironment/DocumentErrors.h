#pragma once

#include <absl/status/status.h>
#include <LibEnvironment/DocumentNode.h>

namespace Jujube
{

// Collects all errors of a document, so that its author sees them at once.
class DocumentErrors
{
public:
    void add(DocumentPosition position, std::string text);

    bool empty() const
    {
        return m_errors.empty();
    }

    // Ok if there are none. Otherwise ErrorKind::InvalidDocument with one line "line:column: text" per error, ordered by position.
    absl::Status toStatus() const;

private:
    struct DocumentError {
        DocumentPosition position;
        std::string text;
    };

    std::vector<DocumentError> m_errors;
};

} // namespace Jujube
