#pragma once

#include <LibCore/Time.h>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace Jujube
{

// Answers of repeatable reads that are fresh enough to be given again. Answers are kept per workspace, so that none reaches another one. Safe to use from
// several threads.
class StatusCache
{
public:
    struct Key {
        std::string workspace;
        std::string service;
        std::string call;
        std::string id;

        auto operator<=>(const Key &) const = default;
    };

    struct Answer {
        int status = 0;
        std::string contentType;
        std::string body;
    };

    explicit StatusCache(size_t capacity = 10'000);

    // The answer if it was stored at most `fresh` ago.
    std::optional<Answer> find(const Key &key, std::chrono::milliseconds fresh, MonotonicTime now) const;

    // Stores an answer. `askedAt` is the time before the target was asked: the answer may be as old as that.
    void store(const Key &key, Answer answer, MonotonicTime askedAt);

private:
    struct Entry {
        Answer answer;
        MonotonicTime askedAt;
    };

    const size_t m_capacity;
    mutable std::mutex m_mutex;
    std::map<Key, Entry> m_entries;
};

} // namespace Jujube
