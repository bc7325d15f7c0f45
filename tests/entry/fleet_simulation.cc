#include "fleet_simulation.h"

#include <algorithm>

namespace mulberry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(1);
/// Callers do not send to a leaving host for longer.
constexpr Duration kAddressTtl = seconds(2);
constexpr Duration kHostListInterval = milliseconds(500);

}  // namespace

FleetSimulation::FleetSimulation(FleetSimulationOptions options)
    : options_(std::move(options)),
      start_(now_.mono),
      next_request_(start_ + options_.load_start),
      nodes_(options_.starts.size()),
      random_(options_.seed) {
  ClassItem item;
  item.name = ClassName("lookup");
  item.service = ServiceName("svc");
  item.idempotent = true;
  item.latency_target = milliseconds(100);
  Change change;
  change.id = ChangeId("c1");
  change.author = "test";
  change.at = now_.wall;
  change.kind = ItemKind::kClass;
  change.item = "lookup";
  change.value = item;
  class_record_ = EncodeChange(change).value();
  for (std::size_t i = 0; i < nodes_.size(); ++i) nodes_[i].starts = start_ + options_.starts[i];
}

HostList FleetSimulation::List() const {
  HostList list;
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    list.entry_hosts.push_back({HostName(NameOf(i)), DataCentreName("a"), "http-" + NameOf(i),
                                "peer-" + NameOf(i), false});
  }
  for (std::uint32_t i = 0; i < options_.servers; ++i) {
    const std::string name = "s" + std::to_string(i);
    list.backend_servers.push_back({ServerName(name), ServiceName("svc"), DataCentreName("a"),
                                    "addr-" + name, options_.slots, 10, false, false});
  }
  return list;
}

void FleetSimulation::StartHost(std::size_t index) {
  EntryOptions options;
  options.self = {{HostName(NameOf(index)), StartId(index + 1)},
                  DataCentreName("a"),
                  "http-" + NameOf(index),
                  "peer-" + NameOf(index)};
  options.ticket_secret = "0123456789abcdef";
  options.dispatcher = options_.dispatcher;
  options.random_seed = index + 1;
  options.dispatcher.random_seed = index + 1;
  options.follower.random_seed = index + 1;
  nodes_[index].host = std::make_unique<EntryHost>(options, *this, now_);
  EntryActions actions;
  nodes_[index].host->Start(now_, actions);
  Execute(index, actions);
}

void FleetSimulation::RunFor(Duration time) {
  for (const TimePoint end = now_.mono + time; now_.mono < end;) {
    now_.mono += kStep;
    now_.wall += std::chrono::duration_cast<milliseconds>(kStep);
    while (!replies_.empty() && replies_.begin()->first <= now_.mono) {
      Reply reply = std::move(replies_.begin()->second);
      replies_.erase(replies_.begin());
      EntryActions actions;
      nodes_[reply.host].host->OnServerReply(std::move(reply.reply), now_, actions);
      Execute(reply.host, actions);
    }
    for (std::size_t i = 0; i < nodes_.size(); ++i) Step(i);
    while (next_request_ <= now_.mono) {
      SendRequest(next_host_++ % nodes_.size());
      next_request_ += options_.request_interval;
    }
  }
}

void FleetSimulation::Step(std::size_t index) {
  Node& node = nodes_[index];
  if (node.host == nullptr && node.starts <= now_.mono) StartHost(index);
  if (node.host == nullptr || node.paused) return;
  EntryActions actions;
  if (node.next_list <= now_.mono) {
    node.next_list = now_.mono + kHostListInterval;
    node.host->OnHostList(List(), now_, actions);
    Execute(index, actions);
  }
  if (node.reading) AnswerRead(index);
  // Messages sent in this step arrive in the next one.
  for (PeerEnvelope& envelope : std::exchange(node.inbox, {})) {
    actions.clear();
    node.host->OnPeer(envelope, now_, actions);
    Execute(index, actions);
  }
  actions.clear();
  node.host->Tick(now_, actions);
  Execute(index, actions);
}

void FleetSimulation::SendRequest(std::size_t index) {
  const Node& node = nodes_[index];
  const bool unknown_to_callers = now_.mono - node.leaving_since > kAddressTtl;
  if (node.host == nullptr || unknown_to_callers) return;
  CallerRequest call;
  call.id = RequestId(next_id_++);
  call.class_name = ClassName("lookup");
  call.method = "GET";
  call.path = "/slots";
  call.timeout = options_.deadline;
  open_[call.id.value()] = {index, now_.mono, {}, {}};
  EntryActions actions;
  nodes_[index].host->OnCaller(std::move(call), now_, actions);
  Execute(index, actions);
}

void FleetSimulation::AnswerRead(std::size_t index) {
  Node& node = nodes_[index];
  node.reading = false;
  LogPage page;
  page.first = Offset(1);
  page.next = Offset(2);
  if (node.host->config().applied.value() < 1) page.records.push_back({Offset(1), class_record_});
  EntryActions actions;
  node.host->OnLogPage(page, now_, actions);
  Execute(index, actions);
}

void FleetSimulation::Execute(std::size_t from, EntryActions& actions) {
  for (EntryAction& action : actions) {
    if (std::holds_alternative<ReadLog>(action)) {
      nodes_[from].reading = true;
    } else if (auto* send = std::get_if<SendPeer>(&action)) {
      for (std::size_t to = 0; to < nodes_.size(); ++to) {
        const bool addressed = send->address == "peer-" + NameOf(to);
        if (!addressed || nodes_[to].host == nullptr || cuts_[{from, to}]) continue;
        nodes_[to].inbox.push_back(
            {{HostName(NameOf(from)), StartId(from + 1)}, std::move(send->message)});
      }
    } else if (auto* request = std::get_if<SendToServer>(&action)) {
      std::exponential_distribution<double> distribution(
          1.0 / static_cast<double>(options_.work.count()));
      const Duration work(static_cast<std::int64_t>(distribution(random_)));
      const bool in_time = work < request->timeout;
      Reply reply{from, {}};
      reply.reply.report = {request->dispatch,
                            in_time ? DispatchResult::kAnswered : DispatchResult::kTimedOut,
                            in_time ? StartId(7) : StartId(), false};
      reply.reply.status = 200;
      replies_.emplace(now_.mono + std::min(work, request->timeout), std::move(reply));
    } else if (auto* answer = std::get_if<AnswerCaller>(&action)) {
      auto open = open_.extract(answer->request.value());
      open.mapped().answered = now_.mono;
      open.mapped().answer = std::move(answer->answer);
      ended_.push_back(std::move(open.mapped()));
    }
  }
}

nlohmann::json FleetSimulation::GroupStatus(std::size_t index) const {
  return nodes_[index].host->Status(now_)["groups"][0];
}

std::size_t FleetSimulation::Owner() const {
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    const nlohmann::json status = GroupStatus(i);
    if (status["lease"] != "none" && !status.value("closed", true)) return i;
  }
  return nodes_.size();
}

void FleetSimulation::BeginLeaving(std::size_t host) {
  EntryActions actions;
  nodes_[host].leaving_since = now_.mono;
  nodes_[host].host->BeginLeaving(now_, actions);
  Execute(host, actions);
}

}  // namespace mulberry
