package routing

import "fmt"

// Policy names a way to choose among the targets of a service.
type Policy string

// Policies. All but PolicyTwoChoices are baselines for measurement.
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

// ParsePolicy returns the policy of a name; "" is PolicyTwoChoices.
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
