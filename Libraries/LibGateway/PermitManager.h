#pragma once

#include <condition_variable>
#include <LibEvents/EventLog.h>
#include <LibGateway/FleetManager.h>
#include <LibGateway/OwnSlots.h>
#include <LibPlatform/TableClient.h>
#include <map>
#include <mutex>
#include <thread>

namespace Jujube
{

// Requests permits for cold targets, passes the number of usable permits to the fleet manager, and returns permits that are no longer needed. Runs on its own
// thread, so that a slow table service delays no other part of the gateway. While the table service is down, permits already held stay usable and no new ones
// are granted.
class PermitManager
{
public:
    struct Options {
        PermitHolder self;
        const TableClient *table = nullptr;
        FleetManager *fleet = nullptr;
        EventLog *events = nullptr;
        std::chrono::milliseconds interval {500};
    };

    explicit PermitManager(Options options);
    ~PermitManager();
    PermitManager(const PermitManager &) = delete;
    PermitManager &operator=(const PermitManager &) = delete;

private:
    void run();
    void revisePermits();
    void revisePermit(const EngineColdState &target);
    void applyUsableSlots(const std::string &target, int slots);

    const Options m_options;
    std::mutex m_mutex;
    std::condition_variable m_stopSignal;
    bool m_stopping = false;
    // Number of usable slots by target. Targets without usable slots have no entry.
    std::map<std::string, int> m_slots;
    std::thread m_thread;
};

} // namespace Jujube
