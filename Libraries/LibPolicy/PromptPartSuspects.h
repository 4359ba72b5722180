#pragma once

#include <absl/container/flat_hash_map.h>
#include <LibPolicy/PromptPartCrashes.h>
#include <LibPolicy/SoundPromptParts.h>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Jujube
{

// A part on which targets have written a response and lived, and the time since the latest one.
struct SoundPromptPart {
    uint64_t part = 0;
    std::chrono::milliseconds age {0};
};

// Whether a request may run, by the parts of its prompt.
struct PromptPartVerdict {
    enum class Action : uint8_t {
        Run,
        // The request has a part that crashed targets long ago. One relay tries whether it still does, with one request at a time.
        Try,
        Reject,
    };
    Action action = Action::Run;
    // The part that decided.
    uint64_t part = 0;
    // When a rejected request may be sent again.
    MonotonicTime until;
};

// Finds parts of prompts that crash every target that begins to write a response on them, whatever else a request holds. Sound requests share their other parts
// with the requests that crash targets, and run on the same targets, so that crashes alone do not tell the cause: what has run well clears a part.
//
// Relays exchange crashes and sound parts, and each draws its conclusions from all that it knows, so that neither the order of reports nor duplicates matter.
class PromptPartSuspects
{
public:
    struct Options {
        // Crashes since the last sound response for which a part is rejected, by at least two different requests.
        size_t minCrashes = 3;
        // The same for a part on which targets have responded well before.
        size_t minCrashesOfSoundPart = 5;
        // Time from the first of these crashes to a rejection, in which peers report the parts that they know to be sound.
        // Not needed for a part beside which only sound ones were in the requests of these crashes.
        std::chrono::milliseconds settleTime {2000};
        // Time for which crashes and sound responses count. A rejection ends this long after the last crash.
        std::chrono::milliseconds memory {std::chrono::minutes(10)};
        // Time for which a crash is reported after it was learnt. Crashes for which parts are rejected are reported for as long as they are.
        std::chrono::milliseconds reportTime {5000};
        // Time after its rejection for which a part is tried by one relay only, and is rejected again after a single crash.
        std::chrono::milliseconds probation {std::chrono::hours(24)};
        // Relays with different values report the parts that they know to be sound in different orders.
        uint64_t reportOrder = 0;
    };

    explicit PromptPartSuspects(Options options);

    // Records a crash that this relay has observed or that a peer has reported. Returns whether it tells something new.
    bool recordCrash(const PromptPartCrash &crash, MonotonicTime now);
    // A target has responded well to a prompt with these parts. Returns whether one of them was under suspicion, so that peers should be notified.
    bool recordSound(const PromptPartIds &parts, std::chrono::milliseconds age, MonotonicTime now);
    // A peer has reported that.
    void recordReportedSound(const SoundPromptPart &sound, MonotonicTime now);

    PromptPartVerdict verdict(const PromptPartIds &parts, MonotonicTime now);

    // Whether targets have responded well to all parts.
    bool areSound(const PromptPartIds &parts, MonotonicTime now) const;

    // For heartbeats: the crashes for which parts are rejected and the newest others, with as many of their parts as fit, and the suspected parts that are
    // known to be sound.
    std::vector<PromptPartCrash> crashes(size_t count, MonotonicTime now);
    std::vector<SoundPromptPart> soundSuspects(size_t count, MonotonicTime now) const;

    // For datagrams of their own, which have room for long prompts: the next pieces of new crashes; excerpts of these, each for a datagram, with the parts that
    // were in several crashes, so that peers report which of them are sound; and the next parts that peers suspect and that are known to be sound.
    std::vector<std::vector<PromptPartCrash>> takeCrashReports(PromptPartCrashes::ReportOptions options, MonotonicTime now);
    std::vector<PromptPartCrash> takeExcerpts(size_t count, size_t bytes, MonotonicTime now);
    std::vector<SoundPromptPart> takeSoundReports(size_t count, MonotonicTime now);
    // The crashes for which parts are rejected, with these parts, each piece for a datagram of its own.
    std::vector<PromptPartCrash> rejectionReports(size_t bytes, MonotonicTime now);

    // The parts that are rejected; for several that only occurred together, the first one.
    std::vector<uint64_t> rejectedParts(MonotonicTime now);

    // Frees what no longer counts.
    void expire(MonotonicTime now);

private:
    using Key = PromptPartCrashes::Key;
    using Crash = PromptPartCrashes::Crash;
    // Parts that were in the same requests. Only a request that has all of them is rejected, and one that has some of them tells which it is.
    struct Rejection {
        PromptPartIds parts;
        MonotonicTime until;
        std::vector<Key> crashes;
    };
    // Parts that were in the same requests of the same crashes, all of them sound before, or none.
    struct Candidate {
        PromptPartIds parts;
        bool wasSound = false;
        std::set<Key> crashes;
        std::set<uint64_t> requests;
        size_t begunRequests = 0;
        size_t completeCrashes = 0;
        MonotonicTime first;
        MonotonicTime last;
    };

    // The newest crashes for which parts are rejected, with the parts of each that peers need to draw the same conclusion.
    std::vector<std::pair<Key, PromptPartIds>> rejectionReasons() const;
    std::optional<MonotonicTime> soundAt(uint64_t part, MonotonicTime now) const;
    bool isOnProbation(uint64_t part, MonotonicTime now) const;
    bool isOnProbation(const Candidate &candidate, MonotonicTime now) const;
    void noteSound(const PromptPartIds &parts, MonotonicTime time);
    // The parts that were in several crashes but the explained ones, or are on probation.
    std::vector<Candidate> candidates(const std::set<Key> &explained, MonotonicTime now) const;
    // Whether a part is the only one in enough crashes that is not known to be sound.
    bool isOnlyExplanation(const Candidate &candidate, MonotonicTime now) const;
    // Whether the evidence against a candidate suffices to reject its parts.
    bool suffices(const Candidate &candidate, const std::vector<Candidate> &all, MonotonicTime now) const;
    std::optional<Rejection> findRejection(const std::set<Key> &explained, MonotonicTime now) const;
    void update(MonotonicTime now);

    const Options m_options;
    PromptPartCrashes m_crashes;
    SoundPromptParts m_sound;
    // Parts that peers suspect or have suspected and that are known to be sound, and until when peers are told.
    std::map<uint64_t, MonotonicTime> m_reportedSound;
    uint64_t m_nextReportedSound = 0;
    size_t m_nextExcerpt = 0;
    // Parts that were rejected, and until when a single crash is enough to reject them again.
    std::map<uint64_t, MonotonicTime> m_probations;
    std::vector<Rejection> m_rejected;
    bool m_isOutdated = false;
    MonotonicTime m_updateAt;
};

} // namespace Jujube
