#include <LibOneTime/OneTimeCall.h>

#include <deque>
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <random>

namespace Jujube
{

using namespace OneTimeAction;
using namespace std::chrono_literals;

namespace
{

// A table service with a single row, in memory.
struct Table {
    std::optional<ClaimRow> row;
    uint64_t nextRevision = 1;

    bool write(const std::string &value, uint64_t revision)
    {
        if ((row ? row->revision : 0) != revision) {
            return false;
        }
        row = ClaimRow {.value = value, .revision = nextRevision++};
        return true;
    }
};

// Drives one caller's request and injects random faults.
class Request
{
public:
    Request(Table &table, int &runs, std::mt19937 &random, std::string nonce, MonotonicTime now)
        : m_table(table)
        , m_runs(runs)
        , m_random(random)
        , m_call({.nonce = std::move(nonce), .bodyDigest = "digest", .gateway = "g", .readInterval = 200ms}, now)
    {
        push(m_call.start());
    }

    bool isOver() const
    {
        return m_steps.empty();
    }

    // The problem, if the request was rejected.
    const std::optional<Problem> &problem() const
    {
        return m_problem;
    }

    bool ranItself() const
    {
        return m_ran;
    }

    // Performs the next step. The steps of several requests are interleaved, which simulates frozen processes.
    void step(MonotonicTime now)
    {
        const auto step = m_steps.front();
        m_steps.pop_front();
        if (const auto *write = std::get_if<WriteClaim>(&step)) {
            writeClaim(*write, now);
        } else if (std::get_if<ReadClaim>(&step)) {
            push(chance(5) ? m_call.onReadFailed(now) : m_call.onRead(m_table.row, now));
        } else if (std::get_if<SendCall>(&step)) {
            send();
        } else if (const auto *record = std::get_if<RecordOutcome>(&step)) {
            if (!chance(5)) {
                m_table.write(record->value, record->revision);
            }
        } else if (const auto *release = std::get_if<ReleaseClaim>(&step)) {
            releaseClaim(*release);
        } else if (std::get_if<Delay>(&step)) {
            push(m_call.onTimer());
        } else if (const auto *reject = std::get_if<Reject>(&step)) {
            m_problem = reject->problem;
        }
    }

private:
    bool chance(unsigned oneIn)
    {
        return m_random() % oneIn == 0;
    }

    void push(OneTimeSteps steps)
    {
        m_steps.insert(m_steps.end(), steps.begin(), steps.end());
    }

    void writeClaim(const WriteClaim &write, MonotonicTime now)
    {
        if (chance(6)) {
            push(m_call.onWritten(ClaimWriteEnd::NotDone, {}, now));
            return;
        }
        const bool done = m_table.write(write.value, write.revision);
        if (chance(4)) {
            push(m_call.onWritten(ClaimWriteEnd::Unknown, {}, now));
            return;
        }
        const auto row = m_table.row.value_or(ClaimRow {});
        push(m_call.onWritten(done ? ClaimWriteEnd::Done : ClaimWriteEnd::Conflict, row, now));
    }

    void send()
    {
        if (chance(5)) {
            push(m_call.onCalled({.end = CallEnd::NotSent}));
            return;
        }
        ++m_runs;
        m_ran = true;
        push(m_call.onCalled(chance(4) ? CallResponse {.end = CallEnd::Unknown} : CallResponse {.end = CallEnd::Responded, .status = 200}));
    }

    void releaseClaim(const ReleaseClaim &release)
    {
        const auto record = m_table.row ? ClaimRecord::fromText(m_table.row->value) : std::nullopt;
        if (record && record->nonce == release.nonce && record->state == ClaimState::Claimed) {
            m_table.write(release.notRunValue, m_table.row->revision);
        }
    }

