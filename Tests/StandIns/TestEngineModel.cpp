#include <StandIns/Engine/EngineModel.h>
#include <StandIns/Engine/TokenSource.h>

#include <gtest/gtest.h>
#include <LibCore/Json.h>
#include <rapidcheck/gtest.h>

namespace Jujube
{

using namespace std::chrono_literals;

namespace
{

// Drives a model through simulated time.
struct Driver {
    explicit Driver(EngineModel::Options options)
        : model(options)
    {
    }

    EngineModel::GenerationPointer submit(const std::string &id, int64_t length, int64_t priority = 0, const std::string &workspace = "w")
    {
        const auto prompt = "length=" + std::to_string(length) + promptEnd;
        return model.submit({.id = id, .model = "m", .prompt = prompt, .seed = 7, .maxTokens = length, .priority = priority, .workspace = workspace}, now);
    }

    std::chrono::microseconds step()
    {
        const auto duration = model.step(now);
        now += duration;
        return duration;
    }

    void runUntilIdle()
    {
        while (step().count() > 0) { }
    }

    EngineModel model;
    std::string promptEnd;
    MonotonicTime now = MonotonicTime() + 1h;
};

} // namespace

// Guards against a continued generation that differs from the original one, which the gateways' continuation on another engine relies on.
RC_GTEST_PROP(EngineModel, ContinuesAGenerationOfAnotherEngineExactly, ())
{
    const auto prompt = *rc::gen::nonEmpty<std::string>();
    const auto seed = *rc::gen::arbitrary<uint64_t>();
    const GenerationRequest request {.id = "g", .model = "m", .prompt = prompt, .seed = seed, .maxTokens = *rc::gen::inRange(1, 200)};
    Driver original({});
    const auto whole = original.model.submit(request, original.now);
    original.runUntilIdle();

    auto rest = request;
    const auto cut = *rc::gen::inRange<size_t>(0, whole->tokens.size() + 1);
    rest.tokens.assign(whole->tokens.begin(), whole->tokens.begin() + static_cast<std::ptrdiff_t>(cut));
    Driver other({.memoryTokens = 50});
    const auto continued = other.model.submit(rest, other.now);
    other.runUntilIdle();
    RC_ASSERT(continued->state == Generation::State::Done);
    RC_ASSERT(continued->tokens == whole->tokens);
}

// Guards against content that exercises no multi-byte characters, invalid UTF-8, and a mark that does not tell two generations apart.
TEST(TokenSource, MixesScriptsAndMarksTheGeneration)
{
    const TokenSource source("m", "prompt", 1);
    std::string text;
    for (int i = 0; i < 64; ++i) {
        const auto token = source.tokenAt(i);
        EXPECT_EQ(token.front(), ' ');
        text += token;
    }
    EXPECT_TRUE(isValidUtf8(text));
    EXPECT_NE(text.find("\xE0\xAA"), std::string::npos);
    EXPECT_EQ(source.tokenAt(0), source.tokenAt(16));
    EXPECT_NE(source.tokenAt(0), TokenSource("m", "prompt", 2).tokenAt(0));
}

// Guards against a length distribution without the long generations that fill an engine's memory.
TEST(TokenSource, LengthsAreHeavyTailedAndCapped)
{
    std::vector<int64_t> lengths;
    for (uint64_t seed = 0; seed < 5000; ++seed) {
        lengths.push_back(TokenSource("m", "prompt", seed).length(100000));
    }
    std::sort(lengths.begin(), lengths.end());
    EXPECT_LT(lengths.front(), 10);
    EXPECT_NEAR(static_cast<double>(lengths[2500]), 120, 20);
    EXPECT_GT(lengths.back(), 5000);
    EXPECT_EQ(TokenSource("m", "a length=42 b", 1).length(100), 42);
    EXPECT_EQ(TokenSource("m", "a length=42 b", 1).length(10), 10);
}

// Guards against preempting the wrong generation when memory fills, and against a preemption that changes the output.
TEST(EngineModel, PreemptsTheLowestPriorityThenTheNewest)
{
    Driver driver({.memoryTokens = 300});
    const auto important = driver.submit("important", 150, 8, "paying");
    const auto older = driver.submit("older", 150, 2, "paying");
    const auto newer = driver.submit("newer", 150, 2, "trial");
    while (driver.model.statistics().preemptions == 0) {
        ASSERT_GT(driver.step().count(), 0);
    }
    EXPECT_EQ(newer->state, Generation::State::Waiting);
    EXPECT_EQ(older->state, Generation::State::Running);
    EXPECT_EQ(important->state, Generation::State::Running);
    driver.runUntilIdle();
    EXPECT_EQ(newer->tokens.size(), 150);
    EXPECT_EQ(newer->tokens[149], TokenSource("m", "length=150", 7).tokenAt(149));
    const auto &by = driver.model.statistics().preemptionsBy;
    EXPECT_GE(by.at({"trial", 2, "paying"}), 1);
    EXPECT_GT(driver.model.statistics().recomputedTokens, 0);
}

// Guards against important work that waits behind less important work although preempting that would make room.
TEST(EngineModel, ImportantWorkTakesTheRoomOfOthers)
{
    Driver driver({.memoryTokens = 100});
    const auto first = driver.submit("first", 90, 2, "trial");
    for (int i = 0; i < 80; ++i) {
        driver.step();
    }
    driver.promptEnd = std::string(100, 'x');
    const auto important = driver.submit("important", 60, 8, "paying");
    const auto equal = driver.submit("equal", 60, 8, "paying");
    driver.step();
    EXPECT_EQ(first->state, Generation::State::Waiting);
    EXPECT_EQ(important->state, Generation::State::Running);
    EXPECT_EQ(driver.model.statistics().preemptionsBy.at({"trial", 2, "paying"}), 1);
    driver.runUntilIdle();
    EXPECT_EQ(first->tokens.size(), 90);
    EXPECT_EQ(equal->tokens.size(), 60);
}

// Guards against a cold engine that carries a full load, and against violations of the cold limit that are not counted.
TEST(EngineModel, ACollapsesColdEngineAboveItsLimit)
{
    Driver driver({.baseStep = 10ms, .coldLimit = 2});
    driver.model.turnCold(driver.now, 1h);
    driver.submit("a", 100);
    driver.submit("b", 100);
    driver.step();
    const auto within = driver.step();
    EXPECT_EQ(driver.model.statistics().startedOverColdLimit, 0);
    driver.submit("c", 100);
    driver.step();
    const auto above = driver.step();
    EXPECT_GT(above, 5 * within);
    EXPECT_EQ(driver.model.statistics().startedOverColdLimit, 1);
    EXPECT_EQ(driver.model.statistics().maxRunningWhileCold, 3);
}

// Guards against work that reaches a leaving engine without being counted.
TEST(EngineModel, CountsWorkThatStartsAfterLeaving)
{
    Driver driver({});
    driver.submit("a", 5);
    driver.model.startLeaving(driver.now);
    driver.now += 300ms;
    driver.submit("b", 5);
    EXPECT_EQ(driver.model.statistics().startedAfterLeaving, 1);
    EXPECT_EQ(driver.model.statistics().lastStartAfterLeaving, 300ms);
}

// Guards against an old attempt that goes on beside its successor, or takes its place.
TEST(EngineModel, ALaterAttemptSupersedes)
{
    Driver driver({});
    GenerationRequest request {.id = "g", .attempt = 1, .model = "m", .prompt = "length=5"};
    const auto first = driver.model.submit(request, driver.now);
    EXPECT_EQ(driver.model.submit(request, driver.now), first);
    request.attempt = 2;
    const auto second = driver.model.submit(request, driver.now);
    EXPECT_EQ(first->state, Generation::State::Cancelled);
    request.attempt = 1;
    EXPECT_EQ(driver.model.submit(request, driver.now), nullptr);
    EXPECT_EQ(driver.model.find("g"), second);
}

// Guards against ended output that is dropped at once, which makes a lost connection a lost generation, or never.
TEST(EngineModel, KeepsEndedOutputForAWhile)
{
    Driver driver({.keep = 10s});
    driver.submit("g", 5);
    driver.runUntilIdle();
    driver.now += 9s;
    driver.step();
    EXPECT_NE(driver.model.find("g"), nullptr);
    driver.now += 2s;
    driver.step();
    EXPECT_EQ(driver.model.find("g"), nullptr);
}

// Guards against a prefix cache that saves no computation or that takes memory from running work.
TEST(EngineModel, ReusesPromptPrefixesWithinFreeMemory)
{
    Driver driver({.memoryTokens = 2000});
    const std::string prompt(4096, 'x');
    const GenerationRequest first {.id = "a", .model = "m", .prompt = prompt + " length=3"};
    const GenerationRequest second {.id = "b", .model = "m", .prompt = prompt + " length=3 again"};
    driver.model.submit(first, driver.now);
    const auto computed = driver.step();
    driver.runUntilIdle();
    driver.model.submit(second, driver.now);
    EXPECT_LT(driver.step() * 1.2, computed);
    driver.runUntilIdle();
    driver.model.takeCacheEvents();
    driver.submit("c", 1500);
    driver.runUntilIdle();
    const auto events = driver.model.takeCacheEvents();
    EXPECT_TRUE(std::any_of(events.begin(), events.end(), [](const auto &event) { return !event.stored; }));
}

} // namespace Jujube
