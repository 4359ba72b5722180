#pragma once

#include "DocumentForce.h"
#include "FaultPlan.h"
#include "SoakCaller.h"
#include "SoakPrompts.h"
#include "SoakRelay.h"
#include "SoakStore.h"

#include <deque>
#include <fstream>
#include <platform/StandIns/StandInRows.h>

namespace Jujube
{

// Targets crash when they run a request with this path.
constexpr std::string_view FatalTarget = "/status/fatal";

struct SoakOptions {
    uint64_t seed = 1;
    size_t relays = 12;
    size_t callers = 30;
    // Targets of each of the two services.
    size_t targets = 4;
    // Time with faults.
    std::chrono::milliseconds length {15000};
    double faultRate = 1;
    // Changes of the document, of targets and of data centres a second, and faults of the relays that read the store.
    double tableChanges = 0;
    // Returns of the store from an older copy, for each second.
    double restores = 0;
    // Routes of the document beside those that callers use.
    size_t routes = 0;
    // The relay program, of this build unless the path is absolute.
    std::string relayProgram = "jujube-relay";
    // Whether requests come with a part of the prompt that crashes engines, for as long as the faults last.
    bool badPart = false;
    // Processors for all relays together. Zero for all that the machine has.
    int processors = 0;
    // Whether promises with a time bound are checked, and a full recovery is awaited.
    bool timed = true;
    // Whether there is planned work only, which PlannedWorld plays.
    bool plannedOnly = false;
    // Settings and logs of the relays and the log of faults are written here.
    std::string directory;
};

struct SoakResult {
    std::vector<std::string> violations;
    size_t requests = 0;
    // Of the requests after the last fault.
    size_t served = 0;
    size_t owed = 0;
    std::map<int, size_t> statuses;
    // How far behind the soak's own loop was, at most.
    std::chrono::milliseconds worstLateness {0};
    // How often the loop was behind by more than 100 ms.
    size_t lateTurns = 0;
    // How far behind the thread of the store and its links was, at most.
    std::chrono::milliseconds worstStoreLateness {0};
    // Time from the confirmation of a document to its force at relays in touch.
    DocumentForce force;
    size_t documentBytes = 0;
    int storeCalls = 0;
    // Requests with the bad part, crashes by it, and requests that reached targets after it had to be known.
    size_t badPartRequests = 0;
    size_t badPartCrashes = 0;
    size_t badPartLate = 0;
    BadPartCheck::Counts sound;
    // That the soak itself has used since its start.
    std::chrono::milliseconds processorTime {0};
    // Of the relays that run at the end, since the start of each. Waits near or above the time used put promises in time in doubt.
    ChildProcess::ProcessorTime relayTime;
};

// Runs relays as processes, with a store, targets and callers in this process and proxies between them, and plays a plan of faults.
class SoakWorld
{
public:
    explicit SoakWorld(SoakOptions options);
    ~SoakWorld();

    SoakResult run();

private:
    struct Target {
        std::string id;
        std::string service;
        std::string dataCentre;
        Endpoint address;
        std::unique_ptr<LoopbackProxy> link;
        std::unique_ptr<StandInTarget> server;
        int64_t born = 1;
        bool isDown = false;
        bool endsResponsesWithConnection = false;
    };
    struct BadPartRequest {
        SoakKind kind = SoakKind::Generation;
        std::string prompt;
        std::string body;
    };
    struct OperatorWrite {
        std::string key;
        // Nothing if the row is removed.
        std::optional<std::string> value;
    };
    // Faults of one kind on one subject that have not been lifted.
    using ActiveFaults = std::map<std::string, int>;

    void startTargets();
    void startTarget(Target &target);
    // Checks that no other target is at work any more on a generation that goes on at this one.
    void noteArrival(const Target &target, const MessageHead &head, StandInTarget::Arrival arrival);
    void registerTarget(const Target &target, const std::string &state);
    void crashTarget(Target &target);
    void restartTarget(Target &target);
    void removeEntry(const std::string &id);
    bool isRunning(const std::string &target) const;
    bool takesCopies(const std::string &address) const;
    void startRelays();
    void startCallers();
    std::vector<std::pair<std::string, Endpoint>> directoriesFor(const std::string &dataCentre);
    std::optional<SoakCaller::Relay> relayAt(const std::string &address) const;
    void checkDirectory(const std::string &relay, const std::vector<std::string> &addresses);
    void checkStopsAfterLeaving(const std::string &id);

