#include "BadPartCheck.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <algorithm>

namespace Jujube
{

namespace
{

constexpr size_t CrashesUntilKnown = 5;
constexpr size_t FewRequests = 3;
// Shares of fewer requests prove nothing.
constexpr size_t LeastCompared = 20;

} // namespace

BadPartCheck::BadPartCheck(std::chrono::milliseconds contact)
    : m_contact(contact)
{
}

void BadPartCheck::onSent(MonotonicTime now)
{
    ++m_sent;
    m_lastSentAt = now;
}

void BadPartCheck::onArrival(MonotonicTime now, const std::string &id)
{
    if (m_crashes.size() >= CrashesUntilKnown && now > m_crashes[CrashesUntilKnown - 1] + m_contact) {
        m_late.push_back(id);
    }
}

void BadPartCheck::onCrash(MonotonicTime now)
{
    m_crashes.push_back(now);
}

void BadPartCheck::addSound(const Sound &sound)
{
    m_sound.push_back(sound);
}

std::optional<std::string> BadPartCheck::excess() const
{
    if (m_late.size() <= FewRequests) {
        return std::nullopt;
    }
    const std::vector<std::string> first(m_late.begin(), m_late.begin() + FewRequests + 1);
    return absl::StrCat(m_late.size(),
                        " requests with the bad part reached targets too late after its fifth crash, ",
                        m_crashes.size(),
                        " crashes in all, first ",
                        absl::StrJoin(first, ", "));
}

bool BadPartCheck::isWhileKnown(MonotonicTime time) const
{
    return !m_crashes.empty() && time >= m_crashes[std::min(m_crashes.size(), CrashesUntilKnown) - 1] + 2 * m_contact && time <= m_lastSentAt;
}

void BadPartCheck::count(Counts &counts, const Sound &sound) const
{
    if (isWhileKnown(sound.sentAt)) {
        ++counts.known;
        counts.knownBegun += sound.hasBegun ? 1 : 0;
    } else if (sound.wasCalm) {
        ++counts.calm;
        counts.calmBegun += sound.hasBegun ? 1 : 0;
    }
}

std::map<std::string, BadPartCheck::Counts> BadPartCheck::groups() const
{
    std::map<std::string, Counts> groups;
    for (const auto &sound : m_sound) {
        const auto firstPart = sound.prompt.substr(0, sound.prompt.find(':'));
        count(groups[sound.route], sound);
        count(groups[absl::StrCat(sound.route, " with the first part ", firstPart)], sound);
    }
    return groups;
}

std::vector<std::string> BadPartCheck::shutOut() const
{
    std::vector<std::string> texts;
    for (const auto &[name, counts] : groups()) {
        if (counts.calm >= LeastCompared && counts.known >= LeastCompared && counts.knownBegun * counts.calm * 2 < counts.calmBegun * counts.known) {
            texts.push_back(absl::StrCat(counts.knownBegun,
                                         " of ",
                                         counts.known,
                                         " sound requests of ",
                                         name,
                                         " began while requests with the bad part came, and ",
                                         counts.calmBegun,
                                         " of ",
                                         counts.calm,
                                         " in calm times"));
        }
    }
    return texts;
}

BadPartCheck::Counts BadPartCheck::soundCounts() const
{
    Counts counts;
    for (const auto &sound : m_sound) {
        count(counts, sound);
    }
    return counts;
}

} // namespace Jujube
