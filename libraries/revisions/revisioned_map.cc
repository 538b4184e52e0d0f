// Merges changes by revision.
#include "libraries/revisions/revisioned_map.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace balsam::revisions {

bool RevisionedMap::Apply(RevisionedEntry entry) {
  const auto found = entries_.find(entry.key);
  if (found == entries_.end() && entry.revision <= revision_) return false;
  Entry& known = entries_[entry.key];
  if (entry.revision <= known.revision) return false;
  known = {entry.revision, std::move(entry.value)};
  return true;
}

std::vector<RevisionedEntry> RevisionedMap::ApplySnapshot(
    std::string_view prefix, const std::vector<RevisionedEntry>& entries,
    std::uint64_t store_revision) {
  std::set<std::string_view> present;
  std::ranges::transform(entries, std::inserter(present, present.end()),
                         &RevisionedEntry::key);
  std::vector<RevisionedEntry> changes;
  for (auto found = entries_.lower_bound(prefix);
       found != entries_.end() && found->first.starts_with(prefix); ++found) {
    const bool changed_later = found->second.revision > store_revision;
    if (!found->second.value.has_value() || changed_later ||
        present.contains(found->first)) {
      continue;
    }
    changes.push_back({found->first, store_revision, std::nullopt});
  }
  std::ranges::copy(entries, std::back_inserter(changes));
  std::erase_if(changes,
                [this](const RevisionedEntry& entry) { return !Apply(entry); });
  AdvanceTo(store_revision);
  history_start_ = std::max(history_start_, store_revision);
  return changes;
}

std::vector<RevisionedEntry> RevisionedMap::ChangesAfter(
    std::uint64_t revision) const {
  std::vector<RevisionedEntry> changes;
  VisitChangesAfter(revision,
                    [&](const std::string& key, std::uint64_t changed_at,
                        const std::string* value) {
                      changes.push_back({key, changed_at, std::nullopt});
                      if (value != nullptr) changes.back().value = *value;
                    });
  return changes;
}

std::vector<RevisionedEntry> RevisionedMap::LiveEntries() const {
  std::vector<RevisionedEntry> all = ChangesAfter(0);
  std::erase_if(all, [](const RevisionedEntry& entry) {
    return !entry.value.has_value();
  });
  return all;
}

const std::string* RevisionedMap::Find(std::string_view key) const {
  const auto found = entries_.find(key);
  if (found == entries_.end() || !found->second.value.has_value()) {
    return nullptr;
  }
  return &*found->second.value;
}

std::uint64_t RevisionedMap::RevisionOf(std::string_view key) const {
  const auto found = entries_.find(key);
  return found == entries_.end() ? 0 : found->second.revision;
}

void RevisionedMap::AdvanceTo(std::uint64_t revision) {
  revision_ = std::max(revision_, revision);
}

}  // namespace balsam::revisions
