// Delivery terms: the settings of a message's class as they were when the message was accepted. A reload or a
// restart may change or remove the class; the message keeps the terms under which it was accepted.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "relay/journal.h"
#include "turntally/policy.h"

namespace turntally::relay {

// The settings of a class at the time when a message was accepted.
struct DeliveryTerms : policy::ClassSettings {
  int max_attempts = 0;  // 0: not recorded, the current settings apply
};

// Returns the index of the class in the settings, or -1 if no class has that name.
int class_index(const policy::Settings& settings, const std::string& message_class);

// Returns whether messages with this ordering key are sent one at a time under these terms. Key 0 means no
// key.
bool is_ordered(const policy::ClassSettings& terms, uint64_t ordering_key);

// Numbers the terms of each class and stores them as facts in the journal. Owns the numbers of the current
// settings' classes; the journal owns the terms.
// Invariant: the terms of a number never change, and stay in the journal while a message refers to them.
class DeliveryTermsStore {
 public:
  static constexpr int64_t kNotRecorded = 0;  // for messages accepted by a version that did not number terms

  explicit DeliveryTermsStore(Journal& journal) : journal_(journal) {}

  // Returns the number of the class's terms in these settings, which must contain the class. Writes the terms
  // to the journal if they are new.
  int64_t current_number(const policy::Settings& settings, const std::string& message_class);

  // Returns the terms with this number. If the journal has none, uses the class in the settings, then the
  // terms that the journal has under the class's name, then terms that allow no repeat.
  DeliveryTerms find(const policy::Settings& settings, const std::string& message_class,
                     int64_t number) const;

  // Returns the name of the journal fact on which a message with these terms depends.
  static std::string fact_name(const std::string& message_class, int64_t number);

  // Removes from the journal the terms that neither match the settings nor are in `facts_in_use`. Must not be
  // called before all messages are recovered.
  void forget_unused(const policy::Settings& settings, const std::set<std::string>& facts_in_use);

  // Discards the cached numbers of the settings' classes. Must be called when the settings change.
  void on_settings_changed() { numbers_.clear(); }

 private:
  Journal& journal_;
  std::map<std::string, int64_t> numbers_;
};

// Tracks classes that a reload changed or removed. Clients learn of new settings with a delay, so for a while
// they may still submit messages under the old ones. Owns the retired classes. Times are microseconds of the
// steady clock.
class RetiredClasses {
 public:
  struct Allowance {
    bool removed = false;   // the class stays in the settings only for messages accepted earlier
    Time max_lifetime = 0;  // of the class, or of its retired version if that is longer
  };

  // Compares the previous settings with the next ones. Adds each class that is missing from `next` to it,
  // unchanged, for as long as the class is retired.
  void retire(const policy::Settings& before, policy::Settings& next, Time now);

  // Returns what a submission of this class may use at `now`.
  Allowance allowance(const policy::ClassSettings& message_class, Time now) const;

 private:
  struct RetiredClass {
    Time until = 0;
    Time max_lifetime = 0;
    bool removed = false;
  };
  std::map<std::string, RetiredClass> classes_;
};

}  // namespace turntally::relay
