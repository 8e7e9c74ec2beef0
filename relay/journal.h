// The relay's journal: an append-only file of checksummed records of messages and facts that outlasts the
// process.
#pragma once

#include <deque>
#include <filesystem>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "relay/message.h"

namespace turntally::relay {

// An attempt that may have run at its endpoint.
struct RecordedAttempt {
  Time sent_at = 0;
  int zone = 0;           // index in the settings at that time
  std::string zone_name;  // empty: not recorded
};

struct JournaledMessage {
  SubmittedMessage message;
  Time deadline = 0;                            // by the DurableClock, like all times in the journal
  int attempts = 0;                             // the last attempt's number plus one
  int calls_begun = 0;                          // attempts that began a call
  std::map<int, RecordedAttempt> possibly_run;  // by attempt number
  std::optional<FinalAnswer> unacknowledged_answer;
  int64_t terms_number = 0;  // number of its DeliveryTerms; 0: not recorded
};

// A message that has ended and been acknowledged.
struct FinishedRecord {
  std::string id;
  std::optional<FinalAnswer> answer;  // nothing if it was delivered
  Time ended_at = 0;                  // 0: not recorded
};

// A fact belongs to no message. It has one value, which a later record replaces; an empty value removes it.
struct Fact {
  std::string name;
  std::string value;
};

// Owns the journal file of a state folder, and compacts it when it has grown too large.
class Journal {
 public:
  // Opens or creates the file, replays its records and cuts off a torn record at the end. Throws
  // StateUnusable if the file cannot be opened or read.
  Journal(const std::filesystem::path& folder, size_t disk_bytes);
  ~Journal();
  Journal(const Journal&) = delete;
  Journal& operator=(const Journal&) = delete;

  // Returns the messages that were unfinished when the journal was opened, in the order of their acceptance.
  const std::vector<JournaledMessage>& recovered() const { return recovered_; }
  // Returns the same and keeps no copy.
  std::vector<JournaledMessage> take_recovered() { return std::exchange(recovered_, {}); }

  // Returns the size of the records of unfinished messages, which stand in memory too, with what is reserved
  // for their ends.
  size_t live_message_bytes() const { return live_bytes_ - fact_bytes_; }
  // Drops what stands in memory. Nothing may be recorded after that: another process owns the folder.
  void release_memory();

  // Returns the messages that had ended when the journal was opened, the oldest first, and keeps no copy.
  std::vector<FinishedRecord> take_finished() { return std::exchange(recovered_finished_, {}); }

  // Returns the current facts by name.
  const std::map<std::string, std::string>& facts() const { return facts_; }

  // Returns false if there is no room or the write failed: the message must not be accepted. `terms_number`
  // is the number of its DeliveryTerms.
  bool record_accepted(const SubmittedMessage& message, Time deadline, int64_t terms_number = 0);
  // Returns false if the record could not be written: the call must not start.
  bool record_attempt(const std::string& id, int number, Time sent, int zone,
                      const std::string& zone_name = {});
  void record_not_started(const std::string& id, int number);
  // Returns false if the record is not written yet; write_pending() writes it. Until then the next process
  // would not know that the message has ended.
  bool record_final_answer(const FinalAnswer& answer);
  // Records the end of a message. The newest such records are kept for the next process, in a small part of
  // the file. `answer`: the acknowledged final answer; nothing if the message was delivered.
  void record_acknowledged(const std::string& id, const std::optional<FinalAnswer>& answer = {},
                           Time ended_at = 0);
  // Writes what could not be written earlier, on a full disk. Returns false if there is still no room.
  bool write_pending() { return !incomplete_ || compact(); }
  void record_fact(const std::string& name, const std::string& value) { record_facts({{name, value}}); }
  // Records facts that belong together. A process that is killed meanwhile leaves the first of them, up to
  // any one, so a fact that relies on others must come behind them. A full disk leaves all or none.
  void record_facts(const std::vector<Fact>& facts);
  // Records a fact under kSyncedFactPrefix + name that also outlasts a crash of the machine. Returns true
  // once it is on the disk. Until then it must not be relied on; a later call with the same value tries
  // again.
  static constexpr const char* kSyncedFactPrefix = "fence ";
  bool record_synced_fact(const std::string& name, const std::string& value);

 private:
  void replay();
  void apply_record(std::string_view record, std::map<uint64_t, JournaledMessage>& unfinished);
  void set_fact(const std::string& name, const std::string& value);
  void keep_finished_record(std::string record);
  bool append(const std::string& id, const std::string& payload);
  bool write(std::string_view bytes);
  bool compact();
  std::optional<size_t> write_live_records(int file) const;
  bool sync();

  std::filesystem::path path_;
  std::filesystem::path compacted_path_;
  size_t max_file_bytes_;  // of one file; there are two during a compaction
  int file_ = -1;
  size_t file_bytes_ = 0;
  bool incomplete_ = false;  // the file lacks some of the live records or facts
  bool unsynced_ = true;     // synced facts may not be on the disk; unknown after opening
  size_t live_bytes_ = 0;
  size_t fact_bytes_ = 0;  // the part of live_bytes_ that facts take
  uint64_t last_place_ = 0;
  std::map<std::string, uint64_t> places_;  // order of acceptance of the live messages, by id
  std::map<uint64_t, std::string>
      live_records_;  // records of the live messages as written, by order of acceptance
  std::deque<std::string> finished_records_;  // of the newest messages that have ended, as written
  size_t finished_bytes_ = 0;
  std::vector<JournaledMessage> recovered_;
  std::vector<FinishedRecord> recovered_finished_;
  std::map<std::string, std::string> facts_;
};

}  // namespace turntally::relay
