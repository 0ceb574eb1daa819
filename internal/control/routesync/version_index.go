package routesync

import (
	"cmp"
	"slices"
	"strings"
)

// versionedKey is a key with the version of its object.
type versionedKey struct {
	version uint64
	key     string
}

// versionIndex lists keys by the version of their objects, so that the objects above a
// version are found without examining all of them. A key that was added again remains
// listed with its earlier versions until compact removes them.
type versionIndex struct {
	items  []versionedKey
	sorted int // length of the part of items that is sorted
}

// add lists the key with the version of its new object.
func (x *versionIndex) add(version uint64, key string) {
	item := versionedKey{version, key}
	if x.sorted == len(x.items) && (x.sorted == 0 || compareVersions(x.items[x.sorted-1], item) <= 0) {
		x.sorted++
	}
	x.items = append(x.items, item)
}

// minCompaction is the number of outdated items up to which compact does nothing.
const minCompaction = 64

// compact removes the items that are not current, once there are more of them than keys.
func (x *versionIndex) compact(keys int, current func(versionedKey) bool) {
	if len(x.items) <= 2*keys+minCompaction {
		return
	}
	x.sort()
	x.items = slices.Compact(slices.DeleteFunc(x.items, func(item versionedKey) bool { return !current(item) }))
	x.sorted = len(x.items)
}

// after returns the items whose version is above the given one, by rising version. The
// caller must not keep them beyond the next call of a method.
func (x *versionIndex) after(version uint64) []versionedKey {
	x.sort()
	n, _ := slices.BinarySearchFunc(x.items, version, func(item versionedKey, version uint64) int {
		if item.version <= version {
			return -1
		}
		return 1
	})
	return x.items[n:]
}

func (x *versionIndex) sort() {
	if x.sorted < len(x.items) {
		slices.SortFunc(x.items, compareVersions)
		x.sorted = len(x.items)
	}
}

func compareVersions(a, b versionedKey) int {
	return cmp.Or(cmp.Compare(a.version, b.version), strings.Compare(a.key, b.key))
}
