#pragma once

#include <condition_variable>
#include <deque>
#include <LibEvents/EventLog.h>
#include <LibPlatform/TableClient.h>
#include <mutex>
#include <thread>

namespace Jujube
{

// Retries writes of one-time call outcomes that failed at first. Runs on its own thread and writes one outcome at a time, in order of arrival and with
// exponential backoff, so that the end of an outage causes no surge of writes.
class OutcomeRecorder
{
public:
    struct Outcome {
        std::string tableKey;
        std::string value;
        // Revision of the claim's row. 0 if the row has to be read first and its nonce compared.
        int64_t revision = 0;
        std::string releaseNonce;
        std::string request;
    };

    OutcomeRecorder(const TableClient &table, EventLog &events);
    ~OutcomeRecorder();
    OutcomeRecorder(const OutcomeRecorder &) = delete;
    OutcomeRecorder &operator=(const OutcomeRecorder &) = delete;

    // Adds an outcome to the queue. If the queue is full, the oldest outcome is dropped; its key then stays claimed, so the call cannot run again.
    void retry(Outcome outcome);

    // Waits until the queue is empty, for at most the given time. Returns whether it is empty.
    bool waitUntilDone(std::chrono::milliseconds timeout);

private:
    void run();
    // Return false if the outcome has to be tried again because the table service failed.
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
