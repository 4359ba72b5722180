namespace cpp Jujube.Thrift

// The content of a stream's event id. Everything that any gateway needs to resume the stream.
struct CursorRecord {
    1: required string workspace
    2: required binary generation
    3: required i32 attempt
    4: required string target
    5: required i32 nextOffset
    6: required i64 checksum
    7: required i64 bodyDigest
    8: required i64 wallMs
    9: required i32 counter
}
