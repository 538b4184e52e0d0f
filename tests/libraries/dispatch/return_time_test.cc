// Retry-After delays of refused clients and their effect under load.
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <queue>
#include <random>
#include <vector>

#include "libraries/dispatch/retry_after_delay.h"

namespace balsam::dispatch {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kObjective{1800};
constexpr milliseconds kTimeLeft{39000};

TEST(RetryAfterDelayTest, ClientsThatCanBeOnTimeRetryEarly) {
  EXPECT_EQ(RetryAfterDelay(milliseconds(800), kObjective, kTimeLeft, 0.0),
            milliseconds(450));
  EXPECT_EQ(RetryAfterDelay(milliseconds(800), kObjective, kTimeLeft, 1.0),
            milliseconds(675));
}

TEST(RetryAfterDelayTest, EstimateIsUsedIfShortOrBeyondTheObjective) {
  EXPECT_EQ(RetryAfterDelay(milliseconds(200), kObjective, kTimeLeft, 0.0),
            milliseconds(200));
  EXPECT_EQ(RetryAfterDelay(milliseconds(4000), kObjective, kTimeLeft, 0.0),
            milliseconds(4000));
}

TEST(RetryAfterDelayTest, IsBoundedByTheMinimumAndTheTimeLeft) {
  EXPECT_EQ(RetryAfterDelay(milliseconds(0), kObjective, kTimeLeft, 0.0),
            milliseconds(50));
  // A plain service.
  EXPECT_EQ(RetryAfterDelay(milliseconds(90), milliseconds(150),
                            milliseconds(1500), 0),
            milliseconds(50));
  EXPECT_EQ(
      RetryAfterDelay(milliseconds(4000), kObjective, milliseconds(1000), 1.0),
      milliseconds(300));
}

// A simulated fleet that is full most of the time and in which a few runs end
// every tenth of a second. Refused clients retry once.
class SaturatedFleet {
 public:
  using DelayFunction =
      std::function<milliseconds(milliseconds expected_wait, double jitter)>;

  // Returns the share of retries that started on time.
  static double OnTimeShareOfRetries(const DelayFunction& delay_for) {
    constexpr std::size_t kSlots = 190;
    constexpr double kArrivalsPerSecond = 27.0;
    constexpr milliseconds kDuration{120000};
    // The estimate given for refused requests; slots are freed sooner.
    constexpr milliseconds kEstimatedWait{850};
    std::mt19937 random(5);
    // In milliseconds: runs of 7.5 s on average, which fill about 200 slots,
    // and first events after 600 ms.
    std::exponential_distribution<double> arrival_gap(kArrivalsPerSecond /
                                                      1000.0);
    std::lognormal_distribution<double> run_time(8.75, 0.6);
    std::gamma_distribution<double> first_event_delay(4.0, 150.0);
    std::uniform_real_distribution<double> jitter(0.0, 1.0);

    struct Arrival {
      double at;
      double first;
      bool operator>(const Arrival& other) const { return at > other.at; }
    };
    std::priority_queue<Arrival, std::vector<Arrival>, std::greater<>> arrivals;
    for (double at = 0; at < static_cast<double>(kDuration.count());) {
      at += arrival_gap(random);
      arrivals.push({at, at});
    }
    std::priority_queue<double, std::vector<double>, std::greater<>> run_ends;
    int retries = 0;
    int on_time = 0;
    while (!arrivals.empty()) {
      const Arrival arrival = arrivals.top();
      arrivals.pop();
      while (!run_ends.empty() && run_ends.top() <= arrival.at) run_ends.pop();
      const bool is_retry = arrival.at > arrival.first;
      if (is_retry) ++retries;
      const double first_event_after = first_event_delay(random);
      const double runs_for = run_time(random);
      if (run_ends.size() < kSlots) {
        run_ends.push(arrival.at + runs_for);
        const bool is_on_time =
            arrival.at + first_event_after - arrival.first <=
            static_cast<double>(kObjective.count());
        if (is_retry && is_on_time) ++on_time;
      } else if (!is_retry) {
        const milliseconds delay = delay_for(kEstimatedWait, jitter(random));
        arrivals.push(
            {arrival.at + static_cast<double>(delay.count()), arrival.first});
      }
    }
    return static_cast<double>(on_time) / std::max(retries, 1);
  }
};

TEST(RetryAfterDelayTest, MoreRetriesAreOnTimeThanWithTheEstimateAlone) {
  const double with_estimate = SaturatedFleet::OnTimeShareOfRetries(
      [](milliseconds expected_wait, double jitter) {
        return std::chrono::duration_cast<milliseconds>(expected_wait *
                                                        (1.0 + jitter / 2));
      });
  const double with_objective = SaturatedFleet::OnTimeShareOfRetries(
      [](milliseconds expected_wait, double jitter) {
        return RetryAfterDelay(expected_wait, kObjective, kTimeLeft, jitter);
      });
  EXPECT_GT(with_objective, 1.2 * with_estimate);
}

}  // namespace
}  // namespace balsam::dispatch
