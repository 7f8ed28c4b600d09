// Package recorder records and replays sessions of a reducer.
//
// A session is a list of steps, each with an instant, an event and the resulting
// effects. Golden files, randomised runs and fault reports share the format, which is
// YAML with names in kebab case and without fields that have the zero value.
//
// A Player emulates the event loop of a single host: it feeds published views and
// events that the state sends to its own host back into the state.
//
// # Usage
//
//	p := recorder.New(reducer.Parameters{Host: "h-1", Domain: "fd-1"})
//	p.Play(at, event)
//	data, err := p.Session().Encode()
package recorder

import (
	"fmt"

	"go.yaml.in/yaml/v3"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

// Step is an event and the effects that result from it.
type Step struct {
	At      identifier.Instant
	Event   reducer.Event
	Effects []reducer.Effect
}

// Session is a recording of the events and effects of one state.
type Session struct {
	Parameters reducer.Parameters
	Steps      []Step
}

// Player applies events to a state and records the session.
type Player struct {
	state   *reducer.State
	host    identifier.HostID
	session Session
}

// New returns a Player with a new state and an empty session.
func New(p reducer.Parameters) *Player {
	return &Player{state: reducer.New(p), host: p.Host, session: Session{Parameters: p}}
}

// Play reduces the event and then, in order, the events that the state sends to its own
// host and the views that it publishes. It records all effects as one step and returns
// them in order.
func (p *Player) Play(at identifier.Instant, event reducer.Event) []reducer.Effect {
	step := Step{At: at, Event: event}
	queue := []reducer.Event{event}
	for len(queue) > 0 {
		effects := p.state.Reduce(at, queue[0])
		queue = queue[1:]
		for _, effect := range effects {
			step.Effects = append(step.Effects, effect)
			switch e := effect.(type) {
			case reducer.PublishView:
				queue = append(queue, reducer.ViewPublished{View: e.View})
			case reducer.Send:
				if e.To == p.host {
					queue = append(queue, e.Event)
				}
			}
		}
	}
	p.session.Steps = append(p.session.Steps, step)
	return step.Effects
}

// Session returns the session recorded so far.
func (p *Player) Session() Session {
	return p.session
}

// Replay applies the events of a session to a new state and returns the resulting session.
func Replay(s Session) Session {
	p := New(s.Parameters)
	for _, step := range s.Steps {
		p.Play(step.At, step.Event)
	}
	return p.Session()
}

// stepDocument is the YAML form of a Step.
type stepDocument struct {
	At      identifier.Instant `yaml:"at"`
	Event   yaml.Node          `yaml:"event"`
	Effects []yaml.Node        `yaml:"effects,omitempty"`
}

// sessionDocument is the YAML form of a Session.
type sessionDocument struct {
	Parameters yaml.Node      `yaml:"parameters"`
	Steps      []stepDocument `yaml:"steps"`
}

// Encode returns the session as YAML.
func (s Session) Encode() ([]byte, error) {
	d := sessionDocument{Parameters: *encode(s.Parameters)}
	for _, step := range s.Steps {
		sd := stepDocument{At: step.At, Event: *encodeNamed(step.Event)}
		for _, effect := range step.Effects {
			sd.Effects = append(sd.Effects, *encodeNamed(effect))
		}
		d.Steps = append(d.Steps, sd)
	}
	data, err := yaml.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("recorder: encode session: %w", err)
	}
	return data, nil
}

// Decode parses the parameters and events of a session. It ignores the effects, which
// Replay recomputes.
func Decode(data []byte) (Session, error) {
	var d sessionDocument
	if err := yaml.Unmarshal(data, &d); err != nil {
		return Session{}, fmt.Errorf("recorder: decode session: %w", err)
	}
	var s Session
	if err := decode(&d.Parameters, &s.Parameters); err != nil {
		return Session{}, err
	}
	for i := range d.Steps {
		event, err := decodeEvent(&d.Steps[i].Event)
		if err != nil {
			return Session{}, err
		}
		s.Steps = append(s.Steps, Step{At: d.Steps[i].At, Event: event})
	}
	return s, nil
}
