#include "DemoDocument.h"

#include <absl/strings/str_cat.h>
#include <gmock/gmock.h>
#include <LibCore/Digest.h>
#include <LibCore/Error.h>
#include <LibEnvironment/DocumentTree.h>
#include <LibEnvironment/EnvironmentDocument.h>
#include <rapidcheck/gtest.h>

namespace Jujube
{

namespace
{

using testing::HasSubstr;
using testing::StartsWith;

// The errors of a document, one per line. Empty if it is valid.
std::string errorsOf(const std::string &yaml)
{
    const auto document = parseEnvironmentDocument(yaml);
    return document.ok() ? "" : std::string(document.status().message());
}

std::string repeat(std::string_view text, size_t count)
{
    std::string out;
    for (size_t i = 0; i < count; ++i) {
        out += text;
    }
    return out;
}

} // namespace

// Guards against a parser that rejects the demo document or reads wrong values from it.
TEST(DocumentParser, ReadsTheDemoDocument)
{
    const auto document = parseEnvironmentDocument(demoYaml());
    ASSERT_TRUE(document.ok()) << document.status();
    EXPECT_EQ(document->name, "demo");
    EXPECT_EQ(document->dataCentres.size(), 3);
    EXPECT_EQ(document->workspaces.at("qalamkar-drafts").keySha256, sha256Hex("demo-key-paying"));
    EXPECT_EQ(document->workspaces.at("motif-trial").tier, WorkspaceTier::Trial);
    EXPECT_EQ(document->models.at("naqsh").continuation, Continuation::Exact);
    const auto &calls = document->services.at("order-desk").calls;
    EXPECT_FALSE(calls.at("capture").repeatable);
    EXPECT_EQ(calls.at("status").method, CallMethod::Get);
    EXPECT_EQ(calls.at("status").maxCacheAge, std::chrono::seconds(2));
    EXPECT_EQ(document->targets.size(), 5);
    EXPECT_EQ(document->targets.at("engine-4").fencing, Fencing::Ignored);
    EXPECT_EQ(document->targets.at("desk-1").service, "order-desk");
}

// Guards against reporting only the first error of a document, and against wrong positions.
TEST(DocumentParser, ReportsAllErrorsWithLineAndColumn)
{
    const std::string yaml = "environment: Demo\n"
                             "data_centres:\n"
                             "  lahore: {state: gone, region: punjab}\n"
                             "modles: {}\n"
                             "targets:\n"
                             "  e:\n"
                             "    address: localhost:1\n"
                             "    data_centre: multan\n"
                             "    models: [naqsh]\n"
                             "    memory_tokens: -1\n";
    EXPECT_EQ(errorsOf(yaml),
              "1:14: environment: must be a name from a-z, 0-9, '.', '_' and '-'\n"
              "3:19: data_centres.lahore.state: \"gone\" is not one of in, out\n"
              "4:1: modles: unknown key; the nearest known key is \"models\"\n"
              "7:14: targets.e.address: \"localhost:1\" is not an IP address and port of the form 10.0.0.1:8301\n"
              "8:18: targets.e.data_centre: the data centre \"multan\" is not in data_centres\n"
              "9:14: targets.e.models: the model \"naqsh\" is not in models\n"
              "10:20: targets.e.memory_tokens: \"-1\" is not a whole number from 1 to 1000000000");
}

// Guards against the loss of a validation rule. Each row violates one rule in an otherwise valid document.
TEST(DocumentParser, RejectsViolationsOfEachRule)
{
    struct Row {
        std::string from;
        std::string to;
        std::string error;
    };
    const std::string hash = sha256Hex("demo-key-trial");
    const std::vector<Row> rows {
        {"environment: demo", "# no name", "the field \"environment\" is required"},
        {"tier: trial", "tier: trail", "\"trail\" is not one of paying, trial"},
        {hash, sha256Hex("demo-key-paying"), "is the key of workspace"},
        {hash, hash.substr(1), "64 lower-case hexadecimal digits"},
        {"motif-trial:", "motif/trial:", "\"motif/trial\" is not a name"},
        {"motif-trial:", "qalamkar-drafts:", "the key \"qalamkar-drafts\" was given in line"},
        {"open_streams: 20}", "open_streams: many}", "\"many\" is not a whole number"},
        {"max_tokens: 8192", "max_tokens: 0", "\"0\" is not a whole number from 1"},
        {"fresh_s: 2", "fresh_s: .nan", "\".nan\" is not a number of seconds"},
        {"fresh_s: 2", "fresh_s: 99999", "is not a number of seconds from 0 to 3600"},
        {"repeatable: true", "repeatable: no", "\"no\" is not one of false, true"},
        {"repeatable: true", "repeatable: false", "a GET call must be repeatable"},
        {"repeatable: false", "repeatable: true, fresh_s: 1", "only answers to GET calls are cached"},
        {"timeout_s: 5", "timeout_s: 16", "at most 15 for a call that is not repeatable"},
        {"path: /capture", "path: capture", "must start with '/'"},
        {"draft: 8", "draft: 10", "is not a whole number from 0 to 9"},
        {"127.0.0.1:8302", "127.0.0.1:8301", "is the address of target \"engine-1\" already"},
        {"127.0.0.1:8302", "127.0.0.1:0", "is not an IP address and port"},
        {"data_centre: karachi", "zone: karachi", "the field \"data_centre\" is required"},
        {"service: order-desk}", "service: desk}", "the service \"desk\" is not in services"},
        {"service: order-desk}", "cold_limit: 1}", "must have either models or a service"},
        {"service: order-desk}", "service: order-desk, fencing: ignored}", "applies to model engines only"},
        {"models: [naqsh], fencing: ignored", "models: [naqsh, naqsh], fencing: ignored", "the model \"naqsh\" is listed twice"},
        {"models: [naqsh], fencing: ignored", "models: naqsh, fencing: ignored", "must be a list"},
        {"fencing: ignored, cold_limit: 2, memory_tokens: 65536", "fencing: ignored, cold_limit: 2", "the field \"memory_tokens\" is required"},
        {"limits: {open_streams: 2000", "limits: {open_stream: 2000", "the nearest known key is \"open_streams\""},
        {"priorities: {draft: 8, suggestion: 2}", "priorities: 8", "must be a map of fields"},
    };
    for (const auto &row : rows) {
        EXPECT_THAT(errorsOf(demoYamlWith(row.from, row.to)), HasSubstr(row.error)) << row.to;
    }
}

// Guards against a crash, unbounded recursion or unbounded memory on hostile input.
TEST(DocumentParser, RejectsHostileInput)
{
    EXPECT_THAT(errorsOf(repeat("[", 100000)), HasSubstr("nested more than"));
    EXPECT_THAT(errorsOf(repeat("{a: ", 100000)), HasSubstr("nested more than"));
    EXPECT_THAT(errorsOf(repeat("- ", 100000)), HasSubstr("nested more than"));
    EXPECT_THAT(errorsOf("a: &x [1]\nb: *x\n"), StartsWith("1:4: anchors are not allowed"));
    EXPECT_THAT(errorsOf("a: !!binary aGk=\n"), HasSubstr("tags are not allowed"));
    EXPECT_THAT(errorsOf("environment: a\n---\nenvironment: b\n"), StartsWith("2:1: a second document"));
    EXPECT_THAT(errorsOf("environment: " + std::string(100000, 'x')), HasSubstr("over the limit"));
    EXPECT_THAT(errorsOf(std::string(MaxDocumentBytes + 1, ' ')), HasSubstr("the limit is"));
    EXPECT_THAT(errorsOf(repeat("- \n", 320000)), HasSubstr("more than 300000 values"));
    EXPECT_THAT(errorsOf("? [a]\n: b\n"), HasSubstr("a key must be a text"));
    EXPECT_THAT(errorsOf("a: b\nc: \x01\n"), StartsWith("2:4: the text has a control character"));
    EXPECT_THAT(errorsOf("a: 'b\n"), HasSubstr("1:"));
    EXPECT_THAT(errorsOf(""), HasSubstr("\"environment\" is required"));
    std::string manyKeys;
    for (int i = 0; i < 50000; ++i) {
        absl::StrAppend(&manyKeys, "k", i, ": 1\n");
    }
    EXPECT_THAT(errorsOf(manyKeys), HasSubstr("has more than 64 fields"));
}

// Guards against invalid UTF-8 that is accepted or reported at the wrong position.
TEST(DocumentParser, FindsInvalidUtf8)
{
    const auto document = parseEnvironmentDocument("environment: demo\nregion: \xd9\xbe\xd9\x86\xff\n");
    EXPECT_EQ(errorKindOf(document.status()), ErrorKind::InvalidUtf8);
    EXPECT_THAT(std::string(document.status().message()), StartsWith("2:13: "));
}

// Guards against a crash on damaged documents: parts of the demo document are cut, duplicated, moved and overwritten. The parser must accept the result or
// reject it with a message.
RC_GTEST_PROP(DocumentParser, AcceptsOrRejectsEveryDamagedDocument, ())
{
    static const std::string demo = demoYaml();
    auto yaml = demo;
    const auto changes = *rc::gen::inRange(1, 6);
    for (int i = 0; i < changes; ++i) {
        const auto at = *rc::gen::inRange<size_t>(0, yaml.size() + 1);
        const auto length = *rc::gen::inRange<size_t>(0, 40);
        const auto from = *rc::gen::inRange<size_t>(0, demo.size());
        const auto piece = *rc::gen::oneOf(rc::gen::just(demo.substr(from, length)),
                                           rc::gen::container<std::string>(rc::gen::elementOf(std::string("{}[]:,&*!|>'\"%@`#?- \n\t\xff"))),
                                           rc::gen::arbitrary<std::string>());
        yaml.replace(at, *rc::gen::element<size_t>(0, length), piece);
    }
    const auto document = parseEnvironmentDocument(yaml);
    RC_ASSERT(document.ok() || !document.status().message().empty());
}

} // namespace Jujube
