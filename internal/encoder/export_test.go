package encoder

// Tagged lists the events that may be sent between hosts.
var Tagged = tagged
