#include <LibGeneration/GenerationSession.h>

#include <gtest/gtest.h>
#include <LibCore/TokenChecksum.h>
#include <random>

namespace Jujube
{

using namespace SessionAction;
using namespace std::chrono_literals;

namespace
{

const std::string Generation = "00112233445566778899aabbccddeeff";

// The token that all engines produce at an index of the generation, except in tests of an engine whose tokens differ.
std::string tokenAt(int32_t index)
{
    return " t" + std::to_string(index);
}

EngineLine token(int32_t attempt, int32_t offset, const std::string &text)
{
    return {.kind = EngineLineKind::Token, .generation = Generation, .attempt = attempt, .offset = offset, .text = text};
}

EngineLine token(int32_t attempt, int32_t offset)
{
    return token(attempt, offset, tokenAt(offset));
}

EngineLine done(int32_t attempt, int32_t count)
{
    return {.kind = EngineLineKind::Done, .generation = Generation, .attempt = attempt, .count = count};
}

template<typename T>
const T *find(const GenerationActions &actions)
{
    for (const auto &action : actions) {
        if (const auto *found = std::get_if<T>(&action)) {
            return found;
        }
    }
    return nullptr;
}

// Delivers count tokens of attempt 1 from target "e1".
GenerationSession startedSession(bool exact, int32_t count, MonotonicTime now)
{
    GenerationSession session({.generation = Generation, .canContinueExactly = exact, .cursor = std::nullopt}, now);
    session.start(now);
    session.onPlaced("e1", now);
    for (int32_t i = 0; i < count; ++i) {
        session.onLine(token(1, i), now);
    }
    return session;
}

} // namespace

// Guards against late tokens of an earlier attempt being delivered together with those of the current attempt.
TEST(GenerationSession, DropsLinesOfAnEarlierAttempt)
{
    const MonotonicTime now;
    auto session = startedSession(true, 3, now);
    ASSERT_NE(find<Place>(session.onEngineStreamEnd(EngineStreamEnd::Unreachable, now)), nullptr);
    const auto actions = session.onPlaced("e2", now);
    const auto *generate = find<Generate>(actions);
    ASSERT_NE(generate, nullptr);
    EXPECT_EQ(generate->attempt, 2);
    EXPECT_EQ(generate->tokens.size(), 3);
    EXPECT_TRUE(session.onLine(token(1, 3), now).empty());
    const auto delivered = session.onLine(token(2, 3), now);
    ASSERT_NE(find<Deliver>(delivered), nullptr);
    EXPECT_EQ(find<Deliver>(delivered)->index, 3);
}

// Guards against a failed connection being treated as a failed target.
TEST(GenerationSession, ResumesTheSameTargetAfterSilence)
{
    const MonotonicTime now;
    auto session = startedSession(true, 3, now);
    const auto actions = session.onEngineStreamEnd(EngineStreamEnd::Silent, now);
    const auto *resume = find<Resume>(actions);
    ASSERT_NE(resume, nullptr);
    EXPECT_EQ(resume->target, "e1");
    EXPECT_EQ(resume->from, 3);
    EXPECT_EQ(find<ReportLost>(actions), nullptr);
    // The engine repeats a token that was sent on the old connection.
    EXPECT_TRUE(session.onLine(token(1, 2), now).empty());
    EXPECT_NE(find<Deliver>(session.onLine(token(1, 3), now)), nullptr);
}

// Guards against splicing two generations when an engine repeats a generation with different tokens.
TEST(GenerationSession, RefusesARepeatedGenerationThatDiffers)
{
    const MonotonicTime now;
    TokenChecksum checksum;
    checksum.add(tokenAt(0));
    checksum.add(tokenAt(1));
    const Cursor cursor {.generation = Generation, .attempt = 1, .target = "e1", .nextOffset = 2, .checksum = checksum.value()};
    for (const bool differs : {false, true}) {
        GenerationSession session({.generation = Generation, .canContinueExactly = true, .cursor = cursor}, now);
        session.start(now);
        session.onEngineStreamEnd(EngineStreamEnd::Unreachable, now);
        const auto placed = session.onPlaced("e2", now);
        ASSERT_NE(find<Generate>(placed), nullptr);
        EXPECT_TRUE(find<Generate>(placed)->tokens.empty());
        session.onLine(token(2, 0, differs ? " other" : tokenAt(0)), now);
        const auto actions = session.onLine(token(2, 1), now);
        EXPECT_EQ(find<Fail>(actions) != nullptr, differs);
        EXPECT_EQ(find<Deliver>(actions), nullptr);
        if (!differs) {
            EXPECT_NE(find<Deliver>(session.onLine(token(2, 2), now)), nullptr);
        }
    }
}

// Guards against delivering part of a generation that no other engine can continue.
TEST(GenerationSession, HoldsBackWhatCannotBeContinued)
{
    const MonotonicTime now;
    GenerationSession session({.generation = Generation, .canContinueExactly = false, .cursor = std::nullopt}, now);
    session.start(now);
    session.onPlaced("e1", now);
    EXPECT_TRUE(session.onLine(token(1, 0, " first"), now).empty());
    EXPECT_NE(find<Place>(session.onEngineStreamEnd(EngineStreamEnd::Unreachable, now)), nullptr);
    session.onPlaced("e2", now);
    EXPECT_TRUE(session.onLine(token(2, 0, " second"), now).empty());
    const auto actions = session.onLine(done(2, 1), now);
    ASSERT_NE(find<Deliver>(actions), nullptr);
    EXPECT_EQ(find<Deliver>(actions)->text, " second");
    EXPECT_NE(find<Complete>(actions), nullptr);
}

// Guards against a truncated generation being reported as complete.
TEST(GenerationSession, ChecksTheCountOfTheLastLine)
{
    const MonotonicTime now;
    auto session = startedSession(true, 3, now);
    const auto actions = session.onLine(done(1, 4), now);
    EXPECT_EQ(find<Complete>(actions), nullptr);
    ASSERT_NE(find<Fail>(actions), nullptr);
    EXPECT_EQ(find<Fail>(actions)->problem.kind, ErrorKind::GenerationLost);
}

// Guards against a started generation failing because no target has capacity at the moment when its engine is lost.
TEST(GenerationSession, AStartedGenerationWaitsForATarget)
{
    const MonotonicTime now;
    auto session = startedSession(true, 3, now);
    session.onEngineStreamEnd(EngineStreamEnd::Unreachable, now);
    const Problem overloaded {.kind = ErrorKind::Overloaded, .detail = "full"};
    EXPECT_NE(find<Wait>(session.onPlacementRejected(overloaded, now)), nullptr);
    EXPECT_NE(find<Place>(session.onTimer(now + 1s)), nullptr);
    EXPECT_NE(find<Fail>(session.onPlacementRejected(overloaded, now + 11min)), nullptr);

    GenerationSession fresh({.generation = Generation, .canContinueExactly = true, .cursor = std::nullopt}, now);
    fresh.start(now);
    EXPECT_NE(find<Fail>(fresh.onPlacementRejected(overloaded, now)), nullptr);
}

// Guards against tokens that are lost, duplicated, out of order or mixed from two generations under any order of failures: streams that end at random,
// repeated lines, stale attempts, and callers that reconnect to other gateways with their latest or an earlier cursor.
TEST(GenerationSession, EveryTokenOnceInOrderUnderRandomFailures)
{
    constexpr int32_t Count = 40;
    for (unsigned seed = 0; seed < 2000; ++seed) {
        std::mt19937 random(seed);
        MonotonicTime now;
        std::vector<std::string> received;
        Cursor cursor {.generation = Generation, .attempt = 1, .target = "", .nextOffset = 0};
        bool complete = false;
        while (!complete) {
            GenerationSession session(
                {.generation = Generation, .canContinueExactly = true, .cursor = cursor.target.empty() ? std::nullopt : std::optional(cursor)}, now);
            auto actions = session.start(now);
            int32_t attempt = 0;
            int32_t position = 0;
            bool callerGone = false;
            while (!callerGone) {
                GenerationActions next;
                for (const auto &action : actions) {
                    if (const auto *deliver = std::get_if<Deliver>(&action)) {
                        ASSERT_EQ(deliver->index, static_cast<int32_t>(received.size())) << "seed " << seed;
                        received.push_back(deliver->text);
                        cursor = {.generation = Generation,
                                  .attempt = session.attempt(),
                                  .target = session.target(),
                                  .nextOffset = deliver->index + 1,
                                  .checksum = deliver->checksum};
                    } else if (const auto *finish = std::get_if<Complete>(&action)) {
                        EXPECT_EQ(finish->count, Count);
                        complete = true;
                    } else if (const auto *generate = std::get_if<Generate>(&action)) {
                        attempt = generate->attempt;
                        position = static_cast<int32_t>(generate->tokens.size());
                    } else if (const auto *resume = std::get_if<Resume>(&action)) {
                        attempt = resume->attempt;
                        position = resume->from;
                    } else if (std::get_if<Place>(&action)) {
                        next = session.onPlaced("e" + std::to_string(random() % 4), now);
                    }
                    ASSERT_EQ(std::get_if<Fail>(&action), nullptr) << "seed " << seed;
                }
                if (!next.empty()) {
                    actions = std::move(next);
                    continue;
                }
                if (session.isOver()) {
                    break;
                }
                now += 10ms;
                switch (random() % 12) {
                case 0:
                    actions = session.onEngineStreamEnd(static_cast<EngineStreamEnd>(random() % 6), now);
                    break;
                case 1:
                    actions = session.onLine(token(attempt - 1, position, " stale"), now);
                    break;
                case 2:
                    actions = session.onLine(token(attempt, std::max(0, position - 1)), now);
                    break;
                case 3:
                    // Only after the first token: before it, lost targets count against the request and could make it fail.
                    callerGone = !received.empty() && random() % 3 == 0;
                    actions.clear();
                    break;
                default:
                    actions = position < Count ? session.onLine(token(attempt, position), now) : session.onLine(done(attempt, Count), now);
                    ++position;
                }
                if (received.empty() && session.attempt() > 2) {
                    // Starts over, as a caller does whose request failed before its first token.
                    callerGone = true;
                    cursor.target.clear();
                }
            }
        }
        ASSERT_EQ(received.size(), Count);
        for (int32_t i = 0; i < Count; ++i) {
            ASSERT_EQ(received[static_cast<size_t>(i)], tokenAt(i)) << "seed " << seed;
        }
    }
}

} // namespace Jujube
