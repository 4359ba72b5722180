#include "FakeRow.h"
#include "PropertySeed.h"

#include <LibControl/LeaseKeeper.h>

#include <gtest/gtest.h>
#include <memory>
#include <rapidcheck/gtest.h>

namespace Jujube
{

using namespace std::chrono_literals;

namespace
{

const MonotonicTime Start {1000s};
constexpr size_t StepsPerSchedule = 1200;
constexpr int ShortPause = 20;

LeaseKeeper::Options optionsFor(const std::string &identity)
{
    return {.identity = identity, .leaseTime = 10s, .safetyMargin = 1s, .renewInterval = 3s, .readInterval = 5s, .takeoverSpread = 2s, .retryInterval = 1s};
}

// Lets a keeper act until it has nothing to do at this time. Nothing is lost.
void act(LeaseKeeper &keeper, FakeRow &row, MonotonicTime now)
{
    constexpr int MaxSteps = 5;
    for (int i = 0; i < MaxSteps; ++i) {
        const auto action = keeper.next(now, 0);
        if (action.step == LeaseKeeper::Step::Wait) {
            return;
        }
        if (action.step == LeaseKeeper::Step::Read) {
            keeper.onRead(row.read(), now);
        } else {
            keeper.onWrite(row.write(action.value, action.revision), now);
        }
    }
}

// Acts every 100 ms up to and including the end. Returns the time of the last act.
MonotonicTime actUntil(LeaseKeeper &keeper, FakeRow &row, MonotonicTime now, MonotonicTime end)
{
    for (; now < end; now += 100ms) {
        act(keeper, row, now);
    }
    return now;
}

// Makes the keeper write next, and returns the write without sending it.
LeaseKeeper::Action writeOf(LeaseKeeper &keeper, FakeRow &row, MonotonicTime &now)
{
    for (;; now += 100ms) {
        const auto action = keeper.next(now, 0);
        if (action.step == LeaseKeeper::Step::Write) {
            return action;
        }
        if (action.step == LeaseKeeper::Step::Read) {
            keeper.onRead(row.read(), now);
        }
    }
}

// A competitor in a random schedule: its call under way, and whether the table service has executed it.
struct Competitor {
    std::unique_ptr<LeaseKeeper> keeper;
    LeaseKeeper::Action action;
    bool isExecuted = false;
    RowReadResult read;
    WriteResult write;
};

// A random schedule of several competitors, in which each call is executed and answered at any later time or lost.
class Schedule
{
public:
    explicit Schedule(int competitors)
    {
        for (int i = 0; i < competitors; ++i) {
            m_competitors.push_back({.keeper = std::make_unique<LeaseKeeper>(optionsFor("c" + std::to_string(i)))});
        }
    }

    void step(int what, size_t who, int amount)
    {
        auto &competitor = m_competitors.at(who % m_competitors.size());
        switch (what) {
        case 0:
            m_now += std::chrono::milliseconds(amount / ShortPause);
            break;
        case 6:
            m_now += std::chrono::milliseconds(amount);
            break;
        case 1:
            begin(competitor, amount);
            break;
        case 2:
            execute(competitor);
            break;
        case 3:
            answer(competitor);
            break;
        case 4:
            lose(competitor);
            break;
        default:
            executeLate(static_cast<size_t>(amount));
        }
        check();
    }

    bool hadTakeover() const
    {
        return m_terms.size() > 1;
    }

private:
    void begin(Competitor &competitor, int amount)
    {
        constexpr double MaxAmount = 4000;
        if (competitor.action.step == LeaseKeeper::Step::Wait) {
            competitor.action = competitor.keeper->next(m_now, amount / MaxAmount);
            competitor.isExecuted = false;
        }
    }

    void execute(Competitor &competitor)
    {
        if (competitor.isExecuted) {
            return;
        }
        competitor.isExecuted = true;
        if (competitor.action.step == LeaseKeeper::Step::Read) {
            competitor.read = m_row.read();
        } else if (competitor.action.step == LeaseKeeper::Step::Write) {
            competitor.write = m_row.write(competitor.action.value, competitor.action.revision);
        }
    }

