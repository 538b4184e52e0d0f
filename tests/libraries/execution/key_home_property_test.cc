// Property test of at-most-once execution under random sequences of faults:
// several sidecars with real executors, VM lists that change, entries with
// outdated lists, messages that are delayed, duplicated or lost, restarts,
// drains, and processes that are suspended, replaced and resume late.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "libraries/execution/executor.h"
#include "libraries/membership/rendezvous.h"
#include "tests/libraries/execution/work_builder.h"

namespace balsam::execution {
namespace {

using membership::VmList;
using std::chrono::milliseconds;

constexpr milliseconds kTick{100};
constexpr std::size_t kSteps = 400;

struct SubmitMessage {
  WorkItem work;
};
struct ConfirmRequestMessage {
  std::string vm;
  std::uint64_t incarnation;
  std::uint64_t revision;
  std::uint64_t round;
};
struct ConfirmReplyMessage {
  Confirmation confirmation;
  std::uint64_t round;
};
struct Envelope {
  std::string to;
  std::variant<SubmitMessage, ConfirmRequestMessage, ConfirmReplyMessage>
      content;
};

// One sidecar process, which runs until it is killed or its VM is taken down.
struct Process {
  std::string vm;
  std::unique_ptr<Executor> executor;
  milliseconds clock_offset{0};
  std::uint64_t revision = 0;
  bool paused = false;
  bool dead = false;
  std::vector<Envelope> inbox;
};

class Simulation {
 public:
  Simulation() {
    for (const char* vm : {"a", "b", "c"}) StartProcess(vm);
    PublishList({"a", "b", "c"});
    for (auto& process : processes_) AdoptList(*process, 1);
    ConfirmLists();
    Advance(milliseconds(12000));
  }

  // Maps `choice` to an event; every value is valid. Faults are rarer than
  // requests, so that keys are executed between them.
  void Step(std::uint32_t choice) {
    constexpr std::uint32_t kEvents = 100;
    const std::uint32_t event = choice % kEvents;
    const std::uint32_t argument = choice / kEvents;
    if (event < 16) {
      SendNewKey(argument);
    } else if (event < 32) {
      ResendKey(argument);
    } else if (event < 64) {
      DeliverOne(argument);
    } else if (event < 70) {
      Advance(milliseconds(argument % 400));
    } else if (event < 74) {
      Advance(milliseconds(argument % 15000));
    } else if (event < 78) {
      ChangeList(argument);
    } else if (event < 82) {
      AdoptRecentList(argument);
    } else if (event < 84) {
      Restart(argument);
    } else if (event < 88) {
      SuspendOrResume(argument);
    } else if (event < 90) {
      ReplacePaused(argument);
    } else if (event < 91) {
      Drain(argument);
    } else {
      ConfirmLists();
    }
  }

  // Keys that ran more than once.
  std::vector<std::string> KeysRunTwice() const {
    std::vector<std::string> keys;
    for (const auto& [key, runs] : runs_) {
      if (runs > 1) keys.push_back(key);
    }
    return keys;
  }
  // The events so far, for the failure report.
  const std::string& trace() const { return trace_; }
  // Executions of copies that were sent before their key was answered "not
  // run".
  int false_not_runs() const { return false_not_runs_; }
  int total_runs() const { return static_cast<int>(runs_.size()); }

 private:
  void Trace(const std::string& line) {
    trace_ += std::to_string(now_.wall.time_since_epoch().count() % 10'000'000);
    trace_ += ' ' + line + '\n';
  }
  static std::string NameOf(const Process& process) {
    return process.vm + std::to_string(process.executor->incarnation());
  }

  ClockReading NowOf(const Process& process) const {
    return {now_.boot, now_.wall + process.clock_offset};
  }

  void StartProcess(const std::string& vm) {
    ExecutorConfig config = ConfigOf(vm);
    config.incarnation = ++incarnations_;
    config.keys.incarnation = config.incarnation;
    auto process = std::make_unique<Process>();
    process->vm = vm;
    // Any two clocks differ by no more than the stated error.
    const int spread = static_cast<int>(config.keys.clock_error.count());
    process->clock_offset =
        milliseconds((incarnations_ * 7919) % (spread + 1)) -
        config.keys.clock_error / 2;
    process->executor = std::make_unique<Executor>(config, NowOf(*process));
    Trace("start " + NameOf(*process));
    processes_.push_back(std::move(process));
  }

  void PublishList(std::vector<std::string> vms) {
    lists_.push_back(ListOf(lists_.size() + 1, vms));
    std::string names;
    for (const std::string& vm : vms) names += vm;
    Trace("list " + std::to_string(lists_.size()) + " " + names);
    listed_ = std::move(vms);
  }

  // The newest process of the VM that is not dead.
  Process* CurrentProcessOf(const std::string& vm) {
    const auto found = std::find_if(
        processes_.rbegin(), processes_.rend(), [&](const auto& process) {
          return process->vm == vm && !process->dead;
        });
    return found == processes_.rend() ? nullptr : found->get();
  }

