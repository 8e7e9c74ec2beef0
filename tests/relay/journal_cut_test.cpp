// A relay can be killed between any two writes. These tests cut the journal of a relay at each of its records
// and check the promises that span several records: a revision and the entries of its list, the identity of a
// list and its entries, entries and the destinations that they name, messages and their terms, the end of a
// call and the hold of its ordering key.
#include <chrono>
#include <cstring>
#include <fstream>
#include <set>
#include <thread>

#include "relay/journal.h"
#include "relay/journal_facts.h"
#include "tests/support/inside.h"
#include "tests/support/peers.h"

namespace turntally::testing {
namespace {

using relay::Journal;
using relay::JournaledMessage;
namespace fact = relay::fact;

constexpr size_t kDiskBytes = 3'000'000;
constexpr size_t kHeaderBytes = 8;  // length and checksum of a record
constexpr int kConfiguredRevision = 1;
constexpr int kZoneSize = 30;  // endpoints that change together

// The lists that the relay was told, each as it is after the change. An entry's version is the revision that
// changed it last; it is passed as the entry's time of start, of which the relay takes no notice here.
class ToldLists {
 public:
  using Versions = std::map<std::string, int>;

  nlohmann::json change(int revision, const std::vector<std::string>& ids, const std::string& phase,
                        const std::string& address) {
    std::vector<nlohmann::json> members;
    for (const std::string& id : ids) {
      members.push_back(member_json(id, address, 7 + static_cast<int>(members.size()) % 5 + revision, phase));
      members.back()["up_since_ms"] = revision;
      phase == "left" ? void(current_.erase(id)) : void(current_[id] = revision);
    }
    at_[{identity_, revision}] = current_;
    nlohmann::json line = list_json(revision, false, members);
    if (!identity_.empty()) line["identity"] = identity_;
    return line;
  }
  nlohmann::json replace(int revision, const std::string& identity, const std::vector<std::string>& ids,
                         const std::string& address) {
    identity_ = identity;
    current_.clear();
    nlohmann::json line = change(revision, ids, "active", address);
    line["complete"] = true;
    return line;
  }
  // The list goes on from that of the configuration.
  void start_from(const std::string& configured_id) { current_[configured_id] = 0; }
  const Versions* at(const std::string& identity, int revision) const {
    const auto found = at_.find({identity, revision});
    return found == at_.end() ? nullptr : &found->second;
  }

 private:
  std::string identity_;
  Versions current_;
  std::map<std::pair<std::string, int>, Versions> at_;
};

std::vector<std::string> ids(const std::string& zone) {
  std::vector<std::string> out;
  for (int i = 0; i < kZoneSize; ++i) out.push_back(zone + "-" + std::to_string(i));
  return out;
}

std::string read_journal(const std::filesystem::path& folder) {
  std::ifstream in(folder / "journal", std::ios::binary);
  return {std::istreambuf_iterator<char>(in), {}};
}

struct CutJournal {
  Folder folder;
  std::optional<Journal> journal;

