#include "../Support/LimitedLink.h"
#include "../Support/LoopbackEndpoint.h"
#include "RelayTestBed.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>
#include <platform/StandIns/StandInRows.h>

using namespace Jujube;
using namespace std::chrono_literals;

// Relays of two regions, one of which reaches the store over a link of limited rate, and a large document.
namespace
{

constexpr double LinkBytesPerSecond = 3e6;
constexpr size_t RouteCount = 5000;
constexpr int NearRelays = 2;
constexpr int FarRelays = 8;
// What crosses the link between regions for one version, in sizes of the document: two reads, and what relays have received before they leave their reads to
// others.
constexpr double MaxCopies = 3;

class DocumentDistribution : public testing::Test
{
protected:
    DocumentDistribution()
        : link(testBed.loop, m_linkAddress, testBed.storeAddress(), LinkBytesPerSecond)
    {
        for (size_t number = 0; number < RouteCount; ++number) {
            m_document.addedRoutes.push_back(absl::StrCat("route-", number * 7919 % RouteCount));
        }
    }

    void startRelays()
    {
        for (int number = 0; number < NearRelays; ++number) {
            addRelay(absl::StrCat("near-", number), [](RelayOptions &) {});
        }
        for (int number = 0; number < FarRelays; ++number) {
            addRelay(absl::StrCat("far-", number), [this, number](RelayOptions &options) {
                options.dataCentre = "karachi";
                options.region = "sindh";
                options.store = m_linkAddress;
                // Two of them pass the document on.
                options.linkMbps = number < 2 ? 200 : 10;
            });
        }
    }

    // Writes a version of the document that differs from the one before in one route.
    void writeVersion(int64_t version)
    {
        m_document.version = version;
        m_document.keys = {"key-1"};
        m_document.addedRoutes.push_back(absl::StrCat("added-", version));
        const auto text = m_document.toText();
        // The store encodes values in base64.
        documentBytes = text.size() * 4 / 3;
        testBed.store->put("op", "config", text);
    }

    int64_t versionAt(const std::string &node)
    {
        const auto metrics = testBed.metrics(node);
        const std::string name = "\nrelay_document_version ";
        const auto begin = metrics.find(name);
        double version = 0;
        return begin != std::string::npos
                && absl::SimpleAtod(metrics.substr(begin + name.size(), metrics.find('\n', begin + 1) - begin - name.size()), &version)
            ? static_cast<int64_t>(version)
            : 0;
    }

    // Waits until all relays that run have the version. None may go back meanwhile.
    bool haveAll(int64_t version)
    {
        const auto end = monotonicNow() + 20s;
        while (monotonicNow() < end) {
            bool isComplete = true;
            for (auto &[node, known] : m_versions) {
                const auto now = versionAt(node);
                EXPECT_GE(now, known) << node;
                known = std::max(known, now);
                isComplete = isComplete && known >= version;
            }
            if (isComplete) {
                return true;
            }
        }
        return false;
    }

    void kill(const std::string &node)
    {
        testBed.killRelay(node);
        m_versions.erase(node);
    }

    double copiesSince(size_t bytesBefore) const
    {
        return static_cast<double>(link.bytes() - bytesBefore) / static_cast<double>(documentBytes);
    }

    RelayTestBed testBed;

private:
    void addRelay(const std::string &node, const std::function<void(RelayOptions &options)> &change)
    {
        testBed.addSeparateRelay(node, change);
        m_versions[node] = 0;
    }

    const Endpoint m_linkAddress = ownLoopbackEndpoint();
    StandInDocument m_document;
    std::map<std::string, int64_t> m_versions;

protected:
    LimitedLink link;
    size_t documentBytes = 0;
};

} // namespace

// Guards against a link between regions that is full because each relay of a region reads each version of the document over it.
TEST_F(DocumentDistribution, VersionCrossesTheLinkForAFewRelaysOnly)
{
    writeVersion(1);
    startRelays();
    ASSERT_TRUE(haveAll(1));
    testBed.runFor(2s);
    auto before = link.bytes();
    writeVersion(2);
    ASSERT_TRUE(haveAll(2));
    EXPECT_LT(copiesSince(before), MaxCopies);
    // Two versions that follow each other at once.
    before = link.bytes();
    writeVersion(3);
    testBed.runFor(300ms);
    writeVersion(4);
    ASSERT_TRUE(haveAll(4));
    EXPECT_LT(copiesSince(before), 2 * MaxCopies);
}

// Guards against relays that all read the document over the link when they start at the same time.
TEST_F(DocumentDistribution, RelaysThatStartTogetherShareTheirReads)
{
    writeVersion(1);
    startRelays();
    ASSERT_TRUE(haveAll(1));
    EXPECT_LT(copiesSince(0), MaxCopies);
}

// Guards against a region without the document because the relays that read it for all have ended in the middle.
TEST_F(DocumentDistribution, OthersTakeOverFromRelaysThatEnd)
{
    writeVersion(1);
    startRelays();
    ASSERT_TRUE(haveAll(1));
    testBed.runFor(2s);
    const auto before = link.bytes();
    writeVersion(2);
    testBed.runUntil([&] { return copiesSince(before) > 0.3; });
    kill("far-0");
    kill("far-1");
    ASSERT_TRUE(haveAll(2));
    EXPECT_LT(copiesSince(before), 2 * MaxCopies);
}
