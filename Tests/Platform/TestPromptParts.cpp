#include "RelayTestBed.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

using namespace Jujube;
using namespace std::chrono_literals;

namespace
{

constexpr int Events = 20;
constexpr int Engines = 16;
constexpr int Relays = 3;
// Crashes after which the users allow three more requests with the part, sent later than the time in which relays that are in touch know of them.
constexpr int CrashesUntilKnown = 5;
constexpr int MaxRequestsOnceKnown = 3;
constexpr auto TimeUntilKnown = 3s;

// Relays with engines that crash as soon as they begin to write a response on a prompt with the part "bad".
class PromptParts : public testing::Test
{
protected:
    PromptParts()
    {
        m_testBed.writeDocument(1);
        m_testBed.isFatal = [](const MessageHead &head) { return absl::StrContains(std::string(head.value("X-Prefix-Hash")), "bad:"); };
        for (int index = 0; index < Engines; ++index) {
            m_testBed.addTarget(absl::StrCat("i-", index), "engine", Events);
        }
        for (int index = 0; index < Relays; ++index) {
            m_testBed.addRelay(relay(index));
        }
    }

    static std::string relay(int index)
    {
        return absl::StrCat("n", 1 + index % Relays);
    }

    bool areReady()
    {
        for (int index = 0; index < Relays; ++index) {
            if (!m_testBed.waitUntilReady(relay(index))) {
                return false;
            }
        }
        m_testBed.runFor(500ms);
        return true;
    }

    // Sends a request that no other one is like, with a part in the middle of its prompt.
    RelayTestBed::Response send(int number, const std::string &path, const std::string &part)
    {
        return m_testBed.call(relay(number),
                              {.path = absl::StrCat(path, number),
                               .id = absl::StrCat("r", number),
                               .fields = {{.name = "X-Prefix-Hash", .value = absl::StrCat(m_sharedParts, part, ":200,", absl::Hex(0x10000 + number), ":50")}},
                               .body = absl::StrCat("body ", number)});
    }

    // Sends requests with the part in turn at the relays, beside sound ones, and checks that the users' bound holds and most sound ones are served.
    void checkThatThePartIsRejected();

    RelayTestBed m_testBed;
    std::string m_sharedParts = "a1:100,";
};

// The number of parts that all prompts begin with.
class LongPromptParts : public PromptParts, public testing::WithParamInterface<int>
{
};

void PromptParts::checkThatThePartIsRejected()
{
    ASSERT_TRUE(areReady());
    ASSERT_EQ(send(0, "/hint/", "c0").status, 200);
    std::optional<MonotonicTime> crashedAt;
    int reachedLate = 0;
    int status = 0;
    int soundServed = 0;
    constexpr int Rounds = 30;
    for (int number = 1; number <= Rounds; ++number) {
        const auto before = m_testBed.fatalCount();
        const bool isKnown = crashedAt && monotonicNow() > *crashedAt + TimeUntilKnown;
        status = send(1000 + number, number % 2 == 0 ? "/hint/" : "/draft/", "bad").status;
        reachedLate += isKnown ? m_testBed.fatalCount() - before : 0;
        if (!crashedAt && m_testBed.fatalCount() >= CrashesUntilKnown) {
            crashedAt = monotonicNow();
        }
        soundServed += send(number, "/hint/", "c0").status == 200 ? 1 : 0;
        m_testBed.runFor(250ms);
    }
    EXPECT_LE(reachedLate, MaxRequestsOnceKnown);
    EXPECT_LT(m_testBed.fatalCount(), Engines);
    EXPECT_EQ(status, 503);
    EXPECT_GE(soundServed, Rounds / 2);
}

} // namespace

// Guards against requests that are never alike and crash one engine after the other, because of a part that their prompts share.
TEST_F(PromptParts, PartThatCrashesEnginesIsRejected)
{
    checkThatThePartIsRejected();
}

// Guards against a part behind many others, as in a long conversation, that is never recognized (review/2).
TEST_P(LongPromptParts, PartThatCrashesEnginesIsRejected)
{
    m_sharedParts.clear();
    for (int number = 0; number < GetParam(); ++number) {
        absl::StrAppend(&m_sharedParts, absl::Hex(0x5c1e0000 + number), ":1,");
    }
    checkThatThePartIsRejected();
}

// The last one fills the header section that the document allows.
INSTANTIATE_TEST_SUITE_P(Parts, LongPromptParts, testing::Values(17, 100, 1300));

// Guards against sound requests that are rejected because they share all other parts with the requests that crash engines.
TEST_F(PromptParts, OtherPartsOfTheSamePromptsAreServed)
{
    ASSERT_TRUE(areReady());
    for (int number = 1; number <= 8; ++number) {
        send(1000 + number, "/draft/", "bad");
        m_testBed.runFor(250ms);
    }
    m_testBed.runFor(1500ms);
    ASSERT_LT(m_testBed.fatalCount(), Engines);
    for (int number = 1; number <= 6; ++number) {
        EXPECT_EQ(send(number, "/hint/", absl::StrCat("c", number)).status, 200);
    }
}

// Guards against a relay that starts after the crashes and needs crashes of its own to know the part.
TEST_F(PromptParts, RelayThatJoinsKnowsRejectedParts)
{
    ASSERT_TRUE(areReady());
    for (int number = 1; number <= 8; ++number) {
        send(1000 + number, "/draft/", "bad");
        m_testBed.runFor(250ms);
    }
    // Longer than crashes are reported.
    m_testBed.runFor(7s);
    m_testBed.addRelay("n9");
    ASSERT_TRUE(m_testBed.waitUntilReady("n9"));
    m_testBed.runFor(500ms);
    const auto before = m_testBed.fatalCount();
    for (int number = 1; number <= 3; ++number) {
        const auto id = absl::StrCat("late", number);
        const std::vector<HeaderField> fields {{.name = "X-Prefix-Hash", .value = absl::StrCat("a1:100,bad:200,", absl::Hex(0x20000 + number), ":50")}};
        EXPECT_EQ(m_testBed.call("n9", {.path = "/hint/" + id, .id = id, .fields = fields, .body = id}).status, 503);
    }
    EXPECT_EQ(m_testBed.fatalCount(), before);
}
