#include <LibRelay/RolloutRouting.h>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <tuple>
#include <xxhash.h>

namespace Jujube
{

namespace
{

bool contains(const std::vector<std::string> &versions, const std::string &version)
{
    return std::find(versions.begin(), versions.end(), version) != versions.end();
}

// Whether the plan's version serves without having to prove itself any more.
bool isSettled(const RolloutPlan &plan)
{
    return plan.stage == RolloutStage::Completed || (plan.stage == RolloutStage::Switching && !plan.hasTrial());
}

uint64_t rendezvousWeight(const std::string &service, const std::string &target)
{
    const auto seed = XXH3_64bits(service.data(), service.size());
    return XXH3_64bits_withSeed(target.data(), target.size(), seed);
}

} // namespace

RolloutRouting::RolloutRouting(Options options)
    : m_options(options)
{
}

bool RolloutRouting::State::isExcluded(const std::string &version) const
{
    return named.contains(version) && !serving.contains(version);
}

bool RolloutRouting::State::mayServe(const std::string &version) const
{
    return !isExcluded(version) && (isServingUncertain || serving.empty() || serving.contains(version));
}

bool RolloutRouting::setPlan(const RolloutPlan &plan, std::chrono::milliseconds age, MonotonicTime now)
{
    const auto *known = this->plan(plan.service);
    if (known && plan.version < known->version) {
        return false;
    }
    auto &state = m_states[plan.service];
    if (known && plan.version == known->version) {
        state.confirmedAt = std::max(state.confirmedAt, now - age);
        return false;
    }
    updateServing(state, known, plan, now);
    state.confirmedAt = now - age;
    m_plans[plan.service] = plan;
    return true;
}

void RolloutRouting::updateServing(State &state, const RolloutPlan *previous, const RolloutPlan &plan, MonotonicTime now) const
{
    const bool isNewOrder = previous && plan.order > previous->order;
    if (isNewOrder && now - state.confirmedAt > m_options.maxPlanAge) {
        // Whole roll-outs may have been missed, and their versions may serve now.
        state.isServingUncertain = true;
        state.named.clear();
    } else if (isNewOrder && previous->to != plan.to && !contains(plan.rejected, previous->to)) {
        // The coordinator rejects the version of a roll-out that has not been completed.
        state.serving = {previous->to};
    }
    state.named.insert(plan.to);
    state.named.insert(plan.rejected.begin(), plan.rejected.end());
    if (isSettled(plan)) {
        state.serving = {plan.to};
        state.isServingUncertain = false;
        return;
    }
    absl::erase_if(state.serving, [&](const std::string &version) { return version == plan.to || contains(plan.rejected, version); });
}

void RolloutRouting::setHold(const std::string &service, int64_t planVersion, MonotonicTime now)
{
    auto &state = m_states[service];
    state.heldUntil = now + m_options.holdTime;
    state.heldPlan = std::max(state.heldPlan, planVersion);
}

void RolloutRouting::setOrder(const RolloutOrder &order)
{
    auto &state = m_states[order.service];
    if (!state.order || order.version >= state.order->version) {
        state.order = order;
        state.named.insert(order.to);
    }
}

void RolloutRouting::removeOrder(const std::string &service)
{
    const auto found = m_states.find(service);
    if (found != m_states.end()) {
        found->second.order.reset();
    }
}

void RolloutRouting::onFrozen(std::chrono::nanoseconds suspended)
{
    for (auto &[service, state] : m_states) {
        state.confirmedAt -= suspended;
    }
}

const RolloutRouting::State *RolloutRouting::state(const std::string &service) const
{
    const auto found = m_states.find(service);
    return found == m_states.end() ? nullptr : &found->second;
}

const RolloutPlan *RolloutRouting::plan(const std::string &service) const
{
    const auto found = m_plans.find(service);
    return found == m_plans.end() ? nullptr : &found->second;
}

const std::map<std::string, RolloutPlan> &RolloutRouting::plans() const
{
    return m_plans;
}

std::chrono::milliseconds RolloutRouting::planAge(const std::string &service, MonotonicTime now) const
{
    if (!plan(service)) {
        return std::chrono::milliseconds::max();
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - state(service)->confirmedAt);
}

bool RolloutRouting::isHeld(const std::string &service, MonotonicTime now) const
{
    const auto *state = this->state(service);
    const auto *plan = this->plan(service);
    return state && now < state->heldUntil && (!plan || plan->version <= state->heldPlan);
}

int64_t RolloutRouting::followedPlan(const std::string &service, MonotonicTime now) const
{
    const auto *plan = this->plan(service);
    if (!plan) {
        return 0;
    }
    return plan->stage == RolloutStage::Switching && isHeld(service, now) ? 0 : plan->version;
}

const RolloutOrder *RolloutRouting::pendingOrder(const std::string &service) const
{
    const auto *state = this->state(service);
    if (!state || !state->order) {
        return nullptr;
    }
    const auto *plan = this->plan(service);
    return !plan || state->order->version > plan->order ? &*state->order : nullptr;
}

bool RolloutRouting::isTrialOpen(const RolloutPlan &plan, MonotonicTime now) const
{
    if (plan.stage != RolloutStage::Trial || isHeld(plan.service, now) || planAge(plan.service, now) > m_options.maxPlanAge) {
        return false;
    }
    const auto *order = pendingOrder(plan.service);
    return !order || order->to == plan.to;
}

bool RolloutRouting::isOnNewVersion(const RolloutPlan &plan, MonotonicTime now) const
{
    // A pending order to another version has no effect here: another relay may be writing at this moment that nothing goes to the old version any more.
    return Jujube::isOnNewVersion(plan.stage) && !(plan.stage == RolloutStage::Switching && isHeld(plan.service, now));
}

VersionFilter RolloutRouting::filterForRetry(const std::string &service, MonotonicTime now) const
{
    const auto *plan = this->plan(service);
    if (plan && isOnNewVersion(*plan, now)) {
        return {.kind = VersionFilter::Kind::Only, .versions = {plan->to}};
    }
    VersionFilter filter;
    if (const auto *state = this->state(service)) {
        std::copy_if(state->named.begin(), state->named.end(), std::back_inserter(filter.versions), [&](const auto &name) { return state->isExcluded(name); });
    }
    filter.kind = filter.versions.empty() ? VersionFilter::Kind::Any : VersionFilter::Kind::Except;
    return filter;
}

VersionFilter RolloutRouting::filterForFirst(const std::string &service, const TargetTable &targets, double draw, MonotonicTime now) const
{
    const auto *plan = this->plan(service);
    if (!plan || !isTrialOpen(*plan, now) || draw >= plan->share) {
        return filterForRetry(service, now);
    }
    const auto chosen = trialTargets(*plan, targets, now);
    if (chosen.empty()) {
        return filterForRetry(service, now);
    }
    return {.kind = VersionFilter::Kind::Only,
            .versions = {plan->to},
            .targets = std::make_shared<const absl::flat_hash_set<std::string>>(chosen.begin(), chosen.end())};
}

VersionFilter RolloutRouting::filterForCopy(const std::string &service, const std::string &version, MonotonicTime now) const
{
    const auto *plan = this->plan(service);
    auto filter = filterForRetry(service, now);
    const bool isOnTrial = plan && plan->stage == RolloutStage::Trial && version == plan->to;
    if (filter.kind == VersionFilter::Kind::Any || (!isOnTrial && !filter.allows({}, version))) {
        return filter;
    }
    return {.kind = VersionFilter::Kind::Only, .versions = {version}};
}

bool RolloutRouting::isSuperseded(const TargetEntry &target) const
{
    const auto *plan = this->plan(target.service);
    if (!plan) {
        return false;
    }
    const bool isNew = target.softwareVersion == plan->to;
    if (Jujube::isOnNewVersion(plan->stage)) {
        return !isNew;
    }
    return (isNew && plan->stage != RolloutStage::Trial) || contains(plan->rejected, target.softwareVersion);
}

bool RolloutRouting::isNewVersion(const std::string &service, const std::string &version) const
{
    const auto *plan = this->plan(service);
    return plan && plan->to == version;
}

void RolloutRouting::recordFirstTargets(const std::vector<TargetEntry> &entries)
{
    for (const auto &entry : entries) {
        auto &state = m_states[entry.service];
        const auto *plan = this->plan(entry.service);
        if (!state.named.contains(entry.softwareVersion) && !(plan && isSettled(*plan))) {
            state.serving.insert(entry.softwareVersion);
        }
    }
}

bool RolloutRouting::mayUse(const TargetEntry &entry, int64_t ordersKnownTo)
{
    auto &state = m_states[entry.service];
    if (state.serving.contains(entry.softwareVersion)) {
        return true;
    }
    if (ordersKnownTo < entry.version) {
        return false;
    }
    if (state.named.contains(entry.softwareVersion)) {
        return true;
    }
    if (!state.mayServe(entry.softwareVersion)) {
        return false;
    }
    state.serving.insert(entry.softwareVersion);
    return true;
}

bool RolloutRouting::isServing(const std::string &service, const std::string &version, const TargetTable &targets, MonotonicTime now) const
{
    const auto *state = this->state(service);
    if (!state || !state->serving.contains(version)) {
        return false;
    }
    const auto slots = capacity(service, version, targets, now);
    return slots.usableNew > 0 && slots.usableOld == 0;
}

RolloutRouting::Capacity RolloutRouting::capacity(const std::string &service, const std::string &to, const TargetTable &targets, MonotonicTime now) const
{
    Capacity result;
    const auto *state = this->state(service);
    for (const auto *target : targets.ofService(service)) {
        const auto &version = target->entry.softwareVersion;
        if (!targets.isUsable(*target, now)) {
            continue;
        }
        if (version == to) {
            result.usableNew += target->entry.slots;
            result.warmNew += now >= target->coldUntil ? target->entry.slots : 0;
        } else if (!state || state->mayServe(version)) {
            result.usableOld += target->entry.slots;
        }
    }
    return result;
}

std::vector<std::string> RolloutRouting::trialTargets(const RolloutPlan &plan, const TargetTable &targets, MonotonicTime now) const
{
    struct Candidate {
        bool isCold = false;
        uint64_t weight = 0;
        const std::string *id = nullptr;
    };
    std::vector<Candidate> candidates;
    size_t old = 0;
    const auto *state = this->state(plan.service);
    for (const auto *target : targets.ofService(plan.service)) {
        const auto &entry = target->entry;
        if (!targets.isUsable(*target, now)) {
            continue;
        }
        if (entry.softwareVersion != plan.to) {
            old += !state || state->mayServe(entry.softwareVersion) ? 1 : 0;
        } else if (!m_excluded.contains(entry.id)) {
            candidates.push_back({.isCold = now < target->coldUntil, .weight = rendezvousWeight(plan.service, entry.id), .id = &entry.id});
        }
    }
    std::sort(candidates.begin(), candidates.end(), [](const Candidate &left, const Candidate &right) {
        return std::tie(left.isCold, right.weight, *left.id) < std::tie(right.isCold, left.weight, *right.id);
    });
    const auto wanted = std::max(m_options.minTrialTargets, static_cast<size_t>(std::ceil(plan.share * static_cast<double>(old))));
    std::vector<std::string> result;
    for (size_t index = 0; index < std::min(wanted, candidates.size()); ++index) {
        result.push_back(*candidates[index].id);
    }
    return result;
}

void RolloutRouting::excludeFromTrial(const std::string &target)
{
    m_excluded.insert(target);
}

} // namespace Jujube
