// Finds out which requests crash the servers that run them, from what the runs
// that were lost in crashes have in common, and quarantines it. Processes
// exchange their evidence, since each sees only its own runs.
//
// A run is suspected when its server crashes before the run has proved
// harmless. A trait of a run, such as a part of its prompt, is guilty when
// suspected runs have it in several crashes and no run with it has survived
// since. Which one of the traits that all these runs have is not known, so that
// their combination, the signature, is quarantined: requests that have all of
// it are rejected. One that lacks some of it either survives, which clears what
// it has, or crashes its server, which leaves what both have in common. Thus a
// signature shrinks to the trait that matters, while sound requests are served.
//
// Some servers crash before any byte of the answer is out, so that all runs
// that wait there are suspected alike. They count only if no suspect of the
// crash had begun to answer. What tells the guilty trait from those that crash
// beside it is who survived with which trait, also before the crash: a trait
// that has survived needs more such crashes, and as long as several traits
// explain the crashes equally well, more crashes are waited for.
//
// Crashes that a signature explains do not count for traits outside of it.
// Servers that fail together, for example without power, cannot quarantine
// anything: a crash counts only if the suspected run began after the one that
// was counted before.
//
// A quarantine ends after a time that doubles with each further one of the same
// signature, until a run survives that clears it. Requests that all have the
// signature, sound ones too, could never clear it by themselves: as long as few
// crashes speak for it, one of them is tried now and then.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "libraries/base/boot_clock.h"

namespace balsam::quarantine {

// Hash of something that requests may have in common: a part of the prompt, or
// the whole request, which is repeated when the client retries it.
using Trait = std::uint64_t;

// A request that crashes servers does so when they begin to answer it. A run
// that has answered for this long is harmless.
inline constexpr std::chrono::milliseconds kHarmlessAfter{250};

// A run that had not proved harmless when its server crashed.
struct CrashReport {
  // A `dispatch::ServerKey`.
  std::uint32_t server = 0;
  // Time since the crash, and since the run began: since it was sent to the
  // server, or since the server began to answer if that is known.
  std::chrono::milliseconds crash_age{0};
  std::chrono::milliseconds run_age{0};
  // From what most requests share to what is most specific.
  std::vector<Trait> traits;
  // The server had begun to answer. Otherwise the run may only have waited
  // there.
  bool is_answering = true;

  bool operator==(const CrashReport&) const = default;
};

// Traits that together make a request suspicious. Sorted, without duplicates,
// never empty.
using Signature = std::vector<Trait>;

// Whether a run or request with these traits has the whole signature.
bool HasSignature(std::span<const Trait> traits, const Signature& signature);

// For log lines.
std::string ToText(const Signature& signature);

struct TraitAge {
  Trait trait = 0;
  std::chrono::milliseconds age{0};

  bool operator==(const TraitAge&) const = default;
};

// A signature that has been quarantined `count` times, now because of a crash
// `crash_age` ago.
struct QuarantineReport {
  Signature signature;
  std::chrono::milliseconds crash_age{0};
  int count = 1;

  bool operator==(const QuarantineReport&) const = default;
};

// What processes tell each other.
struct Evidence {
  std::vector<CrashReport> crashes;
  // Suspected traits with which a run has survived since, and how long ago.
  std::vector<TraitAge> survived;
  std::vector<QuarantineReport> quarantined;

