// The revisions of a published text, and deltas that update a peer from an
// earlier revision. A delta is a Zstandard frame that uses the earlier text as
// its dictionary, so a small change takes few bytes even in a long text.
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

// Maximum length of a published text; longer frames are not decompressed.
inline constexpr std::size_t kMaxTextBytes = 4U << 20;

struct TextDelta {
  // The revision whose text is the dictionary of the frame; zero if the frame
  // needs none.
  std::uint64_t base = 0;
  // Empty if there is no newer text.
  std::string frame;

  bool operator==(const TextDelta&) const = default;
};

// Returns the frame that turns `base` into `text`.
std::string CompressDelta(std::string_view base, std::string_view text);
// Fails with kInvalidPeerMessage if the frame is corrupt, was made for another
// base, or contains more than kMaxTextBytes.
Result<std::string> DecompressDelta(std::string_view base,
                                    std::string_view frame);

// Thread-safe.
class RevisionedText {
 public:
  // Peers that request a delta are a few revisions behind at most; a peer with
  // a revision that is not retained gets the full text.
  static constexpr std::size_t kDefaultRetained = 8;

  // `retained`: how many revisions are kept, the current one included.
  explicit RevisionedText(std::size_t retained = kDefaultRetained)
      : retained_(retained) {}

  // Sets the current text; ignored if the revision is not higher.
  void SetCurrent(std::uint64_t revision, std::string text);
  std::uint64_t revision() const;

  // Returns the delta from a peer's revision to the current one; empty if the
  // peer is up to date.
  TextDelta DeltaFrom(std::uint64_t known_revision) const;
  // Keeps a delta to the current revision that was received from a peer, so
  // that it is passed on without being computed again.
  void KeepReceivedDelta(std::uint64_t revision, const TextDelta& delta);
  // Returns the text of a delta received from a peer. Fails with
  // kInvalidPeerMessage if its base is not retained here or does not match the
  // frame.
  Result<std::string> Read(const TextDelta& delta) const;

 private:
  struct Revision {
    std::uint64_t number = 0;
    std::string text;
  };

  const std::string* Find(std::uint64_t revision) const;

  std::uint64_t NewestRevision() const;

  std::size_t retained_;
  mutable std::mutex mutex_;
  // The last few revisions in ascending order; the current one is at the back.
  std::deque<Revision> revisions_;
  // Deltas to the current revision that were requested before, by their base.
  mutable std::map<std::uint64_t, TextDelta> delta_cache_;
};

}  // namespace balsam::revisions
