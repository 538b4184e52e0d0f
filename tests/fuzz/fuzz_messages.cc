// Fuzzes the decoder of peer messages.
#include <cstddef>
#include <cstdint>

#include "libraries/peer/messages.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const QByteArray frame(reinterpret_cast<const char*>(data),
                         static_cast<qsizetype>(size));
  balsam::TryOr(
      [&]() -> balsam::Result<bool> {
        BOOST_LEAF_AUTO(message, balsam::peer::Decode(frame));
        // A decoded message must encode to a valid frame.
        BOOST_LEAF_CHECK(balsam::peer::Decode(balsam::peer::Encode(message)));
        return true;
      },
      [](const balsam::Error&) { return false; });
  return 0;
}
