// Tokens once, over random sequences of faults: a relay, real executors and a
// small engine, with streams that break, connections that repeat, engines and
// sidecars that die and readers that come back through another entry.
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
using execution::Counter;
using execution::Executor;
using execution::ExecutorConfig;
using execution::GenerationRecord;
using execution::Work;
using generation::EventId;
using generation::GenerationId;
using std::chrono::milliseconds;

constexpr milliseconds kTick{100};
constexpr std::size_t kSteps = 300;
constexpr std::uint64_t kLength = 12;

// Names each token by its generation, so that a splice shows.
std::string TokenOf(const GenerationId& id, std::uint64_t number) {
  return id.ToText() + "#" + std::to_string(number);
}

// A sidecar with the engine beside it, which remembers its streams until it
// crashes.
struct Vm {
  std::unique_ptr<Executor> executor;
  std::map<Counter, std::uint64_t> engine;
};

// What the reader saw of one answer.
struct Reader {
  std::vector<std::string> tokens;
  std::optional<Outcome> outcome;
};

class World {
 public:
  explicit World(bool whole) : whole_(whole) {
    for (const char* name : {"a", "b", "c"}) StartSidecar(name);
    RelayConfig config;
    config.whole = whole;
    config.deadline = now_.boot + std::chrono::minutes(5);
    relay_ = std::make_unique<Relay>(Relay::ForRequest(config));
    Carry(relay_->Start(now_.boot));
  }

  void Step(std::uint32_t choice) {
    constexpr std::uint32_t kEvents = 40;
    const std::uint32_t event = choice % kEvents;
    const std::uint32_t argument = choice / kEvents;
    if (event < 18) {
      Produce(argument);
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
      ComeBackThroughAnotherEntry();
    } else {
      Advance(milliseconds(argument % 1500));
    }
  }

