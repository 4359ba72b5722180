#include <Load/ArrivalPlan.h>

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <cmath>
#include <random>

namespace Jujube
{

namespace
{

using Generator = std::mt19937_64;

constexpr double MicrosecondsPerSecond = 1e6;

// The standard library's distributions are not specified exactly, so the same seed could give other loads elsewhere.
double uniform(Generator &generator)
{
    constexpr int MantissaShift = 11;
    return (static_cast<double>(generator() >> MantissaShift) + 0.5) * 0x1.0p-53;
}

double normal(Generator &generator)
{
    constexpr double FullTurn = 6.283185307179586;
    const auto radius = std::sqrt(-2 * std::log(uniform(generator)));
    return radius * std::cos(FullTurn * uniform(generator));
}

template<typename T>
size_t chooseByShare(const std::vector<T> &entries, Generator &generator)
{
    double total = 0;
    for (const auto &entry : entries) {
        total += entry.share;
    }
    double rest = uniform(generator) * total;
    for (size_t i = 0; i < entries.size(); ++i) {
        rest -= entries[i].share;
        if (rest < 0) {
            return i;
        }
    }
    return entries.size() - 1;
}

int64_t drawLength(const ScenarioClass &entry, Generator &generator)
{
    const auto length = entry.medianLength * std::exp(entry.lengthSigma * normal(generator));
    return std::clamp<int64_t>(static_cast<int64_t>(length), 1, entry.maxTokens);
}

// The mean length of a generation, by sampling, because the lengths are cut at the maximum.
double meanLength(const Scenario &scenario)
{
    constexpr int Samples = 20000;
    Generator generator(1);
    double sum = 0;
    for (int i = 0; i < Samples; ++i) {
        sum += static_cast<double>(drawLength(scenario.classes[chooseByShare(scenario.classes, generator)], generator));
    }
    return sum / Samples;
}

double rateFactor(const Scenario &scenario, double atMicroseconds)
{
    double factor = 1;
    for (const auto &burst : scenario.bursts) {
        const std::chrono::duration<double, std::micro> begin = burst.at;
        const std::chrono::duration<double, std::micro> end = burst.at + burst.duration;
        if (atMicroseconds >= begin.count() && atMicroseconds < end.count()) {
            factor *= burst.factor;
        }
    }
    return factor;
}

std::string fillText(size_t bytes, std::string_view words)
{
    std::string text;
    while (text.size() + words.size() <= bytes) {
        text += words;
    }
    return text;
}

std::string makePrompt(const Scenario &scenario, const Arrival &arrival)
{
    const auto &entry = scenario.classes[arrival.classIndex];
    auto prompt = fillText(entry.sharedPromptBytes, absl::StrCat("Write for ", scenario.workspaces[arrival.workspace].name, " in ગુજરાતી and English. "));
    absl::StrAppend(&prompt, "Request ", arrival.number, " length=", arrival.length, ". ");
    prompt += fillText(entry.ownPromptBytes, absl::StrCat("Detail ", arrival.number, " in blue and gold. "));
    return prompt;
}

} // namespace

std::vector<Arrival> planArrivals(const Scenario &scenario, uint64_t seed)
{
    const double perMicrosecond = scenario.loadFactor * scenario.capacityTokensPerSecond / meanLength(scenario) / MicrosecondsPerSecond;
    const std::chrono::duration<double, std::micro> duration = scenario.duration;
    double largestFactor = 1;
    for (const auto &burst : scenario.bursts) {
        largestFactor *= std::max(1.0, burst.factor);
    }
    Generator generator(seed);
    std::vector<Arrival> arrivals;
    // A Poisson process at the largest rate, thinned to the rate of the moment.
    for (double at = 0;;) {
        at -= std::log(uniform(generator)) / (perMicrosecond * largestFactor);
        if (at >= duration.count()) {
            return arrivals;
        }
        if (uniform(generator) * largestFactor > rateFactor(scenario, at)) {
            continue;
        }
        Arrival arrival {.at = std::chrono::microseconds(static_cast<int64_t>(at)), .number = arrivals.size()};
        arrival.workspace = chooseByShare(scenario.workspaces, generator);
        arrival.classIndex = chooseByShare(scenario.classes, generator);
        arrival.length = drawLength(scenario.classes[arrival.classIndex], generator);
        arrival.prompt = makePrompt(scenario, arrival);
        arrivals.push_back(std::move(arrival));
    }
}

} // namespace Jujube
