#include "DocumentHistory.h"

#include <algorithm>

namespace Jujube
{

namespace
{

std::string serviceIn(const DocumentHistory::Document &document, const std::string &route)
{
    const auto found = document.routes.find(route);
    return found == document.routes.end() ? std::string() : found->second;
}

bool allows(const DocumentHistory::Document &document, const DocumentHistory::Subject &subject)
{
    return document.routes.contains(subject.route) && document.keys.contains(subject.key);
}

bool explains(const DocumentHistory::Document &document, const DocumentHistory::Subject &subject, const DocumentHistory::Outcome &outcome)
{
    switch (outcome.kind) {
    case DocumentHistory::Outcome::Kind::Run:
        return allows(document, subject) && serviceIn(document, subject.route) == outcome.service;
    case DocumentHistory::Outcome::Kind::NoRoute:
        return !document.routes.contains(subject.route);
    case DocumentHistory::Outcome::Kind::NoKey:
        return !document.keys.contains(subject.key);
    }
    return false;
}

} // namespace

void DocumentHistory::confirm(MonotonicTime now, Document document)
{
    m_documents.push_back({.confirmedAt = now, .document = std::move(document)});
}

size_t DocumentHistory::newestAt(MonotonicTime time) const
{
    const auto after
        = std::upper_bound(m_documents.begin(), m_documents.end(), time, [](MonotonicTime limit, const Entry &entry) { return limit < entry.confirmedAt; });
    return after == m_documents.begin() ? 0 : static_cast<size_t>(after - m_documents.begin()) - 1;
}

std::optional<size_t> DocumentHistory::firstThatExplains(const Subject &subject, const Outcome &outcome, size_t from) const
{
    for (size_t index = from; index < m_documents.size(); ++index) {
        if (explains(m_documents[index].document, subject, outcome)) {
            return index;
        }
    }
    return std::nullopt;
}

bool DocumentHistory::allAllow(const Subject &subject, size_t from) const
{
    return from < m_documents.size() && std::all_of(m_documents.begin() + static_cast<ptrdiff_t>(from), m_documents.end(), [&](const Entry &entry) {
               return allows(entry.document, subject);
           });
}

std::string DocumentHistory::serviceOf(const std::string &route) const
{
    return m_documents.empty() ? std::string() : serviceIn(m_documents.back().document, route);
}

} // namespace Jujube