    void answer(Competitor &competitor)
    {
        if (!competitor.isExecuted || competitor.action.step == LeaseKeeper::Step::Wait) {
            return;
        }
        if (competitor.action.step == LeaseKeeper::Step::Read) {
            competitor.keeper->onRead(competitor.read, m_now);
        } else {
            competitor.keeper->onWrite(competitor.write, m_now);
        }
        competitor.action = {};
    }

    // The answer is lost. A write that was not executed may still be.
    void lose(Competitor &competitor)
    {
        if (competitor.action.step == LeaseKeeper::Step::Read) {
            competitor.keeper->onRead({}, m_now);
        } else if (competitor.action.step == LeaseKeeper::Step::Write) {
            if (!competitor.isExecuted) {
                m_late.push_back(competitor.action);
            }
            competitor.keeper->onWrite({.end = WriteEnd::Unknown}, m_now);
        }
        competitor.action = {};
    }

    void executeLate(size_t index)
    {
        if (!m_late.empty()) {
            const auto action = m_late.at(index % m_late.size());
            m_row.write(action.value, action.revision);
            m_late.erase(m_late.begin() + static_cast<std::ptrdiff_t>(index % m_late.size()));
        }
    }

    void check()
    {
        int holders = 0;
        for (size_t i = 0; i < m_competitors.size(); ++i) {
            if (const auto fencing = m_competitors[i].keeper->fencing(m_now)) {
                ++holders;
                if (m_terms.empty() || *fencing != m_terms.back().first || i != m_terms.back().second) {
                    const bool isRising = m_terms.empty() || *fencing > m_terms.back().first;
                    RC_ASSERT(isRising);
                    m_terms.emplace_back(*fencing, i);
                }
            }
        }
        RC_ASSERT(holders <= 1);
    }

