#include "DemoDocument.h"

#include <gmock/gmock.h>
#include <LibCore/Error.h>
#include <LibEnvironment/DocumentDiff.h>
#include <LibEnvironment/DocumentHead.h>

namespace Jujube
{

namespace
{

using testing::ElementsAre;
using testing::IsEmpty;

std::vector<std::string> diffTexts(const std::string &before, const std::string &after)
{
    const auto a = parseEnvironmentDocument(before);
    const auto b = parseEnvironmentDocument(after);
    EXPECT_TRUE(a.ok()) << a.status();
    EXPECT_TRUE(b.ok()) << b.status();
    return diffDocuments(*a, *b);
}

} // namespace

// Guards against a diff that omits a change, shows a wrong one, or shows changes of comments and omitted defaults.
TEST(DocumentDiff, ShowsEffectiveChanges)
{
    EXPECT_THAT(diffTexts(demoYaml(), "# comment\n" + demoYamlWith("state: in, ", "")), IsEmpty());
    EXPECT_THAT(diffTexts(demoYaml(), demoYamlWith("state: in, region: lahore", "state: out, region: lahore")),
                ElementsAre("~ data_centres.lahore.state: in -> out"));
    EXPECT_THAT(diffTexts(demoYaml(), demoYamlWith("timeout_s: 5", "timeout_s: 2.5")), ElementsAre("~ services.order-desk.calls.capture.timeout_s: 5 -> 2.5"));
    EXPECT_THAT(diffTexts(demoYaml(), demoYamlWith("desk-1:", "desk-2:")),
                ElementsAre("- targets.desk-1: address 127.0.0.1:8401, cold_limit 1, data_centre lahore, service order-desk",
                            "+ targets.desk-2: address 127.0.0.1:8401, cold_limit 1, data_centre lahore, service order-desk"));
    EXPECT_THAT(diffDocuments({}, *parseEnvironmentDocument(demoYaml())), testing::Contains("+ environment: name demo"));
}

// Guards against a field that the comparison omits. Each row changes one field, which must give exactly one line.
TEST(DocumentDiff, ComparesEveryField)
{
    const std::vector<std::pair<std::string, std::string>> rows {
        {"environment: demo", "environment: other"},
        {"region: karachi", "region: sindh"},
        {"tier: trial", "tier: paying"},
        {"key_sha256: 8", "key_sha256: 9"},
        {"requests_per_s: 50", "requests_per_s: 51"},
        {"tokens_per_s: 2000", "tokens_per_s: 2001"},
        {"open_streams: 20}", "open_streams: 21}"},
        {"continuation: exact", "continuation: none"},
        {"version: \"1\"", "version: \"2\""},
        {"max_tokens: 8192", "max_tokens: 8193"},
        {"path: /capture", "path: /pay"},
        {"method: GET, path: /status, repeatable: true, fresh_s: 2", "method: GET, path: /status, repeatable: true, fresh_s: 3"},
        {"repeatable: false", "repeatable: true"},
        {"draft: 8", "draft: 7"},
        {"suggestion: 2", "suggestion: 3"},
        {"open_streams: 2000", "open_streams: 1000"},
        {"queued_requests: 1000", "queued_requests: 999"},
        {"queue_wait_s: 10", "queue_wait_s: 9"},
        {"retry_percent: 10", "retry_percent: 9"},
        {"127.0.0.1:8304", "127.0.0.1:8305"},
        {"islamabad, models", "karachi, models"},
        {"fencing: ignored,", "fencing: honoured,"},
        {"fencing: ignored,", "fencing: ignored, resume: false,"},
        {"fencing: ignored, cold_limit: 2", "fencing: ignored, cold_limit: 3"},
        {"fencing: ignored, cold_limit: 2, memory_tokens: 65536", "fencing: ignored, cold_limit: 2, memory_tokens: 1"},
    };
    for (const auto &[from, to] : rows) {
        const auto lines = diffTexts(demoYaml(), demoYamlWith(from, to));
        ASSERT_EQ(lines.size(), 1) << to;
        EXPECT_EQ(lines[0][0], '~') << lines[0];
    }
}

// Guards against a head that another process cannot parse, and against a damaged head that is accepted as version 0.
TEST(DocumentHead, ReadsWhatItWrote)
{
    const DocumentHead head {.version = 7, .digest = "d", .object = "o", .author = "amina", .timeMs = 12};
    const auto parsed = DocumentHead::parse(head.toJson());
    ASSERT_TRUE(parsed.ok()) << parsed.status();
    EXPECT_EQ(*parsed, head);
    for (const auto *text : {"", "[]", "{}", R"({"version":-1,"digest":"d","object":"o"})", R"({"version":"7","digest":"d","object":"o"})"}) {
        EXPECT_FALSE(DocumentHead::parse(text).ok()) << text;
    }
}

} // namespace Jujube
