package exchange

// Use describes how an exchange used its connection, for logs.
type Use struct {
	Connection uint64 // number of the connection, counted by its pool from 1; 0 = there was none
	Before     int    // number of requests that were sent on the connection before
	Repeated   bool   // one of them had the ID of this request
	Relayed    bool   // the connection is Checked: not a socket of this process to the target
	Skipped    int    // responses to other attempts that were skipped before the response
	Identified bool   // the response states the ID of the request
}
