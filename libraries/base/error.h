// The error object of Boost.LEAF results, and the result type of functions that
// can fail.
#pragma once

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>
#include <string>
#include <utility>

#include "libraries/base/result_code.h"

namespace balsam {

namespace leaf = boost::leaf;

// A numbered code, and a detail that names the affected object and the reason.
struct Error {
  ResultCode code = ResultCode::kOk;
  std::string detail;
};

template <typename T>
using Result = leaf::result<T>;

inline leaf::error_id Fail(ResultCode code, std::string detail) {
  return leaf::new_error(Error{code, std::move(detail)});
}

// Calls `attempt`, which returns Result<T>; on failure returns
// `handle(const Error&)` instead.
template <typename Attempt, typename Handle>
auto TryOr(Attempt&& attempt, Handle&& handle) {
  return leaf::try_handle_all(
      std::forward<Attempt>(attempt),
      [&](const Error& error) { return handle(error); },
      [&] {
        return handle(
            Error{ResultCode::kInvalidSettings, "unidentified error"});
      });
}

}  // namespace balsam
