#pragma once

#include <functional>
#include <string>

#include "libconfig/config_state_machine.h"

namespace mulberry {

/// Access to the configuration log for the author of a change. All calls block until they are done.
class ConfigLog {
 public:
  virtual ~ConfigLog() = default;

  /// Reads and applies all records up to the end of the log. Errors: kUnavailable, kTimeout,
  /// kCorrupt.
  virtual Result<void> ReadToEnd() = 0;
  /// Appends a record. Errors: kTooLarge; after any other error the record may have been appended.
  virtual Result<Offset> Append(const std::string& record) = 0;
  /// Waits before the next attempt.
  virtual void WaitBeforeRetry() = 0;
  /// True when the time allowed for publishing the change has passed.
  virtual bool DeadlineExceeded() const = 0;
  /// The configuration after the records read so far.
  virtual const ConfigStateMachine& state_machine() const = 0;
};

/// Outcome of publishing a change.
enum class PublishCode {
  kAccepted,
  kRejected,     ///< Evaluated and not accepted; it never takes effect.
  kUnknown,      ///< It may be in the log; its outcome was not read in time.
  kInvalid,      ///< Rejected by validation before the append.
  kUnreachable,  ///< The log could not be read; nothing was appended.
};

/// Returns the snake_case name of a code.
const char* PublishCodeName(PublishCode code);

/// Result of publishing a change.
struct PublishReport {
  PublishCode code = PublishCode::kUnreachable;
  ChangeId change;
  Offset version;  ///< Version of the item if the change was accepted.
  std::string message;
  ItemVersion conflict;  ///< Version of the conflicting item, if that caused the rejection.
};

/// Publishes one change and waits for its result. If the response to an append is lost, the change
/// is appended again under the same change id; a change id is accepted at most once. Not thread
/// safe.
class ChangePublisher {
 public:
  /// Creates the change from the current configuration. If the base is zero, the publisher sets it.
  /// An error prevents the change from being appended.
  using ChangeFactory = std::function<Result<Change>(const ConfigState&)>;

  explicit ChangePublisher(ConfigLog& log) : log_(log) {}

  PublishReport Publish(const ChangeFactory& make_change);

 private:
  PublishReport AppendUntilEvaluated(const Change& change, const std::string& record);

  ConfigLog& log_;
};

/// Converts the result of an evaluated change.
PublishReport ReportOf(const ChangeResult& result);

}  // namespace mulberry
