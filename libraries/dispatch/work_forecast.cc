// Rates over a sliding window.
#include "libraries/dispatch/work_forecast.h"

#include <algorithm>

namespace balsam::dispatch {
namespace {

using std::chrono::milliseconds;

// A plain request takes milliseconds once it has room, so it may wait for as
// long as its objective.
constexpr double kPlainObjectivesWaited = 1.0;
// Whoever waits takes each place that comes free, so long lines at many
// gateways leave no room for live runs that must move, and most of what leaves
// the lines begins late. This much still bridges until the next few runs of a
// fleet end.
constexpr double kGenerationObjectivesWaited = 0.15;
constexpr double kShareOfTimeLeft = 0.3;

}  // namespace

void WorkForecast::DropOld(BootTime now) {
  while (!done_.empty() && now - done_.front().first > kWindow) {
    total_ -= done_.front().second;
    done_.pop_front();
  }
}

void WorkForecast::OnDone(std::int64_t work, BootTime now) {
  DropOld(now);
  done_.emplace_back(now, work);
  total_ += work;
}

milliseconds WorkForecast::TimeUntil(std::int64_t work, BootTime now) {
  DropOld(now);
  if (total_ <= 0) return kWindow;
  const double windows =
      static_cast<double>(work) / static_cast<double>(total_);
  return std::chrono::duration_cast<milliseconds>(kWindow * windows);
}

milliseconds LongestWait(WorkKind kind, milliseconds objective,
                         milliseconds time_left) {
  const double objectives = kind == WorkKind::kGeneration
                                ? kGenerationObjectivesWaited
                                : kPlainObjectivesWaited;
  return std::chrono::duration_cast<milliseconds>(
      std::min(objective * objectives, time_left * kShareOfTimeLeft));
}

}  // namespace balsam::dispatch
