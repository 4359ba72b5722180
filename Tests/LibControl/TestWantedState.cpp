#include "ControlFixture.h"

#include <Controller/DocumentDuty.h>
#include <Controller/WantedStateReader.h>
#include <LibCore/Digest.h>
#include <LibCore/Json.h>

namespace Jujube
{

using namespace std::chrono_literals;

namespace
{

const std::string Document = R"(
environment: production
data_centres:
  lahore: {state: in}
  karachi: {state: out}
models:
  m: {continuation: exact, version: "7"}
  n: {continuation: none}
targets:
  - {address: "127.0.0.1:1", data_centre: lahore, models: [m, n], fencing: honoured, cold_limit: 3, memory_tokens: 1000}
  - {address: "127.0.0.1:2", data_centre: karachi, models: [m], fencing: ignored}
  - {address: "127.0.0.1:3", data_centre: lahore, service: orders}
)";

class WantedStateTest : public ControlFixture
{
protected:
    TableClient table()
    {
        return TableClient({.address = m_platform->address(), .transport = [this](HttpCall call) { return m_http.call(std::move(call)); }});
    }

    ObjectClient objects()
    {
        return ObjectClient({.address = m_platform->address(), .transport = [this](HttpCall call) { return m_http.call(std::move(call)); }});
    }

    void accept(int64_t version, const std::string &document)
    {
        const auto digest = sha256Hex(document);
        EXPECT_EQ(objects().put(digest, document).end, WriteEnd::Done);
        const nlohmann::json head {{"version", version}, {"digest", digest}, {"object", digest}};
        const auto key = "environment/production/head";
        EXPECT_EQ(table().putIfRevision(key, head.dump(), table().get(key).row.revision).end, WriteEnd::Done);
    }
};

} // namespace

// Guards against a target whose document entry is read wrongly: an unfenced order or a cold limit from the wrong target.
TEST_F(WantedStateTest, ReadsTheTargetsOfADocument)
{
    const auto targets = readWantedTargets(Document);
    ASSERT_TRUE(targets.ok()) << targets.status();
    ASSERT_EQ(targets->size(), 3);
    EXPECT_EQ(targets->at(0).target, "127.0.0.1:1");
    EXPECT_TRUE(targets->at(0).honoursFencing);
    EXPECT_TRUE(targets->at(0).inService);
    EXPECT_EQ(targets->at(0).coldLimit, 3);
    EXPECT_EQ(targets->at(0).models, (std::vector<ModelVersion> {{"m", "7"}, {"n", ""}}));
    EXPECT_FALSE(targets->at(1).honoursFencing);
    EXPECT_FALSE(targets->at(1).inService);
    EXPECT_TRUE(targets->at(2).models.empty());
    EXPECT_FALSE(readWantedTargets("targets: [").ok());
    EXPECT_FALSE(readWantedTargets("targets: [{address: a, cold_limit: many}]").ok());
}

// Guards against an older, damaged or missing document replacing the one in force.
TEST_F(WantedStateTest, TakesOnlyNewerDocuments)
{
    const ControlContext context {.now = [this] { return m_now; },
                                  .random = [] { return 0.5; },
                                  .gate = std::make_shared<PlatformRateLimiter>(PlatformRateLimiter::Options {}, m_now, 0.5),
                                  .record = [](EventKind, const std::string &, const std::string &) {}};
    DocumentDuty duty("production", table(), objects(), context);
    const auto step = [&] {
        m_now += 5s;
        duty.step();
        return duty.version();
    };
    EXPECT_EQ(step(), 0);
    accept(2, Document);
    EXPECT_EQ(step(), 2);
    EXPECT_EQ(duty.wanted().size(), 3);
    accept(1, "targets: []");
    EXPECT_EQ(step(), 2);
    accept(3, "targets: [");
    EXPECT_EQ(step(), 2);
    EXPECT_EQ(duty.wanted().size(), 3);
    accept(4, "targets: []");
    EXPECT_EQ(step(), 4);
    EXPECT_TRUE(duty.wanted().empty());
}

// Guards against a report that is read with a field missing, and against versions that are lost.
TEST(LoadReport, ReadsModelsInBothForms)
{
    const auto report
        = reportFromJson("t", *parseJson(R"({"incarnation":3,"running":2,"cold":true,"leaving":false,"models":["a","b@2",{"model":"c","version":"1"}]})"), {});
    ASSERT_TRUE(report.ok()) << report.status();
    EXPECT_EQ(report->models, (std::vector<ModelVersion> {{"a", ""}, {"b", "2"}, {"c", "1"}}));
    EXPECT_TRUE(report->cold);
    EXPECT_EQ(report->role, std::nullopt);
    EXPECT_FALSE(reportFromJson("t", *parseJson(R"({"incarnation":3,"running":2,"cold":true})"), {}).ok());
}

// Guards against a deeply nested document that exhausts the stack of a controller.
TEST(WantedTargets, DeeplyNestedDocumentIsRefused)
{
    constexpr size_t Depth = 500000;
    EXPECT_FALSE(readWantedTargets("targets: " + std::string(Depth, '[') + std::string(Depth, ']')).ok());
    EXPECT_FALSE(readWantedTargets("targets: " + std::string(Depth, '{')).ok());
    EXPECT_FALSE(readWantedTargets(std::string(Depth, '[')).ok());
}

// Guards against a deeply nested list of models in a target's report that exhausts the stack of a controller.
TEST(LoadReport, DeeplyNestedModelsAreRefused)
{
    constexpr size_t Depth = 500000;
    const auto models = std::string(Depth, '[') + std::string(Depth, ']');
    const auto json = parseJson(R"({"incarnation":3,"running":2,"cold":true,"leaving":false,"models":)" + models + "}");
    ASSERT_TRUE(json.ok());
    EXPECT_FALSE(reportFromJson("t", *json, {}).ok());
}

} // namespace Jujube
