package event

// Events of package platform.
const (
	PlatformDown     ID = 2001
	PlatformUp       ID = 2002
	PlatformEndpoint ID = 2003
)

var _ = define(
	Definition{PlatformDown, Error, "platform_down", "Consecutive calls to the platform fail; only one probe at a time is sent until one succeeds. Requests continue; claims, profile changes and orders wait or are refused. Check the platform."},
	Definition{PlatformUp, Info, "platform_up", "The platform answers again. Less important calls resume over the next half minute."},
	Definition{PlatformEndpoint, Warn, "platform_endpoint_failed", "An endpoint of the platform could not be reached; the next one is tried. Check the address in the settings and the network route to it."},
)
