#include "relay/delivery_terms.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <vector>

namespace turntally::relay {
namespace {

// Prefixes of fact names in the journal.
const std::string kTermsFactPrefix = "rules ";  // followed by the number of the terms
const std::string kClassFactPrefix = "class ";  // followed by the class's name; from versions without numbers

// Longer than any delay after which a client submits a rejected message again.
constexpr Time kRetirementPeriod = 5'000'000;

// JSON keys of the terms in the journal.
constexpr const char* kIdempotencyKey = "effect";
constexpr const char* kDeduplicationScopeKey = "scope";
constexpr const char* kDeduplicationWindowKey = "window";
constexpr const char* kInOrderKey = "in_order";
constexpr const char* kLatencyObjectiveKey = "target";
constexpr const char* kMaxLifetimeKey = "give_up";
constexpr const char* kPriorityWeightKey = "worth";
constexpr const char* kLateWeightShareKey = "late_worth";
constexpr const char* kMaxAttemptsKey = "attempts";  // missing in older records

std::string journal_text(const policy::ClassSettings& terms, int max_attempts) {
  return nlohmann::json{{kIdempotencyKey, static_cast<int>(terms.idempotency)},
                        {kDeduplicationScopeKey, static_cast<int>(terms.deduplication_scope)},
                        {kDeduplicationWindowKey, terms.deduplication_window},
                        {kInOrderKey, terms.in_order},
                        {kLatencyObjectiveKey, terms.latency_objective},
                        {kMaxLifetimeKey, terms.max_lifetime},
                        {kPriorityWeightKey, terms.priority_weight},
                        {kLateWeightShareKey, terms.late_weight_share},
                        {kMaxAttemptsKey, max_attempts}}
      .dump();
}

DeliveryTerms parse_journal_text(const std::string& message_class, const std::string& text) {
  const nlohmann::json json = nlohmann::json::parse(text);
  DeliveryTerms terms;
  terms.name = message_class;
  terms.idempotency = static_cast<policy::Idempotency>(json.at(kIdempotencyKey).get<int>());
  terms.deduplication_scope =
      static_cast<policy::DeduplicationScope>(json.at(kDeduplicationScopeKey).get<int>());
  terms.deduplication_window = json.at(kDeduplicationWindowKey).get<Time>();
  terms.in_order = json.at(kInOrderKey).get<bool>();
  terms.latency_objective = json.at(kLatencyObjectiveKey).get<Time>();
  terms.max_lifetime = json.at(kMaxLifetimeKey).get<Time>();
  terms.priority_weight = json.at(kPriorityWeightKey).get<double>();
  terms.late_weight_share = json.at(kLateWeightShareKey).get<double>();
  terms.max_attempts = json.value(kMaxAttemptsKey, 0);
  return terms;
}

}  // namespace

int class_index(const policy::Settings& settings, const std::string& message_class) {
  const auto& classes = settings.classes;
  const auto found = std::find_if(classes.begin(), classes.end(),
                                  [&](const auto& entry) { return entry.name == message_class; });
  return found == classes.end() ? -1 : static_cast<int>(found - classes.begin());
}

bool is_ordered(const policy::ClassSettings& terms, uint64_t ordering_key) {
  return terms.in_order && ordering_key != 0;
}

int64_t DeliveryTermsStore::current_number(const policy::Settings& settings,
                                           const std::string& message_class) {
  int64_t& number = numbers_[message_class];
  if (number != kNotRecorded) return number;
  const std::string text =
      journal_text(settings.classes[class_index(settings, message_class)], settings.max_attempts);
  int64_t last = 0;
  const auto& facts = journal_.facts();
  for (auto it = facts.lower_bound(kTermsFactPrefix);
       it != facts.end() && it->first.starts_with(kTermsFactPrefix); ++it) {
    const int64_t recorded = std::stoll(it->first.substr(kTermsFactPrefix.size()));
    last = std::max(last, recorded);
    if (it->second == text) return number = recorded;
  }
  number = last + 1;
  journal_.record_fact(kTermsFactPrefix + std::to_string(number), text);
  return number;
}

DeliveryTerms DeliveryTermsStore::find(const policy::Settings& settings, const std::string& message_class,
                                       int64_t number) const {
  const auto& facts = journal_.facts();
  const auto numbered = facts.find(kTermsFactPrefix + std::to_string(number));
  if (numbered != facts.end()) return parse_journal_text(message_class, numbered->second);
  const int index = class_index(settings, message_class);
  if (index >= 0) return {settings.classes[index], 0};
  const auto named = facts.find(kClassFactPrefix + message_class);
  if (named != facts.end()) return parse_journal_text(message_class, named->second);
  DeliveryTerms terms;
  terms.name = message_class;
  return terms;
}

std::string DeliveryTermsStore::fact_name(const std::string& message_class, int64_t number) {
  return number == kNotRecorded ? kClassFactPrefix + message_class
                                : kTermsFactPrefix + std::to_string(number);
}

void DeliveryTermsStore::forget_unused(const policy::Settings& settings,
                                       const std::set<std::string>& facts_in_use) {
  std::set<std::string> current;
  for (const policy::ClassSettings& entry : settings.classes)
    current.insert(journal_text(entry, settings.max_attempts));
  std::vector<std::string> unused;
  for (const auto& [name, text] : journal_.facts()) {
    const bool unneeded =
        (name.starts_with(kTermsFactPrefix) && !current.contains(text)) || name.starts_with(kClassFactPrefix);
    if (unneeded && !facts_in_use.contains(name)) unused.push_back(name);
  }
  for (const std::string& name : unused) journal_.record_fact(name, "");
}

void RetiredClasses::retire(const policy::Settings& before, policy::Settings& next, Time now) {
  std::map<std::string, RetiredClass> retired;
  std::set<std::string> named;
  for (const policy::ClassSettings& entry : next.classes) named.insert(entry.name);
  for (const policy::ClassSettings& old : before.classes) {
    const auto earlier = classes_.find(old.name);
    const bool removed = !named.contains(old.name);
    const bool removed_earlier = removed && earlier != classes_.end() && earlier->second.removed;
    const RetiredClass entry =
        removed_earlier ? earlier->second : RetiredClass{now + kRetirementPeriod, old.max_lifetime, removed};
    if (entry.until <= now) continue;
    retired[old.name] = entry;
    if (removed) next.classes.push_back(old);
  }
  classes_ = std::move(retired);
}

RetiredClasses::Allowance RetiredClasses::allowance(const policy::ClassSettings& message_class,
                                                    Time now) const {
  const auto retired = classes_.find(message_class.name);
  if (retired == classes_.end()) return {false, message_class.max_lifetime};
  if (now >= retired->second.until) return {retired->second.removed, message_class.max_lifetime};
  return {false, std::max(message_class.max_lifetime, retired->second.max_lifetime)};
}

}  // namespace turntally::relay
