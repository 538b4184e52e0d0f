// Packing with Zstandard.
#include "libraries/revisions/revisioned_text.h"

#include <zstd.h>

#include <algorithm>
#include <memory>
#include <utility>

namespace balsam::revisions {
namespace {

// Askers are a few revisions behind at most; older ones get the whole text.
constexpr std::size_t kKeptRevisions = 8;
// Base and text lie in one window.
constexpr int kWindowLog = 22;

leaf::error_id Damaged(const std::string& reason) {
  return Fail(ResultCode::kInvalidPeerMessage, "packed text: " + reason);
}

}  // namespace

std::string Pack(std::string_view base, std::string_view text) {
  const std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)> context(
      ZSTD_createCCtx(), &ZSTD_freeCCtx);
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, kWindowLog);
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_enableLongDistanceMatching, 1);
  ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size());
  std::string frame(ZSTD_compressBound(text.size()), '\0');
  const std::size_t size = ZSTD_compress2(
      context.get(), frame.data(), frame.size(), text.data(), text.size());
  // The bound above leaves no way to fail but for want of memory.
  frame.resize(ZSTD_isError(size) != 0U ? 0 : size);
  return frame;
}

Result<std::string> Unpack(std::string_view base, std::string_view frame) {
  const auto size = ZSTD_getFrameContentSize(frame.data(), frame.size());
  if (size == ZSTD_CONTENTSIZE_UNKNOWN || size == ZSTD_CONTENTSIZE_ERROR) {
    return Damaged("no frame with a size");
  }
  if (size > kMaxTextBytes) {
    return Damaged("holds " + std::to_string(size) + " bytes");
  }
  const std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)> context(
      ZSTD_createDCtx(), &ZSTD_freeDCtx);
  ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
  std::string text(size, '\0');
  const std::size_t done = ZSTD_decompressDCtx(
      context.get(), text.data(), text.size(), frame.data(), frame.size());
  if (ZSTD_isError(done) != 0U) {
    return Damaged(ZSTD_getErrorName(done));
  }
  return text;
}

void RevisionedText::Adopt(std::uint64_t revision, std::string text) {
  const std::lock_guard lock(mutex_);
  if (revision <= Newest()) return;
  revisions_.push_back({revision, std::move(text)});
  if (revisions_.size() > kKeptRevisions) revisions_.pop_front();
  changes_.clear();
}

std::uint64_t RevisionedText::revision() const {
  const std::lock_guard lock(mutex_);
  return Newest();
}

std::uint64_t RevisionedText::Newest() const {
  return revisions_.empty() ? 0 : revisions_.back().number;
}

const std::string* RevisionedText::Find(std::uint64_t revision) const {
  const auto found = std::ranges::find(revisions_, revision, &Revision::number);
  return found == revisions_.end() ? nullptr : &found->text;
}

TextChange RevisionedText::ChangeFrom(std::uint64_t known) const {
  const std::lock_guard lock(mutex_);
  if (known >= Newest()) return {};
  const std::string* base = Find(known);
  const std::uint64_t number = base == nullptr ? 0 : known;
  TextChange& change = changes_[number];
  if (change.frame.empty()) {
    change = {number, Pack(base == nullptr ? std::string_view() : *base,
                           revisions_.back().text)};
  }
  return change;
}

Result<std::string> RevisionedText::Read(const TextChange& change) const {
  if (change.base == 0) return Unpack({}, change.frame);
  const std::lock_guard lock(mutex_);
  const std::string* base = Find(change.base);
  if (base == nullptr) {
    return Damaged("builds on revision " + std::to_string(change.base) +
                   ", which is not held");
  }
  return Unpack(*base, change.frame);
}

}  // namespace balsam::revisions