  bool empty() const {
    return crashes.empty() && survived.empty() && quarantined.empty();
  }
  bool operator==(const Evidence&) const = default;
};

// What a new piece of evidence changed.
struct Change {
  // The evidence was not known before, so that other processes may need it.
  bool is_news = false;
  std::vector<Signature> quarantined;
  std::vector<Signature> released;
};

class CrashLedger {
 public:
  struct Limits {
    // Crashes that make a trait guilty. One is enough for a signature that was
    // quarantined before.
    int crashes_to_quarantine = 3;
    // The same if one survived before, unless runs with the trait had begun to
    // answer in enough crashes.
    int crashes_to_doubt_survivors = 6;
    // Crashes after which one of several equal explanations is taken, unless
    // its runs had begun to answer. The platform's rules count from the fifth.
    int crashes_to_decide = 5;
    // How long the first quarantine lasts after the last crash.
    std::chrono::milliseconds first_quarantine{std::chrono::minutes(2)};
    std::chrono::milliseconds longest_quarantine{std::chrono::hours(1)};
    // How long a crash counts.
    std::chrono::milliseconds crash_retention{std::chrono::minutes(10)};
    // A request of a quarantined signature is tried this long after the latest
    // crash. The time doubles with each trial.
    std::chrono::milliseconds first_trial{30000};
    // How long it is remembered after a quarantine that there was one.
    std::chrono::milliseconds offence_retention{std::chrono::hours(1)};
    // How long evidence is passed on after it was learned. Quarantines are
    // passed on as long as they last, so that new processes learn of them.
    std::chrono::milliseconds sharing_time{3000};
    // Older crashes are forgotten.
    std::size_t max_crashes = 64;
    std::size_t max_suspects_per_crash = 32;
    // The same for runs that had not begun to answer, if all that they have in
    // common with others has survived.
    std::size_t max_proven_suspects_per_crash = 8;
    // Traits that have survived lately are remembered in two generations of
    // this size.
    std::size_t max_survivors = 1024;
    // Maximum number of items of each kind sent at once; the others follow in
    // turn.
    std::size_t max_items_sent = 4;
  };

  explicit CrashLedger(Limits limits) : limits_(limits) {}

  Change OnCrash(const CrashReport& report, BootTime now);
  // A run with these traits answered in full, or for long enough to be
  // harmless.
  Change OnSurvived(std::span<const Trait> traits, BootTime now);
  // Evidence of another process.
  Change Merge(const Evidence& evidence, BootTime now);
  // Ends quarantines and forgets what is too old.
  Change DropExpired(BootTime now);
  // What to tell another process: first what was learned since `new_since`,
  // then the rest in turn.
  Evidence Share(BootTime now, BootTime new_since);

  // Returns a quarantined signature that is contained in these traits.
  std::optional<Signature> FindQuarantined(std::span<const Trait> traits) const;
  // Whether a request with these traits, which is quarantined, may be run to
  // find out if it is harmless. Counts as a trial if so. `rank`: the place of
  // this process among those that may try; each waits until it would know what
  // the one before it found. Only a signature with fewer than
  // `crashes_to_decide` known crashes is tried, and not by a request that was
  // suspected itself.
  bool TakeTrial(std::span<const Trait> traits, std::size_t rank, BootTime now);
  // Number of crashes that count against the trait, since a run with it last
  // survived.
  int CrashesOf(Trait trait) const;
  // Whether a request has something in common with others, all its traits but
  // the last, that was suspected in several crashes and never survived.
  bool IsSuspected(std::span<const Trait> traits) const;
  // Number of signatures that are quarantined.
  std::size_t quarantined_count() const;
  // Traits of which anything is remembered.
  std::size_t trait_count() const { return traits_.size(); }

 private:
  // The ages in a report grow stale by its delay in the network each time that
  // it is passed on. A server takes longer than this to restart after a crash,
  // so that a run cannot begin there so soon.
  static constexpr std::chrono::milliseconds kMaxReportDelay{1000};
  // No request has more traits; a peer's message may claim more.
  static constexpr std::size_t kMaxTraits = 64;

  struct Suspect {
    BootTime began;
    std::vector<Trait> traits;
    bool is_answering = true;
  };
  struct Crash {
    std::uint32_t server = 0;
    BootTime time;
    BootTime learned_at;
    // Never empty.
    std::vector<Suspect> suspects;
  };
  struct TraitState {
    BootTime last_crash;
    // Zero if no run with it has survived, as far as is remembered.
    BootTime last_survival;
    BootTime survival_learned_at;
  };
  struct Quarantine {
    BootTime last_crash;
    // False once its time is over; it is then remembered for a while.
    bool is_active = true;
    // Number of quarantines until a run survived that cleared the signature.
    int count = 1;
    // When it began here.
    BootTime started_at{};
    // Requests that were tried here, and when the last one was.
    int trials = 0;
    BootTime last_trial{};
  };
  // The crashes that count against a trait.
  struct Tally {
    int crashes = 0;
    bool has_unexplained = false;
    BootTime last_crash;
    // The most specific position of the trait among those of its runs.
    std::size_t position = 0;
    // Those in which a run with the trait had begun to answer.
    int crashes_of_answers = 0;
    bool has_survived = false;
    // It is a request as a whole.
    bool is_whole = false;
  };
  using Tallies = std::map<Trait, Tally>;

