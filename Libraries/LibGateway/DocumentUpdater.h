#pragma once

#include <condition_variable>
#include <LibEnvironment/ConnectivityTracker.h>
#include <LibEnvironment/DocumentHead.h>
#include <LibEnvironment/DocumentTracker.h>
#include <LibEvents/EventLog.h>
#include <LibGateway/DocumentInForce.h>
#include <LibPlatform/ObjectClient.h>
#include <LibPlatform/TableClient.h>
#include <mutex>
#include <random>
#include <set>
#include <thread>

namespace Jujube
{

// Keeps the environment document of a gateway up to date: reads the head from the table service about once a second, and at once when a peer has a newer
// version; falls back to the peer's copy. Has a thread of its own, so that a slow platform delays nobody else.
class DocumentUpdater
{
public:
    // A peer that is in contact, for telling a platform outage from isolation.
    struct PeerContact {
        std::string name;
        // For HTTP, "address:port".
        std::string address;
        std::chrono::milliseconds age {0};
        uint64_t documentVersion = 0;
    };

    // What the membership knows.
    struct PeerSnapshot {
        std::set<std::string> members;
        std::vector<PeerContact> contacts;
        // Time since any peer last reached the table service.
        std::optional<std::chrono::milliseconds> platformAge;
    };

    struct Options {
        std::string environment;
        std::string self;
        std::string platform;
        HttpTransport transport;
        std::chrono::milliseconds interval {1000};
        EventLog *events = nullptr;
        std::function<PeerSnapshot()> peers;
        // Called on the keeper's thread after a newer document is in force.
        std::function<void(const std::shared_ptr<const DocumentInForce> &)> onInForce;
        // Called on the keeper's thread after each round, with the time of the last read that the table service answered.
        std::function<void(uint64_t version, std::optional<std::chrono::milliseconds> confirmedAge, std::optional<MonotonicTime> platformAt)> onUpdateFinished;
    };

    explicit DocumentUpdater(Options options);
    ~DocumentUpdater();
    DocumentUpdater(const DocumentUpdater &) = delete;
    DocumentUpdater &operator=(const DocumentUpdater &) = delete;

    // Null until the first document is in force.
    std::shared_ptr<const DocumentInForce> current() const;

    // Reads the head as soon as possible.
    void wake();

    Connectivity connectivity(MonotonicTime now) const;

    ConnectivityPermissions permissions(MonotonicTime now) const
    {
        return permissionsOf(connectivity(now));
    }

    // The answer to GET /environment.
    nlohmann::json statusJson(MonotonicTime now) const;

private:
    void run();
    void update();
    // Reads the head and, if it is newer, the bytes. Returns false if the table service does not answer.
    bool readTable();
    void fetchFromObjectStore(const DocumentHead &head, MonotonicTime readSentAt);
    void fetchFromPeers(const PeerSnapshot &peers);
    void recordPeerContacts(const PeerSnapshot &peers);
    void offer(const DocumentOffer &offer, MonotonicTime now);
    void recordConnectivityChanges();
    void record(EventKind kind, std::string detail) const;

    const Options m_options;
    const TableClient m_table;
    const ObjectClient m_objects;
    mutable std::mutex m_mutex;
    std::condition_variable m_wakeup;
    bool m_stopping = false;
    bool m_updateRequested = false;
    DocumentTracker m_documentTracker;
    ConnectivityTracker m_connectivityTracker;
    std::shared_ptr<const DocumentInForce> m_current;
    std::optional<MonotonicTime> m_platformReadAt;
    Connectivity m_lastConnectivity = Connectivity::Connected;
    bool m_platformReachable = true;
    std::minstd_rand m_random;
    std::thread m_thread;
};

} // namespace Jujube
