#pragma once

#include <absl/container/flat_hash_map.h>
#include <chrono>
#include <cstdint>
#include <functional>
#include <LibCore/Time.h>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Jujube
{

// Parts of a prompt by their ids, in the order of the prompt. The last part of a prompt belongs to its request alone and is left out.
using PromptPartIds = std::vector<uint64_t>;

// A request that may have crashed its target: the target had written no response to it, or had just begun to.
struct CrashSuspectRequest {
    // Digest of the whole request, so that repeats of one request are told from different requests.
    uint64_t digest = 0;
    // Whether the relay had seen the target begin to respond. A target may crash before the beginning of its response has left it.
    bool hasBegun = false;
    PromptPartIds parts;
};

// Parts that several requests of a crash have, by the positions of these requests in the report.
struct SharedPromptParts {
    std::vector<uint32_t> requests;
    PromptPartIds parts;
};

// One crash of a target as observed by one relay, or a piece of it. Reports of the same target and incarnation describe the same crash.
struct PromptPartCrash {
    std::string target;
    uint64_t incarnation = 0;
    std::chrono::milliseconds age {0};
    std::vector<CrashSuspectRequest> requests;
    std::vector<SharedPromptParts> shared;
    // In how many pieces the reporting relay reports all parts that it does not know to be sound, and which of them this is. Zero for an excerpt.
    uint32_t pieces = 1;
    uint32_t piece = 0;
    // Whether the pieces have only the parts that the reporting relay rejects because of the crash.
    bool areRejected = false;
    // The relay that has reported the crash. Empty for this one.
    std::string peer;
};

// The crashes of targets that this relay and its peers have observed, with the parts of prompts that may have caused them. A part to which a target has
// responded well after a crash is not kept for it, so that the parts that all prompts share go soon. The number of parts is bounded: the oldest crashes are
// dropped first.
class PromptPartCrashes
{
public:
    using Key = std::pair<std::string, uint64_t>;
    // Relays that get reports at times of their own.
    enum class ReportAudience : uint8_t {
        Region,
        OtherRegions,
        Judges,
    };
    struct Request {
        uint64_t digest = 0;
        bool hasBegun = false;
    };
    struct Crash {
        MonotonicTime time;
        MonotonicTime learntAt;
        bool isOwn = false;
        std::vector<Request> requests;
        // Sets of requests, by their positions, that have parts in common.
        std::map<std::vector<uint32_t>, uint32_t> requestSets;
        std::vector<std::vector<uint32_t>> requestsOfSet;
        // The requests that have each part, as a set.
        absl::flat_hash_map<uint64_t, uint32_t> parts;
        // Parts for which there was no room.
        size_t droppedParts = 0;
        // Digests of the pieces that have come from each reporting relay, zero for missing ones, and whether those with the parts that a relay rejects have all
        // come.
        std::map<std::string, std::vector<uint64_t>> pieces;
        bool isResolved = false;
        // In how many pieces this relay reports the crash, the next of them, and how often all have been reported.
        struct Progress {
            uint32_t pieces = 0;
            uint32_t nextPiece = 0;
            int rounds = 0;
        };
        std::map<ReportAudience, Progress> progress;

        // Whether all parts that may have caused the crash are known, as far as the requests are.
        bool isComplete() const;
    };
    using SoundTime = std::function<std::optional<MonotonicTime>(uint64_t part)>;

    // Records a report. `soundAt` is when a target last responded well to a part, `onSound` is called with the reported parts that it knows. Returns whether
    // the report tells something new.
    bool record(const PromptPartCrash &report, const SoundTime &soundAt, const std::function<void(uint64_t part)> &onSound, MonotonicTime now);

    // A target has responded well to parts at a time. Returns those of them that were kept for crashes before it.
    PromptPartIds clear(const PromptPartIds &parts, MonotonicTime time);

    // Number of crashes for which a part is kept.
    size_t crashCount(uint64_t part) const;

    const std::map<Key, Crash> &crashes() const
    {
        return m_crashes;
    }
    size_t partCount() const
    {
        return m_partCount;
    }

    // Builds a report of a crash with these parts of it.
    static PromptPartCrash report(const Key &key, const Crash &crash, const PromptPartIds &parts, MonotonicTime now);

    // Reports of these parts of a crash in pieces of at most so many bytes.
    std::vector<PromptPartCrash> reports(const Key &key, const PromptPartIds &parts, size_t bytes, MonotonicTime now) const;

    // Takes the next pieces of the crashes that peers have to know, for at most so many datagrams of so many bytes. `isUnknown` tells parts that no target is
    // known to have responded to well; the others are reported only when responses have had time to clear them.
    struct ReportOptions {
        size_t datagrams = 1;
        size_t bytes = 0;
        // Crashes with more pieces are left out.
        uint32_t maxPieces = std::numeric_limits<uint32_t>::max();
        // Whether crashes that peers have reported are reported as well.
        bool includesReported = false;
        ReportAudience audience = ReportAudience::Region;
        // Whether only crashes that this relay has observed and not yet reported are reported.
        bool onlyFirstRound = false;
        // Time for which a crash is reported after it was learnt, and longer until all of its parts have been reported.
        std::chrono::milliseconds time {0};
    };
    std::vector<std::vector<PromptPartCrash>> takeReports(const ReportOptions &options, const std::function<bool(uint64_t part)> &isUnknown, MonotonicTime now);

    // Drops crashes that happened before a time.
    void dropBefore(MonotonicTime time);

private:
    Crash &crashOf(const PromptPartCrash &report, bool &isNew, MonotonicTime now);
    // Returns whether the piece has come before as it is.
    static bool notePiece(Crash &crash, const PromptPartCrash &report);
    // Drops the parts to which a target has responded well since the crash.
    void dropSoundParts(Crash &crash, const SoundTime &soundAt);
    // Adds parts with the positions of the requests that have them.
    void addParts(Crash &crash, absl::flat_hash_map<uint64_t, std::vector<uint32_t>> &parts, const SoundTime &soundAt, bool &hasChanged);
    void removePart(Crash &crash, uint64_t part);
    void drop(std::map<Key, Crash>::iterator crash);
    // Drops the oldest crashes but one while there are too many parts.
    void limitParts(const Key &kept);

    std::map<Key, Crash> m_crashes;
    absl::flat_hash_map<uint64_t, uint32_t> m_crashCounts;
    size_t m_partCount = 0;
};

} // namespace Jujube
