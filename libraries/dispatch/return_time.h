// When a client whose request is refused should come back.
#pragma once

#include <chrono>

namespace balsam::dispatch {

// `expected`: how long until there is room, by forecast. `objective`: the time
// from a client's first attempt within which its answer is to begin.
// `time_left`: until its deadline. `spread`: of those that are refused
// together, where this one comes, from 0 to 1. Whoever can still be on time is
// asked to come back early enough for that, since room may come free at any
// moment and a late answer is worth little; others are told the forecast.
std::chrono::milliseconds TimeToReturn(std::chrono::milliseconds expected,
                                       std::chrono::milliseconds objective,
                                       std::chrono::milliseconds time_left,
                                       double spread);

}  // namespace balsam::dispatch
