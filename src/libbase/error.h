#pragma once

#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>
#include <string>
#include <utility>

namespace mulberry {

/// Category of an expected failure.
enum class ErrorCode {
  kInvalidArgument,
  kNotFound,
  kConflict,
  kTooLarge,
  kUnavailable,
  kTimeout,
  kCorrupt,
  kExpired,
};

/// Returns the snake_case name of a code, for logs and JSON.
const char* ErrorCodeName(ErrorCode code);

/// An expected failure: a code for the program and a message for the operator.
struct Error {
  ErrorCode code = ErrorCode::kInvalidArgument;
  std::string message;
};

/// A value or an Error. Reading the value of a failure, or the error of a success, is a programming
/// error and terminates the process.
template <class T>
using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::terminate>;

/// Returns a failure that converts to any Result type.
inline auto Fail(ErrorCode code, std::string message) {
  return boost::outcome_v2::failure(Error{code, std::move(message)});
}

}  // namespace mulberry
