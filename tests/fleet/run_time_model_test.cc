#include "basilspring/fleet/run_time_model.h"

#include <gtest/gtest.h>

#include <cmath>
#include <random>

// Predictions of run times for the kinds of callers that the pages of the platform describe.
namespace basilspring::fleet {
namespace {

const QueueId kQueue("q");

struct DrawnJob {
  Duration declared;
  double work_ms = 0;
};

class RunTimeModelTest : public ::testing::Test {
 protected:
  /// Draws a job whose work differs from 2.5 s by a factor of about `spread`, and whose estimate is
  /// wrong by a factor of about `error`, apart from a constant one.
  DrawnJob Draw(double spread, double error) {
    const double work = 2500 * std::exp(normal_(random_) * std::log(spread));
    const double declared = work * constant_factor_ * std::exp(normal_(random_) * std::log(error));
    return {Duration(static_cast<std::int64_t>(declared)), work};
  }
  void ObserveJobs(int jobs, int tasks, double spread, double error, double unevenness) {
    for (int i = 0; i < jobs; ++i) {
      const DrawnJob job = Draw(spread, error);
      for (int k = 0; k < tasks; ++k) {
        const double task = job.work_ms * std::exp(normal_(random_) * std::log(unevenness));
        model_.Observe(kQueue, 0, JobId("j" + std::to_string(next_job_)), job.declared,
                       Duration(static_cast<std::int64_t>(task)));
      }
      ++next_job_;
    }
  }
  /// Returns the root mean square of the logarithm of predicted by true run time.
  double ErrorOf(double spread, double error) {
    constexpr int kJobs = 300;
    double sum = 0;
    for (int i = 0; i < kJobs; ++i) {
      const DrawnJob job = Draw(spread, error);
      const Duration predicted = model_.Predict(kQueue, 0, job.declared);
      const double log = std::log(static_cast<double>(predicted.milliseconds()) / job.work_ms);
      sum += log * log;
    }
    return std::sqrt(sum / kJobs);
  }

  RunTimeModel model_;
  double constant_factor_ = 1.0;
  int next_job_ = 0;
  std::mt19937 random_{20261205};
  std::normal_distribution<double> normal_;
};

TEST_F(RunTimeModelTest, TrustsTheCallerBeforeTheFirstRun) {
  EXPECT_EQ(model_.Predict(kQueue, 0, Duration(1234)), Duration(1234));
  EXPECT_EQ(model_.PredictLongest(kQueue, 0, Duration(1234), 40), Duration(1234));
}

// Guards against giving up good estimates for the mean of all jobs: urgent quotes differ by a
// factor of 1.6, and their callers are off by a factor of 1.15.
TEST_F(RunTimeModelTest, KeepsEstimatesThatAreBetterThanTheMean) {
  constant_factor_ = 0.5;
  ObserveJobs(30, 4, 1.6, 1.15, 1.1);
  EXPECT_LT(ErrorOf(1.6, 1.15), std::log(1.3));
}

// Guards against believing estimates that say nothing: forecasts differ by a factor of 1.3, and
// their callers are off by a factor of 2.
TEST_F(RunTimeModelTest, PrefersTheMeanToEstimatesThatAreWorse) {
  ObserveJobs(30, 4, 1.3, 2.0, 1.1);
  EXPECT_LT(ErrorOf(1.3, 2.0), std::log(1.5));
}

// Guards against deadlines that are set by the mean of a wide step: its longest task decides how
// long the job takes on any fleet.
TEST_F(RunTimeModelTest, TheLongestOfManyTasksTakesLongerThanTheMean) {
  ObserveJobs(30, 8, 1.3, 1.15, 1.3);
  const Duration one = model_.PredictLongest(kQueue, 0, Duration(2500), 1);
  const Duration longest = model_.PredictLongest(kQueue, 0, Duration(2500), 16);
  EXPECT_EQ(one, model_.Predict(kQueue, 0, Duration(2500)));
  // The expected maximum of 16 is 1.77 standard deviations above the mean.
  EXPECT_GT(longest, one * 13 / 10);
  EXPECT_LT(longest, one * 2);
}

// Guards against a rise of the prediction with the number of tasks if all take the same time.
TEST_F(RunTimeModelTest, TasksThatAreAlikeHaveNoLongestOne) {
  ObserveJobs(30, 8, 1.3, 1.15, 1.0);
  EXPECT_LT(model_.PredictLongest(kQueue, 0, Duration(2500), 64),
            model_.Predict(kQueue, 0, Duration(2500)) * 11 / 10);
}

}  // namespace
}  // namespace basilspring::fleet
