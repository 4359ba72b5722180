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

// Asks for permits of cold targets, tells the fleet keeper how many it may use, and returns those that are not needed any more. Has a thread of its own, so
// that a slow table service delays nobody else. While the table service is down, the permits that are held go on being used, and no new ones come.
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
    // Usable slots by target, as far as they are above zero.
    std::map<std::string, int> m_slots;
    std::thread m_thread;
};

} // namespace Jujube