    void after(std::chrono::milliseconds time, std::function<void()> action);
    // Begins a fault, and ends it once no fault of the same name is active any more.
    void strike(const Fault &fault, const std::string &name, const std::function<void()> &begin, std::function<void()> end);
    void apply(const Fault &fault);
    void strikeSubject(const Fault &fault);
    void strikeRelay(const Fault &fault, SoakRelay &relay);
    void strikeTarget(const Fault &fault, Target &target);
    void strikeLink(const Fault &fault, LoopbackProxy &link, const std::string &name);
    void strikeStore(const Fault &fault);
    // Takes a copy of the store, which is restored at the end of the fault.
    void restoreStore(const Fault &fault);
    void onStoreRestored(const RestoreForm &form);
    // The operator sets a row, or removes it. While it waits for the store, the write joins those that were lost.
    void writeAsOperator(const std::string &key, const std::optional<std::string> &value);
    // The operator writes the first of the writes that the store lacks again, and goes on with the next one after a pause.
    void rewriteNext(uint64_t turn, bool newestOnly, std::chrono::milliseconds pause);
    // Targets write their entries again, and those of targets that have left go again.
    void rewriteEntry(uint64_t turn, const std::string &id);
    void resetLinks(const Fault &fault, SoakRelay &relay);
    void limitTarget(const Fault &fault, Target &target);
    void drainTarget(const Fault &fault, Target &target);
    void evacuate(const Fault &fault);
    void drainSeries(const Fault &fault);
    void strikeDataCentre(const Fault &fault);
    void changeDocument(unsigned variant);
    void growDocument(const Fault &fault);
    std::string addRoute(const std::string &name);
    std::string dropRoute(size_t index);
    // Writes the document, which handles a request differently from before, and sends that request to all relays once it has to be in force.
    void writeDocument(const DocumentHistory::Subject &subject);
    void confirmDocument();
    // Sends a request to each relay, because most get few otherwise: one that depends on the document, or one to any target.
    void probeRelays(const std::optional<DocumentHistory::Subject> &subject);
    void probe(SoakRelay &relay, const std::optional<DocumentHistory::Subject> &subject);
    // Sends one request after the other to one relay after the other, about something that has changed.
    void probeNext();
    // Kills, pauses or slows down relays that read the store, or harms their links to it.
    void strikeReader(Fault fault);
    // Sends a request straight to a relay, and tells the status of its answer.
    void ask(SoakRelay &relay, SoakLedger::Sent sent, std::function<void(int status)> onStatus, const std::string &body = {});
    void startLateRelays();
    DocumentForce measureForce() const;
    ChildProcess::ProcessorTime relayTime() const;
    // Sends the request that crashes targets to one relay after the other, until the faults end.
    void sendFatalRequests(MonotonicTime until);
    // Sends requests with the bad part to any relays, no two alike but for repeats, until the faults end.
    void sendBadPartRequests(MonotonicTime until);
    void sendBadPart(SoakRelay &relay, const BadPartRequest &request);
    void crashOnBadPart(Target &target);
    StandInTarget::Crash drawCrash();
    void checkNotReadyAfterTerm(SoakRelay &relay);

    void tick();
    void noteDisturbances(MonotonicTime now);
    void runFor(std::chrono::milliseconds time);
    // Waits until every relay says that it is ready.
    void waitReady();
    void log(const std::string &text);
    void logViolations();

    const SoakOptions m_options;
    const FleetBounds m_bounds;
    boost::asio::io_context m_loop;
    MonotonicTime m_startedAt;
    std::ofstream m_log;
    SoakLedger m_ledger;
    Endpoint m_storeAddress;
    std::unique_ptr<SoakStore> m_store;
    std::vector<std::unique_ptr<Target>> m_targets;
    // Targets that crashed; their timers may still run.
    std::vector<std::unique_ptr<StandInTarget>> m_crashed;
    std::vector<std::unique_ptr<SoakRelay>> m_relays;
    std::vector<std::unique_ptr<SoakCaller>> m_callers;
    LoopClient m_client;
    ActiveFaults m_active;
    StandInDocument m_document {.version = 1, .keys = {"key-1"}};
    size_t m_directoryCalls = 0;
    int m_probes = 0;
    std::mt19937_64 m_random;
    // What the document has changed, in the order of time.
    std::vector<DocumentHistory::Subject> m_subjects;
    std::vector<DocumentWrite> m_writes;
    size_t m_documentBytes = 0;
    size_t m_probedRelay = 0;
    bool m_isProbing = false;
    std::vector<SoakRelay *> m_lateRelays;
    size_t m_fatalRelay = 0;
    SoakPrompts m_prompts;
    std::deque<BadPartRequest> m_badPartRepeats;
    std::map<std::string, MonotonicTime> m_evacuatedSince;
    // All writes of the operator, and how many of them the store has.
    std::vector<OperatorWrite> m_operatorWrites;
    size_t m_presentWrites = 0;
    // Whether the operator waits until it has written again what the store lost, and the changes that it makes then.
    bool m_operatorWaits = false;
    std::vector<Fault> m_waitingFaults;
    // Outages that end with a restored copy.
    int m_restoresUnderWay = 0;
    // Rises with each such outage and with its end, so that rewrites stop when the store goes away again.
    uint64_t m_restoreTurn = 0;
    // Entries of targets by id, as far as targets know. Nothing for those that were removed.
    std::map<std::string, std::optional<std::string>> m_entries;
    // For the time of rewrites, so that other draws stay the same.
    std::mt19937_64 m_restoreRandom;
    boost::asio::steady_timer m_tick;
    MonotonicTime m_nextTick;
    std::chrono::milliseconds m_worstLateness {0};
    std::chrono::milliseconds m_worstStoreLateness {0};
    size_t m_lateTurns = 0;
    size_t m_loggedViolations = 0;
};

} // namespace Jujube