  // `time_error`: how much later the report's times may appear than they were.
  Change AddReport(const CrashReport& report,
                   std::chrono::milliseconds time_error, BootTime now);
  // The crash in which the run was lost; null if it is not known yet.
  Crash* FindCrash(std::uint32_t server, BootTime run_began);
  bool CountsAgainst(Trait trait, const Crash& crash) const;
  // Whether the crash counts for the trait: it has no other explanation than a
  // signature that contains the trait.
  bool CountsFor(Trait trait, const Crash& crash) const;
  bool IsExplained(const Crash& crash) const;
  // Whether a run that had not begun to answer may have been lost in the crash
  // beside one of a signature with the trait that was just quarantined, whose
  // report is missing.
  bool MayStandBeside(Trait trait, const Crash& crash) const;
  Tallies CountCrashes() const;
  // Whether runs with the trait had begun to answer in enough crashes.
  bool WasAnswering(const Tally& tally) const;
  int CrashesNeeded(const Tally& tally) const;
  // The traits that explain the crashes as well as the one with the tally
  // `worst`, or nearly: the reports of a crash come one by one.
  static Tallies EqualExplanations(const Tallies& tallies, const Tally& worst);
  // Returns nothing if no trait is guilty, or if it is not known yet which one.
  std::optional<Trait> FindGuilty(const Tallies& tallies) const;
  // Quarantines signatures as long as crashes of guilty traits are unexplained.
  void Judge(BootTime now, Change& change);
  // The traits that all suspects have which have this one.
  Signature SignatureOf(Trait trait) const;
  // Quarantines of signatures that contain this one end, since it covers them.
  void StartQuarantine(const Signature& signature, Quarantine quarantine,
                       BootTime now, Change& change);
  // Quarantines anew what was quarantined before, if the run has it.
  void RenewQuarantines(const Suspect& suspect, BootTime crash_time,
                        BootTime now, Change& change);
  void MergeQuarantine(const QuarantineReport& report, BootTime now,
                       Change& change);
  std::chrono::milliseconds QuarantineTime(int count) const;
  // Number of crashes in which a run with all of these traits was lost.
  int CrashesWith(const Signature& signature) const;
  // Whether a request of the signature may be tried now by the process of this
  // rank.
  bool MayTry(const Signature& signature, const Quarantine& quarantine,
              std::size_t rank, BootTime now) const;
  void OnTraitSurvived(Trait trait, BootTime time, BootTime now,
                       Change& change);
  void ForgetUnusedTraits();
  // State of a trait that is now suspected or quarantined.
  TraitState& Track(Trait trait, BootTime now);
  // Remembers that a run with a trait that nothing is known against survived.
  void RememberSurvivor(Trait trait, BootTime time);
  // Whether the run has something in common with others that never survived.
  bool IsUnproven(const Suspect& suspect) const;
  // The trait is harmless: takes it out of all signatures.
  void ClearTrait(Trait trait, BootTime survived_at, BootTime now,
                  Change& change);

  Limits limits_;
  // By time.
  std::deque<Crash> crashes_;
  // When runs with traits that nothing is known against last survived: the
  // latest of them, and the generation before.
  std::map<Trait, BootTime> survivors_;
  std::map<Trait, BootTime> former_survivors_;
  // All traits of `crashes_` and `quarantines_`.
  std::map<Trait, TraitState> traits_;
  // No active signature contains another one.
  std::map<Signature, Quarantine> quarantines_;
  // Number of times that evidence was shared.
  std::size_t turn_ = 0;
};

}  // namespace balsam::quarantine
