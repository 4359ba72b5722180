#pragma once

#include <LibCore/Time.h>
#include <LibRelay/RolloutTypes.h>
#include <LibRelay/TargetTable.h>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Jujube
{

// Decides to which versions of a service's targets this relay sends requests, by the plans that it knows. Pure: the caller passes time and random numbers.
// docs/design/rollout.md, section 4.
class RolloutRouting
{
public:
    struct Options {
        // Without a confirmation of the plan for this time, nothing is sent to a version on trial.
        std::chrono::milliseconds maxPlanAge {2000};
        // Time for which a hold applies without being repeated.
        std::chrono::milliseconds holdTime {2000};
        // Minimum number of trial targets.
        size_t minTrialTargets = 3;
    };

    explicit RolloutRouting(Options options);

    // Takes a plan that was known to be the store's `age` ago. One with a lower row version than the known plan has no effect. Returns whether it changed the
    // plan in force.
    bool setPlan(const RolloutPlan &plan, std::chrono::milliseconds age, MonotonicTime now);
    void setHold(const std::string &service, int64_t planVersion, MonotonicTime now);
    // An order that is known and has no plan yet: its version gets nothing.
    void setOrder(const RolloutOrder &order);
    void removeOrder(const std::string &service);

    // The machine was suspended for this time, which the clock of `now` does not count.
    void onFrozen(std::chrono::nanoseconds suspended);

    // Nothing if the service has no plan.
    const RolloutPlan *plan(const std::string &service) const;
    const std::map<std::string, RolloutPlan> &plans() const;
    // Time since the plan was known to be the store's. The maximum without a plan.
    std::chrono::milliseconds planAge(const std::string &service, MonotonicTime now) const;
    bool isHeld(const std::string &service, MonotonicTime now) const;
    // Version of the plan that this relay follows, for its reports. Zero without a plan, and while a hold makes the relay send to the old version in
    // `switching`: such a relay must not confirm that it sends nothing there.
    int64_t followedPlan(const std::string &service, MonotonicTime now) const;

    // Where the first attempt of a request goes. `draw` is a random number from 0 to 1.
    VersionFilter filterForFirst(const std::string &service, const TargetTable &targets, double draw, MonotonicTime now) const;
    // Where further attempts go, and a first one for which the drawn version has no target.
    VersionFilter filterForRetry(const std::string &service, MonotonicTime now) const;
    // Where a continuation, a copy or a backup of a run on a target of this version may go: to the same version, or to where requests go if that gets none.
    VersionFilter filterForCopy(const std::string &service, const std::string &version, MonotonicTime now) const;
    // Whether the target gets no new work because the service's traffic has moved away from its version.
    bool isSuperseded(const TargetEntry &target) const;
    // Whether a target of this version counts as new in the service's roll-out.
    bool isNewVersion(const std::string &service, const std::string &version) const;

    // Takes the targets of the first complete list, when orders and plans are known: their versions serve, but for those that an order or a plan names.
    void recordFirstTargets(const std::vector<TargetEntry> &entries);
    // Whether an entry may be used, subject to the filters above: its version serves, or all orders up to the version of the entry's row are known and the
    // version is that of an order or plan, or the service's first one.
    bool mayUse(const TargetEntry &entry, int64_t ordersKnownTo);
    // Whether the version is the only one that gets the service's requests outside of a roll-out, and has a usable target.
    bool isServing(const std::string &service, const std::string &version, const TargetTable &targets, MonotonicTime now) const;

    // Slots of the usable targets of a service.
    struct Capacity {
        int64_t warmNew = 0;
        int64_t usableNew = 0;
        // Of the versions that serve without a roll-out.
        int64_t usableOld = 0;
    };
    Capacity capacity(const std::string &service, const std::string &to, const TargetTable &targets, MonotonicTime now) const;

    // The targets that get the requests of a trial: the first ones, by rendezvous hashing, of those that are usable and not excluded, warm ones first.
    std::vector<std::string> trialTargets(const RolloutPlan &plan, const TargetTable &targets, MonotonicTime now) const;
    // Takes a target out of the trials of its service, because it alone shows a fault.
    void excludeFromTrial(const std::string &target);

private:
    struct State {
        MonotonicTime confirmedAt;
        std::optional<RolloutOrder> order;
        MonotonicTime heldUntil;
        // Version of the plan to which the hold applies.
        int64_t heldPlan = 0;
        // Versions that get the service's requests outside of a roll-out.
        absl::flat_hash_set<std::string> serving;
        // Versions that an order or a plan has named. They get requests only as far as a plan says so, unless they serve.
        absl::flat_hash_set<std::string> named;
        // Whether a whole roll-out may have been missed, so that further versions may serve.
        bool isServingUncertain = false;

        bool isExcluded(const std::string &version) const;
        bool mayServe(const std::string &version) const;
    };

    const State *state(const std::string &service) const;
    // The order if it has no plan yet.
    const RolloutOrder *pendingOrder(const std::string &service) const;
    // `previous` is the plan known so far, if any.
    void updateServing(State &state, const RolloutPlan *previous, const RolloutPlan &plan, MonotonicTime now) const;
    bool isTrialOpen(const RolloutPlan &plan, MonotonicTime now) const;
    bool isOnNewVersion(const RolloutPlan &plan, MonotonicTime now) const;

    const Options m_options;
    std::map<std::string, RolloutPlan> m_plans;
    std::map<std::string, State> m_states;
    absl::flat_hash_set<std::string> m_excluded;
};

} // namespace Jujube
