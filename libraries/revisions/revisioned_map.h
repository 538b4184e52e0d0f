// A replica of a versioned key-value store, kept by watching it and by
// exchange with other replicas. For each key the higher revision wins, so
// copies can be merged in any order and never step back.
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
  // Takes one change; false if it is not newer than what is known. One of a key
  // that is unknown, though all changes of its time are known, was deleted
  // since.
  bool Apply(const RevisionedEntry& entry);
  // Takes a complete read of all keys that begin with `prefix`, made when the
  // store was at `store_revision`: keys that it does not hold were deleted.
  // Returns the changes that this made.
  std::vector<RevisionedEntry> ApplySnapshot(
      std::string_view prefix, const std::vector<RevisionedEntry>& entries,
      std::uint64_t store_revision);

  // Entries, deleted ones too, with a revision above `revision`. All changes
  // since, if `HasHistoryAfter`; else some deletions may lack.
  std::vector<RevisionedEntry> ChangesAfter(std::uint64_t revision) const;
  // Whether each deletion after `revision` is remembered: a complete read tells
  // what there is, and not what was there before.
  bool HasHistoryAfter(std::uint64_t revision) const {
    return revision >= history_from_;
  }
  // Entries that are not deleted.
  std::vector<RevisionedEntry> All() const;
  // Null if the key is unknown or deleted.
  const std::string* Find(std::string_view key) const;
  // The highest revision applied, or that the store was known to have reached.
  std::uint64_t revision() const { return revision_; }
  // All changes up to this revision were applied.
  void AdvanceTo(std::uint64_t revision);
  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    std::uint64_t revision = 0;
    std::optional<std::string> value;
  };

  // Deleted keys stay as tombstones, so that a late copy cannot revive them.
  // FIXME: tombstones are never dropped; a fleet that replaces its servers for
  // weeks would want an age limit.
  std::map<std::string, Entry, std::less<>> entries_;
  std::uint64_t revision_ = 0;
  // All changes up to this one are known; at most `revision_`.
  std::uint64_t complete_ = 0;
  // Of the last complete read.
  std::uint64_t history_from_ = 0;
};

}  // namespace balsam::revisions
