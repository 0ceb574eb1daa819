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
	Definition{ClaimSettled, Info, "claim_write_settled", "The reply to a write of claims was lost; reading the object back has shown whether the write took effect."},
	Definition{ClaimStoreWaits, Warn, "claim_store_waits", "Claims are waiting for the platform's store; stages that are not idempotent are refused at their deadline. Check the platform and the claim_store_errors_total metric."},
	Definition{ClaimWindowMissing, Error, "claim_window_missing", "A window of claims within its retention period is missing from the store, so claims of its shard are refused. An object below claims/ was removed; restore it, or wait until the retention period has passed."},
	Definition{ClaimWindowInvalid, Error, "claim_window_invalid", "An object below claims/ cannot be decoded, so claims of its shard are refused. Check which program wrote it."},
	Definition{ClaimRemoved, Debug, "claim_windows_removed", "Windows of claims past their retention period were removed."},
	Definition{ClaimDropped, Warn, "claim_record_dropped", "Completions or releases of claims were dropped while the store was down; retries with their keys will get outcome_unknown."},
	Definition{ClaimTicketsFull, Warn, "claim_tickets_full", "The memory for keys under this instance's tickets is full; further keys are claimed in the platform's store. Use fewer keys per ticket or add instances."},
	Definition{ClaimFormat, Error, "claim_shards_differ", "The platform's claims were written with a number of shards that differs from this instance's settings; the instance refuses claims, since it would not find the recorded ones. Restore the previous value of claims.shards."},
	Definition{ClaimHandedOver, Info, "claim_records_handed_over", "A stopping instance transferred to other instances the completions and releases that the store had not accepted."},
	Definition{ClaimUnrecorded, Error, "claim_records_lost", "A stopping instance ended with completions or releases that neither the store nor another instance had accepted; retries with their keys will get outcome_unknown."},
)
