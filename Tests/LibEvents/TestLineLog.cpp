#include <gtest/gtest.h>
#include <LibCore/Json.h>
#include <LibEvents/LineWriter.h>
#include <LibEvents/LogLine.h>
#include <unistd.h>

using namespace Jujube;
using namespace std::chrono_literals;

// Guards against callers' bytes that make a log line unreadable or forge fields of it.
TEST(LogLine, IsOneJsonObjectWhateverTheValues)
{
    for (const std::string value : {"plain", "quote\" and \\", "line\nfeed\x01", "\xff\xfe not UTF-8", "\",\"event\":\"forged"}) {
        LogLine line(EventKind::RelayRejected, 12, "n1");
        line.add("path", value).add("status", 404);
        const auto text = line.take();
        EXPECT_EQ(text.find('\n'), std::string::npos);
        const auto json = parseJson(text);
        ASSERT_TRUE(json.ok()) << text;
        EXPECT_EQ((*json)["event"], "relay_rejected");
        EXPECT_EQ((*json)["number"], 4002);
        EXPECT_EQ((*json)["status"], 404);
    }
}

// Guards against a log that blocks the process or grows without bound while nobody reads it, and against lines that vanish uncounted.
TEST(LineWriter, DropsAndCountsWhatDoesNotFit)
{
    std::array<int, 2> ends {};
    ASSERT_EQ(pipe(ends.data()), 0);
    std::string text;
    {
        LineWriter writer({.fileDescriptor = ends[1], .bufferBytes = 100, .linger = 20ms});
        for (int count = 0; count < 50; ++count) {
            writer.add("0123456789");
        }
        std::this_thread::sleep_for(100ms);
        writer.add("last");
    }
    close(ends[1]);
    std::array<char, 4096> buffer {};
    for (ssize_t size = read(ends[0], buffer.data(), buffer.size()); size > 0; size = read(ends[0], buffer.data(), buffer.size())) {
        text.append(buffer.data(), static_cast<size_t>(size));
    }
    close(ends[0]);
    EXPECT_LE(text.size(), 300U);
    EXPECT_NE(text.find("log_lines_dropped"), std::string::npos);
    EXPECT_NE(text.find("last"), std::string::npos);
}
