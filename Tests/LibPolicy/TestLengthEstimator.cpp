#include <gtest/gtest.h>
#include <LibPolicy/LengthEstimator.h>
#include <LibPolicy/SplitMix.h>
#include <random>

namespace Jujube
{

namespace
{

using namespace std::chrono_literals;

constexpr MonotonicTime Start {1000s};
constexpr size_t Step1024 = 6;
static_assert(ForecastSteps[Step1024] == 1024);

const LengthKey Draft {.model = "m", .workspace = "w", .kind = GenerationKind::Draft};
const LengthKey OtherDraft {.model = "m", .workspace = "other", .kind = GenerationKind::Draft};
const LengthKey Suggestion {.model = "m", .workspace = "w", .kind = GenerationKind::Suggestion};

void observe(LengthEstimator &estimator, const LengthKey &key, int64_t tokens, int count, MonotonicTime now = Start)
{
    for (int i = 0; i < count; ++i) {
        estimator.addFinished(key, tokens, now);
    }
}

} // namespace

// Guards against an estimate that ignores the tokens already produced. If generations are either short or very long, one that has passed the short length will
// be very long.
TEST(LengthEstimator, IsConditionalOnTheTokensAlreadyProduced)
{
    LengthEstimator estimator {{}};
    for (int i = 0; i < 500; ++i) {
        observe(estimator, Draft, i % 10 == 0 ? 5000 : 100, 1);
    }
    EXPECT_LT(estimator.survival(Draft, 0, 0, Start)[Step1024], 0.2);
    EXPECT_GT(estimator.survival(Draft, 300, 0, Start)[Step1024], 0.6);
}

// Guards against one distribution for all workspaces or kinds, and against using the prior for a new workspace although there are observations of its kind.
TEST(LengthEstimator, FallsBackFromWorkspaceToKindToPrior)
{
    LengthEstimator estimator {{}};
    const double prior = estimator.survival(Draft, 0, 0, Start)[Step1024];
    observe(estimator, Draft, 3000, 500);
    EXPECT_GT(estimator.survival(Draft, 0, 0, Start)[Step1024], 0.9);
    EXPECT_GT(estimator.survival(OtherDraft, 0, 0, Start)[Step1024], 0.8);
    observe(estimator, OtherDraft, 50, 500);
    EXPECT_LT(estimator.survival(OtherDraft, 0, 0, Start)[Step1024], 0.1);
    observe(estimator, Suggestion, 20, 500);
    EXPECT_LT(estimator.survival(Suggestion, 0, 0, Start)[Step1024], 0.1);
    EXPECT_GT(estimator.survival(Draft, 0, 0, Start)[Step1024], 0.8);
    const LengthKey unknown {.model = "unknown", .workspace = "w", .kind = GenerationKind::Draft};
    EXPECT_DOUBLE_EQ(estimator.survival(unknown, 0, 0, Start)[Step1024], prior);
}

// Guards against forecasts that still follow old lengths after the workload has changed.
TEST(LengthEstimator, DiscountsOldData)
{
    LengthEstimator estimator {{.halfLife = 600s}};
    observe(estimator, Draft, 3000, 1000);
    observe(estimator, Draft, 50, 300, Start + 2h);
    EXPECT_LT(estimator.survival(Draft, 0, 0, Start + 2h)[Step1024], 0.15);
}

// Guards against underestimated lengths because cancelled generations are left out.
TEST(LengthEstimator, CensoredGenerationsCountAsLonger)
{
    LengthEstimator without {{}};
    LengthEstimator with {{}};
    for (int i = 0; i < 200; ++i) {
        for (auto *estimator : {&without, &with}) {
            estimator->addFinished(Draft, i % 2 == 0 ? 100 : 3000, Start);
        }
        // Callers that cancel do so during the long generations.
        with.addCensored(Draft, 1000, Start);
    }
    EXPECT_GT(with.survival(Draft, 0, 0, Start)[Step1024], without.survival(Draft, 0, 0, Start)[Step1024] + 0.1);
}

// Guards against a forecast that ignores the maximum length of the request.
TEST(LengthEstimator, MaxTokensBoundsTheLength)
{
    LengthEstimator estimator {{}};
    observe(estimator, Draft, 3000, 500);
    EXPECT_EQ(estimator.survival(Draft, 10, 512, Start)[Step1024], 0);
    EXPECT_GT(estimator.survival(Draft, 10, 512, Start)[2], 0.9);
}

// Guards against a wrong residual distribution: for memoryless lengths, the remaining length of a running generation is distributed like the length of a new
// one.
TEST(LengthEstimator, ResidualLifeOfMemorylessLengthsIsTheSameDistribution)
{
    LengthEstimator estimator {{.maxObservations = 100000}};
    std::mt19937_64 random(3);
    std::exponential_distribution<double> lengths(1.0 / 600);
    for (int i = 0; i < 20000; ++i) {
        observe(estimator, Draft, 1 + static_cast<int64_t>(lengths(random)), 1);
    }
    const auto residual = estimator.residualSurvival("m", Start);
    for (size_t step = 0; step < ForecastStepCount; ++step) {
        EXPECT_NEAR(residual[step], std::exp(-ForecastSteps[step] / 600), 0.05) << ForecastSteps[step];
    }
    EXPECT_NEAR(estimator.meanLength("m", Start), 600, 30);
}

} // namespace Jujube
