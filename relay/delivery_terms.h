// Delivery terms: what the class of a message allowed when the message was accepted. A reload or a restart
// may change or remove the class; a message keeps the terms that it was accepted under.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "relay/journal.h"
#include "turntally/policy.h"

namespace turntally::relay {

// The settings of a class at the time a message was accepted.
struct DeliveryTerms : policy::ClassSettings {
  int max_attempts = 0;  // 0: not recorded; the settings of now say it
};

// The index of the class in the settings; -1: there is none of that name.
int class_index(const policy::Settings& settings, const std::string& message_class);

// Whether messages of this ordering key go one at a time under these terms. Key 0 is no key.
bool is_ordered(const policy::ClassSettings& terms, uint64_t ordering_key);

// Numbers the terms of each class and keeps them as facts of the journal.
// Owns: the numbers of the current settings' classes. The terms themselves are the journal's.
// Invariant: the terms of a number never change, and stay in the journal while a message refers to them.
class DeliveryTermsStore {
 public:
  static constexpr int64_t kNotRecorded = 0;  // the number of a message accepted by a version before

  explicit DeliveryTermsStore(Journal& journal) : journal_(journal) {}

  // The number of the class's terms in these settings, which must name the class. Writes them to the journal
  // if they are new.
  int64_t current_number(const policy::Settings& settings, const std::string& message_class);

  // The terms of a message of this class. Terms that are unknown are those of the settings, then of the
  // journal under the class's name; else no repeat is allowed.
  DeliveryTerms find(const policy::Settings& settings, const std::string& message_class,
                     int64_t number) const;

  // The name of the fact that a message with these terms depends on.
  static std::string fact_name(const std::string& message_class, int64_t number);

  // Removes terms that neither the settings nor the facts in use need. Only once all messages are recovered.
  void forget_unused(const policy::Settings& settings, const std::set<std::string>& facts_in_use);

  // To be called when the settings change: the numbers of their classes are looked up anew.
  void on_settings_changed() { numbers_.clear(); }

 private:
  Journal& journal_;
  std::map<std::string, int64_t> numbers_;
};

// Classes that a reload changed or removed. Clients learn of new settings a little later: for a while they
// may still submit messages under the old ones. Owns: the classes that are retired now. Times are
// microseconds of the steady clock.
class RetiredClasses {
 public:
  struct Allowance {
    bool removed = false;   // the class is in the settings only for messages accepted before
    Time max_lifetime = 0;  // of the class, or of the retired one where that is longer
  };

  // Compares the settings before with the next ones. A class that is missing from `next` is added to it, as
  // it was, for as long as it is retired.
  void retire(const policy::Settings& before, policy::Settings& next, Time now);

  // What a message of this class may have now.
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
