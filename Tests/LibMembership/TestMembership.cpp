#include <gtest/gtest.h>
#include <LibMembership/Membership.h>

namespace Jujube
{

namespace
{

using namespace std::chrono_literals;

Membership::Options optionsFor(const std::string &name, const std::string &key, std::vector<std::string> seeds)
{
    MembershipTuning tuning;
    tuning.round = 20ms;
    // With timeouts this long, a member becomes gone only by its own notice that it exits.
    tuning.watchTimeout = 1h;
    tuning.staleTimeoutBase = 1h;
    return {.self = {.name = name, .dataCentre = "lahore", .region = "punjab", .address = "127.0.0.1:1", .gossipAddress = "", .incarnation = 1},
            .listen = "127.0.0.1:0",
            .seeds = std::move(seeds),
            .clusterKey = key,
            .tuning = tuning};
}

// Waits without a timeout of its own; that of the test program applies.
void waitFor(const std::function<bool()> &condition)
{
    while (!condition()) {
        std::this_thread::sleep_for(5ms);
    }
}

} // namespace

// Guards against members that do not find each other through one seed, and against an exit that is noticed only by missing heartbeats.
TEST(Membership, FindsPeersThroughASeedAndNoticesAnExit)
{
    auto first = *Membership::start(optionsFor("a", "key", {}));
    std::atomic<int64_t> offered = 0;
    auto options = optionsFor("b", "key", {first->gossipAddress()});
    options.hooks.onDocumentOffered = [&offered](int64_t version, const Member &) { offered = version; };
    auto second = *Membership::start(std::move(options));
    auto third = *Membership::start(optionsFor("c", "key", {first->gossipAddress()}));
    first->setOwnState({.openStreams = 3, .documentVersion = 7});
    waitFor([&] { return second->liveMembers(monotonicNow()).size() == 2 && third->liveMembers(monotonicNow()).size() == 2; });
    waitFor([&] { return offered == 7; });
    third.reset();
    waitFor([&] {
        const auto members = second->members(monotonicNow());
        return std::any_of(
            members.begin(), members.end(), [](const Member &member) { return member.identity.name == "c" && member.state == MemberState::Gone; });
    });
}

// Guards against members of another cluster, or anyone else on the network, entering the view.
TEST(Membership, IgnoresDatagramsSignedWithAnotherKey)
{
    auto first = *Membership::start(optionsFor("a", "key", {}));
    auto foreign = *Membership::start(optionsFor("x", "other key", {first->gossipAddress()}));
    waitFor([&] { return first->rejectedDatagrams() >= 3; });
    EXPECT_TRUE(first->members(monotonicNow()).empty());
}

} // namespace Jujube