  Process* PickLiveProcess(std::uint32_t argument) {
    std::vector<Process*> live;
    for (auto& process : processes_) {
      if (!process->dead) live.push_back(process.get());
    }
    return live.empty() ? nullptr : live[argument % live.size()];
  }

  void SendNewKey(std::uint32_t argument) {
    // The caller's clock deviates as much as those of the sidecars.
    const milliseconds offset((argument % 1001) - 500);
    keys_.push_back(KeyCreatedAt(now_.wall + offset, ++key_number_));
    SendKey(keys_.back(), argument);
  }

  void ResendKey(std::uint32_t argument) {
    if (keys_.empty()) return;
    SendKey(keys_[argument % keys_.size()], argument / 7);
  }

  // Sends the key as an entry does that has one of the last three lists.
  void SendKey(const IdempotencyKey& key, std::uint32_t argument) {
    WorkItem work = CallWithKey(key);
    work.fingerprint = membership::StableHash(key.text);
    work.received = now_.wall + milliseconds((argument % 1001) - 500);
    const VmList& list =
        lists_[lists_.size() - 1 -
               argument % std::min<std::size_t>(lists_.size(), 3)];
    auto order = membership::RendezvousOrder(
        key.text, list.BackendVmsOf("locker-api", true));
    if (order.empty()) return;
    // If the owner relinquished the key, the entry tries the next in rank.
    const std::size_t rank = (argument / 11) % 4 == 0 ? 1 : 0;
    network_.push_back({order[std::min(rank, order.size() - 1)],
                        SubmitMessage{std::move(work)}});
  }

  void DeliverOne(std::uint32_t argument) {
    if (network_.empty()) return;
    const std::size_t index = argument % network_.size();
    const Envelope envelope = network_[index];
    // Some messages are delivered twice.
    if (argument % 13 != 0) {
      network_.erase(network_.begin() + static_cast<std::ptrdiff_t>(index));
    }
    if (argument % 17 == 0) return;
    Process* process = CurrentProcessOf(envelope.to);
    if (process == nullptr) return;
    if (process->paused) {
      process->inbox.push_back(envelope);
      return;
    }
    Handle(*process, envelope);
  }

  void Handle(Process& process, const Envelope& envelope) {
    const ClockReading now = NowOf(process);
    if (const auto* request =
            std::get_if<ConfirmRequestMessage>(&envelope.content)) {
      Trace("confirm request from " + request->vm +
            std::to_string(request->incarnation) + " to " + NameOf(process));
    }
    if (const auto* reply =
            std::get_if<ConfirmReplyMessage>(&envelope.content)) {
      Trace("confirm reply of " + reply->confirmation.vm +
            std::to_string(reply->confirmation.incarnation) + " rev " +
            std::to_string(reply->confirmation.list_revision) + " to " +
            NameOf(process));
    }
    if (const auto* call = std::get_if<SubmitMessage>(&envelope.content)) {
      const SubmitResult result = process.executor->Submit(call->work, now);
      Trace("call " + call->work.key->text + " at " + NameOf(process));
      const auto* outcome = std::get_if<Outcome>(&result);
      if (outcome != nullptr && outcome->run_state == RunState::kNotRun) {
        answered_not_run_at_[call->work.key->text] = now_.wall;
      }
      Dispatch(process);
    } else if (const auto* request =
                   std::get_if<ConfirmRequestMessage>(&envelope.content)) {
      AdoptList(process, request->revision);
      network_.push_back(
          {request->vm,
           ConfirmReplyMessage{process.executor->key_ownership().Confirm(
                                   request->vm, request->incarnation, now.wall),
                               request->round}});
    } else {
      const auto& reply = std::get<ConfirmReplyMessage>(envelope.content);
      AdoptList(process, reply.confirmation.list_revision);
      process.executor->key_ownership().OnConfirmation(reply.confirmation,
                                                       reply.round, now.wall);
    }
  }

  void Dispatch(Process& process) {
    for (const LocalId local_id :
         process.executor->TakeDispatches(NowOf(process))) {
      const WorkItem& work = process.executor->Find(local_id)->work;
      ++runs_[work.key->text];
      Trace("RUN " + work.key->text + " at " + NameOf(process));
      const auto answered_at = answered_not_run_at_.find(work.key->text);
      const bool sent_before_answer =
          answered_at != answered_not_run_at_.end() &&
          work.received + ConfigOf("a").keys.clock_error / 2 <
              answered_at->second;
      if (sent_before_answer) ++false_not_runs_;
    }
  }

  void Advance(milliseconds duration) {
    for (milliseconds elapsed{0}; elapsed < duration; elapsed += kTick) {
      now_ = now_ + kTick;
      for (auto& process : processes_) {
        if (process->dead) continue;
        // The platform takes a VM down within the grace period after removing
        // it from the list.
        const auto unlisted = unlisted_at_.find(process->vm);
        if (unlisted != unlisted_at_.end() &&
            unlisted->second + ConfigOf("a").keys.removed_vm_grace -
                    ConfigOf("a").keys.clock_error <=
                now_.wall) {
          process->dead = true;
          Trace("gone " + NameOf(*process));
          continue;
        }
        if (!process->paused) process->executor->Tick(NowOf(*process));
      }
    }
  }

