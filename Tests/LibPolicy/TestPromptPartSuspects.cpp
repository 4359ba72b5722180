#include <LibPolicy/PromptPartSuspects.h>

#include <algorithm>
#include <gtest/gtest.h>

using namespace Jujube;
using namespace std::chrono_literals;

namespace
{

constexpr uint64_t Shared = 1;
constexpr uint64_t Common = 2;
constexpr uint64_t Bad = 666;
// Ids above this are parts and digests of single requests.
constexpr uint64_t Unique = 1000;

using Action = PromptPartVerdict::Action;

// Records crashes at one detector, each of another target, a tenth of a second apart.
class Crashes
{
public:
    void addAll(const std::vector<CrashSuspectRequest> &requests)
    {
        now += 100ms;
        ++count;
        suspects.recordCrash({.target = "t" + std::to_string(count), .incarnation = 1, .age = 0ms, .requests = requests}, now);
    }
    // A crash that a single request caused, which no other one is like.
    void add(const PromptPartIds &parts)
    {
        addAll({{.digest = Unique + static_cast<uint64_t>(count), .hasBegun = true, .parts = parts}});
    }
    void addSound(const PromptPartIds &parts)
    {
        now += 10ms;
        suspects.recordSound(parts, 0ms, now);
    }
    void settle()
    {
        now += 2s;
    }
    Action action(const PromptPartIds &parts)
    {
        return suspects.verdict(parts, now).action;
    }

    MonotonicTime now {1h};
    int count = 0;
    PromptPartSuspects suspects {{}};
};

} // namespace

// Guards against a part that crashes one target after the other, in requests that are never alike.
TEST(PromptPartSuspects, RejectsThePartThatAllCrashesHaveInCommon)
{
    Crashes crashes;
    crashes.addSound({Shared, Common});
    for (uint64_t index = 0; index < 3; ++index) {
        EXPECT_EQ(crashes.action({Shared, Bad}), Action::Run);
        crashes.add({Shared, Bad, Unique + index});
    }
    crashes.settle();
    EXPECT_EQ(crashes.action({Shared, Bad, Unique + 9}), Action::Reject);
    EXPECT_EQ(crashes.action({Shared, Common}), Action::Run);
    EXPECT_EQ(crashes.action({Shared, Unique}), Action::Run);
}

// Guards against rejecting sound requests by a part that they share with those that crash targets, while all targets crash and nothing is served.
TEST(PromptPartSuspects, DoesNotRejectASharedPartThatWasSound)
{
    Crashes crashes;
    crashes.addSound({Shared});
    for (int index = 0; index < 12; ++index) {
        crashes.add({Shared, Bad});
    }
    crashes.settle();
    EXPECT_EQ(crashes.action({Shared, Common}), Action::Run);
    EXPECT_EQ(crashes.action({Shared, Bad}), Action::Reject);
}

// Guards against rejecting requests that were on the crashed targets by chance.
TEST(PromptPartSuspects, DoesNotRejectRequestsThatSharedTheTargets)
{
    Crashes crashes;
    for (uint64_t index = 0; index < 5; ++index) {
        crashes.addAll({{.digest = Unique + index, .hasBegun = true, .parts = {Shared, Bad}},
                        {.digest = Unique + 100 + index, .hasBegun = true, .parts = {Shared, Unique + index}},
                        {.digest = Unique + 200 + index, .hasBegun = false, .parts = {Shared, Common}}});
    }
    crashes.settle();
    EXPECT_EQ(crashes.action({Shared, Bad}), Action::Reject);
    EXPECT_EQ(crashes.action({Shared, Common}), Action::Run);
    EXPECT_EQ(crashes.action({Shared, Unique + 1}), Action::Run);
}

// Guards against taking one of two parts for the cause that have always been in the same requests, of which one is sound.
TEST(PromptPartSuspects, PartsThatWereAlwaysTogetherAreToldApart)
{
    Crashes crashes;
    for (int index = 0; index < 3; ++index) {
        crashes.add({Bad, Common});
    }
    crashes.settle();
    EXPECT_EQ(crashes.action({Bad, Common}), Action::Reject);
    EXPECT_EQ(crashes.action({Shared, Common}), Action::Run);
    EXPECT_EQ(crashes.action({Bad, Shared}), Action::Run);
    crashes.add({Bad, Shared});
    EXPECT_EQ(crashes.action({Bad, Unique}), Action::Reject);
    EXPECT_EQ(crashes.action({Shared, Common}), Action::Run);
}

// Guards against a part that was sound and crashes targets from some time on.
TEST(PromptPartSuspects, RejectsAPartThatIsNoLongerSound)
{
    Crashes crashes;
    crashes.addSound({Shared, Bad});
    for (uint64_t index = 0; index < 5; ++index) {
        crashes.add({Bad, Unique + index});
        crashes.addSound({Shared});
    }
    crashes.settle();
    EXPECT_EQ(crashes.action({Bad}), Action::Reject);
    EXPECT_EQ(crashes.action({Shared}), Action::Run);
}

