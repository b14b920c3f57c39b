package policy

import "slices"

// maxSnapshotCandidates is the maximum number of snapshots, newest first, that Plan compares
// for a request.
const maxSnapshotCandidates = 16

// Plan resolves the replicas of each shard and picks the snapshot that covers the most
// shards, or the newest one of those that cover equally many. The snapshot is 0 if no
// upstream has reported which ones it holds.
func (f *Fleet) Plan(replicas [][]string) ([][]*Upstream, uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := f.resolve(replicas)
	var candidates []uint64
	for _, upstreams := range out {
		for _, u := range upstreams {
			if u.status.snapshots.Known && !u.leaving && !slices.Contains(candidates, u.status.snapshots.Newest) {
				candidates = append(candidates, u.status.snapshots.Newest)
			}
		}
	}
	return out, bestSnapshot(out, candidates)
}

// bestSnapshot returns the candidate that covers the most parts, preferring newer ones; 0 if
// there is no candidate.
func bestSnapshot(parts [][]*Upstream, candidates []uint64) uint64 {
	slices.Sort(candidates)
	slices.Reverse(candidates)
	snapshot, most := uint64(0), -1
	for _, s := range candidates[:min(len(candidates), maxSnapshotCandidates)] {
		if n := countCovered(parts, s); n > most {
			snapshot, most = s, n
		}
	}
	return snapshot
}

func countCovered(parts [][]*Upstream, snapshot uint64) int {
	n := 0
	for _, replicas := range parts {
		if slices.ContainsFunc(replicas, func(u *Upstream) bool { return !u.leaving && u.status.snapshots.holds(snapshot) }) {
			n++
		}
	}
	return n
}
