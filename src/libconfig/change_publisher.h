#pragma once

#include <functional>
#include <string>

#include "libconfig/config_state_machine.h"

namespace mulberry {

/// The configuration log as an author of changes uses it. Calls return when they are done.
class ConfigLog {
 public:
  virtual ~ConfigLog() = default;

  /// Reads until nothing is unread. Errors: kUnavailable, kTimeout, kCorrupt.
  virtual Result<void> ReadToEnd() = 0;
  /// Appends a record. Errors: kTooLarge; with any other one it may have been appended.
  virtual Result<Offset> Append(const std::string& record) = 0;
  /// Waits for a moment before the next try.
  virtual void WaitBeforeRetry() = 0;
  /// True when the author does not want to wait any longer.
  virtual bool DeadlineExceeded() const = 0;
  /// The configuration as read so far.
  virtual const ConfigStateMachine& state_machine() const = 0;
};

/// How publishing a change ended.
enum class PublishCode {
  kAccepted,
  kRejected,     ///< Judged and not accepted; it will never be in force.
  kUnknown,      ///< It may be in the log; its fate was not seen in time.
  kInvalid,      ///< Refused before it was appended.
  kUnreachable,  ///< The log could not be read; nothing was appended.
};

/// Returns the snake_case name of an end.
const char* PublishCodeName(PublishCode code);

struct PublishReport {
  PublishCode code = PublishCode::kUnreachable;
  ChangeId change;
  Offset version;  ///< Of the item, when accepted.
  std::string message;
  ItemVersion conflict;  ///< The change that was in the way, when rejected for it.
};

/// Publishes one change and waits for its fate. A lost answer to the append is met by another
/// append under the same change id, which can't be accepted twice. Not thread safe.
class ChangePublisher {
 public:
  /// Makes the change from the configuration as read; its base is filled in by the publisher where
  /// it is zero. An error refuses the change.
  using ChangeFactory = std::function<Result<Change>(const ConfigState&)>;

  explicit ChangePublisher(ConfigLog& log) : log_(log) {}

  PublishReport Publish(const ChangeFactory& draft);

 private:
  PublishReport AppendUntilJudged(const Change& change, const std::string& record);

  ConfigLog& log_;
};

/// Describes the fate of a change that was judged.
PublishReport ReportOf(const ChangeResult& fate);

}  // namespace mulberry
