#include <algorithm>
#include <gtest/gtest.h>
#include <LibRelay/VersionHistory.h>
#include <random>

using namespace Jujube;
using namespace std::chrono_literals;
using Versions = std::set<std::string>;

namespace
{

constexpr MonotonicTime Start {std::chrono::hours(1)};

} // namespace

// Guards against a version that is forgotten while callers still take up its streams, and one that keeps streams from going on for longer.
TEST(VersionHistory, VersionsCountUntilTheirStreamsAreOver)
{
    VersionHistory history({}, Start - 60s);
    EXPECT_TRUE(history.record("s", {"v1"}, Start));
    EXPECT_FALSE(history.record("s", {"v1"}, Start + 1s));
    EXPECT_FALSE(history.record("t", {}, Start));
    EXPECT_EQ(history.onlyVersion("s", Start), "v1");
    EXPECT_EQ(history.onlyVersion("t", Start), std::nullopt);
    EXPECT_FALSE(history.hasSeveral("s", Start));
    EXPECT_TRUE(history.record("s", {"v1", "v2"}, Start + 100s));
    EXPECT_TRUE(history.record("s", {"v2"}, Start + 110s));
    EXPECT_EQ(history.candidates("s", Start + 170s), (Versions {"v1", "v2"}));
    EXPECT_TRUE(history.hasSeveral("s", Start + 170s));
    EXPECT_EQ(history.onlyVersion("s", Start + 170s), std::nullopt);
    EXPECT_EQ(history.onlyVersion("s", Start + 170s + 1ms), "v2");
    EXPECT_TRUE(history.record("s", {}, Start + 200s));
    EXPECT_EQ(history.onlyVersion("s", Start + 260s), "v2");
    history.expire(Start + 260s);
    EXPECT_EQ(history.size(), 1U);
    history.expire(Start + 261s);
    EXPECT_EQ(history.size(), 0U);
    EXPECT_EQ(history.candidates("s", Start + 261s), Versions());
}

// Guards against a started relay, or one that had no current list, that takes the versions it sees for all there were.
TEST(VersionHistory, UnseenTimeIsUnknown)
{
    VersionHistory history({}, Start);
    history.record("s", {"v1"}, Start);
    EXPECT_EQ(history.candidates("s", Start + 59s), std::nullopt);
    EXPECT_EQ(history.onlyVersion("s", Start + 60s), "v1");
    history.interrupt(Start + 100s);
    EXPECT_EQ(history.candidates("s", Start + 159s), std::nullopt);
    EXPECT_EQ(history.candidates("t", Start + 159s), std::nullopt);
    EXPECT_FALSE(history.hasSeveral("s", Start + 159s));
    history.record("s", {"v2"}, Start + 110s);
    EXPECT_TRUE(history.hasSeveral("s", Start + 159s));
    EXPECT_EQ(history.candidates("s", Start + 160s), (Versions {"v1", "v2"}));
}

// Guards against stored versions that do not count, that count for too short a time, or that fill a time for which they are not complete.
TEST(VersionHistory, StoredVersionsFillTheTimeBefore)
{
    VersionHistory history({}, Start);
    history.merge("s", {.versions = {{"v0", 50s}, {"v1", std::nullopt}, {"old", 61s}}, .completeFor = 55s}, Start);
    EXPECT_EQ(history.candidates("s", Start), std::nullopt);
    EXPECT_TRUE(history.hasSeveral("s", Start));
    EXPECT_EQ(history.candidates("s", Start + 5s), (Versions {"v0", "v1"}));
    EXPECT_EQ(history.candidates("t", Start + 5s), std::nullopt);
    EXPECT_EQ(history.onlyVersion("s", Start + 60s), "v1");
    history.merge("first", {}, Start + 1s);
    EXPECT_TRUE(history.record("first", {"v1"}, Start + 1s));
    history.expire(Start + 1s);
    EXPECT_EQ(history.onlyVersion("first", Start + 1s), "v1");
    // What was stored cannot make a version older than it is known to be.
    history.record("first", {"v2"}, Start + 2s);
    history.merge("first", {.versions = {{"v1", 50s}, {"v2", 50s}}, .completeFor = -1s}, Start + 2s);
    EXPECT_EQ(history.candidates("first", Start + 62s), (Versions {"v1", "v2"}));
    EXPECT_EQ(history.onlyVersion("first", Start + 70s), "v2");
    history.interrupt(Start + 80s);
    EXPECT_EQ(history.candidates("first", Start + 81s), std::nullopt);
}

// Guards against a merged service without versions that is unknown again once it was cleaned up.
TEST(VersionHistory, MergedServiceStaysKnown)
{
    VersionHistory history({}, Start);
    history.merge("s", {}, Start);
    history.expire(Start + 1s);
    EXPECT_EQ(history.candidates("s", Start + 1s), Versions());
    history.expire(Start + 60s);
    EXPECT_EQ(history.size(), 0U);
    EXPECT_EQ(history.candidates("s", Start + 60s), Versions());
}

