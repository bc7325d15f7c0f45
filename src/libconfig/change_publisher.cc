#include "libconfig/change_publisher.h"

#include <utility>

namespace mulberry {

const char* PublishCodeName(PublishCode code) {
  switch (code) {
    case PublishCode::kAccepted:
      return "accepted";
    case PublishCode::kRejected:
      return "rejected";
    case PublishCode::kUnknown:
      return "unknown";
    case PublishCode::kInvalid:
      return "invalid";
    case PublishCode::kUnreachable:
      return "unreachable";
  }
  return "unknown";
}

PublishReport ReportOf(const ChangeResult& fate) {
  const bool accepted = fate.outcome == ChangeOutcome::kAccepted;
  PublishReport report;
  report.code = accepted ? PublishCode::kAccepted : PublishCode::kRejected;
  report.change = fate.change;
  if (accepted) report.version = fate.offset;
  report.message = fate.message;
  report.conflict = fate.conflict;
  return report;
}

PublishReport ChangePublisher::Publish(const ChangeFactory& draft) {
  PublishReport report;
  const Result<void> read = log_.ReadToEnd();
  if (!read) {
    report.message = read.error().message;
    return report;
  }
  report.code = PublishCode::kInvalid;
  Result<Change> drafted = draft(log_.state_machine().state());
  if (!drafted) {
    report.message = drafted.error().message;
    return report;
  }
  Change change = std::move(drafted).value();
  report.change = change.id;
  if (change.base == Offset()) change.base = MinBaseOffset(log_.state_machine().state(), change);
  const Result<std::string> record = EncodeChange(change);
  if (!record) {
    report.message = record.error().message;
    return report;
  }
  return AppendUntilJudged(change, record.value());
}

PublishReport ChangePublisher::AppendUntilJudged(const Change& change, const std::string& record) {
  PublishReport report;
  report.change = change.id;
  bool appended = false;
  while (true) {
    if (!appended) {
      const Result<Offset> offset = log_.Append(record);
      appended = offset.has_value();
      if (!appended) report.message = offset.error().message;
      if (!appended && offset.error().code == ErrorCode::kTooLarge) {
        report.code = PublishCode::kInvalid;
        return report;
      }
    }
    const Result<void> read = log_.ReadToEnd();
    if (const ChangeResult* fate = log_.state_machine().ResultOf(change.id)) return ReportOf(*fate);
    if (!read) report.message = read.error().message;
    if (log_.DeadlineExceeded()) break;
    log_.WaitBeforeRetry();
  }
  report.code = PublishCode::kUnknown;
  return report;
}

}  // namespace mulberry
