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
class ResponseCache
{
public:
    struct Key {
        std::string workspace;
        std::string service;
        std::string call;
        std::string id;

        auto operator<=>(const Key &) const = default;
    };

    struct CachedResponse {
        int status = 0;
        std::string contentType;
        std::string body;
    };

    explicit ResponseCache(size_t capacity = 10'000);

    // The answer if it was stored at most `fresh` ago.
    std::optional<CachedResponse> find(const Key &key, std::chrono::milliseconds maxAge, MonotonicTime now) const;

    // Stores an answer. `requestedAt` is the time before the target was asked: the answer may be as old as that.
    void store(const Key &key, CachedResponse response, MonotonicTime requestedAt);

private:
    struct Entry {
        CachedResponse response;
        MonotonicTime requestedAt;
    };

    const size_t m_capacity;
    mutable std::mutex m_mutex;
    std::map<Key, Entry> m_entries;
};

} // namespace Jujube
