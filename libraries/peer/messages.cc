// One `VisitFields` for each message lists its fields. The writer and the
// reader both use that list, so encoding and decoding cannot diverge.
#include "libraries/peer/messages.h"

#include <QCborArray>
#include <QCborMap>
#include <QCborStreamReader>
#include <QCborValue>
#include <algorithm>
#include <concepts>
#include <type_traits>
#include <utility>

namespace balsam::peer {
namespace {

using std::chrono::milliseconds;

QByteArray AsBytes(const std::string& text) {
  return QByteArray::fromRawData(text.data(),
                                 static_cast<qsizetype>(text.size()));
}

// Writes fields into a CBOR map.
class FieldWriter {
 public:
  static constexpr bool kIsReader = false;

  void operator()(int number, const std::string& value) {
    map_.insert(number, QCborValue(AsBytes(value)));
  }
  void operator()(int number, bool value) { map_.insert(number, value); }
  void operator()(int number, double value) { map_.insert(number, value); }
  void operator()(int number, milliseconds value) {
    map_.insert(number, static_cast<qint64>(value.count()));
  }
  void operator()(int number, WallTime value) {
    (*this)(number, value.time_since_epoch());
  }
  template <std::integral Value>
    requires(!std::same_as<Value, bool>)
  void operator()(int number, Value value) {
    map_.insert(number, static_cast<qint64>(value));
  }
  template <typename Value>
    requires std::is_enum_v<Value>
  void operator()(int number, Value value) {
    map_.insert(number, static_cast<qint64>(value));
  }
  void operator()(int number, const std::vector<std::string>& values) {
    QCborArray array;
    std::ranges::for_each(values, [&array](const std::string& value) {
      array.append(QCborValue(AsBytes(value)));
    });
    map_.insert(number, array);
  }
  template <typename Value>
  void Nested(int number, Value& value) {
    FieldWriter inner;
    VisitFields(inner, value);
    map_.insert(number, inner.map_);
  }

  const QCborMap& map() const { return map_; }

 private:
  QCborMap map_;
};

// Reads fields from a CBOR map; remembers the first invalid one.
class FieldReader {
 public:
  static constexpr bool kIsReader = true;

  explicit FieldReader(const QCborMap& map) : map_(map) {}

  void operator()(int number, std::string& value) {
    const QCborValue field = FindField(number);
    if (field.isUndefined()) return;
    if (!field.isByteArray()) return MarkInvalid(number);
    value = field.toByteArray().toStdString();
  }
  void operator()(int number, bool& value) {
    const QCborValue field = FindField(number);
    if (field.isUndefined()) return;
    if (!field.isBool()) return MarkInvalid(number);
    value = field.toBool();
  }
  void operator()(int number, double& value) {
    const QCborValue field = FindField(number);
    if (field.isUndefined()) return;
    if (!field.isDouble() && !field.isInteger()) return MarkInvalid(number);
    value = field.toDouble();
  }
  void operator()(int number, milliseconds& value) {
    std::int64_t count = value.count();
    (*this)(number, count);
    // This bound is far above realistic durations and keeps later sums from
    // overflowing.
    constexpr std::int64_t kMax = std::int64_t{1} << 48;
    if (count < 0 || count > kMax) return MarkInvalid(number);
    value = milliseconds(count);
  }
  void operator()(int number, WallTime& value) {
    milliseconds since = value.time_since_epoch();
    (*this)(number, since);
    value = WallTime(since);
  }
  template <std::integral Value>
    requires(!std::same_as<Value, bool>)
  void operator()(int number, Value& value) {
    const QCborValue field = FindField(number);
    if (field.isUndefined()) return;
    if (!field.isInteger()) return MarkInvalid(number);
    value = static_cast<Value>(field.toInteger());
  }
  template <typename Value>
    requires std::is_enum_v<Value>
  void operator()(int number, Value& value) {
    auto raw = static_cast<std::int64_t>(value);
    (*this)(number, raw);
    value = static_cast<Value>(raw);
    if (!IsValid(value)) MarkInvalid(number);
  }
  void operator()(int number, std::vector<std::string>& values) {
    const QCborValue field = FindField(number);
    if (field.isUndefined()) return;
    if (!field.isArray()) return MarkInvalid(number);
    const QCborArray array = field.toArray();
    values.reserve(static_cast<std::size_t>(array.size()));
    for (const QCborValue item : array) {
      if (!item.isByteArray()) return MarkInvalid(number);
      values.push_back(item.toByteArray().toStdString());
    }
  }
  template <typename Value>
  void Nested(int number, Value& value) {
    const QCborValue field = FindField(number);
    if (field.isUndefined()) return;
    if (!field.isMap()) return MarkInvalid(number);
    FieldReader inner(field.toMap());
    VisitFields(inner, value);
    if (inner.invalid_field_.has_value()) MarkInvalid(number);
  }

