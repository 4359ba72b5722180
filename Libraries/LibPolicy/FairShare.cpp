#include <LibPolicy/FairShare.h>

#include <LibCore/AbslView.h>

#include <algorithm>

namespace Jujube
{

namespace
{

// A workspace that is behind the virtual time is treated like a new one. Such workspaces are removed when the map has grown to this size.
constexpr size_t MaxWorkspaces = 4096;

} // namespace

double FairShare::startTag(std::string_view workspace, double cost)
{
    if (m_finish.size() >= MaxWorkspaces) {
        absl::erase_if(m_finish, [this](const auto &entry) { return entry.second <= m_virtualTime; });
    }
    auto &finish = m_finish[toAbsl(workspace)];
    const double tag = std::max(m_virtualTime, finish);
    finish = tag + cost;
    return tag;
}

void FairShare::served(double tag)
{
    m_virtualTime = std::max(m_virtualTime, tag);
}

void FairShare::refund(std::string_view workspace, double cost)
{
    const auto known = m_finish.find(toAbsl(workspace));
    if (known != m_finish.end()) {
        known->second = std::max(m_virtualTime, known->second - cost);
    }
}

} // namespace Jujube
