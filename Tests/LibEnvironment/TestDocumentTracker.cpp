#include "DemoDocument.h"

#include <LibCore/Digest.h>
#include <LibEnvironment/DocumentTracker.h>
#include <rapidcheck/gtest.h>

namespace Jujube
{

using namespace std::chrono_literals;

namespace
{

const MonotonicTime Start {1h};

DocumentOffer makeOffer(uint64_t version, std::string_view bytes, DocumentSource source = DocumentSource::Table)
{
    return {.source = source, .version = version, .digest = sha256Hex(bytes), .bytes = bytes};
}

// Accepts any text but "bad".
absl::StatusOr<EnvironmentDocument> parseAnything(std::string_view text)
{
    if (text == "bad") {
        return absl::InvalidArgumentError("bad");
    }
    return EnvironmentDocument {.name = std::string(text)};
}

} // namespace

// Guards against an older, damaged or invalid document that replaces the one in force, whatever its source.
TEST(DocumentTracker, AcceptsOnlyNewerIntactDocuments)
{
    DocumentTracker tracker;
    const auto demo = demoYaml();
    const auto other = demoYamlWith("state: in, region: lahore", "state: out, region: lahore");
    EXPECT_EQ(tracker.offer(makeOffer(0, demo), Start), OfferResult::Older);
    EXPECT_EQ(tracker.offer(makeOffer(5, demo, DocumentSource::Peer), Start), OfferResult::Accepted);
    EXPECT_EQ(tracker.document()->name, "demo");
    EXPECT_EQ(tracker.offer(makeOffer(5, demo), Start), OfferResult::AlreadyInForce);
    EXPECT_EQ(tracker.offer(makeOffer(5, other), Start), OfferResult::VersionReused);
    EXPECT_EQ(tracker.offer(makeOffer(4, other), Start), OfferResult::Older);
    auto damaged = makeOffer(6, other);
    damaged.bytes.remove_suffix(1);
    EXPECT_EQ(tracker.offer(damaged, Start), OfferResult::DigestMismatch);
    EXPECT_EQ(tracker.offer(makeOffer(6, "environment: {"), Start), OfferResult::Invalid);
    EXPECT_FALSE(tracker.lastParseError().empty());
    EXPECT_EQ(tracker.version(), 5);
    EXPECT_EQ(tracker.bytes(), demo);
    EXPECT_EQ(tracker.offer(makeOffer(6, other, DocumentSource::Cache), Start), OfferResult::Accepted);
    EXPECT_EQ(tracker.document()->dataCentres.at("lahore").state, DataCentreState::Out);
}

// Guards against a confirmation that looks younger than it is, or that belongs to another version.
TEST(DocumentTracker, KeepsTheAgeOfTheLatestConfirmation)
{
    DocumentTracker tracker(parseAnything);
    tracker.peerVersionReceived(0, 1s, Start);
    EXPECT_EQ(tracker.confirmedAge(Start), std::nullopt);
    tracker.offer(makeOffer(1, "one", DocumentSource::Cache), Start);
    EXPECT_EQ(tracker.confirmedAge(Start), std::nullopt);
    EXPECT_EQ(tracker.age(Start + 2s), 2s);
    tracker.peerVersionReceived(1, 4s, Start + 5s);
    EXPECT_EQ(tracker.confirmedAge(Start + 5s), 4s + DocumentTracker::PeerDelayAllowance);
    // An older confirmation does not replace a newer one.
    tracker.peerVersionReceived(1, 60s, Start + 5s);
    EXPECT_EQ(tracker.confirmedAge(Start + 5s), 4s + DocumentTracker::PeerDelayAllowance);
    tracker.tableHeadReceived(1, sha256Hex("one"), Start + 5s);
    EXPECT_EQ(tracker.confirmedAge(Start + 6s), 1s);
    // Neither a newer head nor an older one, from a restored table, confirms the version in force.
    tracker.tableHeadReceived(2, sha256Hex("two"), Start + 7s);
    tracker.tableHeadReceived(0, "", Start + 7s);
    tracker.peerVersionReceived(3, 0s, Start + 7s);
    EXPECT_EQ(tracker.confirmedAge(Start + 7s), 2s);
    EXPECT_EQ(tracker.newestKnownVersion(), 3);
    tracker.offer(makeOffer(2, "two", DocumentSource::Peer), Start + 8s);
    EXPECT_EQ(tracker.confirmedAge(Start + 8s), std::nullopt);
}

// Guards against two gateways that renew each other's confirmation while the table service is down.
TEST(DocumentTracker, DoesNotRenewAConfirmationBetweenPeers)
{
    constexpr auto Delay = 400ms;
    DocumentTracker a(parseAnything);
    DocumentTracker b(parseAnything);
    a.offer(makeOffer(1, "one"), Start);
    b.offer(makeOffer(1, "one"), Start);
    auto now = Start;
    for (int exchange = 0; exchange < 100; ++exchange) {
        const auto confirmedAgeAtTrackerA = a.confirmedAge(now);
        now += Delay;
        b.peerVersionReceived(1, confirmedAgeAtTrackerA, now);
        const auto confirmedAgeAtTrackerB = b.confirmedAge(now);
        now += Delay;
        a.peerVersionReceived(1, confirmedAgeAtTrackerB, now);
    }
    EXPECT_EQ(*a.confirmedAge(now), now - Start);
}

// Guards against a sequence of offers and observations that brings back an older document: the version in force never decreases, its digest always matches its
// bytes, and each version has only one text.
RC_GTEST_PROP(DocumentTracker, NeverReturnsToAnOlderVersion, ())
{
    DocumentTracker tracker(parseAnything);
    std::map<uint64_t, std::string> inForce;
    uint64_t highestIntact = 0;
    auto now = Start;
    const auto steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step) {
        now += std::chrono::milliseconds(*rc::gen::inRange(0, 2000));
        const auto before = tracker.version();
        const auto version = *rc::gen::inRange<uint64_t>(0, 12);
        const auto text = *rc::gen::element<std::string>("a", "b", "bad");
        const auto source = *rc::gen::element(DocumentSource::Table, DocumentSource::Peer, DocumentSource::Cache);
        auto offer = makeOffer(version, text, source);
        const bool damaged = *rc::gen::weightedElement<bool>({{4, false}, {1, true}});
        if (damaged) {
            offer.digest = sha256Hex(text + "x");
        }
        if (*rc::gen::arbitrary<bool>()) {
            tracker.tableHeadReceived(version, offer.digest, now);
        }
        const auto result = tracker.offer(offer, now);
        RC_ASSERT(tracker.version() >= before);
        RC_ASSERT((result == OfferResult::Accepted) == (tracker.version() > before));
        RC_ASSERT((result == OfferResult::Accepted) == (version > before && !damaged && text != "bad"));
        highestIntact = std::max(highestIntact, !damaged && text != "bad" ? version : 0);
        RC_ASSERT(tracker.version() == highestIntact);
        if (tracker.version() > 0) {
            RC_ASSERT(sha256Hex(tracker.bytes()) == tracker.digest());
            RC_ASSERT(tracker.document()->name == tracker.bytes());
            RC_ASSERT(inForce.emplace(tracker.version(), tracker.bytes()).first->second == tracker.bytes());
        }
    }
}

} // namespace Jujube
