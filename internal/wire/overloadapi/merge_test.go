package overloadapi

import "testing"

func page(instance string, count int) Page {
	return Page{Instance: instance, Decisions: Decisions{
		Queues:        []Queue{{Dispatcher, "s", "o", "r", count, 1, int64(count), 2}, {Dispatcher, "s", "p", "r", 1, 0, 0, 0}},
		Refusals:      []Refusal{{Coordinator, "s", "o", "r", "rule", count, int64(count), int64(count)}},
		Reservations:  []Reservations{{"o", "r", count, int64(count)}},
		Shares:        []Share{{Cell: "c", Service: "s", Organisation: "o", OnTimeMS: int64(count), Over: count > 1}},
		Routes:        []RouteShare{{Cell: "c", Service: "s", Route: "r", Jobs: float64(count), OnTime: float64(count - 1)}},
		RefusedByRule: map[string]int{"size": count}, OmittedRows: 1,
	}}
}

// Guards against figures of several instances that are counted twice or not at all.
func TestPagesOfSeveralInstancesAreMerged(t *testing.T) {
	var r Report
	r.Add("a:1", page("a", 1))
	r.Add("b:1", page("b", 3))
	if len(r.Instances) != 2 || len(r.Queues) != 2 || r.Queues[0] != (Queue{Dispatcher, "s", "o", "r", 4, 2, 3, 4}) {
		t.Errorf("queues %+v of %+v", r.Queues, r.Instances)
	}
	if len(r.Refusals) != 1 || r.Refusals[0] != (Refusal{Coordinator, "s", "o", "r", "rule", 4, 1, 3}) {
		t.Errorf("refusals %+v", r.Refusals)
	}
	if len(r.Reservations) != 1 || r.Reservations[0] != (Reservations{"o", "r", 4, 1}) {
		t.Errorf("reservations %+v", r.Reservations)
	}
	if len(r.Shares) != 1 || r.Shares[0].OnTimeMS != 4 || !r.Shares[0].Over || r.Routes[0].OnTime != 1.5 || r.RefusedByRule["size"] != 4 || r.OmittedRows != 2 {
		t.Errorf("shares %+v %+v", r.Shares, r.Routes)
	}
	r.Keep("p", "")
	if len(r.Queues) != 1 || len(r.Refusals)+len(r.Reservations)+len(r.Shares) != 0 || len(r.Routes) != 1 {
		t.Errorf("rows of p: %+v", r.Decisions)
	}
	if r.Keep("", "x"); len(r.Queues)+len(r.Routes) != 0 {
		t.Errorf("rows of route x: %+v", r.Decisions)
	}
}
