// Requests for frames of texts, resumed by range (RFC 9110, section 14).
#include "services/gateway/text_exchange.h"

#include <QUrl>
#include <QUrlQuery>
#include <algorithm>
#include <charconv>
#include <utility>

#include "libraries/base/log_event.h"
#include "libraries/membership/rendezvous.h"

namespace balsam::gateway {
namespace {

using revisions::RevisionedEntry;
using std::chrono::milliseconds;

constexpr char kPath[] = "/text";
constexpr char kKey[] = "key";
// The revision that the receiver has; zero for none.
constexpr char kBase[] = "base";
constexpr char kTextRevision[] = "Text-Revision";
constexpr char kTextBase[] = "Text-Base";
constexpr char kTag[] = "ETag";
constexpr char kRange[] = "Range";
constexpr char kIfRange[] = "If-Range";
constexpr std::string_view kRangeUnit = "bytes=";
constexpr char kContentType[] = "application/zstd";
constexpr int kOk = 200;
constexpr int kPartialContent = 206;

// Gateways are milliseconds apart, and another peer is used instead of one that
// does not respond.
constexpr milliseconds kConnectTimeout{200};
// Texts that are kept of each key. A gateway that has an older one is sent the
// whole.
constexpr std::size_t kKeptTexts = 4;

std::uint64_t ParseNumber(std::string_view text) {
  std::uint64_t number = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  return error == std::errc() && end == text.data() + text.size() ? number : 0;
}

std::uint64_t FieldNumber(const http1::FieldList& fields, const char* name) {
  const std::string* value = fields.Find(name);
  return value == nullptr ? 0 : ParseNumber(*value);
}

std::string FieldText(const http1::FieldList& fields, const char* name) {
  const std::string* value = fields.Find(name);
  return value == nullptr ? std::string() : *value;
}

// Number of bytes at the beginning of the frame that the receiver has.
std::size_t BytesToSkip(const http1::FieldList& fields, const std::string& tag,
                        std::size_t frame_bytes) {
  const std::string* range = fields.Find(kRange);
  if (range == nullptr || !range->starts_with(kRangeUnit) ||
      FieldText(fields, kIfRange) != tag) {
    return 0;
  }
  std::string_view first = std::string_view(*range).substr(kRangeUnit.size());
  first = first.substr(0, first.find('-'));
  const std::uint64_t skipped = ParseNumber(first);
  return skipped < frame_bytes ? static_cast<std::size_t>(skipped) : 0;
}

}  // namespace

TextExchange::TextExchange(std::uint16_t port, Limits limits,
                           const revisions::RevisionedMap& replica)
    : port_(port),
      limits_(limits),
      replica_(replica),
      sent_limiter_(limits.sent_bytes_per_second),
      patience_(limits.patience) {
  patience_timer_.setSingleShot(true);
  connect(&patience_timer_, &QTimer::timeout, this,
          &TextExchange::OnPatienceEnded);
  retry_timer_.setSingleShot(true);
  connect(&retry_timer_, &QTimer::timeout, this, [this] {
    failed_.clear();
    RequestNext();
  });
}

bool TextExchange::IsTarget(const std::string& target) {
  return target.starts_with(kPath) && target[sizeof(kPath) - 1] == '?';
}

void TextExchange::Keep(const std::string& key) {
  const std::string* text = replica_.Find(key);
  if (text == nullptr || !IsLong(*text)) return;
  const std::uint64_t revision = replica_.RevisionOf(key);
  revisions::RevisionedText& kept =
      texts_.try_emplace(key, kKeptTexts).first->second;
  if (kept.revision() < revision) kept.SetCurrent(revision, *text);
}

HttpResponse TextExchange::Serve(const http1::RequestHead& head) {
  const QUrlQuery query(QUrl(QString::fromStdString(head.target)));
  const std::string key =
      query.queryItemValue(kKey, QUrl::FullyDecoded).toStdString();
  Keep(key);
  const auto kept = texts_.find(key);
  const revisions::TextDelta delta =
      kept == texts_.end() ? revisions::TextDelta{}
                           : kept->second.DeltaFrom(ParseNumber(
                                 query.queryItemValue(kBase).toStdString()));
  if (delta.frame.empty()) return {404, "text/plain", {}};
  const std::uint64_t revision = kept->second.revision();
  const std::string tag =
      '"' + std::to_string(revision) + '-' + std::to_string(delta.base) + '-' +
      std::to_string(delta.frame.size()) + '-' +
      std::to_string(membership::StableHash(delta.frame)) + '"';
  const std::size_t skipped = BytesToSkip(head.fields, tag, delta.frame.size());
  if (!sent_limiter_.TryConsume(delta.frame.size() - skipped,
                                BootClock::now())) {
    return {503, "text/plain", {}};
  }
  HttpResponse response{skipped > 0 ? kPartialContent : kOk, kContentType,
                        delta.frame.substr(skipped)};
  response.fields.Add(kTextRevision, std::to_string(revision));
  response.fields.Add(kTextBase, std::to_string(delta.base));
  response.fields.Add(kTag, tag);
  return response;
}

void TextExchange::Fetch(const gossip::TextReference& text,
                         const std::string& ip) {
  std::uint64_t& revision = wanted_[text.key];
  revision = std::max(revision, text.revision);
  // A request in progress is not given up for a later text: while texts change
  // often, none would arrive.
  if (request_.has_value()) return;
  failed_.erase(ip);
  preferred_ip_ = ip;
  RequestNext();
}

void TextExchange::DropKnown() {
  std::erase_if(wanted_, [this](const auto& item) {
    return replica_.RevisionOf(item.first) >= item.second;
  });
  if (!request_.has_value() || wanted_.contains(request_->key)) return;
  request_->connection->Abort();
  request_->connection->deleteLater();
  request_.reset();
  patience_timer_.stop();
  partial_.reset();
  RequestNext();
}

std::optional<std::string> TextExchange::NextSource(
    std::uint64_t revision) const {
  if (!preferred_ip_.empty() && !failed_.contains(preferred_ip_)) {
    return preferred_ip_;
  }
  const std::vector<std::string> peers = sources(revision);
  const auto found = std::ranges::find_if(
      peers, [this](const std::string& ip) { return !failed_.contains(ip); });
  return found == peers.end() ? std::nullopt : std::optional(*found);
}

void TextExchange::RequestNext() {
  if (request_.has_value() || wanted_.empty()) return;
  const auto& [key, revision] = *wanted_.begin();
  if (const auto ip = NextSource(revision)) {
    SendRequest(key, *ip);
  } else {
    retry_timer_.start(limits_.retry_delay);
  }
}

void TextExchange::SendRequest(const std::string& key, const std::string& ip) {
  retry_timer_.stop();
  Keep(key);
  if (partial_.has_value() && partial_->key != key) partial_.reset();
  const bool has_base = !needs_whole_ && replica_.Find(key) != nullptr;
  QUrlQuery query;
  query.addQueryItem(kKey,
                     QUrl::toPercentEncoding(QString::fromStdString(key)));
  query.addQueryItem(kBase,
                     QString::number(has_base ? replica_.RevisionOf(key) : 0));
  http1::RequestHead head;
  head.method = "GET";
  head.target = std::string(kPath) + '?' +
                query.toString(QUrl::FullyEncoded).toStdString();
  const directory::Endpoint peer{ip, port_};
  head.fields.Add("Host", peer.ToString());
  head.fields.Add("Connection", "close");
  Request request;
  request.key = key;
  request.ip = ip;
  if (partial_.has_value()) {
    request.kept_bytes = partial_->bytes.size();
    head.fields.Add(kRange, std::string(kRangeUnit) +
                                std::to_string(request.kept_bytes) + '-');
    head.fields.Add(kIfRange, partial_->tag);
  }
  request.connection = new OutboundConnection(peer, {kConnectTimeout}, this);
  request.connection->AllowBulkResponses(limits_.progress);
  request_ = request;
  patience_timer_.start(patience_);
  request.connection->Call(
      http1::Serialize(head, {}), limits_.response_timeout,
      [this, request](const OutboundConnection::Response& response) {
        request.connection->deleteLater();
        request_.reset();
        patience_timer_.stop();
        OnResponse(request, response);
        RequestNext();
      });
}

void TextExchange::OnPatienceEnded() {
  if (!request_.has_value()) return;
  const std::string slow_ip = request_->ip;
  failed_.insert(slow_ip);
  const auto wanted = wanted_.find(request_->key);
  const bool has_other =
      wanted != wanted_.end() && NextSource(wanted->second).has_value();
  failed_.erase(slow_ip);
  if (!has_other) return;
  patience_ *= 2;
  request_->connection->GiveUp();
}

void TextExchange::OnResponse(const Request& request,
                              const OutboundConnection::Response& response) {
  const bool is_complete =
      response.end == OutboundConnection::EndReason::kComplete;
  const int status = response.head.status;
  const bool is_rest = status == kPartialContent && partial_.has_value() &&
                       partial_->bytes.size() == request.kept_bytes;
  if (is_complete && (status == kOk || is_rest)) {
    const std::string frame =
        is_rest ? partial_->bytes + response.body : response.body;
    OnFrame(request, response.head, frame);
    return;
  }
  KeepPartial(request, response);
  failed_.insert(request.ip);
  LogEvent("text_fetch_failed", LogEvent::Level::kWarning)
      .With("peer", request.ip)
      .With("end", OutboundConnection::NameOf(response.end))
      .With("status", status)
      .With("bytes", response.body.size())
      .With("kept", partial_.has_value() ? partial_->bytes.size() : 0);
}

void TextExchange::KeepPartial(const Request& request,
                               const OutboundConnection::Response& response) {
  const std::string tag = FieldText(response.head.fields, kTag);
  if (response.body.empty() || tag.empty()) return;
  if (response.head.status == kPartialContent) {
    if (partial_.has_value() && partial_->tag == tag &&
        partial_->bytes.size() == request.kept_bytes) {
      partial_->bytes += response.body;
    }
    return;
  }
  const bool is_more =
      !partial_.has_value() || partial_->bytes.size() < response.body.size();
  if (response.head.status == kOk && is_more) {
    partial_ = Partial{request.key, tag, response.body};
  }
}

Result<RevisionedEntry> TextExchange::Decode(const std::string& key,
                                             const http1::ResponseHead& head,
                                             const std::string& frame) {
  revisions::RevisionedText& kept =
      texts_.try_emplace(key, kKeptTexts).first->second;
  const revisions::TextDelta delta{FieldNumber(head.fields, kTextBase), frame};
  RevisionedEntry entry{key, FieldNumber(head.fields, kTextRevision), {}};
  if (entry.revision <= replica_.RevisionOf(key)) {
    return Fail(ResultCode::kInvalidPeerMessage,
                "revision " + std::to_string(entry.revision) + " is not newer");
  }
  BOOST_LEAF_ASSIGN(entry.value, kept.Read(delta));
  kept.SetCurrent(entry.revision, *entry.value);
  kept.KeepReceivedDelta(entry.revision, delta);
  return entry;
}

void TextExchange::OnFrame(const Request& request,
                           const http1::ResponseHead& head,
                           const std::string& frame) {
  partial_.reset();
  auto entry = TryOr(
      [&]() -> Result<std::optional<RevisionedEntry>> {
        BOOST_LEAF_AUTO(decoded, Decode(request.key, head, frame));
        return std::optional(std::move(decoded));
      },
      [&](const Error& error) {
        LogEvent("text_refused", LogEvent::Level::kWarning)
            .With("peer", request.ip)
            .With("bytes", frame.size())
            .With("reason", error.detail);
        return std::optional<RevisionedEntry>();
      });
  if (!entry.has_value()) {
    needs_whole_ = true;
    failed_.insert(request.ip);
    return;
  }
  needs_whole_ = false;
  patience_ = limits_.patience;
  failed_.clear();
  preferred_ip_ = request.ip;
  LogEvent("text_from_peer")
      .With("peer", request.ip)
      .With("revision", entry->revision)
      .With("base", FieldNumber(head.fields, kTextBase))
      .With("frame", frame.size())
      .With("bytes", entry->value->size());
  const auto wanted = wanted_.find(request.key);
  if (wanted != wanted_.end() && wanted->second <= entry->revision) {
    wanted_.erase(wanted);
  }
  on_text(*std::move(entry));
}

}  // namespace balsam::gateway