// Guards against a successor that learns less or more than was known.
TEST(VersionHistory, StoredVersionsAreThoseKnown)
{
    VersionHistory history({}, Start);
    EXPECT_EQ(history.toStore("s", Start + 3s), (StoredVersions {.versions = {}, .completeFor = 3s}));
    history.record("s", {"v1", "v2", "v3"}, Start);
    history.record("s", {"v1", "v2"}, Start + 10s);
    history.record("s", {"v1"}, Start + 30s);
    const StoredVersions expected {.versions = {{"v1", std::nullopt}, {"v2", 50s}}, .completeFor = 80s};
    EXPECT_EQ(history.toStore("s", Start + 80s), expected);
    history.merge("s", {}, Start + 80s);
    EXPECT_EQ(history.toStore("s", Start + 80s), (StoredVersions {.versions = expected.versions, .completeFor = std::nullopt}));
}

// Guards against counting the time of a suspension as if nothing had become older, and against overflows.
TEST(VersionHistory, SuspendedTimeCounts)
{
    VersionHistory history({}, Start);
    history.record("s", {"v1", "v2"}, Start);
    history.record("s", {"v2"}, Start + 10s);
    history.onSuspended(20s, Start + 10s);
    EXPECT_EQ(history.candidates("s", Start + 39s), std::nullopt);
    EXPECT_EQ(history.candidates("s", Start + 50s), (Versions {"v1", "v2"}));
    EXPECT_EQ(history.onlyVersion("s", Start + 51s), "v2");
    history.merge("s", {.versions = {{"v3", std::chrono::milliseconds::max()}}, .completeFor = std::chrono::milliseconds::max()}, Start + 51s);
    history.merge("t", {}, Start);
    history.onSuspended(std::chrono::nanoseconds::max(), Start + 51s);
    EXPECT_EQ(history.onlyVersion("s", Start + 51s), "v2");
    EXPECT_EQ(history.candidates("t", Start + 51s), Versions());
}

