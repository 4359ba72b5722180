#pragma once

#include <LibCore/Time.h>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace Jujube
{

// Caches responses to GET calls of plain services. The workspace is part of the key, so that no workspace gets the response of another one. Thread-safe.
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

    // Returns the cached response if its request was sent at most `maxAge` ago.
    std::optional<CachedResponse> find(const Key &key, std::chrono::milliseconds maxAge, MonotonicTime now) const;

    // Stores a response. `requestedAt` is the time just before the request was sent, because the response may describe a state as old as that.
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
