// The record of a case: what was sent, answered and run, with the time since
// the start. All threads write to it.
#pragma once

#include <cstdio>
#include <fstream>
#include <iostream>
#include <mutex>
#include <string>

#include "net.h"

namespace standin {

class Record {
 public:
  explicit Record(const std::string& path) : file_(path) {}

  void Line(const std::string& text) {
    const std::scoped_lock lock(mutex_);
    char time[32];
    std::snprintf(time, sizeof(time), "%8.3f ",
                  std::chrono::duration<double>(Clock::now() - start_).count());
    file_ << time << text << std::endl;
  }
  double Now() const {
    return std::chrono::duration<double>(Clock::now() - start_).count();
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
  Clock::time_point start_ = Clock::now();
};

}  // namespace standin
