package routing

import "fmt"

// Policy is the name of a load-balancing policy among the targets of a service.
type Policy string

// Load-balancing policies. All but PolicyTwoChoices are baselines for
// benchmarks.
const (
	PolicyTwoChoices    Policy = "two_choices"
	PolicyRandom        Policy = "random"
	PolicyRoundRobin    Policy = "round_robin"
	PolicyLeastInFlight Policy = "least_in_flight"
)

// Policies returns every policy.
func Policies() []Policy {
	return []Policy{PolicyTwoChoices, PolicyRandom, PolicyRoundRobin, PolicyLeastInFlight}
}

// ParsePolicy returns the policy with the given name, PolicyTwoChoices for an
// empty name, or an error for an unknown one.
func ParsePolicy(name string) (Policy, error) {
	if name == "" {
		return PolicyTwoChoices, nil
	}
	for _, p := range Policies() {
		if string(p) == name {
			return p, nil
		}
	}
	return "", fmt.Errorf("unknown routing policy %q", name)
}