  void MarkInvalid(int number) {
    if (!invalid_field_.has_value()) invalid_field_ = number;
  }
  std::optional<int> invalid_field() const { return invalid_field_; }

 private:
  QCborValue FindField(int number) const { return map_.value(qint64{number}); }

  static bool IsValid(execution::WorkKind kind) {
    return kind == execution::WorkKind::kGeneration ||
           kind == execution::WorkKind::kCall;
  }
  static bool IsValid(RunState state) {
    return state >= RunState::kNotRun && state <= RunState::kUnknown;
  }
  static bool IsValid(ResultCode code) {
    return ResultCodeFromNumber(static_cast<int>(code)).has_value();
  }

  QCborMap map_;
  std::optional<int> invalid_field_;
};

template <typename Fields>
void VisitFields(Fields& fields, execution::LoadReport& load) {
  fields(1, load.capacity_tokens);
  fields(2, load.resident_tokens);
  fields(3, load.peak_load);
  fields(4, load.running);
  fields(5, load.queued);
  fields(6, load.expected_wait);
  fields(7, load.draining);
  fields(8, load.list_revision);
}

template <typename Fields>
void VisitFields(Fields& fields, Outcome& outcome) {
  fields(1, outcome.code);
  fields(2, outcome.run_state);
  fields(3, outcome.detail);
  fields(4, outcome.retry_after);
  fields(5, outcome.total_tokens);
  fields(6, outcome.http_status);
  fields(7, outcome.content_type);
  fields(8, outcome.body);
}

template <typename Fields>
void VisitIdempotencyKey(Fields& fields, int number,
                         std::optional<execution::IdempotencyKey>& key) {
  std::string text = key.has_value() ? key->text : std::string();
  fields(number, text);
  if constexpr (Fields::kIsReader) {
    if (text.empty()) return;
    // The key's creation time is part of its text and is not sent separately.
    key = TryOr(
        [&]() -> Result<std::optional<execution::IdempotencyKey>> {
          BOOST_LEAF_AUTO(parsed, execution::IdempotencyKey::Parse(text));
          return std::optional(parsed);
        },
        [&](const Error&) -> std::optional<execution::IdempotencyKey> {
          fields.MarkInvalid(number);
          return std::nullopt;
        });
  }
}

template <typename Fields>
void VisitFields(Fields& fields, execution::WorkItem& work) {
  fields(1, work.request_id);
  fields(2, work.workspace);
  fields(3, work.template_name);
  fields(4, work.service_class);
  fields(5, work.model);
  fields(6, work.kind);
  fields(7, work.whole);
  fields(8, work.idempotent);
  VisitIdempotencyKey(fields, 9, work.key);
  fields(10, work.ticket);
  fields(11, work.fingerprint);
  fields(12, work.crash_count);
  fields(13, work.list_revision);
  fields(14, work.prompt_tokens);
  fields(15, work.max_output_tokens);
  fields(16, work.priority);
  fields(17, work.weight);
  fields(18, work.overflow_risk);
  fields(19, work.queue_limit);
  fields(20, work.queue_deadline);
  fields(21, work.run_deadline);
  fields(22, work.received);
  fields(23, work.method);
  fields(24, work.path);
  fields(25, work.content_type);
  fields(26, work.body);
  fields(27, work.over_budget);
  if constexpr (Fields::kIsReader) {
    // The negated comparisons also reject NaN.
    if (!(work.weight > 0.0)) fields.MarkInvalid(17);
    if (!(work.overflow_risk > 0.0 && work.overflow_risk < 1.0)) {
      fields.MarkInvalid(18);
    }
    if (work.prompt_tokens < 0 || work.max_output_tokens < 0) {
      fields.MarkInvalid(14);
    }
  }
}

template <typename Fields>
void VisitFields(Fields& fields, ExecuteRequest& message) {
  fields.Nested(1, message.work);
}

template <typename Fields>
void VisitFields(Fields& fields, ResumeRequest& message) {
  fields(1, message.request_id);
  fields(2, message.workspace);
  fields(3, message.generation);
  fields(4, message.next);
}

template <typename Fields>
void VisitFields(Fields& fields, TicketRequest& message) {
  fields(1, message.workspace);
}

template <typename Fields>
void VisitFields(Fields& fields, TicketReply& message) {
  fields(1, message.ticket);
}

template <typename Fields>
void VisitFields(Fields& fields, ConfirmRequest& message) {
  fields(1, message.vm);
  fields(2, message.incarnation);
  fields(3, message.list_revision);
  fields(4, message.list_text);
  fields(5, message.keys_relinquished);
}

template <typename Fields>
void VisitFields(Fields& fields, ConfirmReply& message) {
  fields(1, message.confirmation.vm);
  fields(2, message.confirmation.incarnation);
  fields(3, message.confirmation.list_revision);
  fields(4, message.confirmation.keys_relinquished);
  fields(5, message.confirmation.requester_superseded);
  fields(6, message.list_text);
}

template <typename Fields>
void VisitFields(Fields& fields, revisions::TextDelta& change) {
  fields(1, change.base);
  fields(2, change.frame);
}

template <typename Fields>
void VisitFields(Fields& fields, GossipRequest& message) {
  fields(1, message.vm);
  fields(2, message.template_revision);
  fields(3, message.list_revision);
  fields(4, message.wants_full_text);
  fields.Nested(5, message.list_change);
  fields(6, message.crash_evidence);
}

template <typename Fields>
void VisitFields(Fields& fields, GossipReply& message) {
  fields(1, message.template_revision);
  fields(2, message.list_revision);
  fields.Nested(3, message.template_change);
  fields.Nested(4, message.list_change);
  fields(5, message.crash_evidence);
}

template <typename Fields>
void VisitFields(Fields& fields, AcceptedReply& message) {
  fields(1, message.generation);
  fields.Nested(2, message.load);
  fields(3, message.path);
  fields(4, message.model);
}

template <typename Fields>
void VisitFields(Fields& fields, TokensReply& message) {
  fields(1, message.generation);
  fields(2, message.first);
  fields(3, message.tokens);
}

template <typename Fields>
void VisitFields(Fields& fields, FinishedReply& message) {
  fields(1, message.generation);
  fields.Nested(2, message.outcome);
  fields(3, message.crash_count);
  fields.Nested(4, message.load);
  fields(5, message.is_suspected);
  fields(6, message.crash_age);
  fields(7, message.run_age);
}

template <typename Fields>
void VisitFields(Fields& fields, orders::DesiredState& desired) {
  fields(1, desired.revision);
  fields(2, desired.state.model);
  fields(3, desired.state.adapter);
  fields(4, desired.state.version);
  fields(5, desired.state.role);
  fields(6, desired.load_delay);
}

template <typename Fields>
void VisitFields(Fields& fields, OrderNotice& message) {
  fields(1, message.vm);
  fields.Nested(2, message.desired);
  fields(3, message.challenge);
}

template <typename Fields>
void VisitFields(Fields& fields, OrderReply& message) {
  fields(1, message.revision);
  fields(2, message.settled);
  fields(3, message.superseded);
  fields(4, message.challenge);
}

// Constructs the alternative of `Message` with this index and reads its fields.
template <std::size_t index = 0>
Result<Message> ReadAlternative(std::size_t number, const QCborMap& map) {
  if constexpr (index < std::variant_size_v<Message>) {
    if (number != index) return ReadAlternative<index + 1>(number, map);
    std::variant_alternative_t<index, Message> message;
    FieldReader fields(map);
    VisitFields(fields, message);
    if (fields.invalid_field().has_value()) {
      return Fail(ResultCode::kInvalidPeerMessage,
                  "message " + std::to_string(number) + ": field " +
                      std::to_string(*fields.invalid_field()) + " is invalid");
    }
    return Message(std::move(message));
  }
  return Fail(ResultCode::kInvalidPeerMessage,
              "message number " + std::to_string(number) + " is unknown");
}

}  // namespace

QByteArray Encode(const Message& message) {
  FieldWriter fields;
  // FieldWriter only reads the message, but VisitFields takes it as mutable.
  std::visit(
      [&fields](const auto& alternative) {
        using Alternative = std::remove_cvref_t<decltype(alternative)>;
        VisitFields(fields, const_cast<Alternative&>(alternative));
      },
      message);
  const QCborArray frame{static_cast<qint64>(message.index()), fields.map()};
  return QCborValue(frame).toCbor();
}

Result<Message> Decode(const QByteArray& frame) {
  QCborParserError error;
  const QCborValue value = QCborValue::fromCbor(frame, &error);
  if (error.error != QCborError::NoError) {
    return Fail(ResultCode::kInvalidPeerMessage,
                "frame is not CBOR: " + error.errorString().toStdString());
  }
  const QCborArray array = value.toArray();
  if (array.size() != 2 || !array.at(0).isInteger() || !array.at(1).isMap()) {
    return Fail(ResultCode::kInvalidPeerMessage,
                "frame is not an array of a number and a map");
  }
  const qint64 number = array.at(0).toInteger();
  if (number < 0) {
    return Fail(ResultCode::kInvalidPeerMessage,
                "message number " + std::to_string(number) + " is unknown");
  }
  return ReadAlternative(static_cast<std::size_t>(number), array.at(1).toMap());
}

std::optional<Message> DecodeIfValid(const QByteArray& frame) {
  return TryOr(
      [&]() -> Result<std::optional<Message>> {
        BOOST_LEAF_AUTO(message, Decode(frame));
        return std::optional<Message>(std::move(message));
      },
      [](const Error&) { return std::optional<Message>(); });
}

}  // namespace balsam::peer
