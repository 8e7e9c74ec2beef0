#include "lab/plan.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <numeric>

#include "net/random.h"

namespace turntally::lab {
namespace {

using net::Random;

enum Stream : uint64_t { kWorld = 1, kArrivals, kFaults };

double draw(Random& random, const Range& range) { return random.between(range.low, range.high); }

void draw_receivers(const Scenario& s, Random& random, Plan& plan) {
  std::vector<int> kinds;
  for (size_t k = 0; k < s.kinds.size(); ++k)
    kinds.insert(kinds.end(), s.kinds[k].count, static_cast<int>(k));
  random.shuffle(kinds);
  double sum = 0;
  for (size_t i = 0; i < kinds.size(); ++i) sum += std::pow(static_cast<double>(i + 1), -s.zipf);
  for (size_t i = 0; i < kinds.size(); ++i) {
    const ReceiverKind& kind = s.kinds[kinds[i]];
    ReceiverPlan out;
    out.number = static_cast<int>(i);
    out.kind = kinds[i];
    out.traffic = s.rate * std::pow(static_cast<double>(i + 1), -s.zipf) / sum;
    const double limit = std::max(kind.least, out.traffic * draw(random, kind.headroom));
    out.capacity = limit * draw(random, kind.spare);
    out.limit = kind.limit == "none" ? 0 : limit;
    out.service_s = draw(random, kind.service_ms) / 1000;
    out.depth_s = draw(random, kind.depth_s);
    out.window_s = draw(random, kind.window_ms) / 1000;
    out.tells_wait = draw(random, kind.tells_wait);
    out.wait_s = draw(random, kind.wait_ms) / 1000;
    out.report_s = draw(random, kind.report_ms) / 1000;
    const int endpoints = static_cast<int>(std::lround(draw(random, kind.endpoints)));
    for (int e = 0; e < std::max(1, endpoints); ++e) {
      out.endpoints.push_back(
          {"s-" + net::hex(random.bits() & 0xffffffff, 8), static_cast<int>((i + e) % s.zones.size())});
    }
    plan.receivers.push_back(std::move(out));
  }
}

void draw_relays(const Scenario& s, Random& random, Plan& plan) {
  double busy = 0;  // calls that full load keeps out, over the fleet
  for (const ReceiverPlan& r : plan.receivers) busy += r.traffic * r.service_s;
  const double part = 1.0 / s.relays;
  for (int i = 0; i < s.relays; ++i) {
    RelayPlan out;
    out.name = "n" + std::to_string(i);
    out.zone = static_cast<int>(i % s.zones.size());
    out.weight = s.relays == 1 ? 1 : 1 + s.uneven * (1 - 2.0 * i / (s.relays - 1));
    out.weight = std::max(0.05, out.weight);
    out.slots = std::max(4, static_cast<int>(std::ceil(busy * part * draw(random, s.slots_room))));
    out.hold = std::max(16, static_cast<int>(std::ceil(s.rate * part * draw(random, s.hold_s))));
    plan.relays.push_back(std::move(out));
  }
}

void draw_arrivals(const Scenario& s, Random& random, Plan& plan) {
  std::vector<double> shares;
  for (const MessageClass& c : s.classes) shares.push_back(c.share);
  std::vector<double> traffic;
  for (const ReceiverPlan& r : plan.receivers) traffic.push_back(r.traffic);
  const auto add = [&](double at, int receiver) {
    ArrivalPlan out;
    out.at_s = at;
    out.message_class = static_cast<int>(random.weighted(shares));
    if (!s.tenants.empty()) out.tenant = receiver % static_cast<int>(s.tenants.size());
    out.receiver = receiver;
    out.body = static_cast<int>(draw(random, s.body_bytes));
    out.draw = random.unit();
    plan.arrivals.push_back(out);
  };
  // Poisson arrivals under a rate that changes, by thinning (Lewis and Shedler 1979).
  const double highest = s.rate * (1 + s.wave_depth);
  for (double t = random.exponential(1 / highest); t < s.seconds; t += random.exponential(1 / highest)) {
    const double wave = s.wave_s > 0 ? s.wave_depth * std::sin(2 * 3.14159265358979323846 * t / s.wave_s) : 0;
    const double now = s.rate * (1 - s.clumps) * (1 + wave);
    if (random.unit() * highest < now) add(t, static_cast<int>(random.weighted(traffic)));
  }
  if (s.clumps > 0 && s.clump_s.high > 0) {
    double owed = s.clumps * s.rate * s.seconds;
    while (owed > 0) {
      const auto receiver = static_cast<int>(random.weighted(traffic));
      const ReceiverPlan& r = plan.receivers[receiver];
      const double size = std::max(2.0, draw(random, s.clump_s) * (r.limit > 0 ? r.limit : r.capacity));
      const double at = random.between(0, s.seconds);
      for (int i = 0; i < static_cast<int>(size); ++i) {
        add(std::min(s.seconds, at + random.between(0, 0.2)), receiver);
      }
      owed -= size;
    }
  }
  if (s.hot_share > 0 && s.hot_s.high > s.hot_s.low) {
    const auto receiver = static_cast<int>(random.weighted(traffic));
    const double rate = s.rate * s.hot_share;
    for (double t = s.hot_s.low + random.exponential(1 / rate); t < std::min(s.seconds, s.hot_s.high);
         t += random.exponential(1 / rate)) {
      add(t, receiver);
    }
  }
  std::stable_sort(plan.arrivals.begin(), plan.arrivals.end(),
                   [](const ArrivalPlan& a, const ArrivalPlan& b) { return a.at_s < b.at_s; });
}

void add_fault(const Scenario& s, const Fault& fault, Random& random, Plan& plan) {
  FaultPlan out{fault, {}};
  const Target target = target_of(fault.kind);
  if (target != Target::kDiscovery) {
    const size_t all = target == Target::kRelays ? plan.relays.size() : plan.receivers.size();
    std::vector<int> who;
    for (size_t i = 0; i < all; ++i) {
      const bool zoned = target == Target::kRelays && !fault.zone.empty();
      if (!zoned || s.zones[plan.relays[i].zone] == fault.zone) who.push_back(static_cast<int>(i));
    }
    random.shuffle(who);
    const auto count = static_cast<size_t>(std::ceil(fault.share * static_cast<double>(who.size()) - 1e-9));
    who.resize(std::min(who.size(), std::max<size_t>(fault.share > 0 ? 1 : 0, count)));
    out.who = std::move(who);
  }
  plan.faults.push_back(std::move(out));
}

void draw_faults(const Scenario& s, Random& random, Plan& plan) {
  for (const Fault& fault : s.faults) add_fault(s, fault, random, plan);
  if (s.drawn.per_minute > 0) {
    const auto& names = fault_names();
    const double mean = 60 / s.drawn.per_minute;
    for (double t = random.exponential(mean); t < s.seconds; t += random.exponential(mean)) {
      Fault fault;
      const std::string& name = s.drawn.kinds[random.below(s.drawn.kinds.size())];
      fault.kind = static_cast<FaultKind>(std::find(names.begin(), names.end(), name) - names.begin());
      fault.at_s = t;
      fault.for_s = random.between(0.5, 5);
      fault.share = random.between(0.05, 0.5);
      fault.links = random.chance(0.5) ? "receivers" : "all";
      fault.way = random.chance(0.5) ? "both" : random.chance(0.5) ? "to" : "from";
      fault.size = fault.kind == FaultKind::kDelay  ? random.between(10, 200)
                   : fault.kind == FaultKind::kSlow ? random.between(1.5, 5)
                                                    : random.between(0.1, 0.7);
      add_fault(s, fault, random, plan);
    }
  }
  std::stable_sort(plan.faults.begin(), plan.faults.end(),
                   [](const FaultPlan& a, const FaultPlan& b) { return a.fault.at_s < b.fault.at_s; });
}

}  // namespace

Target target_of(FaultKind kind) {
  switch (kind) {
    case FaultKind::kDown:
    case FaultKind::kSilent:
    case FaultKind::kFailing:
    case FaultKind::kSlow:
    case FaultKind::kLower:
    case FaultKind::kDrain:
      return Target::kReceivers;
    case FaultKind::kDiscoveryDown:
      return Target::kDiscovery;
    default:
      return Target::kRelays;
  }
}

Plan draw_plan(const Scenario& scenario, uint64_t seed) {
  Plan out;
  out.seed = seed;
  Random world(seed, kWorld);
  draw_receivers(scenario, world, out);
  draw_relays(scenario, world, out);
  Random arrivals(seed, kArrivals);
  draw_arrivals(scenario, arrivals, out);
  Random faults(seed, kFaults);
  draw_faults(scenario, faults, out);
  out.end_s = scenario.seconds;
  for (const FaultPlan& f : out.faults) {
    const auto steps = static_cast<double>(f.who.empty() ? 0 : f.who.size() - 1);
    out.end_s = std::max(out.end_s, f.fault.at_s + f.fault.for_s + steps * f.fault.each_s);
  }
  return out;
}

std::string Plan::text() const {
  std::string out;
  char line[256];
  const auto add = [&](const char* format, auto... values) {
    std::snprintf(line, sizeof(line), format, values...);
    out += line;
  };
  for (const RelayPlan& r : relays) {
    add("relay %s zone=%d weight=%.4f slots=%d hold=%d\n", r.name.c_str(), r.zone, r.weight, r.slots, r.hold);
  }
  for (const ReceiverPlan& r : receivers) {
    add("receiver %d kind=%d traffic=%.4f limit=%.4f capacity=%.4f service=%.4f endpoints=%zu\n", r.number,
        r.kind, r.traffic, r.limit, r.capacity, r.service_s, r.endpoints.size());
  }
  for (const ArrivalPlan& a : arrivals) {
    add("arrival %.6f class=%d tenant=%d receiver=%d body=%d draw=%.9f\n", a.at_s, a.message_class, a.tenant,
        a.receiver, a.body, a.draw);
  }
  for (const FaultPlan& f : faults) {
    add("fault %.6f %s for=%.6f size=%.6f who=", f.fault.at_s,
        fault_names()[static_cast<size_t>(f.fault.kind)].c_str(), f.fault.for_s, f.fault.size);
    for (const int i : f.who) out += std::to_string(i) + " ";
    out += "\n";
  }
  return out;
}

}  // namespace turntally::lab
