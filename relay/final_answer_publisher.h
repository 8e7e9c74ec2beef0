// Publishes the final answers of messages: first the record in the journal, then the notice to the client.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <vector>

#include "relay/discovery.h"
#include "relay/journal.h"

namespace turntally::relay {

// A client may submit a message again once it has the final answer: then the next process must not call it.
// So the record comes first. Where the disk does not take it, the answer waits until it does, or until the
// message's deadline has passed and no process calls it either.
// Owns: the answers that are not recorded yet. Deadlines are microseconds of the steady clock.
class FinalAnswerPublisher {
 public:
  FinalAnswerPublisher(boost::asio::io_context& io, Journal& journal, Notices& notices)
      : journal_(journal), notices_(notices), retry_timer_(io) {}

  void publish(FinalAnswer answer, Time deadline);

  // No answer waits for its record.
  bool idle() const { return unrecorded_.empty(); }

  // Publishes nothing more: the journal is another process's.
  void stop();

 private:
  struct UnrecordedAnswer {
    FinalAnswer answer;
    Time deadline = 0;
  };

  void retry_later();
  void retry();

  Journal& journal_;
  Notices& notices_;
  boost::asio::steady_timer retry_timer_;
  std::vector<UnrecordedAnswer> unrecorded_;
  bool stopped_ = false;
};

}  // namespace turntally::relay
