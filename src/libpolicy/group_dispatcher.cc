#include "libpolicy/group_dispatcher.h"

#include <utility>

#include "libpolicy/group_dispatcher_impl.h"

namespace mulberry {

GroupDispatcher::GroupDispatcher(DispatcherOptions options)
    : impl_(std::make_unique<Impl>(options)) {}
GroupDispatcher::~GroupDispatcher() = default;
GroupDispatcher::GroupDispatcher(GroupDispatcher&&) noexcept = default;
GroupDispatcher& GroupDispatcher::operator=(GroupDispatcher&&) noexcept = default;

void GroupDispatcher::SetClasses(std::vector<ClassTarget> classes, TimePoint now,
                                 PolicyActions& actions) {
  impl_->SetClasses(std::move(classes), now, actions);
}

void GroupDispatcher::SetServers(std::vector<ServerInfo> servers, TimePoint now,
                                 PolicyActions& actions) {
  impl_->SetServers(std::move(servers), now, actions);
}

void GroupDispatcher::SetLimitShare(LimitShare share, TimePoint until, TimePoint now,
                                    PolicyActions& actions) {
  impl_->SetLimitShare(share, until, now, actions);
}

void GroupDispatcher::SetDraining(bool draining, TimePoint now, PolicyActions& actions) {
  impl_->SetDraining(draining, now, actions);
}

void GroupDispatcher::SetProbeRate(double probes_per_second, TimePoint now) {
  impl_->SetProbeRate(probes_per_second, now);
}

void GroupDispatcher::MarkAllUnverified(TimePoint now) { impl_->MarkAllUnverified(now); }

std::vector<ServerHandover> GroupDispatcher::Handovers() const { return impl_->Handovers(); }

void GroupDispatcher::ApplyHandovers(const std::vector<ServerHandover>& handovers, TimePoint now) {
  impl_->ApplyHandovers(handovers, now);
}

void GroupDispatcher::Submit(const RequestInfo& info, TimePoint now, PolicyActions& actions) {
  impl_->Submit(info, now, actions);
}

void GroupDispatcher::Cancel(RequestId request, TimePoint now, PolicyActions& actions) {
  impl_->Cancel(request, now, actions);
}

void GroupDispatcher::OnDispatchEnd(const DispatchReport& report, TimePoint now,
                                    PolicyActions& actions) {
  impl_->OnDispatchEnd(report, now, actions);
}

void GroupDispatcher::OnProbe(const ProbeReport& report, TimePoint now, PolicyActions& actions) {
  impl_->OnProbe(report, now, actions);
}

void GroupDispatcher::Tick(TimePoint now, PolicyActions& actions) { impl_->Tick(now, actions); }

TimePoint GroupDispatcher::NextTick() const { return impl_->NextTick(); }

Duration GroupDispatcher::ExpectedWait(const ClassName& class_name) const {
  return impl_->ExpectedWait(class_name);
}

bool GroupDispatcher::Idle() const { return impl_->Idle(); }

std::vector<ServerState> GroupDispatcher::Servers(TimePoint now) const {
  return impl_->Servers(now);
}

DispatcherStats GroupDispatcher::Stats() const { return impl_->Stats(); }

}  // namespace mulberry
