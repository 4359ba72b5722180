#pragma once

#include <cstddef>
#include <LibCore/Time.h>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Jujube
{

// Judges how relays handle prompts of which one part crashes each engine that begins to write on it: the part has to be known some time after a few crashes,
// and sound requests that share anything else with such a request must not suffer for it.
class BadPartCheck
{
public:
    // A sound generation, sent to a relay that was in touch.
    struct Sound {
        MonotonicTime sentAt;
        std::string route;
        std::string prompt;
        // Whether a target began to work on it.
        bool hasBegun = false;
        // Whether nothing was disturbed around it.
        bool wasCalm = false;
    };

    explicit BadPartCheck(std::chrono::milliseconds contact);

    // A request with the part is sent, reaches a target from a relay in touch, or has crashed an engine.
    void onSent(MonotonicTime now);
    void onArrival(MonotonicTime now, const std::string &id);
    void onCrash(MonotonicTime now);
    void addSound(const Sound &sound);

    // What is wrong if more requests with the part reached targets after it had to be known than the users allow.
    std::optional<std::string> excess() const;
    // What is wrong, by group of requests that share a route and a key or first part: sound ones began less than half as often as in calm times.
    std::vector<std::string> shutOut() const;

    size_t sentCount() const
    {
        return m_sent;
    }
    size_t crashCount() const
    {
        return m_crashes.size();
    }
    // Arrivals at targets after the part had to be known.
    size_t lateCount() const
    {
        return m_late.size();
    }
    // Sound requests, and those that began: in calm times, and while the part is known and still comes.
    struct Counts {
        size_t calm = 0;
        size_t calmBegun = 0;
        size_t known = 0;
        size_t knownBegun = 0;
    };
    Counts soundCounts() const;

private:
    // By route, and by route and first part.
    std::map<std::string, Counts> groups() const;
    // Whether the part has been known for a while and still comes.
    bool isWhileKnown(MonotonicTime time) const;
    void count(Counts &counts, const Sound &sound) const;

    const std::chrono::milliseconds m_contact;
    std::vector<MonotonicTime> m_crashes;
    // Requests that reached targets too late, in the order of time.
    std::vector<std::string> m_late;
    std::vector<Sound> m_sound;
    size_t m_sent = 0;
    MonotonicTime m_lastSentAt;
};

} // namespace Jujube
