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

// A target that has changed lately: a new one, one at another address, or one that leaves.
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
  // The target itself has said that it leaves.
  10: bool saidLeaving
}

// One crash of a target as one relay saw it.
struct CrashOnTarget {
  1: string target
  2: i64 incarnation
  3: i32 ageMs
  4: list<i64> members
  5: i32 running
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
  // Version of the newest change in the table of the document.
  9: i64 documentTableVersion
  10: list<LoadOnTarget> loads
  11: list<ChangedTarget> targets
  12: list<CrashOnTarget> crashes
  // Addresses for relays of further relays that the sender has heard of.
  13: list<string> known
  // Digest of the targets that the sender knows, the store's version as of which it holds, and how long ago that was read.
  14: i64 targetsDigest
  15: i64 targetsVersion
  16: i32 targetsAgeMs
  // Whether the sender reads the store's tables with success.
  17: bool reading
  // Whether the sender reads them, or its reads have failed for a short time only.
  18: bool trying
  // Longest time until the next heartbeat to the same receiver.
  19: i32 beatMs
  // Only the name, the numbers and the loads are filled in.
  20: bool onlyLoads
}