// Guards against any sequence of changes, interruptions, suspensions and restarts after which a version is missing that served within the lifetime.
TEST(VersionHistory, CandidatesNeverLackAVersion)
{
    int known = 0;
    for (uint64_t seed = 1; seed <= 300; ++seed) {
        std::mt19937_64 random(seed);
        const auto below = [&](uint64_t limit) { return random() % limit; };
        auto now = Start;
        // What really happened, with the real time, which contains suspensions.
        auto real = Start;
        std::map<std::string, MonotonicTime> servedUntil;
        Versions serving {"v0"};
        const auto change = [&] {
            const auto version = "v" + std::to_string(below(5));
            if (serving.erase(version) == 0) {
                serving.insert(version);
            }
        };
        const auto pass = [&](std::chrono::milliseconds time) {
            real += time;
            for (const auto &version : serving) {
                servedUntil[version] = real;
            }
        };
        std::optional<VersionHistory> process(std::in_place, VersionHistory::Options {}, now);
        process->merge("s", {}, now);
        process->record("s", serving, now);
        for (int step = 0; step < 200; ++step) {
            const auto time = std::chrono::milliseconds(below(40'000));
            const auto kind = below(20);
            pass(time);
            if (kind == 0) {
                // The process was suspended, and versions came and went unseen.
                change();
                pass(1ms);
                change();
                process->onSuspended(time + 1ms, now);
                process->interrupt(now);
            } else if (kind == 1) {
                now += time;
                change();
                pass(1ms);
                now += 1ms;
                change();
                process->interrupt(now);
            } else if (kind == 2) {
                // Another process goes on with what this one stores.
                const auto stored = process->toStore("s", now + time);
                now += time;
                process.emplace(VersionHistory::Options {}, now);
                process->merge("s", stored, now);
            } else {
                now += time;
                change();
            }
            process->record("s", serving, now);
            if (below(3) == 0) {
                process->expire(now);
            }
            const auto candidates = process->candidates("s", now);
            known += candidates ? 1 : 0;
            for (const auto &[version, until] : servedUntil) {
                const bool isMissing = candidates && real - until <= 60s && !candidates->contains(version);
                ASSERT_FALSE(isMissing) << version << ", seed " << seed << ", step " << step;
            }
            ASSERT_TRUE(!candidates || process->hasSeveral("s", now) == (candidates->size() > 1)) << "seed " << seed;
        }
    }
    EXPECT_GT(known, 10'000);
}

// Guards against streams that begin at a version of which some relay may not know yet, and against settled versions that have to settle again.
TEST(VersionHistory, VersionsSettle)
{
    VersionHistory history({.settleTime = 4s}, Start);
    EXPECT_EQ(history.settledVersions("s", Start), std::nullopt);
    history.merge("s", {.versions = {{"v1", std::nullopt}}, .completeFor = 70s}, Start);
    EXPECT_EQ(history.settledVersions("s", Start), std::nullopt);
    history.record("s", {"v1"}, Start);
    EXPECT_EQ(history.settledVersions("s", Start), Versions {"v1"});
    history.record("s", {"v1", "v2"}, Start + 1s);
    history.settleUntil("s", Start + 5s - 1ms);
    EXPECT_EQ(history.settledVersions("s", Start + 5s), Versions {"v1"});
    EXPECT_EQ(history.unsettledVersions("s"), std::vector<std::string> {"v2"});
    history.settleUntil("s", Start + 5s);
    EXPECT_EQ(history.settledVersions("s", Start + 5s), (Versions {"v1", "v2"}));
    EXPECT_EQ(history.unsettledVersions("s"), std::vector<std::string>());
    // All targets of a service have crashed, and come back.
    history.record("s", {}, Start + 10s);
    history.expire(Start + 10s);
    history.record("s", {"v1", "v2", "v3"}, Start + 20s);
    EXPECT_EQ(history.settledVersions("s", Start + 20s), (Versions {"v1", "v2"}));
    // One that leaves before it has settled, or may have left unseen, begins anew.
    history.record("s", {"v1", "v2"}, Start + 22s);
    history.record("s", {"v1", "v2", "v3"}, Start + 23s);
    history.settleUntil("s", Start + 26s);
    history.interrupt(Start + 30s);
    history.settleUntil("s", Start + 33s);
    EXPECT_EQ(history.settledVersions("s", Start + 33s), (Versions {"v1", "v2"}));
    history.settle("s", "v3");
    EXPECT_EQ(history.settledVersions("s", Start + 33s), (Versions {"v1", "v2", "v3"}));
    // One that has been away for long may be forgotten elsewhere.
    history.record("s", {"v1"}, Start + 40s);
    EXPECT_EQ(history.settledVersions("s", Start + 70s), (Versions {"v1", "v2", "v3"}));
    EXPECT_EQ(history.settledVersions("s", Start + 70s + 1ms), Versions {"v1"});
    history.record("s", {"v1", "v2"}, Start + 71s);
    EXPECT_EQ(history.settledVersions("s", Start + 71s), Versions {"v1"});
}

// Guards against a stream that begins at one version through one relay and goes on at another one through a relay that is cut off for any time, or whose list
// was confirmed lately.
TEST(VersionHistory, NoRelayConcludesAnotherVersionThanBeganAStream)
{
    constexpr auto MaxListAge = 3s;
    struct Relay {
        VersionHistory history {{.settleTime = 4s}, Start - 60s};
        MonotonicTime confirmedAt = Start;
        MonotonicTime cutUntil = Start;
        // Number of changes of the list that it knows.
        size_t changes = 0;
    };
    struct Stream {
        std::string version;
        MonotonicTime begunAt;
    };
    int conclusions = 0;
    int streamsAtNewVersions = 0;
    for (uint64_t seed = 1; seed <= 300; ++seed) {
        std::mt19937_64 random(seed);
        const auto below = [&](uint64_t limit) { return random() % limit; };
        std::vector<Relay> relays(4);
        std::vector<Stream> streams;
        std::vector<Versions> lists {{"v0"}};
        const auto learn = [&](Relay &relay, MonotonicTime now) {
            if (now - relay.confirmedAt >= MaxListAge) {
                relay.history.interrupt(now);
            }
            for (; relay.changes < lists.size(); ++relay.changes) {
                relay.history.record("s", lists[relay.changes], now);
            }
            relay.confirmedAt = now;
            relay.history.settleUntil("s", now);
        };
        for (auto now = Start; now < Start + 300s; now += 100ms) {
            if (below(200) == 0) {
                auto changed = lists.back();
                const auto version = "v" + std::to_string(below(4));
                if (changed.erase(version) == 0) {
                    changed.insert(version);
                }
                lists.push_back(changed);
            }
            for (auto &relay : relays) {
                if (below(300) == 0) {
                    relay.cutUntil = now + std::chrono::milliseconds(below(8000));
                }
                if (now >= relay.cutUntil && below(3) == 0) {
                    learn(relay, now);
                }
            }
            auto &relay = relays[below(relays.size())];
            if (std::ranges::all_of(relays, [&](const Relay &other) { return other.changes == relay.changes; })) {
                for (const auto &version : relay.history.unsettledVersions("s")) {
                    relay.history.settle("s", version);
                }
            }
            for (const auto &version : relay.history.settledVersions("s", now).value_or(Versions())) {
                if (lists.back().contains(version)) {
                    streams.push_back({.version = version, .begunAt = now});
                    streamsAtNewVersions += version == "v0" ? 0 : 1;
                }
            }
            std::erase_if(streams, [&](const Stream &stream) { return now - stream.begunAt > 39s; });
            for (const auto &other : relays) {
                const auto only = now - other.confirmedAt < MaxListAge ? other.history.onlyVersion("s", now) : std::nullopt;
                conclusions += only ? 1 : 0;
                const auto isJoined = [&](const Stream &stream) { return only && stream.version != *only; };
                ASSERT_TRUE(std::ranges::none_of(streams, isJoined)) << "seed " << seed << " after " << (now - Start) / 1ms << " ms";
            }
        }
    }
    EXPECT_GT(conclusions, 10'000);
    EXPECT_GT(streamsAtNewVersions, 10'000);
}
