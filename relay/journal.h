// The accepted messages on disk: an append-only file of checksummed records that outlasts the process.
#pragma once

#include <filesystem>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "relay/message.h"

namespace turntally::relay {

struct RecordedAttempt {  // an attempt that may have run
  Time sent_at = 0;
  int zone = 0;           // by its place in the settings of then
  std::string zone_name;  // empty: not recorded
};

struct Recovered {
  SubmittedMessage message;
  Time deadline = 0;                            // by the DurableClock, as all times here
  int attempts = 0;                             // one more than the last one's number
  int begun = 0;                                // of these, those that began a call
  std::map<int, RecordedAttempt> possibly_run;  // attempts that may have run
  std::optional<FinalAnswer> unacknowledged_answer;
  int64_t terms_number = 0;  // of its DeliveryTerms; 0: not recorded
};

class Journal {
 public:
  // Reads what is there, cuts a torn tail off and goes on behind it. Throws StateUnusable if the folder
  // cannot be used.
  Journal(const std::filesystem::path& folder, size_t disk_bytes);
  ~Journal();
  Journal(const Journal&) = delete;
  Journal& operator=(const Journal&) = delete;

  // In the order in which they were accepted.
  const std::vector<Recovered>& recovered() const { return recovered_; }

  // What was remembered last under each name.
  const std::map<std::string, std::string>& remembered() const { return remembered_; }

  // False: there is no room or it could not be written, and the message must not be accepted. `terms_number`:
  // that of its DeliveryTerms.
  bool record_accepted(const SubmittedMessage& message, Time deadline, int64_t terms_number = 0);
  // False: it could not be written, and the call must not start.
  bool record_attempt(const std::string& id, int number, Time sent, int zone,
                      const std::string& zone_name = {});
  void record_not_started(const std::string& id, int number);
  // False: not written yet; write_pending() does it. Until then the next process knows nothing of the end.
  bool record_final_answer(const FinalAnswer& answer);
  void record_acknowledged(const std::string& id);
  // Writes what a full disk did not take; false where there is still no room.
  bool write_pending() { return !incomplete_ || compact(); }
  // A fact beside the messages; the last value of a name counts, an empty one forgets it.
  void remember(const std::string& name, const std::string& value);
  // A fact, under kSynced + name, that outlasts the machine's end too: true once it is on the disk. False:
  // not yet, and it must not be relied on; a later call with the same value tries again.
  static constexpr const char* kSynced = "fence ";
  bool remember_synced(const std::string& name, const std::string& value);

 private:
  void replay();
  void apply(std::string_view record, std::map<std::string, size_t>& places);
  void set_fact(const std::string& name, const std::string& value);
  bool append(const std::string& id, const std::string& payload);
  bool write(std::string_view bytes);
  bool compact();
  bool sync();

  std::filesystem::path path_;
  std::filesystem::path fresh_path_;
  size_t most_file_;  // one file's size; while it is compacted there are two
  int file_ = -1;
  size_t size_ = 0;
  bool incomplete_ = false;  // something that stands in the live records could not be written
  bool unsynced_ = true;  // facts that must outlast the machine may not be on the disk: not known at a start
  size_t live_bytes_ = 0;
  uint64_t order_ = 0;
  std::map<std::string, uint64_t> places_;  // live messages, in the order they came
  std::map<uint64_t, std::string> live_;    // and their records as written
  std::vector<Recovered> recovered_;
  std::map<std::string, std::string> remembered_;
};

}  // namespace turntally::relay
