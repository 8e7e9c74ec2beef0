#include "lab/history.h"

#include <nlohmann/json.hpp>
#include <ostream>

namespace turntally::lab {
namespace {

constexpr const char* kNames[] = {"put",  "taken",  "refused", "rejected", "silence", "call",
                                  "ran",  "answer", "left",    "notice",   "told",    "process",
                                  "link", "door",   "usage",   "listed",   "heard"};

}  // namespace

std::string to_line(const History& history, const Event& event) {
  nlohmann::ordered_json out;
  out["at"] = static_cast<double>(static_cast<int64_t>(event.at * 1e6)) / 1e6;
  out["what"] = kNames[static_cast<size_t>(event.what)];
  if (event.relay >= 0) out["relay"] = event.relay;
  if (event.receiver >= 0) out["receiver"] = event.receiver;
  if (event.endpoint >= 0) out["endpoint"] = event.endpoint;
  if (event.message >= 0) {
    const HandIn& m = history.messages[static_cast<size_t>(event.message)];
    out["id"] = m.id;
    if (event.what == What::kPut) {
      out["first"] = history.messages[static_cast<size_t>(m.first)].id;
      out["class"] = m.message_class;
    }
  }
  if (event.value != 0) out["value"] = event.value;
  if (event.limit != 0) out["limit"] = event.limit;
  if (!event.text.empty()) out["text"] = event.text;
  return out.dump();
}

void History::write(std::ostream& out) const {
  for (const Event& event : events) out << to_line(*this, event) << "\n";
}

}  // namespace turntally::lab
