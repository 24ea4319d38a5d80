package tmchange

import (
	"cmp"
	"fmt"
	"net/netip"
	"regexp"
	"strings"

	"turmericmoor/core/tmfleet"
)

// Maximum values of numbers in a Config. They keep sums within an int and catch
// values that were typed with an extra digit.
const (
	MaxShare = 1_000_000
	MaxSlots = 10_000
)

const nameForm = "1 to 63 lower-case letters, digits, '-', '_' or '.', starting with a letter or digit"

var (
	namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// ValidName reports whether name can be the name of a zone, pool, queue, team
// or instance, or the label of a key.
func ValidName(name string) bool {
	return namePattern.MatchString(name)
}

// NameForm describes the names that ValidName accepts, for error messages.
func NameForm() string { return nameForm }

// ValidHash reports whether hash is a SHA-256 in lower-case hex.
func ValidHash(hash string) bool {
	return hashPattern.MatchString(hash)
}

// checkName reports whether name is valid and records a problem if not.
func (d *draft) checkName(field, name string) bool {
	if ValidName(name) {
		return true
	}
	d.reject(BadName, field, fmt.Sprintf("%q is not a name", name), nameForm)
	return false
}

// checkNew reports whether name is valid and not yet in t, and records a problem
// if not.
func checkNew[V any](d *draft, kind, field, name string, t tmfleet.Table[string, V]) bool {
	if !d.checkName(field, name) {
		return false
	}
	if t.Has(name) {
		d.reject(NameTaken, field, fmt.Sprintf("%s %q exists already", kind, name), "a name that no "+kind+" has")
		return false
	}
	return true
}

// lookup returns the value under name and records a problem if there is none.
func lookup[V any](d *draft, kind, field, name string, t tmfleet.Table[string, V]) (V, bool) {
	v, ok := t.Get(name)
	if !ok {
		d.reject(UnknownName, field, fmt.Sprintf("unknown %s %q", kind, name), oneOf(kind, t.Keys()))
	}
	return v, ok
}

// maxNamesListed is the maximum number of names in an error message.
const maxNamesListed = 8

func oneOf(kind string, names []string) string {
	switch {
	case len(names) == 0:
		return "an existing " + kind + ", there is none yet"
	case len(names) > maxNamesListed:
		return fmt.Sprintf("one of the %d existing %ss, for example %s", len(names), kind, strings.Join(names[:maxNamesListed], ", "))
	}
	return "one of " + strings.Join(names, ", ")
}

func checkRange[N cmp.Ordered](d *draft, field string, n, low, high N) bool {
	if n >= low && n <= high {
		return true
	}
	d.reject(OutOfRange, field, fmt.Sprintf("is %v", n), fmt.Sprintf("%v to %v", low, high))
	return false
}

func (d *draft) checkLimit(limit int) bool {
	slots := fleetSlots(d.config)
	if limit < 1 {
		d.reject(OutOfRange, "limit", fmt.Sprintf("is %d", limit), "at least 1 task")
		return false
	}
	if limit > slots {
		message := fmt.Sprintf("is %d, above the %d slots of the fleet", limit, slots)
		d.reject(LimitAboveFleet, "limit", message, fmt.Sprintf("1 to %d, or more instances first", slots))
		return false
	}
	return true
}

func fleetSlots(c tmfleet.Config) int {
	sum := 0
	for _, in := range c.Instances().All() {
		sum += in.Slots()
	}
	return sum
}

func (d *draft) checkAddress(address string) bool {
	const form = "IP:port with a port above 0, for example 10.0.1.7:8400"
	ap, err := netip.ParseAddrPort(address)
	if err != nil || ap.Port() == 0 {
		d.reject(BadAddress, "address", fmt.Sprintf("%q is not an address", address), form)
		return false
	}
	for _, in := range d.config.Instances().All() {
		other, err := netip.ParseAddrPort(in.Address())
		if err == nil && other == ap {
			d.reject(AddressTaken, "address", fmt.Sprintf("%s belongs to instance %q", address, in.Name()), "an address that no instance has")
			return false
		}
	}
	return true
}
