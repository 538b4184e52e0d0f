// A replica of a versioned key-value store, updated by watching the store and
// by exchanging changes with other replicas. For each key the higher revision
// wins, so changes can be merged in any order and a key never reverts to an
// older revision.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace balsam::revisions {

struct RevisionedEntry {
  std::string key;
  std::uint64_t revision = 0;
  // Unset if the key was deleted.
  std::optional<std::string> value;
};

class RevisionedMap {
 public:
  // Applies one change, which does not raise `revision()`: changes before it
  // may still be unknown. Returns false if it is not newer than the known
  // state. That includes a change of an unknown key at a revision up to which
  // all changes are known: the key has been deleted since.
  bool Apply(RevisionedEntry entry);
  // Applies a complete read of all keys that begin with `prefix`, made when the
  // store was at `store_revision`: keys that it does not contain were deleted.
  // Returns the resulting changes.
  std::vector<RevisionedEntry> ApplySnapshot(
      std::string_view prefix, const std::vector<RevisionedEntry>& entries,
      std::uint64_t store_revision);

  // Calls `visitor` with the key, revision and value of each entry that
  // `ChangesAfter` returns, without a copy. The value is null if the key was
  // deleted.
  template <typename Visitor>
  void VisitChangesAfter(std::uint64_t revision, Visitor&& visitor) const {
    for (const auto& [key, entry] : entries_) {
      if (entry.revision <= revision) continue;
      visitor(key, entry.revision,
              entry.value.has_value() ? &*entry.value : nullptr);
    }
  }

  // Returns the entries, including deleted ones, with a revision greater than
  // `revision`. Deletions may be missing unless `HasCompleteHistoryAfter`
  // returns true.
  std::vector<RevisionedEntry> ChangesAfter(std::uint64_t revision) const;
  // Whether every deletion after `revision` is recorded. A complete read does
  // not show which keys existed before it.
  bool HasCompleteHistoryAfter(std::uint64_t revision) const {
    return revision >= history_start_;
  }
  // Returns the entries that are not deleted.
  std::vector<RevisionedEntry> LiveEntries() const;
  // Returns null if the key is unknown or deleted.
  const std::string* Find(std::string_view key) const;
  // Returns the revision of the last change of the key, also if that deleted
  // it; zero if the key is unknown.
  std::uint64_t RevisionOf(std::string_view key) const;
  // All changes up to this revision are known, so that a watch or a peer can go
  // on from here. Some later ones may be known, too.
  std::uint64_t revision() const { return revision_; }
  // Records that all changes up to this revision were applied.
  void AdvanceTo(std::uint64_t revision);
  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    std::uint64_t revision = 0;
    std::optional<std::string> value;
  };

  // Deleted keys stay as tombstones, so that a delayed change cannot restore
  // them.
  // FIXME: Tombstones are never dropped. A fleet that replaces its servers for
  // weeks needs an age limit.
  std::map<std::string, Entry, std::less<>> entries_;
  std::uint64_t revision_ = 0;
  // Revision of the last complete read; later deletions are all recorded.
  std::uint64_t history_start_ = 0;
};

}  // namespace balsam::revisions