  // Runs without faults until the reader has its final answer.
  void Finish() {
    for (int i = 0; i < 5000 && !reader_.outcome.has_value(); ++i) {
      Produce(static_cast<std::uint32_t>(i));
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

  Vm& Pick(std::uint32_t argument) {
    return std::next(vms_.begin(),
                     static_cast<std::ptrdiff_t>(argument % vms_.size()))
        ->second;
  }

  void Carry(const Steps& steps) {
    for (const auto& step : steps) {
      if (const auto* place = std::get_if<Place>(&step)) {
        Submit(*place);
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

  void Submit(const Place& place) {
    DropStream();
    const auto vm = std::find_if(vms_.begin(), vms_.end(), [&](const auto& v) {
      return !place.excluded.contains(v.first);
    });
    if (vm == vms_.end()) {
      Carry(relay_->OnNoPlace(
          Outcome::NotRun(ResultCode::kNoBackendServer, "none"), now_.boot));
      return;
    }
    relay_->OnPlaced(vm->first);
    Work work = execution::Generation();
    work.whole = whole_;
    work.received = now_.wall;
    work.max_output_tokens = kLength;
    work.suspicion = place.suspicion;
    Executor& executor = *vm->second.executor;
    const auto answer = executor.Submit(work, now_);
    if (const auto* outcome = std::get_if<Outcome>(&answer)) {
      Carry(relay_->OnFinished(std::nullopt, *outcome, 0, now_.boot));
      return;
    }
    Attach(vm->first, std::get<Accepted>(answer).counter, 0);
  }

  void Attach(const std::string& vm, Counter counter, std::uint64_t next) {
    Executor& executor = *vms_[vm].executor;
    executor.AttachReader(counter);
    stream_ = Stream{vm, executor.incarnation(), counter, next, false};
  }

  void DropStream() {
    if (!stream_.has_value()) return;
    Executor& executor = *vms_[stream_->vm].executor;
    if (executor.incarnation() == stream_->incarnation) {
      executor.DetachReader(stream_->counter, now_);
    }
    stream_.reset();
  }

  // The engine beside one sidecar produces a few tokens.
  void Produce(std::uint32_t argument) {
    Vm& vm = Pick(argument);
    Executor& executor = *vm.executor;
    for (const Counter counter : executor.TakeDispatches(now_)) {
      vm.engine[counter] = 0;
    }
    for (const auto& [counter, first] : executor.TakeResumes(now_)) {
      if (vm.engine.contains(counter)) {
        // The engine may repeat what it had sent.
        vm.engine[counter] = first > 0 ? first - argument % 2 : 0;
      } else {
        executor.OnResumeFailed(counter, now_);
      }
    }
    for (const Counter counter : executor.TakeCancellations()) {
      vm.engine.erase(counter);
    }
    for (auto& [counter, sent] : vm.engine) {
      const GenerationRecord* record = executor.Find(counter);
      if (record == nullptr || record->phase != execution::Phase::kRunning) {
        continue;
      }
      const std::uint64_t count =
          std::min<std::uint64_t>(1 + argument % 3, kLength - sent);
      std::vector<std::string> tokens;
      for (std::uint64_t i = 0; i < count; ++i) {
        tokens.push_back(TokenOf(executor.IdOf(counter), sent + i));
      }
      executor.OnTokens(counter, sent, tokens, now_);
      sent += count;
      if (sent == kLength) {
        Outcome done;
        done.run_state = RunState::kRan;
        executor.OnCompleted(counter, done, now_);
      }
    }
  }

  // The sidecar's stream brings what it has to the relay.
  void DeliverStream(std::uint32_t argument) {
    if (pending_resume_.has_value() && pending_resume_->when <= now_.boot) {
      SendResume();
    }
    if (!stream_.has_value()) return;
    const Stream stream = *stream_;
    Executor& executor = *vms_[stream.vm].executor;
    const GenerationRecord* record = executor.Find(stream.counter);
    if (executor.incarnation() != stream.incarnation || record == nullptr) {
      stream_.reset();
      Carry(relay_->OnAttemptEnd(AttemptEnd::kBroken, now_.boot));
      return;
    }
    const GenerationId id = executor.IdOf(stream.counter);
    if (!stream_->accepted) {
      stream_->accepted = true;
      Carry(relay_->OnAccepted(id));
      return;
    }
    // Now and then tokens of another generation cross this stream.
    if (argument % 11 == 0) {
      const std::vector<std::string> stray = {"stray"};
      Carry(relay_->OnTokens({"z", 1, 1}, relay_->next(), stray, now_.boot));
    }
    const auto tokens = record->log.From(
        stream.next,
        std::min<std::uint64_t>(1 + argument % 4,
                                record->ReadableEnd() > stream.next
                                    ? record->ReadableEnd() - stream.next
                                    : 0));
    if (!tokens.empty()) {
      stream_->next += tokens.size();
      Carry(relay_->OnTokens(id, stream.next, tokens, now_.boot));
      return;
    }
    if (!record->IsDone() || stream.next < record->ReadableEnd()) return;
    const Outcome outcome = *record->outcome;
    executor.DetachReader(stream.counter, now_);
    stream_.reset();
    Carry(relay_->OnFinished(
        id, outcome,
        executor.suspicions().CrashesOf(record->work.fingerprint, now_.boot),
        now_.boot));
  }

  void SendResume() {
    const Resume resume = *pending_resume_;
    pending_resume_.reset();
    Executor& executor = *vms_[resume.generation.vm].executor;
    const GenerationRecord* record = executor.Find(resume.generation, "tywi");
    if (record == nullptr) {
      Carry(relay_->OnFinished(
          resume.generation,
          Outcome::Unknown(ResultCode::kGenerationNotFound, "not held"), 0,
          now_.boot));
      return;
    }
    Attach(resume.generation.vm, record->counter, resume.next);
  }

  void BreakStream() {
    if (!stream_.has_value()) return;
    DropStream();
    Carry(relay_->OnAttemptEnd(AttemptEnd::kBroken, now_.boot));
  }

  void BreakEngineStreams(std::uint32_t argument) {
    Vm& vm = Pick(argument);
    for (const auto& [counter, sent] : vm.engine) {
      vm.executor->OnStreamBroken(counter, "cut", now_);
    }
  }

  void CrashEngine(std::uint32_t argument) {
    BreakEngineStreams(argument);
    Pick(argument).engine.clear();
  }

  void RestartSidecar(std::uint32_t argument) {
    StartSidecar(std::next(vms_.begin(),
                           static_cast<std::ptrdiff_t>(argument % vms_.size()))
                     ->first);
  }

  // The entry dies; the reader names the last event that it saw to another.
  void ComeBackThroughAnotherEntry() {
    if (reader_.outcome.has_value() || whole_) return;
    if (!relay_->generation().has_value() || reader_.tokens.empty()) return;
    DropStream();
    pending_resume_.reset();
    RelayConfig config;
    config.deadline = now_.boot + std::chrono::minutes(5);
    relay_ = std::make_unique<Relay>(Relay::ForResume(
        config, EventId{*relay_->generation(), reader_.tokens.size()}));
    Carry(relay_->Start(now_.boot));
  }

  void Advance(milliseconds duration) {
    for (milliseconds passed{0}; passed < duration; passed += kTick) {
      now_ = now_ + kTick;
      for (auto& [name, vm] : vms_) vm.executor->Tick(now_);
      Carry(relay_->OnTick(now_.boot));
    }
  }

  struct Stream {
    std::string vm;
    std::uint64_t incarnation;
    Counter counter;
    std::uint64_t next;
    bool accepted;
  };

  bool whole_;
  Moment now_ = execution::StartOfTime();
  std::uint64_t incarnations_ = 100;
  std::map<std::string, Vm> vms_;
  std::unique_ptr<Relay> relay_;
  std::optional<Stream> stream_;
  std::optional<Resume> pending_resume_;
  Reader reader_;
};

void CheckReader(const Reader& reader, bool whole) {
  RC_ASSERT(reader.outcome.has_value());
  // All tokens come from the generation of the first one, each once, in order.
  const std::string generation =
      reader.tokens.empty()
          ? std::string()
          : reader.tokens.front().substr(0, reader.tokens.front().find('#'));
  for (std::size_t i = 0; i < reader.tokens.size(); ++i) {
    RC_ASSERT(reader.tokens[i] == generation + "#" + std::to_string(i));
  }
  const bool complete = reader.tokens.size() == kLength;
  if (reader.outcome->code == ResultCode::kOk) RC_ASSERT(complete);
  if (whole && !complete) RC_ASSERT(reader.tokens.empty());
  RC_CLASSIFY(complete, "complete");
  RC_CLASSIFY(!complete, "numbered error");
}

std::vector<std::uint32_t> AnyChoices() {
  return *rc::gen::container<std::vector<std::uint32_t>>(
      kSteps,
      rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint32_t>()));
}

RC_GTEST_PROP(DeliveryPropertyTest, LiveTokensComeOnceInOrder, ()) {
  World world(/*whole=*/false);
  for (const std::uint32_t choice : AnyChoices()) world.Step(choice);
  world.Finish();
  CheckReader(world.reader(), false);
}

RC_GTEST_PROP(DeliveryPropertyTest, WholeAnswersAreCompleteOrAbsent, ()) {
  World world(/*whole=*/true);
  for (const std::uint32_t choice : AnyChoices()) world.Step(choice);
  world.Finish();
  CheckReader(world.reader(), true);
}

}  // namespace
}  // namespace balsam::relay
