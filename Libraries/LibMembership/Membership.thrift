// Messages between gateways. Regenerate the C++ code with Meta/generate_thrift.sh. Field numbers are never reused.
namespace cpp Jujube.Wire

// What a digest reports about a member.
enum DigestKind {
    // Alive: the heartbeat with the sequence number was received.
    Alive = 0,
    // A gateway that expects a heartbeat every round received none after the sequence number.
    Suspect = 1,
    // Alive and draining.
    Leaving = 2,
    // Has announced that it exits.
    Departed = 3,
}

// The latest state of another member that the sender knows. Receivers that do not know the identity request its record.
struct MemberDigest {
    // Hash of name and incarnation, see hashOf().
    1: required i32 identity,
    2: required i64 sequence,
    // Time since the heartbeat with this sequence number was received, in units of 100 ms.
    3: optional i32 ageTenths,
    4: optional DigestKind kind,
    5: optional i32 openStreams,
    // Left out if equal to the version of the datagram's sender.
    6: optional i64 documentVersion,
}

struct MemberRecord {
    1: required string name,
    2: required string dataCentre,
    3: required string region,
    // For callers, "address:port".
    4: required string address,
    // For heartbeats, "address:port".
    5: required string gossipAddress,
    6: required i64 incarnation,
}

// The requests that ran on a target when it crashed.
struct CrashRecord {
    // Hash of the target and its incarnation, the same at every gateway.
    1: required i64 crash,
    // Time since the crash in seconds.
    2: required i32 ageSeconds,
    // 8 bytes for each request.
    3: required binary fingerprints,
    // More requests ran on the target than are listed.
    4: optional bool truncated,
}

struct Heartbeat {
    1: required MemberRecord sender,
    2: required i64 sequence,
    3: required i64 documentVersion,
    // Time since the table service last confirmed this document version, to the sender or to one of its peers, in ms. Left out if it never did.
    4: optional i64 confirmationAgeMs,
    // Time since any gateway last reached the table service, in ms. Left out if unknown.
    5: optional i64 platformAgeMs,
    6: optional i32 openStreams,
    7: optional bool leaving,
    8: optional bool departed,
    9: required i64 hybridWallMs,
    10: required i32 hybridCounter,
    // The receiver is asked to expect a heartbeat every round and to report missing ones.
    11: optional bool watch,
    12: optional list<MemberDigest> digests,
    13: optional list<MemberRecord> records,
    // Identities whose records the sender requests.
    14: optional list<i32> wanted,
    15: optional list<CrashRecord> crashes,
    // The sender has just started and requests digests of many members.
    16: optional bool joining,
    // The sender knows no recent heartbeat of the receiver and requests one.
    17: optional bool probe,
}
