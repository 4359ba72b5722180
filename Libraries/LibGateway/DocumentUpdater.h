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

// Keeps the environment document of a gateway up to date. Reads the document head from the table service about once a second, and at once when a peer has a
// newer version. If the table service does not respond, the document is fetched from a peer. Runs on its own thread, so that a slow platform delays no other
// part of the gateway.
class DocumentUpdater
{
public:
    // A peer from which heartbeats arrive, used to distinguish a platform outage from the isolation of this gateway.
    struct PeerContact {
        std::string name;
        // HTTP address, "address:port".
        std::string address;
        std::chrono::milliseconds age {0};
        uint64_t documentVersion = 0;
    };

    // The state of the membership at one time.
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
        // Called on the updater's thread when a newer document comes into force.
        std::function<void(const std::shared_ptr<const DocumentInForce> &)> onInForce;
        // Called on the updater's thread after each update. `platformAt` is the time at which the latest successful read of the table service was sent.
        std::function<void(uint64_t version, std::optional<std::chrono::milliseconds> confirmedAge, std::optional<MonotonicTime> platformAt)> onUpdateFinished;
    };

    explicit DocumentUpdater(Options options);
    ~DocumentUpdater();
    DocumentUpdater(const DocumentUpdater &) = delete;
    DocumentUpdater &operator=(const DocumentUpdater &) = delete;

    // The document in force. Null until there is one.
    std::shared_ptr<const DocumentInForce> current() const;

    // Starts an update as soon as possible instead of after the interval.
    void wake();

    Connectivity connectivity(MonotonicTime now) const;

    ConnectivityPermissions permissions(MonotonicTime now) const
    {
        return permissionsOf(connectivity(now));
    }

    // The response body for GET /environment.
    nlohmann::json statusJson(MonotonicTime now) const;

private:
    void run();
    void update();
    // Reads the document head and, if its version is newer, the document. Returns false if the table service does not respond.
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
