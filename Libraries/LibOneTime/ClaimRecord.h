#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Jujube
{

enum class ClaimState {
    // The owner may have sent the call, or may still send it.
    Claimed,
    // The call ran and its response is recorded.
    Done,
    // The call provably did not reach its target; it may be claimed again.
    NotRun,
    // The call was sent and its outcome is not known.
    Unknown,
};

std::string_view nameOf(ClaimState state);

// The table row of one idempotency key.
struct ClaimRecord {
    ClaimState state = ClaimState::Claimed;
    // Identifies the request that wrote the claim.
    std::string nonce;
    // SHA-256 of the request body.
    std::string bodyDigest;
    std::string gateway;
    int64_t wallMs = 0;
    // The target's response. Valid for ClaimState::Done.
    int status = 0;
    std::string contentType;
    std::string body;

    std::string toText() const;

    // Returns nothing if the text is not a claim record.
    static std::optional<ClaimRecord> fromText(std::string_view text);
};

} // namespace Jujube
