// What happened in a run, in order: the only thing that invariants and figures look at.
#pragma once

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

namespace turntally::lab {

enum class What {
  kPut,       // a client sent a message; value: its life in seconds
  kTaken,     // and heard +OK
  kRefused,   // and heard -BUSY; value: told to come again after so many seconds, 0 if not told
  kRejected,  // and heard something else (text)
  kSilence,   // and heard nothing in time, or its connection ended
  kCall,      // the last byte of a call with the message came in at an endpoint
  kRan,       // the endpoint began to work on it
  kAnswer,   // the answer's last byte was written; text: done, failed, busy, void, wait; value: the told wait
  kLeft,     // the call's connection ended before an answer
  kNotice,   // discovery answered 204 to a notice; text: failed or returned; value: told to come again
  kTold,     // discovery wrote that an endpoint is in a phase (text)
  kProcess,  // text: start, ready, exit, killed, stop, continue, term, lost (folder), upgrade; value: exit
             // status
  kLink,     // the relay's links of a sort (text: receivers, discovery, clients) became good (value 0) or not
             // (1)
  kDoor,     // receiver: endpoints out (text) and back; value as kLink
  kUsage,    // text: memory, descriptors, disk; value: what is used; limit: what may be
  kListed,   // discovery's list changed; value: its revision
  kHeard,  // a relay was written a list, or that what it has is the newest; value: discovery's revision in it
};

struct Event {
  double at = 0;  // seconds since the first arrival was due
  What what = What::kPut;
  int relay = -1;
  int receiver = -1;
  int endpoint = -1;
  int message = -1;  // the number of the hand-in
  double value = 0;
  double limit = 0;
  std::string text;
};

// One hand-in of a message: a client's first try, or a later one of the same message.
struct HandIn {
  std::string id;
  std::string key;
  int first = -1;  // the hand-in that began it; itself for a first try
  int message_class = 0;
  int receiver = 0;
  int tenant = -1;
  double due = 0;  // when its life ends
};

struct History {
  std::vector<HandIn> messages;
  std::vector<Event> events;  // by time

  void write(std::ostream& out) const;  // JSON lines
};

std::string to_line(const History& history, const Event& event);

}  // namespace turntally::lab
