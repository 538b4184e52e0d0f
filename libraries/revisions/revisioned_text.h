// A published text in its revisions, and how one is passed on to a peer that
// has an earlier one: as a Zstandard frame with the earlier text for its
// dictionary, so that a small change costs few bytes however long the text is.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

#include "libraries/base/error.h"

namespace balsam::revisions {

// No published text is longer; a frame that claims to be is not unpacked.
inline constexpr std::size_t kMaxTextBytes = 2U << 20;

struct TextChange {
  // The revision whose text the frame builds on; zero if it needs none.
  std::uint64_t base = 0;
  // Empty if there is nothing to pass on.
  std::string frame;

  bool operator==(const TextChange&) const = default;
};

// The frame that turns `base` into `text`.
std::string Pack(std::string_view base, std::string_view text);
// Fails with kInvalidPeerMessage if the frame is damaged, was made for another
// base, or holds more than kMaxTextBytes.
Result<std::string> Unpack(std::string_view base, std::string_view frame);

// Any thread may call it.
class RevisionedText {
 public:
  // Takes a text as the current one; a revision that is not higher is ignored.
  void Adopt(std::uint64_t revision, std::string text);
  std::uint64_t revision() const;

  // What a peer lacks that has revision `known`; empty if it lacks nothing.
  TextChange ChangeFrom(std::uint64_t known) const;
  // The text that a peer passed on. Fails with kInvalidPeerMessage if its base
  // is not held here or the frame does not fit it.
  Result<std::string> Read(const TextChange& change) const;

 private:
  struct Revision {
    std::uint64_t number = 0;
    std::string text;
  };

  const std::string* Find(std::uint64_t revision) const;

  std::uint64_t Newest() const;

  mutable std::mutex mutex_;
  // The last few, the current one at the back; numbers rise.
  std::deque<Revision> revisions_;
  // Changes to the current revision that were asked for, by their base.
  mutable std::map<std::uint64_t, TextChange> changes_;
};

}  // namespace balsam::revisions
