package permitter

import "github.com/lagooncleat/lagooncleat/pkg/identifier"

const (
	// Term is how long allotments of QuotaTerms hold after their holder asked: the time for which holders that are
	// cut off go on, and for which a new owner limits the level.
	Term = 3 * identifier.Second
	// BriefTerm is the term of BriefTerms: a few round trips to the owner, and the attempts that a lost report or
	// answer costs.
	BriefTerm = 400 * identifier.Millisecond
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
}

// QuotaTerms are for limits of which a window is longer than Term: no request waits long for a new owner.
var QuotaTerms = Terms{Term: Term, Idle: idleTime}

// BriefTerms are for limits in windows of about a second. What earlier owners allotted would take most of such a
// window's tolerance, so a new owner waits for it to end.
var BriefTerms = Terms{Term: BriefTerm, Waits: true}

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

// Margin returns for how long after they were taken requests may arrive, so that those that arrive in any window
// stay within the tolerance if no new owner grants while earlier allotments last (Terms.Waits). Those that arrive in
// a window were taken within the window or the margin before it; together they are at most the maximum level and the
// refill of both.
func (t Tolerance) Margin(l Limit) identifier.Micros {
	if l.Rate <= 0 {
		return 0
	}
	spare := t.allowance(l) + l.Burst - t.maximum(l)
	return identifier.Micros(max(0, spare) / l.perSecond() * float64(identifier.Second))
}

func (l Limit) perSecond() float64 { return float64(l.Rate) }

func seconds(m identifier.Micros) float64 { return float64(m) / float64(identifier.Second) }
