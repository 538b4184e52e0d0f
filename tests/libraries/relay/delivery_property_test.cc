// Property test that each token is delivered once and in order under random
// sequences of faults: a relay with real executors and a simulated engine,
// streams that break or repeat tokens, engines and sidecars that crash, and
// readers that resume through another entry.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "libraries/execution/executor.h"
#include "libraries/relay/relay.h"
#include "tests/libraries/execution/work_builder.h"

namespace balsam::relay {
namespace {

using execution::Accepted;
using execution::Executor;
using execution::ExecutorConfig;
using execution::LocalId;
using execution::WorkItem;
using execution::WorkRecord;
using generation::EventId;
using generation::GenerationId;
using std::chrono::milliseconds;

constexpr milliseconds kTick{100};
constexpr std::size_t kSteps = 300;
constexpr std::uint64_t kGenerationLength = 12;

// Each token contains the id of its generation, so that a mix of generations is
// detected.
std::string TokenText(const GenerationId& id, std::uint64_t number) {
  return id.ToText() + "#" + std::to_string(number);
}

// A sidecar with its engine, which keeps its streams until it crashes.
struct Vm {
  std::unique_ptr<Executor> executor;
  std::map<LocalId, std::uint64_t> engine_streams;
};

// What the reader received.
struct Reader {
  std::vector<std::string> tokens;
  std::optional<Outcome> outcome;
};

class Simulation {
 public:
  explicit Simulation(bool whole) : whole_(whole) {
    for (const char* name : {"a", "b", "c"}) StartSidecar(name);
    RelayConfig config;
    config.whole = whole;
    config.deadline = now_.boot + std::chrono::minutes(5);
    relay_ = std::make_unique<Relay>(Relay::ForRequest(config));
    Execute(relay_->Start(now_.boot));
  }

  void Step(std::uint32_t choice) {
    constexpr std::uint32_t kEvents = 40;
    const std::uint32_t event = choice % kEvents;
    const std::uint32_t argument = choice / kEvents;
    if (event < 18) {
      ProduceTokens(argument);
    } else if (event < 32) {
      DeliverStream(argument);
    } else if (event < 34) {
      BreakStream();
    } else if (event < 35) {
      BreakEngineStreams(argument);
    } else if (event < 36) {
      CrashEngine(argument);
    } else if (event < 37) {
      RestartSidecar(argument);
    } else if (event < 38) {
      ResumeThroughAnotherEntry();
    } else {
      Advance(milliseconds(argument % 1500));
    }
  }

  // Runs without faults until the reader has its final outcome.
  void Finish() {
    for (int i = 0; i < 5000 && !reader_.outcome.has_value(); ++i) {
      ProduceTokens(static_cast<std::uint32_t>(i));
      DeliverStream(0);
      Advance(kTick);
    }
  }

  const Reader& reader() const { return reader_; }

 private:
  void StartSidecar(const std::string& name) {
    ExecutorConfig config = execution::ConfigOf(name);
    config.incarnation = ++incarnations_;
    vms_[name] = Vm{std::make_unique<Executor>(config, now_), {}};
  }

  Vm& PickVm(std::uint32_t argument) {
    return std::next(vms_.begin(),
                     static_cast<std::ptrdiff_t>(argument % vms_.size()))
        ->second;
  }

  void Execute(const Steps& steps) {
    for (const auto& step : steps) {
      if (const auto* attempt = std::get_if<StartAttempt>(&step)) {
        Submit(*attempt);
      } else if (const auto* resume = std::get_if<Resume>(&step)) {
        stream_.reset();
        pending_resume_ = *resume;
      } else if (const auto* deliver = std::get_if<Deliver>(&step)) {
        reader_.tokens.insert(reader_.tokens.end(), deliver->tokens.begin(),
                              deliver->tokens.end());
      } else if (std::holds_alternative<relay::DropStream>(step)) {
        DropStream();
      } else {
        reader_.outcome = std::get<Conclude>(step).outcome;
      }
    }
  }

