// A sequential device that cannot be rewound.
#include "libraries/backend/one_shot_body.h"

#include <algorithm>
#include <utility>

namespace balsam::backend {

OneShotBody::OneShotBody(QByteArray content, QObject* parent)
    : QIODevice(parent), content_(std::move(content)) {
  open(QIODevice::ReadOnly | QIODevice::Unbuffered);
}

qint64 OneShotBody::bytesAvailable() const {
  return content_.size() - position_ + QIODevice::bytesAvailable();
}

qint64 OneShotBody::readData(char* buffer, qint64 size) {
  if (atEnd()) return -1;
  const qint64 count = std::min(size, content_.size() - position_);
  std::copy_n(content_.constData() + position_, count, buffer);
  position_ += count;
  return count;
}

}  // namespace balsam::backend
