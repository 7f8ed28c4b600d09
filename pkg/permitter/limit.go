package permitter

import "github.com/lagooncleat/lagooncleat/pkg/identifier"

const (
	// Term is how long allotments hold after their holder asked: longer than the election of another owner, and
	// short enough that a new owner's start costs little.
	Term = 2 * identifier.Second
	// Overlap is how long a previous owner may still grant after another one has taken over: the time in which
	// an acknowledgement that confirmed it may have been on its way.
	Overlap = 200 * identifier.Millisecond
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

// maximum returns the highest level of an account. The other half of the allowance covers a change of the owner.
func (t Tolerance) maximum(l Limit) float64 {
	return l.Burst + t.allowance(l)/2
}

// first returns the level of an account at a new owner, 0 or less.
func (t Tolerance) first(l Limit) float64 {
	return min(0, t.allowance(l)/2-l.perSecond()*seconds(Term))
}

func (l Limit) perSecond() float64 { return float64(l.Rate) }

func seconds(m identifier.Micros) float64 { return float64(m) / float64(identifier.Second) }
