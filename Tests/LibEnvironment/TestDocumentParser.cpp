#include <fstream>
#include <gtest/gtest.h>
#include <LibCore/Digest.h>
#include <LibEnvironment/EnvironmentDocument.h>
#include <sstream>

namespace Jujube
{

namespace
{

std::string readFile(const std::string &path)
{
    std::ifstream file(std::string(JUJUBE_SOURCE_DIRECTORY) + "/" + path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

// Guards against an example that the parser no longer accepts, or reads with other values than it states.
TEST(DocumentParser, ReadsTheDemo)
{
    const auto document = parseEnvironmentDocument(readFile("examples/demo.yaml"));
    ASSERT_TRUE(document.ok()) << document.status();
    EXPECT_EQ(document->name, "demo");
    EXPECT_EQ(document->dataCentres.size(), 3);
    EXPECT_EQ(document->workspaces.at("qalamkar-drafts").keySha256, sha256Hex("demo-key-paying"));
    EXPECT_EQ(document->workspaces.at("motif-trial").tier, WorkspaceTier::Trial);
    EXPECT_EQ(document->models.at("naqsh").continuation, Continuation::Exact);
    const auto &calls = document->services.at("order-desk").calls;
    EXPECT_FALSE(calls.at("capture").repeatable);
    EXPECT_EQ(calls.at("status").method, CallMethod::Get);
    EXPECT_EQ(calls.at("status").fresh, std::chrono::seconds(2));
    EXPECT_EQ(document->targets.size(), 5);
    EXPECT_EQ(document->targets.at("desk-1").service, "order-desk");
}

} // namespace Jujube
