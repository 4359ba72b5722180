#pragma once

#include <Load/FaultInjector.h>
#include <map>
#include <mutex>

namespace Jujube
{

// Counts the generations that the engines of a data centre start while it is out of service. Safe to use from several threads.
class StartProbe
{
public:
    StartProbe(std::vector<EngineEntry> engines, HttpClient &client)
        : m_engines(std::move(engines))
        , m_client(client)
    {
    }

    // Called when the data centre must not get new work any more, and when it may again.
    void begin(const std::string &dataCentre);
    void end(const std::string &dataCentre);

    int64_t starts() const;

private:
    int64_t countGenerations(const std::string &dataCentre) const;

    const std::vector<EngineEntry> m_engines;
    HttpClient &m_client;
    mutable std::mutex m_mutex;
    std::map<std::string, int64_t> m_before;
    int64_t m_starts = 0;
};

} // namespace Jujube
