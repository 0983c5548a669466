package fault

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"time"
)

// Day draws the faults of a day for traffic of the given length.
type Day func(random *rand.Rand, traffic time.Duration, centres int) []Entry

var days = map[string]Day{
	"calm": func(*rand.Rand, time.Duration, int) []Entry { return nil },
	"cut":  cut, "series": series,
	"away": away, "lost": lost, "owners": owners, "mixed": mixed, "roll": roll, "power": power, "returns": returns,
}

// Names returns the names of all days in order.
func Names() []string {
	var names []string
	for name := range days {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Draw returns the faults of the named day in the order of their times.
func Draw(name string, random *rand.Rand, traffic time.Duration, centres int) ([]Entry, error) {
	day, ok := days[name]
	if !ok {
		return nil, fmt.Errorf("day %q is not one of %s", name, strings.Join(Names(), ", "))
	}
	entries := day(random, traffic, centres)
	sort.SliceStable(entries, func(i, j int) bool { return entries[i].At < entries[j].At })
	return entries, nil
}

func between(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)+1)).Truncate(time.Millisecond)
}

func part(traffic time.Duration, share float64) time.Duration {
	return time.Duration(float64(traffic) * share)
}

// away takes the store away around the end of the traffic, after workers crashed for good.
func away(random *rand.Rand, traffic time.Duration, _ int) []Entry {
	share := 1.0
	if random.IntN(2) == 0 {
		share = 0.33 + 0.5*random.Float64()
	}
	from := traffic - between(random, 500*time.Millisecond, 3*time.Second)
	return []Entry{
		{from, StoreAway{Share: share, Silent: random.IntN(2) == 0, For: between(random, 4500*time.Millisecond, 9*time.Second)}},
		{from - between(random, time.Second, 6*time.Second), WorkersCrashed{Share: 0.05 + 0.1*random.Float64()}},
		{from - between(random, 0, 6*time.Second), OwnerKilled{between(random, 500*time.Millisecond, 3*time.Second)}},
	}
}

// cut cuts workers off for longer than any lease and replaces the owner meanwhile.
func cut(*rand.Rand, time.Duration, int) []Entry {
	return []Entry{
		{3 * time.Second, WorkersCut{Share: 0.25, For: 20 * time.Second}},
		{4500 * time.Millisecond, OwnerKilled{time.Second}},
	}
}

// lost loses answers of the store until seconds after the end of the traffic; workers crash for good meanwhile.
func lost(random *rand.Rand, traffic time.Duration, _ int) []Entry {
	from := part(traffic, 0.7)
	return []Entry{
		{from, StoreLost{Share: 0.35 + 0.15*random.Float64(), For: traffic - from + between(random, 2*time.Second, 12*time.Second)}},
		{part(traffic, 0.75+0.2*random.Float64()), WorkersCrashed{Share: 0.08 + 0.08*random.Float64()}},
	}
}

// owners kills, freezes or stops one owner after the other, after workers were lost.
func owners(random *rand.Rand, traffic time.Duration, _ int) []Entry {
	entries := []Entry{{part(traffic, 0.3+0.5*random.Float64()), WorkersCrashed{Share: 0.05 + 0.1*random.Float64()}}}
	for at := part(traffic, 0.4); at < traffic+2*time.Second; at += between(random, 1500*time.Millisecond, 5*time.Second) {
		var f Fault = OwnerKilled{between(random, 500*time.Millisecond, 3*time.Second)}
		switch random.IntN(4) {
		case 0:
			f = OwnerFrozen{between(random, 800*time.Millisecond, 4*time.Second)}
		case 1:
			f = OwnerStopped{between(random, 500*time.Millisecond, 2*time.Second)}
		}
		entries = append(entries, Entry{at, f})
	}
	return entries
}

// series crashes workers for good and kills one owner after the other until seconds after the end of the traffic.
func series(random *rand.Rand, traffic time.Duration, _ int) []Entry {
	entries := []Entry{{part(traffic, 0.6), WorkersCrashed{Share: 0.15}}}
	for at := part(traffic, 0.65); at < traffic+10*time.Second; at += between(random, 1800*time.Millisecond, 2500*time.Millisecond) {
		entries = append(entries, Entry{at, OwnerKilled{time.Second}})
	}
	return entries
}

