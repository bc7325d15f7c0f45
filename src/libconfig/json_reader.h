#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace mulberry {

using Json = nlohmann::json;

/// Parses JSON without exceptions. For invalid text, is_discarded() of the result is true.
inline Json ParseJson(std::string_view text) { return Json::parse(text, nullptr, false); }

/// Serializes JSON as ASCII without exceptions; invalid UTF-8 is replaced.
inline std::string WriteJson(const Json& json) {
  return json.dump(-1, ' ', true, Json::error_handler_t::replace);
}

/// Reads typed members of a JSON object. After the first error all reads return empty values, so
/// that callers check error() only once. Not thread safe; the object must outlive the reader.
class JsonReader {
 public:
  explicit JsonReader(const Json& object) : object_(object) {
    if (!object.is_object()) error_ = "not a JSON object";
  }

  std::string String(const char* key) {
    const Json* member = Find(key);
    if (member != nullptr && !member->is_string()) return SetError<std::string>(key, "a string");
    return member == nullptr ? std::string() : member->get_ref<const std::string&>();
  }

  std::uint64_t Unsigned(const char* key) {
    const Json* member = Find(key);
    if (member != nullptr && !member->is_number_unsigned()) {
      return SetError<std::uint64_t>(key, "a non-negative integer");
    }
    return member == nullptr ? 0 : member->get<std::uint64_t>();
  }

  double Number(const char* key) {
    const Json* member = Find(key);
    if (member != nullptr && !member->is_number()) return SetError<double>(key, "a number");
    return member == nullptr ? 0.0 : member->get<double>();
  }

  bool Boolean(const char* key) {
    const Json* member = Find(key);
    if (member != nullptr && !member->is_boolean()) return SetError<bool>(key, "true or false");
    return member != nullptr && member->get<bool>();
  }

  /// Returns an array member, or an empty array after an error.
  const Json& Array(const char* key) {
    static const Json empty = Json::array();
    const Json* member = Find(key);
    if (member != nullptr && !member->is_array()) SetError<int>(key, "an array");
    return error_.empty() ? *member : empty;
  }

  /// Returns an object member, or an empty object after an error.
  const Json& Object(const char* key) {
    static const Json empty = Json::object();
    const Json* member = Find(key);
    if (member != nullptr && !member->is_object()) SetError<int>(key, "an object");
    return error_.empty() ? *member : empty;
  }

  /// Returns the first error, or an empty string.
  const std::string& error() const { return error_; }

 private:
  const Json* Find(const char* key) {
    if (!error_.empty()) return nullptr;
    const auto found = object_.find(key);
    if (found != object_.end()) return &*found;
    error_ = std::string(key) + " is missing";
    return nullptr;
  }

  template <class T>
  T SetError(const char* key, const char* expected) {
    error_ = std::string(key) + " must be " + expected;
    return T();
  }

  const Json& object_;
  std::string error_;
};

}  // namespace mulberry
