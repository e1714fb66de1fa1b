/* Messages between the processes of bluebellusher. One Envelope is one frame. */

enum Role { ENTRY = 1, AGENT = 2 }

struct Hello {
  1: i32 protocol_version, 2: string instance_id, 3: i64 incarnation,
  4: string failure_domain, 5: Role role, 6: binary nonce, 7: binary mac,
  8: list<string> services, 9: list<string> models, 10: list<string> adapters,
  11: i32 n_slots, 12: bool is_draining
}

struct Heartbeat { 1: i64 sequence }

struct Dispatch {
  1: string attempt_id, 2: string request_id, 3: string method, 4: string path,
  5: map<string, string> headers, 6: binary body, 7: i32 priority,
  8: i64 remaining_ms, 9: bool is_idempotent, 10: i64 resume_offset,
  11: bool is_isolated, 12: string fingerprint, 13: string traceparent,
  14: i64 credit_bytes, 15: string service_id
}

struct Chunk { 1: string attempt_id, 2: i64 offset, 3: binary data }
struct ChunkBatch { 1: list<Chunk> chunks }

struct Finish {
  1: string attempt_id, 2: i32 status, 3: map<string, string> headers,
  4: i64 n_bytes, 5: i64 crc32, 6: i64 n_input_tokens, 7: i64 n_cached_tokens,
  8: i64 n_output_tokens
}

struct Started { 1: string attempt_id, 2: i32 status, 3: map<string, string> headers }
/* Sent before an isolated attempt is handed to the engine. */
struct Accepted { 1: string attempt_id }
struct Refuse { 1: string attempt_id, 2: string reason, 3: i64 retry_after_ms }
struct Broken { 1: string attempt_id, 2: string reason, 3: bool is_resumable }
struct Cancel { 1: string attempt_id }
struct Credit { 1: string attempt_id, 2: i64 n_bytes }

struct LoadReport {
  1: i64 sequence, 2: i32 n_running, 3: i32 n_queued, 4: i64 n_queued_tokens,
  5: i32 n_slots, 6: double kv_use, 7: list<string> models,
  8: list<string> adapters, 9: bool is_draining, 10: i64 age_ms
}

struct CacheReport {
  1: list<i64> added, 2: list<i64> removed, 3: i64 first_sequence,
  4: i64 last_sequence, 5: bool has_gap
}

struct EngineCrash {
  1: list<string> attempt_ids, 2: list<string> fingerprints,
  3: string isolated_fingerprint
}

struct Drain { 1: string endpoint_id }

struct Order {
  1: string order_id, 2: string lease_name, 3: i64 fencing_token,
  4: string action, 5: map<string, string> arguments
}
struct OrderResult {
  1: string order_id, 2: bool is_accepted, 3: string reason, 4: i64 fencing_token
}

struct ExpertMove { 1: i32 layer, 2: i32 expert, 3: i32 from_rank, 4: i32 to_rank }
struct MapPrepare {
  1: string group_id, 2: i64 map_version, 3: i64 fencing_token, 4: i64 switch_step,
  5: list<ExpertMove> moves
}
struct MapPrepared {
  1: string group_id, 2: i64 map_version, 3: i64 fencing_token, 4: i32 rank,
  5: i64 current_step, 6: bool is_ready, 7: string reason
}
struct MapCommit { 1: string group_id, 2: i64 map_version, 3: i64 fencing_token }
struct MapAbort { 1: string group_id, 2: i64 map_version, 3: i64 fencing_token }
struct MapQuery {
  1: string group_id, 2: i64 map_version, 3: i64 fencing_token, 4: i32 rank
}
struct MapState {
  1: string group_id, 2: i64 map_version, 3: i64 fencing_token, 4: i32 rank,
  5: string decision
}

