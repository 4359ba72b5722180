#include <LibGeneration/EngineLineParser.h>

#include <gtest/gtest.h>
#include <vector>

namespace Jujube
{

namespace
{

const std::string Lines = "{\"g\":\"id\",\"a\":1,\"o\":0,\"t\":\" કંકોત્રી\"}\n{\"ka\":1}\n{\"g\":\"id\",\"a\":1,\"done\":true,\"count\":1}\n";

std::vector<EngineLine> parseInPieces(const std::string &bytes, size_t pieceSize)
{
    EngineLineParser parser;
    std::vector<EngineLine> lines;
    for (size_t i = 0; i < bytes.size(); i += pieceSize) {
        parser.feed(std::string_view(bytes).substr(i, pieceSize), [&lines](EngineLine line) { lines.push_back(std::move(line)); });
    }
    return lines;
}

} // namespace

// Guards against multi-byte characters that are corrupted when a read ends within one.
TEST(EngineLineParser, ResultDoesNotDependOnReadBoundaries)
{
    for (size_t pieceSize = 1; pieceSize <= Lines.size(); ++pieceSize) {
        const auto lines = parseInPieces(Lines, pieceSize);
        ASSERT_EQ(lines.size(), 3);
        EXPECT_EQ(lines[0].kind, EngineLineKind::Token);
        EXPECT_EQ(lines[0].text, " કંકોત્રી");
        EXPECT_EQ(lines[1].kind, EngineLineKind::KeepAlive);
        EXPECT_EQ(lines[2].kind, EngineLineKind::Done);
        EXPECT_EQ(lines[2].count, 1);
    }
}

// Guards against invalid lines being accepted as tokens, and against unbounded memory use for a line that never ends.
TEST(EngineLineParser, ReportsInvalidLines)
{
    EXPECT_EQ(parseEngineLine("{\"g\":\"id\",\"a\":1,\"t\":\"x\"}").kind, EngineLineKind::Invalid);
    EXPECT_EQ(parseEngineLine("{\"g\":\"id\",\"a\":1,\"o\":0}").kind, EngineLineKind::Invalid);
    EXPECT_EQ(parseEngineLine("[1]").kind, EngineLineKind::Invalid);
    const auto lines = parseInPieces(std::string(200'000, 'x') + "\n" + Lines, 1000);
    ASSERT_EQ(lines.size(), 4);
    EXPECT_EQ(lines[0].kind, EngineLineKind::Invalid);
    EXPECT_EQ(lines[1].kind, EngineLineKind::Token);
}

} // namespace Jujube
