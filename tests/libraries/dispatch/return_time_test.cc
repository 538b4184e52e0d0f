// When refused clients come back, and what becomes of them under load.
#include "libraries/dispatch/return_time.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <queue>
#include <random>
#include <vector>

namespace balsam::dispatch {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kObjective{1800};
constexpr milliseconds kTimeLeft{39000};

TEST(TimeToReturnTest, WhoCanStillBeOnTimeComesBackEarly) {
  EXPECT_EQ(TimeToReturn(milliseconds(800), kObjective, kTimeLeft, 0.0),
            milliseconds(450));
  EXPECT_EQ(TimeToReturn(milliseconds(800), kObjective, kTimeLeft, 1.0),
            milliseconds(675));
}

TEST(TimeToReturnTest, TheForecastHoldsWhereItIsShorterOrBeyondTheObjective) {
  EXPECT_EQ(TimeToReturn(milliseconds(200), kObjective, kTimeLeft, 0.0),
            milliseconds(200));
  EXPECT_EQ(TimeToReturn(milliseconds(4000), kObjective, kTimeLeft, 0.0),
            milliseconds(4000));
}

TEST(TimeToReturnTest, IsNeitherZeroNorBeyondWhatClientsHeed) {
  EXPECT_EQ(TimeToReturn(milliseconds(0), kObjective, kTimeLeft, 0.0),
            milliseconds(50));
  // Of a plain service.
  EXPECT_EQ(
      TimeToReturn(milliseconds(90), milliseconds(150), milliseconds(1500), 0),
      milliseconds(50));
  EXPECT_EQ(
      TimeToReturn(milliseconds(4000), kObjective, milliseconds(1000), 1.0),
      milliseconds(300));
}

// The pattern: a fleet that is full most of the time, of which a few runs end
// in each tenth of a second. Clients come back once.
class FullFleet {
 public:
  using WaitOf =
      std::function<milliseconds(milliseconds expected, double spread)>;

  // The share of those that came back which began on time.
  static double OnTimeOfReturned(const WaitOf& wait_of) {
    constexpr std::size_t kPlaces = 190;
    constexpr double kArrivalsPerSecond = 27.0;
    constexpr milliseconds kDay{120000};
    // Whoever is refused is told this; the fleet frees a place sooner.
    constexpr milliseconds kForecast{850};
    std::mt19937 random(5);
    // All in milliseconds: runs of 7.5 s on average, which fill some 200
    // places, and first events after 600 ms.
    std::exponential_distribution<double> pause(kArrivalsPerSecond / 1000.0);
    std::lognormal_distribution<double> run(8.75, 0.6);
    std::gamma_distribution<double> start(4.0, 150.0);
    std::uniform_real_distribution<double> spread(0.0, 1.0);

    struct Arrival {
      double at;
      double first;
      bool operator>(const Arrival& other) const { return at > other.at; }
    };
    std::priority_queue<Arrival, std::vector<Arrival>, std::greater<>> arrivals;
    for (double at = 0; at < static_cast<double>(kDay.count());) {
      at += pause(random);
      arrivals.push({at, at});
    }
    std::priority_queue<double, std::vector<double>, std::greater<>> ends;
    int returned = 0;
    int on_time = 0;
    while (!arrivals.empty()) {
      const Arrival arrival = arrivals.top();
      arrivals.pop();
      while (!ends.empty() && ends.top() <= arrival.at) ends.pop();
      const bool is_return = arrival.at > arrival.first;
      if (is_return) ++returned;
      const double begins = start(random);
      const double lasts = run(random);
      if (ends.size() < kPlaces) {
        ends.push(arrival.at + lasts);
        const bool in_time = arrival.at + begins - arrival.first <=
                             static_cast<double>(kObjective.count());
        if (is_return && in_time) ++on_time;
      } else if (!is_return) {
        const milliseconds wait = wait_of(kForecast, spread(random));
        arrivals.push(
            {arrival.at + static_cast<double>(wait.count()), arrival.first});
      }
    }
    return static_cast<double>(on_time) / std::max(returned, 1);
  }
};

TEST(TimeToReturnTest, OfAFullFleetMoreBeginOnTimeThanByTheForecastAlone) {
  const double by_forecast =
      FullFleet::OnTimeOfReturned([](milliseconds expected, double spread) {
        return std::chrono::duration_cast<milliseconds>(expected *
                                                        (1.0 + spread / 2));
      });
  const double by_objective =
      FullFleet::OnTimeOfReturned([](milliseconds expected, double spread) {
        return TimeToReturn(expected, kObjective, kTimeLeft, spread);
      });
  EXPECT_GT(by_objective, 1.2 * by_forecast);
}

}  // namespace
}  // namespace balsam::dispatch