  void ChangeList(std::uint32_t argument) {
    const std::vector<std::string> all = {"a", "b", "c", "d", "e"};
    const std::string& vm = all[argument % all.size()];
    auto next = listed_;
    const auto found = std::find(next.begin(), next.end(), vm);
    if (found != next.end()) {
      if (next.size() == 1) return;
      next.erase(found);
      unlisted_at_.emplace(vm, now_.wall);
    } else {
      // A VM id is reused only after the old VM was taken down.
      if (CurrentProcessOf(vm) != nullptr) return;
      next.push_back(vm);
      unlisted_at_.erase(vm);
      StartProcess(vm);
    }
    PublishList(std::move(next));
  }

  void AdoptList(Process& process, std::uint64_t revision) {
    if (revision == 0 || revision > lists_.size()) return;
    if (revision <= process.revision) return;
    process.revision = revision;
    Trace("adopt " + std::to_string(revision) + " at " + NameOf(process));
    process.executor->key_ownership().AdoptList(lists_[revision - 1],
                                                NowOf(process).wall);
  }

  void AdoptRecentList(std::uint32_t argument) {
    Process* process = PickLiveProcess(argument);
    if (process == nullptr || process->paused) return;
    AdoptList(*process, lists_.size() - (argument / 5) % 2);
  }

  void Restart(std::uint32_t argument) {
    Process* process = PickLiveProcess(argument);
    if (process == nullptr) return;
    process->dead = true;
    Trace("kill " + NameOf(*process));
    if (unlisted_at_.contains(process->vm)) return;
    StartProcess(process->vm);
  }

  void SuspendOrResume(std::uint32_t argument) {
    Process* process = PickLiveProcess(argument);
    if (process == nullptr) return;
    process->paused = !process->paused;
    Trace((process->paused ? "suspend " : "resume ") + NameOf(*process));
    if (process->paused) return;
    // Messages that arrived during the pause may be handled before any timer
    // fires.
    const auto inbox = std::exchange(process->inbox, {});
    for (const Envelope& envelope : inbox) Handle(*process, envelope);
    Dispatch(*process);
  }

  // Starts a new process in place of a suspended one, which may still resume.
  void ReplacePaused(std::uint32_t argument) {
    Process* process = PickLiveProcess(argument);
    if (process == nullptr || !process->paused) return;
    if (CurrentProcessOf(process->vm) != process) return;
    Advance(ConfigOf("a").pause_limit + kTick);
    if (!unlisted_at_.contains(process->vm)) StartProcess(process->vm);
  }

  void Drain(std::uint32_t argument) {
    Process* process = PickLiveProcess(argument);
    if (process != nullptr && !process->paused && argument % 3 == 0) {
      Trace("drain " + NameOf(*process));
      process->executor->BeginDrain(NowOf(*process));
    }
  }

  // All running processes adopt the newest list and have their peers confirm
  // it.
  void ConfirmLists() {
    for (auto& process : processes_) {
      if (process->dead || process->paused) continue;
      AdoptList(*process, lists_.size());
      const auto peers = process->executor->key_ownership().UnconfirmedPeers();
      for (const std::string& vm : peers) {
        Process* peer = CurrentProcessOf(vm);
        if (peer == nullptr || peer->paused) continue;
        Handle(
            *peer,
            {vm, ConfirmRequestMessage{
                     process->vm, process->executor->incarnation(),
                     process->revision,
                     process->executor->key_ownership().confirmation_round()}});
        const Envelope reply = network_.back();
        network_.pop_back();
        Handle(*process, reply);
      }
    }
  }

  std::string trace_;
  ClockReading now_ = StartTime();
  std::vector<std::unique_ptr<Process>> processes_;
  std::uint64_t incarnations_ = 100;
  std::vector<VmList> lists_;
  std::vector<std::string> listed_;
  std::map<std::string, WallTime> unlisted_at_;
  std::vector<Envelope> network_;
  std::vector<IdempotencyKey> keys_;
  unsigned key_number_ = 0;
  std::map<std::string, int> runs_;
  std::map<std::string, WallTime> answered_not_run_at_;
  int false_not_runs_ = 0;
};

RC_GTEST_PROP(KeyOwnerPropertyTest, NoKeyRunsTwice, ()) {
  const auto choices = *rc::gen::container<std::vector<std::uint32_t>>(
      kSteps,
      rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint32_t>()));
  Simulation world;
  for (const std::uint32_t choice : choices) world.Step(choice);
  RC_CLASSIFY(world.total_runs() > 5);
  if (!world.KeysRunTwice().empty()) {
    RC_LOG() << world.KeysRunTwice().front() << '\n' << world.trace();
  }
  RC_ASSERT(world.KeysRunTwice().empty());
  RC_ASSERT(world.false_not_runs() == 0);
}

}  // namespace
}  // namespace balsam::execution
