// The relay's handover: takes calls, listener and client connections over from the predecessor, and hands its
// own to the successor.
#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

#include "net/log.h"
#include "relay/errors.h"
#include "relay/relay.h"

namespace turntally::relay {
namespace {

constexpr Time kListenRetryPeriod = 5'000'000;     // the predecessor may not have closed its listener yet
constexpr Time kMaxWatchForSuccessor = 4'000'000;  // a relay of a large fleet opens its watch within 3.8 s
constexpr size_t kListFrameBytes = size_t{64} * 1024;  // of a list that needs several frames

}  // namespace

// Reads the predecessor's calls in flight, up to the frame with the listener. Later frames are read while
// clients are served.
void Relay::take_over() {
  metrics_.handover_frames_rejected = 0;
  while (auto frame = handover_.next_frame()) {
    const bool is_last = frame->kind == HandoverFrame::kListener;
    try {
      if (frame->truncated) throw HandoverFrameInvalid(frame->kind, "truncated in transit");
      if (is_last) take_listener(std::move(*frame));
      if (frame->kind == HandoverFrame::kCall) take_call(InFlightCallFrame::parse(frame->text));
    } catch (const HandoverFrameInvalid& error) {
      reject_frame(error);
      if (is_last) listen_retry_deadline_ = steady_now() + kListenRetryPeriod;
    }
    if (is_last) return;
  }
}

// Takes the listening socket over if it has the configured address. A predecessor whose listener is closed
// sends none.
void Relay::take_listener(HandoverFrame frame) {
  if (frame.descriptor.get() < 0 && frame.text.empty()) return;
  if (!is_stream_socket(frame.descriptor.get(), true))
    throw HandoverFrameInvalid(frame.kind, "carries no listening socket");
  const bool same = config_.listen.port() == 0 || frame.text == net::text_of(config_.listen);
  if (same) inherited_listener_ = std::move(frame.descriptor);
}

void Relay::take_call(const InFlightCallFrame& call) {
  const Endpoint endpoint = directory_.handle(call.endpoint_id);
  const Time started_at = std::min(call.started_at, steady_now());
  ++inherited_calls_;
  for (const auto& [id, attempt] : call.attempt_numbers)
    inherited_attempts_[id] = {0, attempt, {endpoint, started_at, inherited_calls_}, {}};
}

void Relay::listen_to_predecessor() {
  handover_.listen_to_predecessor(
      [this](std::optional<HandoverFrame> frame) { on_predecessor_frame(std::move(frame)); },
      [this](bool has_descriptor) {
        if (handed_over_ || !clients_) return has_descriptor;
        return clients_->has_room_for_inherited(has_descriptor);
      });
}

// Handles a frame from the predecessor. No content of a frame may end this process, which now owns all that
// the predecessor had.
void Relay::on_predecessor_frame(std::optional<HandoverFrame> frame) {
  if (!frame) return on_predecessor_disconnected();
  const bool is_list = frame->is_list();
  try {
    if (frame->truncated) throw HandoverFrameInvalid(frame->kind, "truncated in transit");
    if (frame->kind == HandoverFrame::kClient) {
      take_client(std::move(*frame));
    } else if (frame->kind == HandoverFrame::kEnded) {
      AttemptEndedFrame ended = AttemptEndedFrame::parse(frame->text);
      on_inherited_attempt_ended(ended.message_id, std::move(ended.end), ended.call_started);
    } else if (is_list) {
      take_list(*frame);
    } else {
      throw HandoverFrameInvalid(frame->kind, "unexpected kind of frame");
    }
  } catch (const HandoverFrameInvalid& error) {
    missed_inherited_list_ = missed_inherited_list_ || is_list;
    reject_frame(error);
  }
}

void Relay::take_client(HandoverFrame frame) {
  if (frame.descriptor.get() < 0) throw HandoverFrameInvalid(frame.kind, "carries no client connection");
  if (handed_over_) {
    handover_.send_frame(HandoverFrame::kClient, frame.text, frame.descriptor.get());
  } else {
    clients_->add_inherited(ClientFrame::parse(frame.text), std::move(frame.descriptor));
  }
}

void Relay::reject_frame(const HandoverFrameInvalid& error) {
  ++*metrics_.handover_frames_rejected;
  net::log::failed(net::log::Level::kWarn, "handover_frame_rejected", error);
}

// Ends the attempts that the predecessor had in flight with a reset, as they may have run.
void Relay::on_predecessor_disconnected() {
  while (!inherited_attempts_.empty()) {
    policy::AttemptEnded lost;
    lost.outcome = policy::Outcome::kReset;
    const std::string id = inherited_attempts_.begin()->first;
    on_inherited_attempt_ended(id, lost, true);
  }
}

void Relay::on_inherited_attempt_ended(const std::string& id, policy::AttemptEnded end, bool call_started) {
  const auto found = inherited_attempts_.find(id);
  if (found == inherited_attempts_.end()) return;
  const InheritedAttempt inherited = std::move(found->second);
  inherited_attempts_.erase(found);
  end.id = inherited.message_number;
  end.attempt = inherited.attempt;
  end.endpoint = inherited.call.endpoint;
  if (handed_over_) return forward_attempt_end(id, end, call_started);
  on_attempt_ended(end, call_started);
  if (inherited.deferred && !end.final) queue_deferred_arrival(inherited, end, call_started);
}

void Relay::queue_deferred_arrival(const InheritedAttempt& inherited, const policy::AttemptEnded& end,
                                   bool call_started) {
  RecoveredMessage message = *inherited.deferred;
  policy::MessageArrived& arrival = message.arrival;
  arrival.ahead_in_order = true;
  if (call_started && !never_ran(end.outcome) && !arrival.may_have_run) {
    arrival.may_have_run = true;
    arrival.possibly_run_since = inherited.call.sent;
  }
  queue_arrivals({std::move(message)});
}

// Hands everything but the calls in flight over to the successor in one turn; the ends of those calls follow.
void Relay::hand_over() {
  queue_event(policy::ShutdownScheduled{steady_now()});
  step();
  // Without the records for which the disk had no room, the successor would recover messages that have ended.
  if (!journal_.write_pending() || !handover_.send_folder_lock()) {
    handover_.drop_successor();
    return queue_event(policy::ShutdownScheduled{call_end_deadline()});
  }
  handed_over_ = true;
  final_answers_.stop();
  events_.clear();
  net::log::info("handing_over");
  send_in_flight_calls();
  send_listener();
  send_clients();
  handover_.listen_to_successor(
      [this](const std::optional<HandoverFrame>& frame) { on_successor_frame(frame); });
  if (watch_) watch_->stop_connecting();
  watch_for_successor_until_ = steady_now() + kMaxWatchForSuccessor;
  if (follower_) follower_->close();
  notices_.close();
  upstream_.close_idle();
  release_handed_over();
  poll_shutdown();
}

// Drops what the successor has now, as the two processes share one memory limit. The messages of calls in
// flight stay until their ends are reported.
void Relay::release_handed_over() {
  std::set<uint64_t> in_flight;
  for (const Upstream::InFlightCall& call : upstream_.in_flight_calls()) {
    for (const Upstream::InFlightAttempt& attempt : call.attempts) in_flight.insert(attempt.id);
  }
  messages_.keep_only(in_flight);
  finished_messages_.clear();
  journal_.release_memory();
  trim_memory();
}

void Relay::send_in_flight_calls() {
  const auto send = [this](const Endpoint& endpoint, Time started_at, std::map<std::string, int> attempts) {
    const ListedEndpoint* listed = directory_.find(endpoint);
    const InFlightCallFrame frame{listed == nullptr ? "" : listed->id, started_at, std::move(attempts)};
    handover_.send_frame(HandoverFrame::kCall, frame.text());
  };
  for (const Upstream::InFlightCall& call : upstream_.in_flight_calls()) {
    std::map<std::string, int> attempts;
    for (const Upstream::InFlightAttempt& attempt : call.attempts) {
      const PendingMessage* message = messages_.find(attempt.id);
      if (message != nullptr) attempts[message->submitted.id] = attempt.attempt;
    }
    send(call.endpoint, call.started_at, std::move(attempts));
  }
  for (const auto& [id, inherited] : inherited_attempts_)
    send(inherited.call.endpoint, inherited.call.sent, {{id, inherited.attempt}});
}

void Relay::send_listener() {
  const int listener = clients_ ? clients_->listener() : inherited_listener_.get();
  std::string address;  // empty for a closed listener
  if (listener >= 0) address = net::text_of(clients_ ? clients_->address() : config_.listen);
  handover_.send_frame(HandoverFrame::kListener, address, listener);
}

// Hands the client connections over. A process that does not serve yet has none; it forwards those that its
// predecessor still sends.
void Relay::send_clients() {
  if (clients_) {
    return clients_->hand_over([this](const ClientFrame& state, int descriptor) {
      handover_.send_frame(HandoverFrame::kClient, state.text(), descriptor);
    });
  }
  listen_to_predecessor();
  inherited_listener_ = Descriptor();
}

void Relay::on_watch_answered() {
  if (handover_.has_predecessor()) handover_.send_to_predecessor(HandoverFrame::kWatching, "");
  start_serving();
}

// Passes on a list that came after the handover. None may be left out: the successor takes the revision of
// the next one for its own, and would not ask for what it has missed.
void Relay::forward_list(const EndpointList& list) {
  const std::string text = text_of(list);
  size_t begin = 0;
  for (; text.size() - begin > kListFrameBytes; begin += kListFrameBytes)
    handover_.send_frame(HandoverFrame::kListPart, text.substr(begin, kListFrameBytes));
  handover_.send_frame(HandoverFrame::kList, text.substr(begin));
}

// Applies a list that came to the predecessor after the handover, once its last frame is there.
void Relay::take_list(const HandoverFrame& frame) {
  if (handed_over_) return void(handover_.send_frame(frame.kind, frame.text));
  if (follower_ || missed_inherited_list_) return;  // another source brings the list
  inherited_list_ += frame.text;
  if (frame.kind == HandoverFrame::kListPart) return;
  try {
    const std::string text = std::exchange(inherited_list_, "");
    on_endpoint_list(parse_list(nlohmann::json::parse(text), config_.names));
  } catch (const std::exception&) {
    throw HandoverFrameInvalid(frame.kind, "not a list of endpoints");
  }
}

void Relay::on_successor_frame(const std::optional<HandoverFrame>& frame) {
  if (frame && frame->kind == HandoverFrame::kWatching) {
    successor_is_watching_ = true;
    handover_.send_to_predecessor(HandoverFrame::kWatching, "");
  }
  if (!frame || frame->truncated || frame->kind != HandoverFrame::kCancel) return;
  const std::string& id = frame->text;
  if (inherited_attempts_.contains(id)) handover_.send_to_predecessor(HandoverFrame::kCancel, id);
  const auto number = messages_.number_of(id);
  if (number) upstream_.cancel(*number, messages_.find(*number)->attempts - 1);
}

void Relay::forward_attempt_end(const std::string& id, const policy::AttemptEnded& end, bool call_started) {
  handover_.send_frame(HandoverFrame::kEnded, AttemptEndedFrame{id, end, call_started}.text());
}

// Cancels all calls when there is no successor to receive their ends: the next process sends their messages
// again, and no call may be in flight by then.
void Relay::cancel_all_calls() {
  for (const Upstream::InFlightCall& call : upstream_.in_flight_calls())
    upstream_.cancel(call.attempts.front().id, call.attempts.front().attempt);
  for (const auto& [id, inherited] : inherited_attempts_)
    handover_.send_to_predecessor(HandoverFrame::kCancel, id);
}

}  // namespace turntally::relay
