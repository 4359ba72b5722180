#include "DemoDocument.h"

#include <LibCore/Digest.h>
#include <LibEnvironment/DocumentLedger.h>
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

// Guards against an older, damaged or unreadable document replacing the one in force, whatever its source.
TEST(DocumentLedger, AcceptsOnlyNewerIntactDocuments)
{
    DocumentLedger ledger;
    const auto demo = demoYaml();
    const auto other = demoYamlWith("state: in, region: lahore", "state: out, region: lahore");
    EXPECT_EQ(ledger.offer(makeOffer(0, demo), Start), OfferResult::Older);
    EXPECT_EQ(ledger.offer(makeOffer(5, demo, DocumentSource::Peer), Start), OfferResult::Accepted);
    EXPECT_EQ(ledger.document()->name, "demo");
    EXPECT_EQ(ledger.offer(makeOffer(5, demo), Start), OfferResult::AlreadyInForce);
    EXPECT_EQ(ledger.offer(makeOffer(5, other), Start), OfferResult::VersionReused);
    EXPECT_EQ(ledger.offer(makeOffer(4, other), Start), OfferResult::Older);
    auto damaged = makeOffer(6, other);
    damaged.bytes.remove_suffix(1);
    EXPECT_EQ(ledger.offer(damaged, Start), OfferResult::DigestMismatch);
    EXPECT_EQ(ledger.offer(makeOffer(6, "environment: {"), Start), OfferResult::Invalid);
    EXPECT_FALSE(ledger.lastProblem().empty());
    EXPECT_EQ(ledger.version(), 5);
    EXPECT_EQ(ledger.bytes(), demo);
    EXPECT_EQ(ledger.offer(makeOffer(6, other, DocumentSource::Cache), Start), OfferResult::Accepted);
    EXPECT_EQ(ledger.document()->dataCentres.at("lahore").state, DataCentreState::Out);
}

// Guards against a confirmation that looks younger than it is, or that belongs to another version.
TEST(DocumentLedger, KeepsTheAgeOfTheLatestConfirmation)
{
    DocumentLedger ledger(parseAnything);
    ledger.peerVersionSeen(0, 1s, Start);
    EXPECT_EQ(ledger.confirmedAge(Start), std::nullopt);
    ledger.offer(makeOffer(1, "one", DocumentSource::Cache), Start);
    EXPECT_EQ(ledger.confirmedAge(Start), std::nullopt);
    EXPECT_EQ(ledger.age(Start + 2s), 2s);
    ledger.peerVersionSeen(1, 4s, Start + 5s);
    EXPECT_EQ(ledger.confirmedAge(Start + 5s), 4s + DocumentLedger::PeerDelayAllowance);
    // An older confirmation does not take back a newer one.
    ledger.peerVersionSeen(1, 60s, Start + 5s);
    EXPECT_EQ(ledger.confirmedAge(Start + 5s), 4s + DocumentLedger::PeerDelayAllowance);
    ledger.tableHeadSeen(1, sha256Hex("one"), Start + 5s);
    EXPECT_EQ(ledger.confirmedAge(Start + 6s), 1s);
    // Neither a newer head nor a table that went back confirms the version in force.
    ledger.tableHeadSeen(2, sha256Hex("two"), Start + 7s);
    ledger.tableHeadSeen(0, "", Start + 7s);
    ledger.peerVersionSeen(3, 0s, Start + 7s);
    EXPECT_EQ(ledger.confirmedAge(Start + 7s), 2s);
    EXPECT_EQ(ledger.newestVersionSeen(), 3);
    ledger.offer(makeOffer(2, "two", DocumentSource::Peer), Start + 8s);
    EXPECT_EQ(ledger.confirmedAge(Start + 8s), std::nullopt);
}

// Guards against two nodes that renew each other's confirmation while the table service is down.
TEST(DocumentLedger, DoesNotRenewAConfirmationBetweenPeers)
{
    constexpr auto Delay = 400ms;
    DocumentLedger a(parseAnything);
    DocumentLedger b(parseAnything);
    a.offer(makeOffer(1, "one"), Start);
    b.offer(makeOffer(1, "one"), Start);
    auto now = Start;
    for (int exchange = 0; exchange < 100; ++exchange) {
        const auto ageOfA = a.confirmedAge(now);
        now += Delay;
        b.peerVersionSeen(1, ageOfA, now);
        const auto ageOfB = b.confirmedAge(now);
        now += Delay;
        a.peerVersionSeen(1, ageOfB, now);
    }
    EXPECT_EQ(*a.confirmedAge(now), now - Start);
}

// Guards against any order of offers and observations that makes a node go back: the version in force never falls, its digest always matches its bytes, and
// each version stands for one text.
RC_GTEST_PROP(DocumentLedger, NeverGoesBack, ())
{
    DocumentLedger ledger(parseAnything);
    std::map<uint64_t, std::string> inForce;
    uint64_t highestIntact = 0;
    auto now = Start;
    const auto steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step) {
        now += std::chrono::milliseconds(*rc::gen::inRange(0, 2000));
        const auto before = ledger.version();
        const auto version = *rc::gen::inRange<uint64_t>(0, 12);
        const auto text = *rc::gen::element<std::string>("a", "b", "bad");
        const auto source = *rc::gen::element(DocumentSource::Table, DocumentSource::Peer, DocumentSource::Cache);
        auto offer = makeOffer(version, text, source);
        const bool damaged = *rc::gen::weightedElement<bool>({{4, false}, {1, true}});
        if (damaged) {
            offer.digest = sha256Hex(text + "x");
        }
        if (*rc::gen::arbitrary<bool>()) {
            ledger.tableHeadSeen(version, offer.digest, now);
        }
        const auto result = ledger.offer(offer, now);
        RC_ASSERT(ledger.version() >= before);
        RC_ASSERT((result == OfferResult::Accepted) == (ledger.version() > before));
        RC_ASSERT((result == OfferResult::Accepted) == (version > before && !damaged && text != "bad"));
        highestIntact = std::max(highestIntact, !damaged && text != "bad" ? version : 0);
        RC_ASSERT(ledger.version() == highestIntact);
        if (ledger.version() > 0) {
            RC_ASSERT(sha256Hex(ledger.bytes()) == ledger.digest());
            RC_ASSERT(ledger.document()->name == ledger.bytes());
            RC_ASSERT(inForce.emplace(ledger.version(), ledger.bytes()).first->second == ledger.bytes());
        }
    }
}

} // namespace Jujube
