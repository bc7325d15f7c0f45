#include "soak/callers.h"

#include <fmt/format.h>

#include <asio/post.hpp>
#include <nlohmann/json.hpp>

namespace mulberry::soak {
namespace {

/// 100 requests a second, a fifth of what the backend servers bear.
constexpr std::chrono::milliseconds kInterval{10};
/// How long an answer of the directory is kept, and after which time an unanswered request is left.
constexpr std::chrono::seconds kKeep{2};
constexpr std::chrono::seconds kPatience{3};
constexpr int kDeadlineMs = 1000;
constexpr int kStatusOk = 200;

}  // namespace

Callers::Callers(asio::io_context& io, Fleet& fleet, std::uint64_t seed)
    : io_(io),
      fleet_(fleet),
      random_(seed),
      links_(io, {.max_head_bytes = 16 * 1024, .max_body_bytes = 1024 * 1024}),
      timer_(io) {}

Callers::~Callers() {
  for (auto& [id, link] : running_) link->Close();
}

void Callers::Start() {
  books_ = {{"here", {}}, {"there", {}}};
  asio::post(io_, [this] { Tick(); });
}

void Callers::Tick() {
  if (stopped_) return;
  const TimePoint now = MonotonicClock::now();
  for (auto& [data_centre, book] : books_) {
    if (now - book.asked > kKeep) {
      book.asked = now;
      Ask(data_centre);
    }
  }
  Send(Random(2) == 0 ? "here" : "there");
  for (auto& [id, link] : running_) {
    if (now - sent_[id].at > kPatience && link->open()) {
      link->Close();
      sent_[id].ended = now;
    }
  }
  std::erase_if(running_, [](const auto& entry) { return !entry.second->open(); });
  timer_.expires_after(kInterval);
  timer_.async_wait([this](const asio::error_code& error) {
    if (!error) Tick();
  });
}

/// Asks a host of the data centre at random; the old answer is kept where this fails.
void Callers::Ask(const std::string& data_centre) {
  std::vector<const Host*> asked;
  for (const auto& host : fleet_.hosts()) {
    if (host->data_centre == data_centre) asked.push_back(host.get());
  }
  const Host& host = *asked[Random(asked.size())];
  const auto link = links_.Acquire(fmt::format("{}:{}", host.ip, host.directory), Duration::zero());
  if (!link) return;
  const std::string id = "ask-" + std::to_string(next_++);
  running_[id] = link.value();
  sent_[id].at = MonotonicClock::now();
  gateway::ExchangeRequest request;
  request.head = fmt::format(
      "GET /resolve?Name=h.example&Region=r&Zone={} HTTP/1.1\r\nHost: d\r\n\r\n", data_centre);
  link.value()->Exchange(
      std::move(request), [this, id, data_centre](const gateway::ExchangeResult& answer) {
        const auto asked_link = running_.extract(id);
        if (!asked_link.empty()) asked_link.mapped()->Close();
        sent_.erase(id);
        if (answer.response.status != kStatusOk) {
          books_[data_centre].asked = TimePoint();
          return;
        }
        const auto json = nlohmann::json::parse(answer.response.body.Text(), nullptr, false);
        if (json.contains("Addresses")) {
          books_[data_centre].addresses = json["Addresses"].get<std::vector<std::string>>();
        }
      });
}

void Callers::Send(const std::string& data_centre) {
  const Book& book = books_[data_centre];
  if (book.addresses.empty()) return;
  const std::string& address = book.addresses[Random(book.addresses.size())];
  const auto link = links_.Acquire(address, std::chrono::seconds(10));
  if (!link) return;
  SendOn(link.value(), address, "q",
         [this, address, used = link.value()] { links_.Release(address, used); });
}

void Callers::Burst(std::size_t requests) {
  for (std::size_t i = 0; i < requests; ++i) Send(Random(2) == 0 ? "here" : "there");
}

void Callers::SendOn(const std::shared_ptr<gateway::HttpClientConnection>& link,
                     const std::string& address, const std::string& kind,
                     std::function<void()> done) {
  const std::string id = kind + std::to_string(next_++);
  Sent& sent = sent_[id];
  sent.unsafe = Random(2) == 0;
  sent.host = address;
  sent.at = MonotonicClock::now();
  running_[id] = link;
  gateway::ExchangeRequest request;
  request.head = fmt::format(
      "{} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {}\r\nX-Request-Deadline: {}\r\n"
      "Authorization: Bearer {}\r\n",
      sent.unsafe ? "POST /write/x" : "GET /read/x", id, kDeadlineMs, kCallerKey);
  request.head += sent.unsafe ? "Content-Length: 4\r\n\r\nbody" : "\r\n";
  link->Exchange(std::move(request),
                 [this, id, done = std::move(done)](const gateway::ExchangeResult& answer) {
                   if (running_.erase(id) > 0) done();
                   Sent& ended = sent_[id];
                   ended.ended = MonotonicClock::now();
                   if (answer.outcome != gateway::ExchangeOutcome::kResponseReceived) return;
                   ended.status = answer.response.status;
                   ended.body = answer.response.body.Text();
                   const std::string* signature =
                       gateway::FindHeader(answer.response.headers, "X-Response-Signature");
                   if (signature != nullptr) ended.signature = *signature;
                 });
}

}  // namespace mulberry::soak
