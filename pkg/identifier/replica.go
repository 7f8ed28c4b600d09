package identifier

// ReplicaID names one disk of a control host: it is drawn at random when the
// data folder is made, so a host whose disk was replaced has another one. 0 is none.
type ReplicaID uint64