// Guards against rejecting a single request's parts because its repeats met targets that crashed.
TEST(PromptPartSuspects, RepeatsOfOneRequestDoNotCondemnItsParts)
{
    Crashes crashes;
    for (int index = 0; index < 4; ++index) {
        crashes.addAll({{.digest = 5, .hasBegun = true, .parts = {Shared, Common}}});
    }
    crashes.settle();
    EXPECT_EQ(crashes.action({Shared, Common}), Action::Run);
}

// Guards against a rejection that outlives the proof that the part is sound, whichever report arrives first.
TEST(PromptPartSuspects, SoundResponsesOfPeersEndARejection)
{
    Crashes crashes;
    for (int index = 0; index < 3; ++index) {
        crashes.add({Common});
    }
    crashes.settle();
    ASSERT_EQ(crashes.action({Common}), Action::Reject);
    EXPECT_TRUE(crashes.suspects.recordSound({Common}, 100ms, crashes.now));
    EXPECT_EQ(crashes.action({Common}), Action::Run);
    EXPECT_FALSE(crashes.suspects.recordSound({Common}, 200ms, crashes.now));
}

// Guards against rejections that never end, and against as many crashes as before when they do.
TEST(PromptPartSuspects, PartIsTriedAgainAndRejectedAfterOneCrash)
{
    Crashes crashes;
    for (int index = 0; index < 3; ++index) {
        crashes.add({Shared, Bad});
        crashes.addSound({Shared});
    }
    crashes.settle();
    const auto verdict = crashes.suspects.verdict({Bad}, crashes.now);
    ASSERT_EQ(verdict.action, Action::Reject);
    crashes.now = verdict.until + 1s;
    crashes.suspects.expire(crashes.now);
    EXPECT_EQ(crashes.action({Bad}), Action::Try);
    crashes.add({Bad});
    EXPECT_EQ(crashes.action({Bad}), Action::Reject);
    crashes.now = crashes.suspects.verdict({Bad}, crashes.now).until + 1s;
    EXPECT_EQ(crashes.action({Bad}), Action::Try);
    crashes.addSound({Bad});
    EXPECT_EQ(crashes.action({Bad}), Action::Run);
}

// Guards against relays that draw different conclusions from the same crashes, by the order of reports, duplicates, or reports that were cut.
TEST(PromptPartSuspects, ReportsOfCrashesSufficeForAPeer)
{
    constexpr size_t ReportedCrashes = 8;
    Crashes crashes;
    crashes.addSound({Shared});
    for (int index = 0; index < 4; ++index) {
        crashes.add({Shared, Bad});
    }
    // Newer crashes of another cause.
    for (uint64_t index = 0; index < 20; ++index) {
        crashes.add({Unique + 500 + index});
    }
    crashes.settle();
    ASSERT_EQ(crashes.action({Shared, Bad}), Action::Reject);
    PromptPartSuspects peer {{}};
    auto reports = crashes.suspects.crashes(ReportedCrashes, crashes.now);
    EXPECT_EQ(reports.size(), ReportedCrashes);
    std::reverse(reports.begin(), reports.end());
    for (int repeat = 0; repeat < 2; ++repeat) {
        for (const auto &report : reports) {
            EXPECT_EQ(peer.recordCrash(report, crashes.now), repeat == 0);
        }
    }
    for (const auto &sound : crashes.suspects.soundSuspects(ReportedCrashes, crashes.now)) {
        peer.recordSound({sound.part}, sound.age, crashes.now);
    }
    EXPECT_EQ(peer.verdict({Shared, Bad}, crashes.now).action, Action::Reject);
    EXPECT_EQ(peer.verdict({Shared}, crashes.now).action, Action::Run);
}

// Guards against retrying requests whose parts may have crashed their target, and against not retrying those whose parts are known to be sound.
TEST(PromptPartSuspects, PartsAreSoundAfterAResponse)
{
    Crashes crashes;
    EXPECT_FALSE(crashes.suspects.areSound({Shared}, crashes.now));
    crashes.addSound({Shared});
    EXPECT_TRUE(crashes.suspects.areSound({Shared}, crashes.now));
    EXPECT_FALSE(crashes.suspects.areSound({Shared, Common}, crashes.now));
    crashes.now += 1h;
    EXPECT_FALSE(crashes.suspects.areSound({Shared}, crashes.now));
}

// Guards against overlooking the cause of crashes because its response had not left the target, while the responses of sound requests had begun.
TEST(PromptPartSuspects, PartOfARequestThatWasNotSeenToBeginIsFound)
{
    Crashes crashes;
    crashes.addSound({Shared, Common});
    for (uint64_t index = 0; index < 4; ++index) {
        crashes.addAll({{.digest = Unique + index, .hasBegun = false, .parts = {Shared, Bad}},
                        {.digest = Unique + 100 + index, .hasBegun = true, .parts = {Shared, Unique + index}}});
    }
    crashes.settle();
    EXPECT_EQ(crashes.action({Shared, Bad}), Action::Reject);
    EXPECT_EQ(crashes.action({Shared, Unique + 1}), Action::Run);
    EXPECT_EQ(crashes.action({Shared, Common}), Action::Run);
}
