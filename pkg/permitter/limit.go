package permitter

import "github.com/lagooncleat/lagooncleat/pkg/identifier"

const (
	// Term is how long allotments of QuotaTerms hold after their holder asked: the time for which holders that are
	// cut off go on, and for which a new owner limits the level.
	Term = 3 * identifier.Second
	// BriefTerm is the term of BriefTerms. Hosts to which a holder lends requests keep them for most of it, and one of
	// dozens of hosts has one in a second.
	BriefTerm = 1200 * identifier.Millisecond
	// briefTransit is the Transit of BriefTerms: a server that has paused takes what has arrived meanwhile at once,
	// and pauses of 150 ms occur.
	briefTransit = 200 * identifier.Millisecond
	// idleTime is the time without requests of an account after which a holder by QuotaTerms returns what it holds.
	// An account with one request in ten seconds at this host still finds one.
	idleTime = 10 * identifier.Second
	// Overlap is how long a previous owner may still grant after another one has taken over: the time in which
	// an acknowledgement that confirmed it may have been on its way.
	Overlap = 200 * identifier.Millisecond
	// levelPortion is the fraction of the allowance by which the level may exceed the burst, so that what holders
	// hold in advance doesn't keep others from using the burst.
	levelPortion = 0.25
	// coveredChanges is how often the owner may change within Term.
	coveredChanges = 2
)

// Requests is a number of requests.
type Requests int64

// Terms are the rules that an owner and its holders share.
type Terms struct {
	// Term is how long allotments hold after their holder asked.
	Term identifier.Micros
	// Idle is the time without requests of an account after which a holder returns what it holds. With 0, it asks
	// only for requests that wait.
	Idle identifier.Micros
	// Waits is set if a new owner allots nothing until all that its predecessors allotted has ended, instead of
	// keeping to a lower level meanwhile.
	Waits bool
	// Transit is how long requests may be on their way after they were spent. It counts only if Waits is set.
	Transit identifier.Micros
}

// QuotaTerms are for limits of which a window is longer than Term: no request waits long for a new owner.
var QuotaTerms = Terms{Term: Term, Idle: idleTime}

// BriefTerms are for limits in windows of about a second. What earlier owners allotted would take most of such a
// window's tolerance, so a new owner waits for it to end.
var BriefTerms = Terms{Term: BriefTerm, Waits: true, Transit: briefTransit}

// Limit is how many requests a second an account may send over all hosts, and how many more at once. A limit of
// 0 for both means none.
type Limit struct {
	Rate  identifier.Rate
	Burst float64
}

// Tolerance is by how much the requests of an account may exceed its limit in any window: by a ratio of the
// limit and a number of requests.
type Tolerance struct {
	Window  identifier.Micros
	Overage identifier.Ratio
	Slack   float64
}

// allowance returns how many requests the tolerance adds to the limit in a window.
func (t Tolerance) allowance(l Limit) float64 {
	return (l.perSecond()*seconds(t.Window)+l.Burst)*float64(t.Overage) + t.Slack
}

// maximum returns the highest level of an account. The rest of the allowance covers changes of the owner.
func (t Tolerance) maximum(l Limit) float64 {
	return l.Burst + levelPortion*t.allowance(l)
}

// maximumAtFirst returns the highest level of an account at an owner in its first Term.
func (t Tolerance) maximumAtFirst(l Limit) float64 {
	return min(t.maximum(l), (1-levelPortion)/coveredChanges*t.allowance(l))
}

// highestLevel returns the highest level of an account. If new owners wait, what can be spent at any instant is at most
// this level, and the rest of the allowance covers Transit: what arrives in a window was spent in it or within Transit
// before it.
func (t Terms) highestLevel(o Tolerance, l Limit) float64 {
	if t.Waits {
		return max(0, l.Burst+o.allowance(l)-l.perSecond()*seconds(t.Transit))
	}
	return o.maximum(l)
}

func (l Limit) perSecond() float64 { return float64(l.Rate) }

func seconds(m identifier.Micros) float64 { return float64(m) / float64(identifier.Second) }
