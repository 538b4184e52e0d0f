// Compresses deltas with Zstandard.
#include "libraries/revisions/revisioned_text.h"

#include <zstd.h>

#include <algorithm>
#include <memory>
#include <utility>

namespace balsam::revisions {
namespace {

// The window holds both base and text.
constexpr int kWindowLog = 23;
static_assert(std::size_t{1} << kWindowLog >= 2 * kMaxTextBytes);

leaf::error_id InvalidDelta(const std::string& reason) {
  return Fail(ResultCode::kInvalidPeerMessage, "invalid text delta: " + reason);
}

}  // namespace

std::string CompressDelta(std::string_view base, std::string_view text) {
  const std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)> context(
      ZSTD_createCCtx(), &ZSTD_freeCCtx);
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, kWindowLog);
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_enableLongDistanceMatching, 1);
  ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size());
  std::string frame(ZSTD_compressBound(text.size()), '\0');
  const std::size_t size = ZSTD_compress2(
      context.get(), frame.data(), frame.size(), text.data(), text.size());
  // With the bound above, compression fails only if memory is exhausted.
  frame.resize(ZSTD_isError(size) != 0U ? 0 : size);
  return frame;
}

Result<std::string> DecompressDelta(std::string_view base,
                                    std::string_view frame) {
  const auto size = ZSTD_getFrameContentSize(frame.data(), frame.size());
  if (size == ZSTD_CONTENTSIZE_UNKNOWN || size == ZSTD_CONTENTSIZE_ERROR) {
    return InvalidDelta("frame has no content size");
  }
  if (size > kMaxTextBytes) {
    return InvalidDelta("content of " + std::to_string(size) +
                        " bytes exceeds the limit");
  }
  const std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)> context(
      ZSTD_createDCtx(), &ZSTD_freeDCtx);
  ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
  std::string text(size, '\0');
  const std::size_t decompressed_size = ZSTD_decompressDCtx(
      context.get(), text.data(), text.size(), frame.data(), frame.size());
  if (ZSTD_isError(decompressed_size) != 0U) {
    return InvalidDelta(ZSTD_getErrorName(decompressed_size));
  }
  return text;
}

void RevisionedText::SetCurrent(std::uint64_t revision, std::string text) {
  const std::lock_guard lock(mutex_);
  if (revision <= NewestRevision()) return;
  revisions_.push_back({revision, std::move(text)});
  if (revisions_.size() > retained_) revisions_.pop_front();
  delta_cache_.clear();
}

std::uint64_t RevisionedText::revision() const {
  const std::lock_guard lock(mutex_);
  return NewestRevision();
}

std::uint64_t RevisionedText::NewestRevision() const {
  return revisions_.empty() ? 0 : revisions_.back().number;
}

const std::string* RevisionedText::Find(std::uint64_t revision) const {
  const auto found = std::ranges::find(revisions_, revision, &Revision::number);
  return found == revisions_.end() ? nullptr : &found->text;
}

TextDelta RevisionedText::DeltaFrom(std::uint64_t known_revision) const {
  const std::lock_guard lock(mutex_);
  if (known_revision >= NewestRevision()) return {};
  const std::string* base = Find(known_revision);
  const std::uint64_t number = base == nullptr ? 0 : known_revision;
  TextDelta& delta = delta_cache_[number];
  if (delta.frame.empty()) {
    delta = {number, CompressDelta(base == nullptr ? std::string_view() : *base,
                                   revisions_.back().text)};
  }
  return delta;
}

void RevisionedText::KeepReceivedDelta(std::uint64_t revision,
                                       const TextDelta& delta) {
  const std::lock_guard lock(mutex_);
  const bool is_usable = revision == NewestRevision() &&
                         (delta.base == 0 || Find(delta.base) != nullptr);
  if (is_usable) delta_cache_.try_emplace(delta.base, delta);
}

Result<std::string> RevisionedText::Read(const TextDelta& delta) const {
  if (delta.base == 0) return DecompressDelta({}, delta.frame);
  const std::lock_guard lock(mutex_);
  const std::string* base = Find(delta.base);
  if (base == nullptr) {
    return InvalidDelta("base revision " + std::to_string(delta.base) +
                        " is not available");
  }
  return DecompressDelta(*base, delta.frame);
}

}  // namespace balsam::revisions
