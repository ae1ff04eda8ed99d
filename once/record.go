package once

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Member is one incarnation of a VM. A VM that restarts has another incarnation
// and is no longer a member.
type Member struct {
	VM          string `json:"vm"`
	Incarnation uint64 `json:"incarnation"`
}

// Record is the partition record in the store: the current view of a partition.
// The zero value means that the partition has no record.
type Record struct {
	Partition int    `json:"partition"`
	Epoch     uint64 `json:"epoch"`
	// View is unique to the proposal that wrote the record. If the store's reply
	// to the write is lost, the View of the record that is read back shows whether the
	// write took effect.
	View      string   `json:"view"`
	Owner     Member   `json:"owner"`
	Witnesses []Member `json:"witnesses"`
	// LostUntil is set when all members of an earlier view were lost. Until that
	// time the request of an unknown key may have run.
	LostUntil time.Time `json:"lost_until,omitzero"`
}

// RecordPrefix is the prefix of the store keys of partition records.
const RecordPrefix = "once/partition/"

// RecordKey returns the store key of a partition's record.
func RecordKey(partition int) string { return fmt.Sprintf("%s%d", RecordPrefix, partition) }

// Marshal returns the JSON form of the record.
func (r Record) Marshal() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		panic(err) // no field can fail
	}
	return b
}

// ParseRecord reads the JSON form of a record.
func ParseRecord(b []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(b, &r); err != nil {
		return Record{}, errors.Wrap(err, "once: partition record")
	}
	if r.Epoch == 0 || r.View == "" || r.Owner.VM == "" || r.Partition < 0 {
		return Record{}, errors.Errorf("once: partition record lacks epoch, view or owner: %s", b)
	}
	return r, nil
}

// Members returns the owner followed by the witnesses.
func (r *Record) Members() []Member {
	if r.Epoch == 0 {
		return nil
	}
	return append([]Member{r.Owner}, r.Witnesses...)
}

// Role is the role of a VM in a partition.
type Role uint8

// Roles of a VM in a partition.
const (
	RoleNone Role = iota
	RoleOwner
	RoleWitness
)

// RoleOf returns the role of a VM in the record.
func (r *Record) RoleOf(m Member) Role {
	if r.Epoch == 0 {
		return RoleNone
	}
	if r.Owner == m {
		return RoleOwner
	}
	if r.witnessIndex(m) >= 0 {
		return RoleWitness
	}
	return RoleNone
}

func (r *Record) witnessIndex(m Member) int {
	for i, w := range r.Witnesses {
		if w == m {
			return i
		}
	}
	return -1
}
