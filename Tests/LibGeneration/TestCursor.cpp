#include <LibGeneration/Cursor.h>

#include <gtest/gtest.h>
#include <LibCore/Error.h>

namespace Jujube
{

namespace
{

Cursor exampleCursor()
{
    return {
        .workspace = "qalamkar",
        .generation = "00112233445566778899aabbccddeeff",
        .attempt = 2,
        .target = "engine-1",
        .nextOffset = 17,
        .checksum = 0xfedcba9876543210,
        .bodyDigest = bodyDigest("{}"),
        .time = {.wallMs = 1'700'000'000'000, .counter = 5},
    };
}

} // namespace

// Guards against a field of the cursor that is missing from the encoded text.
TEST(Cursor, RoundTripPreservesAllFields)
{
    const CursorCodec codec({.key = "secret", .previousKey = ""});
    const auto decoded = codec.decode(codec.encode(exampleCursor()));
    ASSERT_TRUE(decoded.ok());
    EXPECT_EQ(*decoded, exampleCursor());
}

// Guards against forged cursors: any changed character must be rejected, or a caller could read another workspace's draft.
TEST(Cursor, RejectsEveryChangedCharacter)
{
    const CursorCodec codec({.key = "secret", .previousKey = ""});
    const auto text = codec.encode(exampleCursor());
    for (size_t i = 0; i < text.size(); ++i) {
        auto forged = text;
        forged[i] = forged[i] == 'A' ? 'B' : 'A';
        const auto decoded = codec.decode(forged);
        // Unused bits of the last base64 character do not change the bytes.
        if (decoded.ok()) {
            EXPECT_EQ(*decoded, exampleCursor());
            EXPECT_EQ(i, text.size() - 1);
        }
    }
    EXPECT_EQ(errorKindOf(codec.decode("").status()), ErrorKind::InvalidCursor);
    EXPECT_EQ(errorKindOf(codec.decode(std::string(5000, 'A')).status()), ErrorKind::InvalidCursor);
}

// Guards against streams that cannot be resumed during a rotation of the signing key.
TEST(Cursor, AcceptsThePreviousKey)
{
    const CursorCodec before({.key = "old", .previousKey = ""});
    const CursorCodec during({.key = "new", .previousKey = "old"});
    const CursorCodec after({.key = "new", .previousKey = ""});
    const auto text = before.encode(exampleCursor());
    EXPECT_TRUE(during.decode(text).ok());
    EXPECT_FALSE(after.decode(text).ok());
}

} // namespace Jujube
