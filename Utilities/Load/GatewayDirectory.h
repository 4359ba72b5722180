#pragma once

#include <condition_variable>
#include <LibCore/Time.h>
#include <LibHttp/HttpClient.h>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Jujube
{

// Asks gateways which addresses to use (GET /v1/gateways) and keeps each answer for its time to live, as callers do. There is one list for each gateway that
// callers know from the beginning.
class GatewayDirectory
{
public:
    GatewayDirectory(std::vector<std::string> known, std::string workspaceKey);
    ~GatewayDirectory();
    GatewayDirectory(const GatewayDirectory &) = delete;
    GatewayDirectory &operator=(const GatewayDirectory &) = delete;

    // The address for a caller. Callers of one site share a list; further tries of one caller go through the list.
    std::string choose(uint64_t site, size_t tries) const;

private:
    struct List {
        std::vector<std::string> addresses;
        MonotonicTime askAgain;
    };

    void run();
    void refresh(size_t index);
    bool askAt(const std::string &address, size_t index);

    const std::vector<std::string> m_known;
    const std::string m_workspaceKey;
    HttpClient m_client;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<List> m_lists;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace Jujube