// returns takes the store away again and again; workers restart under their IDs before it is back, and the owner is lost.
func returns(random *rand.Rand, traffic time.Duration, _ int) []Entry {
	var entries []Entry
	for at := part(traffic, 0.2); at < traffic; at += between(random, 6*time.Second, 9*time.Second) {
		back := at + between(random, 2*time.Second, 4500*time.Millisecond)
		var lost Fault = OwnerKilled{between(random, 500*time.Millisecond, 3*time.Second)}
		if random.IntN(2) == 0 {
			lost = OwnerFrozen{between(random, 2*time.Second, 4*time.Second)}
		}
		// Runs that began before the outage fail during it.
		failing := WorkersFaulty{Share: 0.5, Fails: true, For: 3 * time.Second}
		entries = append(entries,
			Entry{max(at-failing.For, 0), failing},
			Entry{at, StoreAway{Share: 1, Silent: random.IntN(2) == 0, For: back - at, Pauses: true}},
			Entry{back - between(random, 500*time.Millisecond, 1500*time.Millisecond), WorkersCrashed{Share: 0.3 + 0.4*random.Float64(), Pause: between(random, 200*time.Millisecond, time.Second), SameID: true}},
			Entry{back - between(random, 0, 1200*time.Millisecond), lost})
	}
	return entries
}

// roll stops and starts the instances in turn while the configuration changes.
func roll(random *rand.Rand, traffic time.Duration, _ int) []Entry {
	return []Entry{
		{part(traffic, 0.15), InstancesRolled{Share: 1, Gap: part(traffic, 0.6) / 40}},
		{part(traffic, 0.3), Configured{}},
		{part(traffic, 0.5), Reloaded{Share: 0.6}},
		{part(traffic, 0.2+0.5*random.Float64()), WorkersDrained{Share: 0.2, Notice: between(random, time.Second, 6*time.Second)}},
	}
}

// power is a mixed day at whose end all instances lose power.
func power(random *rand.Rand, traffic time.Duration, centres int) []Entry {
	return append(mixed(random, traffic, centres), Entry{traffic - between(random, 0, 3*time.Second), PowerLost{between(random, time.Second, 3*time.Second)}})
}

// mixed draws series of faults that overlap.
func mixed(random *rand.Rand, traffic time.Duration, centres int) []Entry {
	var entries []Entry
	for at := part(traffic, 0.1); at < traffic; at += between(random, 500*time.Millisecond, part(traffic, 0.25)) {
		entries = append(entries, Entry{at, draw(random, centres)})
	}
	return entries
}

func draw(random *rand.Rand, centres int) Fault {
	short := between(random, 500*time.Millisecond, 3*time.Second)
	long := between(random, 2*time.Second, 7*time.Second)
	share := 0.05 + 0.25*random.Float64()
	coin := random.IntN(2) == 0
	switch random.IntN(20) {
	case 0, 1:
		return OwnerKilled{short}
	case 2:
		return OwnerFrozen{short}
	case 3:
		return OwnerStopped{short}
	case 4:
		return InstancesKilled{share, short}
	case 5:
		return Reloaded{share}
	case 6:
		return StoreAway{Share: 1, Silent: coin, For: long, Pauses: random.IntN(2) == 0}
	case 7:
		return StoreAway{Share: 0.33 + 0.6*random.Float64(), Silent: coin, For: long}
	case 8:
		return StoreSlow{between(random, 20*time.Millisecond, 240*time.Millisecond), long}
	case 9, 10:
		return StoreLost{0.1 + 0.4*random.Float64(), long}
	case 11:
		return HistoryDropped{}
	case 12:
		return WorkersCrashed{Share: share / 2}
	case 13:
		return WorkersCrashed{Share: share, Pause: short, SameID: coin}
	case 14:
		return WorkersDrained{share, short}
	case 15:
		return WorkersCut{share, long}
	case 16:
		return WorkersFaulty{Share: share, Fails: coin, Late: 0.1, For: long}
	case 17:
		return CentreCut{random.IntN(centres), coin, long}
	case 18:
		return ChannelsReset{share, coin}
	default:
		return Evacuated{random.IntN(centres), long}
	}
}
