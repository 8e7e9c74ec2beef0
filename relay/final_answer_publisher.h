// Publishes the final answers of messages: first the record in the journal, then the notice to the client.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <vector>

#include "relay/discovery.h"
#include "relay/journal.h"

namespace turntally::relay {

// A client may submit a message again once it has the final answer, and then the next process must not send
// the message. So the record comes first. If it cannot be written, the notice waits until it can, or until
// the message's deadline, after which no process sends the message. Owns the answers that are not recorded
// yet. Deadlines are microseconds of the steady clock.
class FinalAnswerPublisher {
 public:
  FinalAnswerPublisher(boost::asio::io_context& io, Journal& journal, NoticeSender& notices)
      : journal_(journal), notices_(notices), retry_timer_(io) {}

  void publish(FinalAnswer answer, Time deadline);

  // Returns whether no answer waits for its record.
  bool is_idle() const { return unrecorded_.empty(); }

  // Stops publishing the waiting answers: the successor owns the journal.
  void stop();

 private:
  struct UnrecordedAnswer {
    FinalAnswer answer;
    Time deadline = 0;
  };

  void schedule_retry();
  void retry();

  Journal& journal_;
  NoticeSender& notices_;
  boost::asio::steady_timer retry_timer_;
  std::vector<UnrecordedAnswer> unrecorded_;
  bool stopped_ = false;
};

}  // namespace turntally::relay
