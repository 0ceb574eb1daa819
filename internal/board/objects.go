package board

// AdoptObject stores a configuration object on the board if its version is higher than
// the stored one. It returns whether it did.
func (b *Board) AdoptObject(key string, next ConfigObject) bool {
	return b.Objects.Update(key, func(old ConfigObject, found bool) (ConfigObject, bool) {
		return next, !found || next.Version > old.Version
	})
}
