#pragma once

#include <condition_variable>
#include <deque>
#include <LibEvents/EventLog.h>
#include <LibPlatform/TableClient.h>
#include <mutex>
#include <thread>

namespace Jujube
{

// Records outcomes of one-time calls that could not be recorded at once, on a thread of its own, in the order in which they came, with one write at a time
// and growing pauses, so that the end of an outage causes no surge.
class OutcomeRecorder
{
public:
    struct Outcome {
        std::string tableKey;
        std::string value;
        // The claim's revision; 0 if the claim has to be found by its nonce first.
        int64_t revision = 0;
        std::string releaseNonce;
        std::string request;
    };

    OutcomeRecorder(const TableClient &table, EventLog &events);
    ~OutcomeRecorder();
    OutcomeRecorder(const OutcomeRecorder &) = delete;
    OutcomeRecorder &operator=(const OutcomeRecorder &) = delete;

    // Takes over an outcome. The oldest one is given up if too many wait; its key then stays claimed, which is safe.
    void retry(Outcome outcome);

    // Waits until nothing is left to record, for at most the given time. Returns whether nothing is left.
    bool waitUntilDone(std::chrono::milliseconds timeout);

private:
    void run();
    // Returns false if the table service did not answer.
    bool tryRecord(const Outcome &outcome);
    bool tryRelease(const Outcome &outcome);

    const TableClient &m_table;
    EventLog &m_events;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<Outcome> m_outcomes;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace Jujube