struct Member {
  1: string instance_id, 2: i64 incarnation, 3: string failure_domain,
  4: string state, 5: string host, 6: i32 port, 7: Role role,
  8: list<string> services
}
/* Ages count from when the message is made; sound_age_ms is absent without a whole run. */
struct Crash { 1: string start_id, 2: i64 sent_age_ms, 3: i64 age_ms }
struct CrashRecord {
  1: string fingerprint, 2: list<Crash> crashes, 3: optional i64 sound_age_ms
}
struct LeavingMark { 1: string endpoint_id, 2: i64 incarnation, 3: i64 age_ms }
/* requests_per_s is absent when the endpoint no longer names a limit. */
struct LimitMark {
  1: string endpoint_id, 2: i64 incarnation, 3: optional double requests_per_s,
  4: i64 age_ms
}
/* A request without a complete answer, whose caller may retry at another entry. */
struct EndedRequest { 1: string fingerprint, 2: i64 remaining_ms, 3: i64 age_ms }
struct Digest {
  1: i64 config_version, 2: list<Member> members,
  3: list<string> blocked_fingerprints, 4: list<string> suspect_fingerprints,
  5: map<string, i64> version_by_table, 6: list<string> held_leases,
  7: list<CrashRecord> crashes, 8: list<LeavingMark> leaving,
  9: list<EndedRequest> ended,
  /* Ids of ranks that send nothing while their group advances. */
  10: list<string> silent_endpoint_ids,
  11: list<LimitMark> limits,
  /* Epoch of the store that each version of version_by_table belongs to. */
  12: map<string, i64> store_epoch_by_table
}

/* Shared tables: an entry that the store turns away catches up with its peers. */
struct TableRow { 1: string key, 2: i64 version, 3: binary value, 4: bool is_removed }
struct TableDelta {
  1: string table, 2: i64 above_version, 3: i64 version, 4: list<TableRow> rows,
  5: i64 store_epoch,
  /* Rows of an earlier store epoch that are in force until they are written again. */
  6: list<TableRow> retained_rows
}
struct TablePull { 1: string table, 2: i64 above_version, 3: i64 store_epoch }

/* State of one rank, as its agent reads it. Fields that do not apply are absent. */
struct RankReport {
  1: i64 sequence, 3: i32 n_running, 4: i32 n_queued,
  5: string group_id, 6: i64 epoch, 7: i32 rank, 8: i32 n_ranks, 9: bool is_open,
  10: i64 step, 11: i64 map_version, 12: i64 prepared_version,
  13: i64 armed_version, 14: i64 armed_step, 15: i64 held_step, 16: double pace,
  17: i64 fencing_token, 18: i64 started_wall_ms
}
/* Choices since the last answer on this connection, packed by ranks.pack_counts. */
struct RankPull { 1: string call_id, 2: bool with_map }
struct RankCounts {
  1: string call_id, 2: i64 epoch, 3: i64 step, 4: binary packed_counts,
  5: list<list<i32>> experts, 6: i64 map_version, 7: string reason
}
struct RankOrder {
  1: string call_id, 2: i64 fencing_token, 3: string action, 4: i64 epoch,
  5: i64 map_version, 6: i64 step, 8: binary packed_map /* by ranks.pack_map */
}
struct RankOrderDone { 1: string call_id, 2: bool is_accepted, 3: string reason }

struct ConfigStage {
  1: string change_id, 2: i64 base_version, 3: string rules_text, 4: string author
}
struct ConfigStaged {
  1: string change_id, 2: string failure_domain, 3: bool is_staged, 4: string reason
}
struct ConfigPush {
  1: i64 version, 2: string change_id, 3: string rules_text, 4: string author,
  5: i64 accepted_wall_ms
}
struct ConfigPull { 1: i64 above_version }

struct Envelope {
  1: optional Hello hello, 2: optional Heartbeat heartbeat,
  3: optional Dispatch dispatch, 4: optional ChunkBatch chunk_batch,
  5: optional Finish finish, 6: optional Refuse refuse, 7: optional Broken broken,
  8: optional Cancel cancel, 9: optional Credit credit,
  10: optional LoadReport load_report, 11: optional CacheReport cache_report,
  12: optional EngineCrash engine_crash, 13: optional Drain drain,
  14: optional Order order, 15: optional OrderResult order_result,
  16: optional MapPrepare map_prepare, 17: optional MapPrepared map_prepared,
  18: optional MapCommit map_commit, 19: optional MapAbort map_abort,
  20: optional MapQuery map_query, 21: optional MapState map_state,
  22: optional Digest digest, 23: optional ConfigStage config_stage,
  24: optional ConfigStaged config_staged, 25: optional ConfigPush config_push,
  26: optional ConfigPull config_pull, 27: optional Started started,
  28: optional Accepted accepted, 29: optional TableDelta table_delta,
  30: optional TablePull table_pull, 31: optional RankReport rank_report,
  32: optional RankPull rank_pull, 33: optional RankCounts rank_counts,
  34: optional RankOrder rank_order, 35: optional RankOrderDone rank_order_done
}