  explicit CutJournal(const std::string& bytes) {
    std::ofstream(folder.path / "journal", std::ios::binary) << bytes;
    journal.emplace(folder.path, kDiskBytes);
  }
  nlohmann::json fact_of(const std::string& name) const {
    const auto found = journal->facts().find(name);
    return found == journal->facts().end() ? nlohmann::json() : nlohmann::json::parse(found->second);
  }
};

std::vector<size_t> record_ends(const std::string& bytes) {
  std::vector<size_t> ends;
  for (size_t offset = 0; offset + kHeaderBytes <= bytes.size();) {
    uint32_t length = 0;
    std::memcpy(&length, bytes.data() + offset, sizeof length);
    ends.push_back(offset += kHeaderBytes + length);
  }
  return ends;
}

// Returns the name of a fact, which begins behind the header, the kind and its length.
std::string fact_name(const std::string& bytes, size_t record) {
  const size_t length_at = record + kHeaderBytes + 1;
  int64_t length = 0;
  std::memcpy(&length, bytes.data() + length_at, sizeof length);
  return bytes.substr(length_at + sizeof length, static_cast<size_t>(length));
}

// Returns how many records at the begin are in the order in which a compaction writes facts: by name.
size_t count_compacted(const std::string& bytes) {
  size_t count = 0;
  std::string last;
  size_t begin = 0;
  for (const size_t end : record_ends(bytes)) {
    const std::string name = fact_name(bytes, begin);
    if (name <= last) break;
    last = name;
    begin = end;
    ++count;
  }
  return count;
}

// The next process asks for what has changed since the recorded revision: it must have all entries of that
// revision, or later ones.
void expect_whole_list(const CutJournal& cut, const ToldLists& told) {
  const nlohmann::json revision = cut.fact_of(fact::kListRevision);
  if (revision.is_null() || revision == 0) return;  // it asks for the whole list
  const nlohmann::json identity = cut.fact_of(fact::kListIdentity);
  const int number = revision.get<int>();
  const ToldLists::Versions* expected =
      told.at(identity.is_null() ? "" : identity.get<std::string>(), number);
  if (expected == nullptr) {  // the list of the configuration, or a revision that no list had
    EXPECT_EQ(number, kConfiguredRevision);
    return;
  }
  ToldLists::Versions recorded;
  for (const auto& [name, text] : cut.journal->facts()) {
    if (name.starts_with(fact::kEndpoint))
      recorded[name.substr(fact::kEndpoint.size())] =
          nlohmann::json::parse(text).at("up_since_ms").get<int>();
  }
  for (const auto& [id, version] : *expected) {
    const auto found = recorded.find(id);
    const bool left_later = found == recorded.end() && !cut.fact_of(fact::kRemovedAt + id).is_null();
    EXPECT_TRUE(left_later || (found != recorded.end() && found->second >= version))
        << id << " at revision " << number;
  }
  for (const auto& [id, version] : recorded)
    EXPECT_TRUE(expected->contains(id) || version > number) << id << " at revision " << number;
}

void expect_destinations_known(const CutJournal& cut) {
  const nlohmann::json destinations = cut.fact_of(fact::kDestinations);
  const auto known = destinations.is_null() ? std::set<int>() : destinations.get<std::set<int>>();
  for (const auto& [name, text] : cut.journal->facts()) {
    if (!name.starts_with(fact::kEndpoint)) continue;
    EXPECT_TRUE(known.contains(nlohmann::json::parse(text).at("cell").get<int>())) << text;
  }
}

void expect_terms_known(const CutJournal& cut) {
  for (const JournaledMessage& entry : cut.journal->recovered())
    EXPECT_FALSE(cut.fact_of("rules " + std::to_string(entry.terms_number)).is_null()) << entry.message.id;
}

// `first_cut`: the number of records that a compaction wrote, which are there as a whole or not at all.
void expect_promises_at_each_cut(const std::string& bytes, const ToldLists& told, size_t first_cut = 0) {
  const std::vector<size_t> ends = record_ends(bytes);
  ASSERT_GT(ends.size(), first_cut == 0 ? 40u : first_cut);
  ASSERT_EQ(ends.back(), bytes.size());
  for (size_t record = first_cut; record < ends.size() && !::testing::Test::HasFailure(); ++record) {
    SCOPED_TRACE("cut behind record " + std::to_string(record));
    const CutJournal cut(bytes.substr(0, ends[record]));
    expect_whole_list(cut, told);
    expect_destinations_known(cut);
    expect_terms_known(cut);
  }
  // A torn record counts for nothing.
  const size_t last = ends[ends.size() - 2];
  const CutJournal whole(bytes.substr(0, last));
  for (size_t end = last; end < bytes.size(); ++end) {
    const CutJournal torn(bytes.substr(0, end));
    ASSERT_EQ(torn.journal->facts(), whole.journal->facts()) << end;
    ASSERT_EQ(torn.journal->recovered().size(), whole.journal->recovered().size()) << end;
  }
}

struct ToldRelay {
  Host host;
  Discovery discovery;
  ToldLists told;
  nlohmann::json config = config_json(discovery.address(), {member_json("s-1", host.address(), 7)});
  std::optional<Program> program;

