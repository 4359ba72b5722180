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

// A target that a relay knows to be leaving.
struct LeavingTarget {
  1: string target
  2: i64 incarnation
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
  // Newest version of each table of the store that the relay has read.
  8: i64 documentVersion
  9: i64 targetsVersion
  10: list<LoadOnTarget> loads
  11: list<LeavingTarget> leaving
  12: list<CrashOnTarget> crashes
  // Addresses for relays of further relays that the sender has heard of.
  13: list<string> known
}
