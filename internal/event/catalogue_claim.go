package event

// Events of package claim.
const (
	ClaimSealed        ID = 2101
	ClaimSettled       ID = 2102
	ClaimStoreWaits    ID = 2103
	ClaimWindowMissing ID = 2104
	ClaimWindowInvalid ID = 2105
	ClaimRemoved       ID = 2106
	ClaimDropped       ID = 2107
	ClaimTicketsFull   ID = 2108
	ClaimFormat        ID = 2109
	ClaimHandedOver    ID = 2110
	ClaimUnrecorded    ID = 2111
)

var _ = define(
	Definition{ClaimSealed, Debug, "claim_window_sealed", "A window of claims is full; the next one is in use."},
	Definition{ClaimSettled, Info, "claim_write_settled", "The reply to a write of claims was lost, and reading back has shown whether it took effect."},
	Definition{ClaimStoreWaits, Warn, "claim_store_waits", "Claims wait for the platform's store; stages that are not idempotent are refused when their deadline comes. Check the platform, and the claim_store_errors_total metric."},
	Definition{ClaimWindowMissing, Error, "claim_window_missing", "A window of claims that is within its retention is not in the store, so claims of its shard are refused. Somebody removed an object below claims/; restore it, or wait out the retention."},
	Definition{ClaimWindowInvalid, Error, "claim_window_invalid", "An object below claims/ cannot be decoded, so claims of its shard are refused. Check which program wrote it."},
	Definition{ClaimRemoved, Debug, "claim_windows_removed", "Windows of claims past their retention were removed."},
	Definition{ClaimDropped, Warn, "claim_record_dropped", "Completions or releases were dropped while the store was down; resends of their keys will be told outcome_unknown."},
	Definition{ClaimTicketsFull, Warn, "claim_tickets_full", "The memory for keys under this instance's tickets is full; further ones are claimed in the platform. Fewer keys per ticket or more instances make room."},
	Definition{ClaimFormat, Error, "claim_shards_differ", "The platform's claims were written with another number of shards than this instance's settings say; it refuses claims, since it would not find the recorded ones. Set claims.shards as it was."},
	Definition{ClaimHandedOver, Info, "claim_records_handed_over", "A stopping instance gave other instances the completions and releases that the store did not take."},
	Definition{ClaimUnrecorded, Error, "claim_records_lost", "A stopping instance ended with completions or releases that neither the store nor another instance took; resends of their keys will be told outcome_unknown."},
)
