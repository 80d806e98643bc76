package state

import (
	"cmp"
	"fmt"
	"slices"

	"samphirepaddle.example/core/model"
)

// snapshotVersion is raised with each change of the snapshot's form.
const snapshotVersion = 2

// snapshot is the stored form of State. The records in it have numbers as CBOR keys, because
// names would take most of the bytes. Maps with struct keys are stored as lists,
// because CBOR map keys are plain values.
type snapshot struct {
	Version      int
	Revision     model.Revision
	Now          model.Millis
	NextEpoch    model.Epoch
	NextSequence uint64
	Config       Config
	LastTicket   []lastTicketEntry
	Tickets      map[uint64]*TicketRecord
	TicketFloor  uint64
	Gateways     map[model.GatewayID]*Gateway
	Targets      map[model.TargetID]*Target
	Jobs         map[model.JobID]*Job
	JobKeys      []jobKeyEntry
	Requests     []requestEntry
}

type lastTicketEntry struct {
	Ref    model.ObjectRef `cbor:"1,keyasint"`
	Number uint64          `cbor:"2,keyasint"`
}

type jobKeyEntry struct {
	Key RequestKey `cbor:"1,keyasint"`
	Job *JobKey    `cbor:"2,keyasint"`
}

type requestEntry struct {
	Key    RequestKey     `cbor:"1,keyasint"`
	Record *RequestRecord `cbor:"2,keyasint"`
}

// Snapshot returns the stored form of the state; equal states have equal snapshots.
func (s *State) Snapshot() ([]byte, error) {
	return model.Encode(snapshot{
		Version:      snapshotVersion,
		Revision:     s.Revision,
		Now:          s.Now,
		NextEpoch:    s.NextEpoch,
		NextSequence: s.NextSequence,
		Config:       s.Config,
		LastTicket:   s.lastTicketEntries(),
		Tickets:      s.Tickets,
		TicketFloor:  s.TicketFloor,
		Gateways:     s.Gateways,
		Targets:      s.Targets,
		Jobs:         s.Jobs,
		JobKeys:      s.jobKeyEntries(),
		Requests:     s.requestEntries(),
	})
}

// Restore returns the state that Snapshot stored.
func Restore(data []byte) (*State, error) {
	var stored snapshot
	if err := model.Decode(data, &stored); err != nil {
		return nil, err
	}
	if stored.Version != snapshotVersion {
		return nil, fmt.Errorf("snapshot version %d is not supported, expected %d", stored.Version, snapshotVersion)
	}
	s := New()
	s.Revision = stored.Revision
	s.Now = stored.Now
	s.NextEpoch = stored.NextEpoch
	s.NextSequence = stored.NextSequence
	s.Config = stored.Config
	s.Tickets = stored.Tickets
	s.TicketFloor = stored.TicketFloor
	s.Gateways = stored.Gateways
	s.Targets = stored.Targets
	s.Jobs = stored.Jobs
	for id := range s.Gateways {
		s.ownedChanged[id] = s.Revision
		s.ownershipChanged[id] = s.Revision
	}
	for _, e := range stored.LastTicket {
		s.LastTicket[e.Ref] = e.Number
	}
	for _, e := range stored.JobKeys {
		s.JobKeys[e.Key] = e.Job
	}
	for _, e := range stored.Requests {
		s.Requests[e.Key] = e.Record
	}
	s.closedSince = s.Revision
	s.journal.since = s.Revision
	s.configSince = s.Revision
	s.rebuild()
	return s, nil
}

func (s *State) lastTicketEntries() []lastTicketEntry {
	entries := make([]lastTicketEntry, 0, len(s.LastTicket))
	for ref, number := range s.LastTicket {
		entries = append(entries, lastTicketEntry{ref, number})
	}
	slices.SortFunc(entries, func(a, b lastTicketEntry) int {
		return cmp.Or(cmp.Compare(a.Ref.Kind, b.Ref.Kind), cmp.Compare(a.Ref.ID, b.Ref.ID))
	})
	return entries
}

func (s *State) jobKeyEntries() []jobKeyEntry {
	entries := make([]jobKeyEntry, 0, len(s.JobKeys))
	for key, job := range s.JobKeys {
		entries = append(entries, jobKeyEntry{key, job})
	}
	slices.SortFunc(entries, func(a, b jobKeyEntry) int { return a.Key.compare(b.Key) })
	return entries
}

func (s *State) requestEntries() []requestEntry {
	entries := make([]requestEntry, 0, len(s.Requests))
	for key, record := range s.Requests {
		entries = append(entries, requestEntry{key, record})
	}
	slices.SortFunc(entries, func(a, b requestEntry) int { return a.Key.compare(b.Key) })
	return entries
}

func (k RequestKey) compare(o RequestKey) int {
	return cmp.Or(cmp.Compare(k.Tenant, o.Tenant), cmp.Compare(k.Key, o.Key))
}