  void Submit(const StartAttempt& attempt) {
    DropStream();
    const auto vm = std::find_if(vms_.begin(), vms_.end(), [&](const auto& v) {
      return !attempt.excluded.contains(v.first);
    });
    if (vm == vms_.end()) {
      Execute(relay_->OnNoServerAvailable(
          Outcome::NotRun(ResultCode::kNoBackendServer, "none"), now_.boot));
      return;
    }
    relay_->OnAttemptStarted(vm->first);
    WorkItem work = execution::Generation();
    work.whole = whole_;
    work.received = now_.wall;
    work.max_output_tokens = kGenerationLength;
    work.crash_count = attempt.crash_count;
    Executor& executor = *vm->second.executor;
    const auto result = executor.Submit(work, now_);
    if (const auto* outcome = std::get_if<Outcome>(&result)) {
      Execute(relay_->OnFinished(std::nullopt, *outcome, 0, now_.boot));
      return;
    }
    AttachStream(vm->first, std::get<Accepted>(result).local_id, 0);
  }

  void AttachStream(const std::string& vm, LocalId local_id,
                    std::uint64_t next) {
    Executor& executor = *vms_[vm].executor;
    executor.AttachReader(local_id);
    stream_ = Stream{vm, executor.incarnation(), local_id, next, false};
  }

  void DropStream() {
    if (!stream_.has_value()) return;
    Executor& executor = *vms_[stream_->vm].executor;
    if (executor.incarnation() == stream_->incarnation) {
      executor.DetachReader(stream_->local_id, now_);
    }
    stream_.reset();
  }

  // Lets the engine of one sidecar produce a few tokens.
  void ProduceTokens(std::uint32_t argument) {
    Vm& vm = PickVm(argument);
    Executor& executor = *vm.executor;
    for (const LocalId local_id : executor.TakeDispatches(now_)) {
      vm.engine_streams[local_id] = 0;
    }
    for (const auto& [local_id, first] : executor.TakeResumes(now_)) {
      if (vm.engine_streams.contains(local_id)) {
        // The engine may repeat the last token that it sent.
        vm.engine_streams[local_id] = first > 0 ? first - argument % 2 : 0;
      } else {
        executor.OnResumeFailed(local_id, now_);
      }
    }
    for (const LocalId local_id : executor.TakeCancellations()) {
      vm.engine_streams.erase(local_id);
    }
    for (auto& [local_id, sent] : vm.engine_streams) {
      const WorkRecord* record = executor.Find(local_id);
      if (record == nullptr || record->phase != execution::Phase::kRunning) {
        continue;
      }
      const std::uint64_t count =
          std::min<std::uint64_t>(1 + argument % 3, kGenerationLength - sent);
      std::vector<std::string> tokens;
      for (std::uint64_t i = 0; i < count; ++i) {
        tokens.push_back(TokenText(executor.IdOf(local_id), sent + i));
      }
      executor.OnTokens(local_id, sent, tokens, now_);
      sent += count;
      if (sent == kGenerationLength) {
        Outcome done;
        done.run_state = RunState::kRan;
        executor.OnCompleted(local_id, done, now_);
      }
    }
  }

  // Delivers available tokens, or the outcome, from the sidecar to the relay.
  void DeliverStream(std::uint32_t argument) {
    if (pending_resume_.has_value() && pending_resume_->when <= now_.boot) {
      SendResume();
    }
    if (!stream_.has_value()) return;
    const Stream stream = *stream_;
    Executor& executor = *vms_[stream.vm].executor;
    const WorkRecord* record = executor.Find(stream.local_id);
    if (executor.incarnation() != stream.incarnation || record == nullptr) {
      stream_.reset();
      Execute(relay_->OnAttemptEnd(AttemptEnd::kBroken, now_.boot));
      return;
    }
    const GenerationId id = executor.IdOf(stream.local_id);
    if (!stream_->accepted) {
      stream_->accepted = true;
      Execute(relay_->OnAccepted(id));
      return;
    }
    // Sometimes a token of another generation arrives on this stream.
    if (argument % 11 == 0) {
      const std::vector<std::string> stray = {"stray"};
      Execute(relay_->OnTokens({"z", 1, 1}, relay_->next(), stray, now_.boot));
    }
    const auto tokens = record->log.TokensFrom(
        stream.next,
        std::min<std::uint64_t>(1 + argument % 4,
                                record->ReadableEnd() > stream.next
                                    ? record->ReadableEnd() - stream.next
                                    : 0));
    if (!tokens.empty()) {
      stream_->next += tokens.size();
      Execute(relay_->OnTokens(id, stream.next, tokens, now_.boot));
      return;
    }
    if (!record->IsDone() || stream.next < record->ReadableEnd()) return;
    const Outcome outcome = *record->outcome;
    executor.DetachReader(stream.local_id, now_);
    stream_.reset();
    Execute(relay_->OnFinished(
        id, outcome,
        executor.crash_tracker().CrashesOf(record->work.fingerprint, now_.boot),
        now_.boot));
  }

