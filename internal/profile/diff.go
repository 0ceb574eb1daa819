package profile

// DiffLine is one difference between two versions of a profile.
type DiffLine struct {
	Path string `json:"path"` // such as stages.draft.providers.new.weight
	Old  string `json:"old"`  // "" for something added
	New  string `json:"new"`  // "" for something removed
}
