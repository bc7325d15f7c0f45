#include "libbase/error.h"

namespace mulberry {

const char* ErrorCodeName(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalidArgument:
      return "invalid_argument";
    case ErrorCode::kNotFound:
      return "not_found";
    case ErrorCode::kConflict:
      return "conflict";
    case ErrorCode::kTooLarge:
      return "too_large";
    case ErrorCode::kUnavailable:
      return "unavailable";
    case ErrorCode::kTimeout:
      return "timeout";
    case ErrorCode::kCorrupt:
      return "corrupt";
    case ErrorCode::kExpired:
      return "expired";
  }
  return "unknown";
}

}  // namespace mulberry
