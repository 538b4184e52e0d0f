// Builders of work items, keys, VM lists and configurations for tests.
#pragma once

#include <cstdio>
#include <string>
#include <vector>

#include "libraries/execution/executor.h"

namespace balsam::execution {

inline ClockReading StartTime() {
  return {BootTime(std::chrono::hours(10)),
          WallTime(std::chrono::milliseconds(1'800'000'000'000))};
}

inline ExecutorConfig ConfigOf(const std::string& vm) {
  ExecutorConfig config;
  config.vm = vm;
  config.service = "locker-api";
  config.incarnation = 100;
  config.memory = {10000, 100};
  config.keys.vm = vm;
  config.keys.service = config.service;
  config.keys.incarnation = config.incarnation;
  return config;
}

inline membership::VmList ListOf(std::uint64_t revision,
                                 const std::vector<std::string>& vms) {
  std::vector<membership::Vm> rows;
  for (const std::string& id : vms) {
    membership::Vm vm;
    vm.id = id;
    vm.role = membership::VmRole::kBackend;
    vm.service = "locker-api";
    rows.push_back(vm);
  }
  return membership::VmList::FromVms(revision, rows);
}

inline WorkItem Generation() {
  WorkItem work;
  work.workspace = "tywi";
  work.template_name = "guest";
  work.model = "m";
  work.prompt_tokens = 10;
  work.max_output_tokens = 100;
  return work;
}

inline WorkItem Call() {
  WorkItem work;
  work.workspace = "tywi";
  work.kind = WorkKind::kCall;
  work.idempotent = false;
  return work;
}

inline IdempotencyKey KeyOf(const std::string& text) {
  return TryOr([&] { return IdempotencyKey::Parse(text); },
               [](const Error&) { return IdempotencyKey{}; });
}

// A UUID of version 7; `number` distinguishes keys with the same creation time.
inline IdempotencyKey KeyCreatedAt(WallTime created_at, unsigned number = 0) {
  const std::int64_t milliseconds_since_epoch =
      created_at.time_since_epoch().count();
  char text[64];
  std::snprintf(text, sizeof(text), "%08x-%04x-7000-8000-%012x",
                static_cast<unsigned>(milliseconds_since_epoch >> 16),
                static_cast<unsigned>(milliseconds_since_epoch & 0xffff),
                number);
  return KeyOf(text);
}

inline WorkItem CallWithKey(IdempotencyKey key) {
  WorkItem work = Call();
  work.key = std::move(key);
  return work;
}

}  // namespace balsam::execution
