package permitter

import "github.com/lagooncleat/lagooncleat/pkg/identifier"

const (
	// Term is how long allotments hold after their holder asked: the time for which holders that are cut off go on,
	// and for which a new owner limits the level.
	Term = 3 * identifier.Second
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

func (l Limit) perSecond() float64 { return float64(l.Rate) }

func seconds(m identifier.Micros) float64 { return float64(m) / float64(identifier.Second) }
