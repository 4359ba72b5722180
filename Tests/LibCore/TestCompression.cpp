#include <gtest/gtest.h>
#include <LibCore/Compression.h>

using namespace Jujube;

// Guards against text that is changed by its compression, and against repetitive text that stays as long as it was.
TEST(Compression, TextComesBackUnchanged)
{
    std::string text;
    for (int number = 0; number < 10000; ++number) {
        text += "{\"prefix\":\"/route-" + std::to_string(number * 7919) + "/\",\"timeout_ms\":1500}";
    }
    for (const auto &some : {text, std::string(), std::string(1, '\0')}) {
        EXPECT_EQ(decompressZstd(compressZstd(some), text.size()), some);
    }
    EXPECT_LT(compressZstd(text).size(), text.size() / 4);
}

// Guards against memory that a small frame takes, and against damaged frames.
TEST(Compression, LongAndDamagedFramesAreRefused)
{
    const auto frame = compressZstd(std::string(100000, 'a'));
    EXPECT_EQ(decompressZstd(frame, 99999), std::nullopt);
    EXPECT_TRUE(decompressZstd(frame, 100000));
    for (size_t length = 0; length < frame.size(); ++length) {
        EXPECT_EQ(decompressZstd(std::string_view(frame).substr(0, length), 100000), std::nullopt);
    }
    EXPECT_EQ(decompressZstd("no frame at all", 100000), std::nullopt);
}