    Table &m_table;
    int &m_runs;
    std::mt19937 &m_random;
    OneTimeCall m_call;
    std::deque<OneTimeStep> m_steps;
    std::optional<Problem> m_problem;
    bool m_ran = false;
};

} // namespace

// Guards against a payment that runs twice, and against a rejection that reports "not run" for a call that ran. The faults are lost responses of the table
// service and of the target, the same key at several gateways at once, and holders that are frozen between any two steps while others continue.
TEST(OneTimeCall, RunsAtMostOnceUnderRandomFailures)
{
    int seedsWithRun = 0;
    for (unsigned seed = 0; seed < 20'000; ++seed) {
        std::mt19937 random(seed);
        Table table;
        int runs = 0;
        MonotonicTime now;
        std::vector<std::unique_ptr<Request>> requests;
        for (int i = 0; i < 4; ++i) {
            requests.push_back(std::make_unique<Request>(table, runs, random, "nonce-" + std::to_string(i), now));
        }
        for (bool anyOpen = true; anyOpen;) {
            anyOpen = false;
            for (auto &request : requests) {
                if (!request->isOver() && random() % 3 != 0) {
                    request->step(now);
                }
                anyOpen = anyOpen || !request->isOver();
            }
            now += random() % 50 == 0 ? 20s : 100ms;
        }
        ASSERT_LE(runs, 1) << "seed " << seed;
        for (const auto &request : requests) {
            if (request->ranItself() && request->problem()) {
                ASSERT_NE(errorKindInfo(request->problem()->kind).ran, RanState::No) << "seed " << seed;
            }
        }
        seedsWithRun += runs;
    }
    EXPECT_GT(seedsWithRun, 10'000);
}

// Guards against a recorded response being returned for a different request with the same key.
TEST(OneTimeCall, RefusesTheSameKeyWithAnotherBody)
{
    const MonotonicTime now;
    const ClaimRecord other {.state = ClaimState::Done, .nonce = "other", .bodyDigest = "another digest", .gateway = "g", .status = 200};
    OneTimeCall call({.nonce = "own", .bodyDigest = "digest", .gateway = "g"}, now);
    call.start();
    const auto steps = call.onWritten(ClaimWriteEnd::Conflict, {.value = other.toText(), .revision = 7}, now);
    ASSERT_EQ(steps.size(), 1);
    EXPECT_EQ(std::get<Reject>(steps[0]).problem.kind, ErrorKind::IdempotencyKeyReused);
}

// Guards against a holder that was frozen past its deadline and sends a call whose outcome was already reported as unknown to other requests.
TEST(OneTimeCall, HolderPastItsDeadlineDoesNotSend)
{
    const MonotonicTime now;
    OneTimeCall call({.nonce = "own", .bodyDigest = "digest", .gateway = "g"}, now);
    call.start();
    const auto steps = call.onWritten(ClaimWriteEnd::Done, {.value = "", .revision = 1}, now + 1min);
    ASSERT_EQ(steps.size(), 2);
    EXPECT_EQ(ClaimRecord::fromText(std::get<RecordOutcome>(steps[0]).value)->state, ClaimState::NotRun);
    EXPECT_EQ(std::get<Reject>(steps[1]).problem.kind, ErrorKind::PlatformUnavailable);
}

// Guards against a call being sent without a record when the table service is down.
TEST(OneTimeCall, RejectsWhenTheTableServiceIsDown)
{
    const MonotonicTime now;
    OneTimeCall call({.nonce = "own", .bodyDigest = "digest", .gateway = "g"}, now);
    call.start();
    const auto steps = call.onWritten(ClaimWriteEnd::NotDone, {}, now);
    ASSERT_EQ(steps.size(), 1);
    EXPECT_EQ(std::get<Reject>(steps[0]).problem.kind, ErrorKind::PlatformUnavailable);
}

// Guards against a recorded response that is not returned again for the same key.
TEST(OneTimeCall, ReplaysTheRecordedAnswer)
{
    const MonotonicTime now;
    const ClaimRecord record {
        .state = ClaimState::Done, .nonce = "other", .bodyDigest = "digest", .gateway = "g", .status = 201, .contentType = "a/b", .body = "paid"};
    OneTimeCall call({.nonce = "own", .bodyDigest = "digest", .gateway = "g"}, now);
    call.start();
    const auto steps = call.onWritten(ClaimWriteEnd::Conflict, {.value = record.toText(), .revision = 7}, now);
    ASSERT_EQ(steps.size(), 1);
    EXPECT_EQ(std::get<Respond>(steps[0]).response.body, "paid");
    EXPECT_TRUE(std::get<Respond>(steps[0]).isReplay);
}

} // namespace Jujube
