package reservation

import "time"

// Copy is what the owner of a refused request knows of the reservation that its caller was
// given.
type Copy struct {
	CallerKey    string
	Organisation string
	Route        string
	Priority     int
	// RoutePriority is the priority of the route; Priority may be that of the organisation.
	RoutePriority int
	OnTime        bool      // the caller is served on time if it is back when due
	Arrived       time.Time // of the caller's first attempt
	Due           time.Time
	Stages        []StageWork
}

// StageWork is work of a request at a service, in pieces.
type StageWork struct {
	Service     string
	Pieces      int
	ResultBytes int64 // of one piece
}

// Live reports whether the reservation can still be claimed, now or later.
func (c Copy) Live(now time.Time) bool { return !now.After(c.Due.Add(ValidAfter)) }

// Reservation returns the reservation, given the work that it covers.
func (c Copy) Reservation(demands []Demand) Reservation {
	return Reservation{Due: c.Due, Request: Request{
		CallerKey: c.CallerKey, Organisation: c.Organisation, Route: c.Route, Priority: c.Priority, OnTime: c.OnTime, Arrived: c.Arrived, Demands: demands,
	}}
}
