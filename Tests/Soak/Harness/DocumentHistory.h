#pragma once

#include <LibCore/Time.h>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Jujube
{

// The documents of a run in the order in which the store confirmed them, and which of them explain how a request was handled. A document is named by its place
// in that order.
class DocumentHistory
{
public:
    struct Document {
        // Service by route.
        std::map<std::string, std::string> routes;
        std::set<std::string> keys;
    };

    // What a request needs of the document.
    struct Subject {
        std::string route;
        std::string key;
    };

    struct Outcome {
        enum class Kind {
            Run,
            NoRoute,
            NoKey,
        };
        Kind kind = Kind::Run;
        // That ran it.
        std::string service;
    };

    void confirm(MonotonicTime now, Document document);

    // The newest document that was confirmed by a time, or the first one.
    size_t newestAt(MonotonicTime time) const;

    // The oldest document that explains an outcome, among those that are not older than another one.
    std::optional<size_t> firstThatExplains(const Subject &subject, const Outcome &outcome, size_t from) const;

    // Whether all documents that are not older than another one allow a request.
    bool allAllow(const Subject &subject, size_t from) const;

    // Service of a route in the newest document. Empty if it has none.
    std::string serviceOf(const std::string &route) const;

    MonotonicTime confirmedAt(size_t document) const
    {
        return m_documents[document].confirmedAt;
    }

private:
    struct Entry {
        MonotonicTime confirmedAt;
        Document document;
    };

    std::vector<Entry> m_documents;
};

} // namespace Jujube