  void SendResume() {
    const Resume resume = *pending_resume_;
    pending_resume_.reset();
    Executor& executor = *vms_[resume.generation.vm].executor;
    const WorkRecord* record = executor.Find(resume.generation, "tywi");
    if (record == nullptr) {
      Execute(relay_->OnFinished(
          resume.generation,
          Outcome::Unknown(ResultCode::kGenerationNotFound, "not held"), 0,
          now_.boot));
      return;
    }
    AttachStream(resume.generation.vm, record->local_id, resume.next);
  }

  void BreakStream() {
    if (!stream_.has_value()) return;
    DropStream();
    Execute(relay_->OnAttemptEnd(AttemptEnd::kBroken, now_.boot));
  }

  void BreakEngineStreams(std::uint32_t argument) {
    Vm& vm = PickVm(argument);
    for (const auto& [local_id, sent] : vm.engine_streams) {
      vm.executor->OnStreamBroken(local_id, "cut", now_);
    }
  }

  void CrashEngine(std::uint32_t argument) {
    BreakEngineStreams(argument);
    PickVm(argument).engine_streams.clear();
  }

  void RestartSidecar(std::uint32_t argument) {
    StartSidecar(std::next(vms_.begin(),
                           static_cast<std::ptrdiff_t>(argument % vms_.size()))
                     ->first);
  }

  // The entry crashes, and the reader resumes through another entry from the
  // last event that it received.
  void ResumeThroughAnotherEntry() {
    if (reader_.outcome.has_value() || whole_) return;
    if (!relay_->generation().has_value() || reader_.tokens.empty()) return;
    DropStream();
    pending_resume_.reset();
    RelayConfig config;
    config.deadline = now_.boot + std::chrono::minutes(5);
    relay_ = std::make_unique<Relay>(Relay::ForResume(
        config, EventId{*relay_->generation(), reader_.tokens.size()}));
    Execute(relay_->Start(now_.boot));
  }

  void Advance(milliseconds duration) {
    for (milliseconds elapsed{0}; elapsed < duration; elapsed += kTick) {
      now_ = now_ + kTick;
      for (auto& [name, vm] : vms_) vm.executor->Tick(now_);
      Execute(relay_->OnTick(now_.boot));
    }
  }

  struct Stream {
    std::string vm;
    std::uint64_t incarnation;
    LocalId local_id;
    std::uint64_t next;
    bool accepted;
  };

  bool whole_;
  ClockReading now_ = execution::StartTime();
  std::uint64_t incarnations_ = 100;
  std::map<std::string, Vm> vms_;
  std::unique_ptr<Relay> relay_;
  std::optional<Stream> stream_;
  std::optional<Resume> pending_resume_;
  Reader reader_;
};

void CheckReader(const Reader& reader, bool whole) {
  RC_ASSERT(reader.outcome.has_value());
  // All tokens must be of one generation, each once and in order.
  const std::string generation =
      reader.tokens.empty()
          ? std::string()
          : reader.tokens.front().substr(0, reader.tokens.front().find('#'));
  for (std::size_t i = 0; i < reader.tokens.size(); ++i) {
    RC_ASSERT(reader.tokens[i] == generation + "#" + std::to_string(i));
  }
  const bool complete = reader.tokens.size() == kGenerationLength;
  if (reader.outcome->code == ResultCode::kOk) RC_ASSERT(complete);
  if (whole && !complete) RC_ASSERT(reader.tokens.empty());
  RC_CLASSIFY(complete, "complete");
  RC_CLASSIFY(!complete, "error code");
}

std::vector<std::uint32_t> GenerateChoices() {
  return *rc::gen::container<std::vector<std::uint32_t>>(
      kSteps,
      rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint32_t>()));
}

RC_GTEST_PROP(DeliveryPropertyTest, LiveTokensArriveOnceAndInOrder, ()) {
  Simulation world(/*whole=*/false);
  for (const std::uint32_t choice : GenerateChoices()) world.Step(choice);
  world.Finish();
  CheckReader(world.reader(), false);
}

RC_GTEST_PROP(DeliveryPropertyTest, WholeAnswersAreCompleteOrAbsent, ()) {
  Simulation world(/*whole=*/true);
  for (const std::uint32_t choice : GenerateChoices()) world.Step(choice);
  world.Finish();
  CheckReader(world.reader(), true);
}

}  // namespace
}  // namespace balsam::relay
