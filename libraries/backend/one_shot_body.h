// A request body that can be read only once. QNetworkAccessManager repeats a
// request when its connection closes before the response. It cannot do so if
// the body does not rewind, which guarantees at-most-once delivery.
#pragma once

#include <QByteArray>
#include <QIODevice>
#include <atomic>

namespace balsam::backend {

class OneShotBody : public QIODevice {
  Q_OBJECT

 public:
  explicit OneShotBody(QByteArray content, QObject* parent = nullptr);

  bool isSequential() const override { return true; }
  bool atEnd() const override { return position_ >= content_.size(); }
  qint64 bytesAvailable() const override;
  bool reset() override { return false; }
  bool seek(qint64) override { return false; }

 protected:
  qint64 readData(char* buffer, qint64 size) override;
  qint64 writeData(const char*, qint64) override { return -1; }

 private:
  QByteArray content_;
  qint64 position_ = 0;
};

}  // namespace balsam::backend
