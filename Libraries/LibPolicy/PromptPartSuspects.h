#pragma once

#include <chrono>
#include <cstdint>
#include <LibCore/Time.h>
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

// One crash of a target as observed by one relay. Reports of the same target and incarnation describe the same crash.
struct PromptPartCrash {
    std::string target;
    uint64_t incarnation = 0;
    std::chrono::milliseconds age {0};
    std::vector<CrashSuspectRequest> requests;
};

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
    };

    explicit PromptPartSuspects(Options options);

    // Records a crash that this relay has observed or that a peer has reported. Returns whether it tells something new.
    bool recordCrash(const PromptPartCrash &crash, MonotonicTime now);
    // A target has responded well to a prompt with these parts. Returns whether one of them was under suspicion, so that peers should be notified.
    bool recordSound(const PromptPartIds &parts, std::chrono::milliseconds age, MonotonicTime now);

    PromptPartVerdict verdict(const PromptPartIds &parts, MonotonicTime now);

    // Whether targets have responded well to all parts.
    bool areSound(const PromptPartIds &parts, MonotonicTime now) const;

    // For heartbeats: the crashes for which parts are rejected and the newest others, and the suspected parts that are known to be sound.
    std::vector<PromptPartCrash> crashes(size_t count, MonotonicTime now) const;
    std::vector<SoundPromptPart> soundSuspects(size_t count, MonotonicTime now) const;

    // The parts that are rejected; for several that only occurred together, the first one.
    std::vector<uint64_t> rejectedParts(MonotonicTime now);

    // Frees what no longer counts.
    void expire(MonotonicTime now);

private:
    using Key = std::pair<std::string, uint64_t>;
    struct Request {
        bool hasBegun = false;
        PromptPartIds parts;
    };
    struct Crash {
        MonotonicTime time;
        MonotonicTime learntAt;
        // By digest.
        std::map<uint64_t, Request> requests;
    };
    // Parts that were in the same requests. Only a request that has all of them is rejected, and one that has some of them tells which it is.
    struct Rejection {
        PromptPartIds parts;
        MonotonicTime until;
        std::vector<Key> crashes;
    };
    // The crashes of which one part is suspected.
    struct Evidence {
        std::set<Key> crashes;
        std::set<uint64_t> requests;
        size_t begunRequests = 0;
        MonotonicTime first;
        MonotonicTime last;
    };

    bool counts(const Crash &crash, MonotonicTime now) const;
    std::optional<MonotonicTime> soundAt(uint64_t part, MonotonicTime now) const;
    bool isOnProbation(uint64_t part, MonotonicTime now) const;
    std::map<uint64_t, Evidence> evidence(const std::set<Key> &explained, MonotonicTime now) const;
    // Whether a part is the only one in enough crashes that is not known to be sound.
    bool isOnlyExplanation(uint64_t part, const Evidence &evidence, MonotonicTime now) const;
    // Whether evidence suffices to reject a part. `evidence` is that of all parts.
    bool suffices(uint64_t part, const std::map<uint64_t, Evidence> &evidence, MonotonicTime now) const;
    std::optional<Rejection> findRejection(const std::set<Key> &explained, MonotonicTime now);
    void update(MonotonicTime now);

    const Options m_options;
    std::map<Key, Crash> m_crashes;
    std::map<uint64_t, MonotonicTime> m_soundAt;
    // Parts that were rejected, and until when a single crash is enough to reject them again.
    std::map<uint64_t, MonotonicTime> m_probations;
    std::vector<Rejection> m_rejected;
    bool m_isOutdated = false;
    MonotonicTime m_updateAt;
};

} // namespace Jujube