  void start() {
    program.emplace(config);
    program->start();
  }
  // Waits until the journal has the revision, and returns its bytes then.
  std::string journal_at(int revision, const std::string& identity = "") const {
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(kDeadlineMs);
    while (std::chrono::steady_clock::now() < deadline) {
      std::string bytes = read_journal(program->state());
      const std::vector<size_t> ends = record_ends(bytes);
      if (!ends.empty() && ends.back() == bytes.size()) {
        const CutJournal now(bytes);
        const nlohmann::json recorded = now.fact_of(fact::kListIdentity);
        if (now.fact_of(fact::kListRevision) == revision &&
            (recorded.is_null() ? "" : recorded.get<std::string>()) == identity)
          return bytes;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    ADD_FAILURE() << "no revision " << revision;
    return {};
  }
  void put(const std::string& id, const std::string& message_class) {
    Socket client = program->client();
    client.send(put_bytes(id, "c=" + message_class + ",d=60000,k=5c0f6e1a2b3d4c59,dest=7"));
    ASSERT_EQ(client.line(), "+OK");
    host.next();
  }
};

// A kill left the new revision with the old entries: endpoints of which the relay had been told that they
// leave got calls for good.
TEST(JournalCut, LeavesNoRevisionAheadOfItsEntries) {
  ToldRelay relay;
  relay.discovery.tell(relay.told.replace(2, "", ids("a"), relay.host.address()));
  relay.start();
  relay.journal_at(2);
  relay.discovery.tell(relay.told.change(3, ids("b"), "active", relay.host.address()));
  relay.discovery.tell(relay.told.change(4, ids("a"), "leaving", relay.host.address()));
  relay.journal_at(4);
  relay.discovery.tell(relay.told.change(5, ids("a"), "left", relay.host.address()));
  relay.discovery.tell(relay.told.replace(6, "", ids("c"), relay.host.address()));
  relay.discovery.tell(relay.told.change(7, {"s-7"}, "active", relay.host.address()));
  const std::string bytes = relay.journal_at(7);
  relay.program->kill();
  expect_promises_at_each_cut(bytes, relay.told);
}

// The identity of a new list came ahead of its entries, with the revision of the list before.
TEST(JournalCut, LeavesNoRevisionOfAnotherList) {
  ToldRelay relay;
  relay.config["fleet"] = {{"registry", {relay.discovery.address()}}, {"hold_ms", 0}, {"most_removed", 1.0}};
  relay.discovery.tell(relay.told.replace(20, "one", ids("a"), relay.host.address()));
  relay.start();
  relay.journal_at(20, "one");
  relay.discovery.tell(relay.told.change(21, ids("a"), "leaving", relay.host.address()));
  relay.journal_at(21, "one");
  relay.discovery.tell(relay.told.replace(9, "two", ids("b"), relay.host.address()));
  const std::string bytes = relay.journal_at(9, "two");
  relay.program->kill();
  expect_promises_at_each_cut(bytes, relay.told);
}

// Messages, their attempts and ends beside changes of the list.
TEST(JournalCut, LeavesNoMessageWithoutItsTerms) {
  ToldRelay relay;
  relay.told.start_from("s-1");
  relay.start();
  relay.put("m-delivered", "safe");
  relay.host.answer("200");
  relay.discovery.tell(relay.told.change(2, ids("a"), "leaving", relay.host.address()));
  relay.put("m-failed", "unsafe");
  relay.host.answer("500");
  EXPECT_EQ(relay.discovery.notice().at("id"), "m-failed");
  relay.put("m-pending", "keyed");
  const std::string bytes = relay.journal_at(2);
  relay.program->kill();
  expect_promises_at_each_cut(bytes, relay.told);
}

// A folder that changes from the registry's list to discovery's: the revisions do not compare.
TEST(JournalCut, LeavesNoRevisionOfTheOtherSource) {
  ToldRelay relay;
  const nlohmann::json with_discovery = relay.config;
  relay.config["fleet"] = {{"registry", {relay.discovery.address()}}, {"hold_ms", 0}, {"most_removed", 1.0}};
  relay.discovery.tell(relay.told.replace(20, "one", ids("a"), relay.host.address()));
  relay.start();
  const std::string before = relay.journal_at(20, "one");
  relay.program->kill();
  Discovery discovery;
  nlohmann::json config = with_discovery;
  config["discovery"] = discovery.address();
  relay.program->configure(config.dump());
  discovery.tell(relay.told.replace(30, "", ids("b"), relay.host.address()));
  discovery.tell(relay.told.change(31, ids("b"), "leaving", relay.host.address()));
  relay.program->start();
  const std::string bytes = relay.journal_at(31);
  relay.program->kill();
  ASSERT_TRUE(bytes.starts_with(before));
  expect_promises_at_each_cut(bytes, relay.told);
}

// A compaction amid changes of the list: it takes the place of the file at once, with the whole change in it.
TEST(JournalCut, CompactsBetweenChangesOnly) {
  ToldRelay relay;
  relay.config["limits"]["disk_mb"] = 0.06;
  relay.discovery.tell(relay.told.replace(2, "", ids("a"), relay.host.address()));
  relay.start();
  size_t compactions = 0;
  std::string bytes = relay.journal_at(2);
  for (int revision = 3; revision < 14; ++revision) {
    const std::string before = bytes;
    relay.discovery.tell(relay.told.change(revision, ids("a"), revision % 2 == 0 ? "active" : "leaving",
                                           relay.host.address()));
    bytes = relay.journal_at(revision);
    const bool is_compacted = !bytes.starts_with(before);
    compactions += is_compacted ? 1 : 0;
    const size_t compacted = count_compacted(bytes);
    ASSERT_GT(compacted, 0u);
    expect_promises_at_each_cut(bytes, relay.told, compactions > 0 ? compacted - 1 : 0);
  }
  EXPECT_GE(compactions, 2u);
  relay.program->kill();
  // A compaction that a kill interrupted leaves a part of its file, of which no process takes notice.
  const CutJournal whole(bytes);
  const Folder folder;
  std::ofstream(folder.path / "journal", std::ios::binary) << bytes;
  std::ofstream(folder.path / "journal.new", std::ios::binary) << bytes.substr(0, bytes.size() / 2);
  const Journal beside_part(folder.path, kDiskBytes);
  EXPECT_EQ(beside_part.facts(), whole.journal->facts());
}

// A call whose end is not known holds its ordering key, also once its message has ended: the hold must not be
// missing where the end is on record.
TEST(JournalCut, LeavesNoEndWithoutTheHoldOfItsKey) {
  ToldRelay relay;
  relay.told.start_from("s-1");
  relay.config["settings"]["categories"][2]["in_order"] = true;
  relay.config["settings"]["obligations"]["order_pause_s"] = 30.0;
  relay.start();
  Socket client = relay.program->client();
  std::string put = put_bytes("m-1", "c=unsafe,d=60000,k=5c0f6e1a2b3d4c59,dest=7");
  put.replace(put.find(std::string(16, '0')), 16, "000000000000000a");
  client.send(put);
  ASSERT_EQ(client.line(), "+OK");
  relay.host.next();
  relay.host.reset();
  EXPECT_EQ(relay.discovery.notice().at("id"), "m-1");
  relay.discovery.tell(relay.told.change(2, ids("a"), "active", relay.host.address()));
  const std::string bytes = relay.journal_at(2);
  relay.program->kill();
  bool is_accepted = false;
  for (const size_t end : record_ends(bytes)) {
    const CutJournal cut(bytes.substr(0, end));
    const auto& messages = cut.journal->recovered();
    const bool is_pending = !messages.empty() && !messages.front().unacknowledged_answer;
    EXPECT_TRUE(!is_accepted || is_pending || !cut.fact_of("rest 10").is_null()) << "cut at " << end;
    is_accepted = is_accepted || !messages.empty();
  }
  EXPECT_TRUE(is_accepted);
}

}  // namespace
}  // namespace turntally::testing