    FakeRow m_row;
    MonotonicTime m_now = Start;
    std::vector<Competitor> m_competitors;
    std::vector<LeaseKeeper::Action> m_late;
    std::vector<std::pair<uint64_t, size_t>> m_terms;
};

} // namespace

// Guards against two holders at a time, and against a fencing number that is not higher than all before it, in any order of delays, losses and freezes.
RC_GTEST_PROP(LeaseKeeperProperty, HasOneHolderAndRisingNumbers, ())
{
    Schedule schedule(3);
    const auto steps = *rc::gen::container<std::vector<std::tuple<int, size_t, int>>>(
        StepsPerSchedule,
        rc::gen::tuple(rc::gen::weightedElement<int>({{5, 0}, {8, 1}, {8, 2}, {8, 3}, {1, 4}, {1, 5}, {1, 6}}),
                       rc::gen::inRange<size_t>(0, 3),
                       rc::gen::inRange(0, 4000)));
    for (const auto &[what, who, amount] : steps) {
        schedule.step(what, who, amount);
    }
    RC_CLASSIFY(schedule.hadTakeover());
}

// Guards against a lease that no one can get, keep or take over.
TEST(LeaseKeeper, AcquiresRenewsAndIsTakenOver)
{
    FakeRow row;
    LeaseKeeper first(optionsFor("a"));
    LeaseKeeper second(optionsFor("b"));
    auto now = actUntil(first, row, Start, Start + 2s);
    EXPECT_EQ(first.fencing(now), 1);
    actUntil(second, row, now, now + 100ms);
    for (const auto end = now + 60s; now < end; now += 100ms) {
        act(first, row, now);
        act(second, row, now);
        ASSERT_TRUE(first.holds(now));
        ASSERT_FALSE(second.holds(now));
    }
    now = actUntil(second, row, now, now + 16s);
    EXPECT_FALSE(first.holds(now));
    EXPECT_EQ(second.fencing(now), 2);
    act(first, row, now);
    act(first, row, now + 1s);
    EXPECT_FALSE(first.holds(now + 1s));
}

// Guards against a holder that was frozen past its lease and acts on it after it wakes.
TEST(LeaseKeeper, FrozenHolderStopsByItself)
{
    FakeRow row;
    LeaseKeeper keeper(optionsFor("a"));
    const auto now = actUntil(keeper, row, Start, Start + 2s);
    EXPECT_TRUE(keeper.holds(now));
    EXPECT_FALSE(keeper.holds(now + 10s));
    act(keeper, row, now + 10s);
    EXPECT_EQ(keeper.fencing(now + 10s), 2) << "a new term, so that its old orders do not count";
}

// Guards against a lease that is counted from the answer: the holder could be frozen between the write and its answer.
TEST(LeaseKeeper, CountsFromBeforeTheWriteWasSent)
{
    FakeRow row;
    LeaseKeeper keeper(optionsFor("a"));
    auto now = Start;
    const auto action = writeOf(keeper, row, now);
    const auto result = row.write(action.value, action.revision);
    keeper.onWrite(result, now + 8s);
    EXPECT_TRUE(keeper.holds(now + 8s));
    EXPECT_FALSE(keeper.holds(now + 9s));
}

// Guards against a lost answer ending the term although the write took effect, and against a lost request extending it.
TEST(LeaseKeeper, ReadsBackALostAnswer)
{
    FakeRow row;
    LeaseKeeper keeper(optionsFor("a"));
    auto now = Start;
    auto action = writeOf(keeper, row, now);
    const auto sent = now;
    row.write(action.value, action.revision);
    keeper.onWrite({.end = WriteEnd::Unknown}, now);
    EXPECT_FALSE(keeper.holds(now)) << "an open write is no lease";
    act(keeper, row, now + 1s);
    EXPECT_EQ(keeper.fencing(now + 1s), 1);
    EXPECT_TRUE(keeper.holds(sent + 8s));
    EXPECT_FALSE(keeper.holds(sent + 9s));
    // A renewal whose request is lost.
    now = sent + 3s;
    action = writeOf(keeper, row, now);
    keeper.onWrite({.end = WriteEnd::Unknown}, now);
    keeper.requestRead(now);
    EXPECT_EQ(keeper.next(now, 0).step, LeaseKeeper::Step::Read);
    keeper.onRead(row.read(), now);
    EXPECT_FALSE(keeper.holds(sent + 9s)) << "the row still has the first write";
}

// Guards against a long outage that ends with a holder whose lease ran out, or with nobody.
TEST(LeaseKeeper, SurvivesALongOutage)
{
    FakeRow row;
    LeaseKeeper keeper(optionsFor("a"));
    auto now = actUntil(keeper, row, Start, Start + 2s);
    for (const auto end = now + 600s; now < end; now += 100ms) {
        const auto action = keeper.next(now, 0);
        if (action.step == LeaseKeeper::Step::Read) {
            keeper.onRead({}, now);
        } else if (action.step == LeaseKeeper::Step::Write) {
            keeper.onWrite({.end = WriteEnd::NotDone}, now);
        }
    }
    EXPECT_FALSE(keeper.holds(now));
    now = actUntil(keeper, row, now, now + 20s);
    EXPECT_EQ(keeper.fencing(now), 2);
}

// Guards against clocks that disagree, for example after one was stepped: no time of one process may have a meaning for another.
TEST(LeaseKeeper, WorksWithUnrelatedClocks)
{
    for (const auto offset : {100h, -100h}) {
        FakeRow row;
        LeaseKeeper first(optionsFor("a"));
        LeaseKeeper second(optionsFor("b"));
        const auto begin = Start + 1000h;
        for (auto now = begin; now < begin + 60s; now += 100ms) {
            act(first, row, now);
            act(second, row, now + offset);
            ASSERT_FALSE(second.holds(now + offset));
        }
        EXPECT_EQ(first.fencing(begin + 60s), 1);
        const auto later = begin + 60s + offset;
        const auto end = actUntil(second, row, later, later + 16s);
        EXPECT_EQ(second.fencing(end), 2);
    }
}

// Guards against a takeover on the basis of a damaged row: its fencing number is unknown, so a higher one cannot be chosen.
TEST(LeaseKeeper, NeverTakesOverADamagedRow)
{
    FakeRow row;
    row.write("damaged", 0);
    LeaseKeeper keeper(optionsFor("a"));
    const auto now = actUntil(keeper, row, Start, Start + 100s);
    EXPECT_FALSE(keeper.holds(now));
    EXPECT_EQ(row.read().row.value, "damaged");
}

} // namespace Jujube
