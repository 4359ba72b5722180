// Messages between the relays of one environment, as UDP datagrams in Thrift's compact protocol.
namespace cpp Jujube.Wire

// What a relay has placed on one target.
struct LoadOnTarget {
  1: string target
  2: i32 running
  3: i32 memory
  4: i32 prefill
  5: i32 movable
}

// A target that has changed recently: a new one, one at another address, or one that is leaving.
struct ChangedTarget {
  1: string target
  2: i64 incarnation
  3: string serviceName
  4: string address
  5: string dataCentre
  6: i32 slots
  7: bool leaving
  8: i32 coldLeftMs
  // The store's version of the entry.
  9: i64 version
  // The target itself has reported that it is leaving.
  10: bool saidLeaving
  // Version of the target's software, if the entry names one.
  11: optional string softwareVersion
  // Number of the entry among those that the target has written in its lifetime.
  12: optional i64 sequence
}

// One crash of a target as observed by one relay.
struct CrashOnTarget {
  1: string target
  2: i64 incarnation
  3: i32 ageMs
  4: list<i64> members
  5: i32 running
}

// A request that may have crashed its target, with the parts of its prompt.
struct PromptSuspect {
  1: i64 digest
  2: bool begun
  3: list<i64> parts
}

// Parts of prompts that several requests of a crash have, by the positions of these requests.
struct PartsOfRequests {
  1: list<i32> requests
  2: list<i64> parts
}

// One crash of a target with the requests that had just begun there or were about to.
struct PromptCrash {
  1: string target
  2: i64 incarnation
  3: i32 ageMs
  4: list<PromptSuspect> requests
  5: optional list<PartsOfRequests> shared
  // In how many pieces the sender reports all parts that it does not know to be sound, or those that it rejects; zero for an excerpt.
  6: i32 pieces = 1
  7: optional i32 piece
  8: optional bool rejected
}

// A part of prompts to which a target has responded well.
struct SoundPart {
  1: i64 part
  2: i32 ageMs
}

// What a relay knows of crashes, in a datagram of its own.
struct CrashReport {
  1: string node
  2: list<CrashOnTarget> crashes
  3: list<PromptCrash> promptCrashes
  4: list<SoundPart> soundParts
}

// A limit that a target has named on the requests of all relays together.
struct LimitOfTarget {
  1: string target
  2: i64 incarnation
  // Requests per second. Below zero if the target no longer names a limit.
  3: double perSecond
  // Time since a relay received it from the target.
  4: i32 ageMs
}

// The plan of a service's rollout.
struct RolloutNotice {
  1: string serviceName
  // The store's version of the order's row, and of the plan's row.
  2: i64 orderVersion
  3: i64 planVersion
  // 1 trial, 2 switching, 3 completed, 4 reverting, 5 rolled back.
  4: i32 stage
  5: string to
  // In 1/10000.
  6: i32 share
  // Nothing is to be sent to the new version for now.
  7: bool hold
  // Time since the plan was known to be the store's.
  8: i32 ageMs = -1
  // Begin and due time on the store's clock.
  9: i64 startedMs
  10: i64 dueMs
  // Versions that get no requests because they were rolled back.
  11: optional list<string> rejected
  12: optional string reason
  13: optional string by
}

// What responses of one target on one route have shown, as sums since the order.
struct RolloutSample {
  // Positions in the names of the report.
  1: i32 route
  2: i32 target
  3: bool isNew
  4: i64 responses
  5: i64 bad
  // Buckets that are not empty, in ascending order, each as its number and its count.
  6: optional list<i32> delay
  7: optional list<i32> pace
}

// What a relay reports of one service's rollout, in datagrams of their own. All numbers are sums since the order, except those of requests under way.
struct RolloutReport {
  1: string node
  2: i64 incarnation
  3: string serviceName
  4: i64 orderVersion
  5: i64 planVersion
  6: i64 requests
  7: i64 newRequests
  8: i64 runningOnNew
  9: i64 runningOnOld
  10: list<string> names
  11: list<RolloutSample> samples
}

// A row of a table of the store.
struct TableRow {
  1: string key
  2: binary value
  3: i64 version
  4: bool removed
}

// Changes of a table that a relay hands over to another one, as the body of a response.
struct TableChanges {
  1: i64 era
  // All changes up to this version of the store are among the rows.
  2: i64 version
  // Version of the newest change.
  3: i64 changeVersion
  // The rows are the whole table.
  4: bool whole
  5: list<TableRow> rows
}

struct RelayHeartbeat {
  1: string node
  2: i64 incarnation
  3: i64 sequence
  // "address:port" for callers, and for other relays.
  4: string callers
  5: string peers
  6: string dataCentre
  7: bool accepting
  // Version of the newest known change in the table of the document.
  9: i64 documentTableVersion
  10: list<LoadOnTarget> loads
  11: list<ChangedTarget> targets
  12: list<CrashOnTarget> crashes
  // Peer addresses of further relays that the sender knows.
  13: list<string> known
  // Digest of the targets that the sender knows, the store's version that it corresponds to, and the time since that version was read.
  14: i64 targetsDigest
  15: i64 targetsVersion
  16: i32 targetsAgeMs
  // Whether the sender reads the store's tables successfully.
  17: bool reading
  // Whether the sender reads them, or its reads have failed for a short time only.
  18: bool trying
  // Maximum time until the next heartbeat to the same receiver.
  19: i32 beatMs
  // Whether only the name, the numbers and the loads are set.
  20: bool onlyLoads
  21: optional list<LimitOfTarget> limits
  // Number of relays that the sender knows, itself and those that have been silent for a while included.
  22: optional i32 knownRelays
  // All changes of the document's table up to this version of the store are known.
  23: optional i64 documentVersion
  // All changes of it after this version are known one by one.
  24: optional i64 documentHistoryFrom
  // Time since the sender's own last read of it.
  25: optional i32 documentAgeMs
  26: optional list<PromptCrash> promptCrashes
  27: optional list<SoundPart> soundParts
  28: optional list<RolloutNotice> rollouts
  // Number of plans that the sender knows, which may be more than those in the list. Missing before it knows them, and where rollouts are not in use.
  29: optional i32 rolloutCount
  // Eras of the store to which the versions of the document's table and of the targets belong. Missing if the store states none.
  30: optional i64 documentEra
  31: optional i64 targetsEra
  // Rate of the link of the sender's VM.
  32: optional double linkMbps
  // Whether the sender is receiving changes of the document's table from the store.
  33: optional bool receivingDocument
}
