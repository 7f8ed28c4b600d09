package identifier

// ReplicaID identifies the data folder of a control host. It is generated at random
// when the folder is created, so a host has a new id after its disk is replaced.
// 0 means none.
type ReplicaID uint64
